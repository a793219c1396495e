package quarantine

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// rowTable holds the rows of an Exchange.
type rowTable struct {
	mutex sync.Mutex
	rows  map[string]platform.Item
}

func (rowTable *rowTable) commit(_ context.Context, transaction platform.Transaction) error {
	rowTable.mutex.Lock()
	defer rowTable.mutex.Unlock()
	for _, write := range transaction.Writes {
		if write.Action == platform.Delete {
			delete(rowTable.rows, write.Key.Sort)
			continue
		}
		rowTable.rows[write.Key.Sort] = platform.Item{Key: write.Key, Value: write.Value}
	}
	return nil
}

func (rowTable *rowTable) all() []platform.Item {
	rowTable.mutex.Lock()
	defer rowTable.mutex.Unlock()
	var rows []platform.Item
	for _, row := range rowTable.rows {
		rows = append(rows, row)
	}
	return rows
}

// TestUndoneReportIsWrittenAgain guards against evidence that no other router gets to
// know, because the table came back from a copy without it and the report is the same
// as the last one written.
func TestUndoneReportIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowTable{rows: make(map[string]platform.Item)}
		exchange := NewExchange(ExchangeConfig{
			Router: "self", Commit: table.commit, Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		})
		defer exchange.Close()
		exchange.ReadAll(nil)
		exchange.Register().Crashed("engine", []uint64{1, 2}, true)
		time.Sleep(reportInterval)
		written := table.all()
		require.Len(t, written, 1)
		undo := func(rows ...platform.Item) {
			require.NoError(t, table.commit(t.Context(), platform.Transaction{Writes: []platform.Write{{Key: written[0].Key, Action: platform.Delete}}}))
			exchange.ReadAll(rows)
			time.Sleep(2 * reportInterval)
		}
		undo()
		require.Equal(t, written, table.all(), "the copy had no row")
		undo(platform.Item{Key: written[0].Key, Value: []byte(`{"suspects":[]}`)})
		require.Equal(t, written, table.all(), "the copy had an older row")
		time.Sleep(evidenceLifetime)
		require.Empty(t, table.all(), "the evidence is too old")
		require.NoError(t, table.commit(t.Context(), platform.Transaction{Writes: []platform.Write{{Key: written[0].Key, Value: written[0].Value}}}))
		exchange.ReadAll(written)
		time.Sleep(2 * reportInterval)
		require.Empty(t, table.all(), "the copy had a row that was deleted since")
	})
}

// TestReportWrittenAroundRestoreIsWrittenAgain guards against a report that counts as
// stored because its answer came after the rows of the restored table, which don't have
// it.
func TestReportWrittenAroundRestoreIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowTable{rows: make(map[string]platform.Item)}
		answers := make(chan struct{})
		exchange := NewExchange(ExchangeConfig{
			Router: "self", Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
			Commit: func(ctx context.Context, transaction platform.Transaction) error {
				<-answers
				return table.commit(ctx, transaction)
			},
		})
		defer exchange.Close()
		defer close(answers)
		exchange.ReadAll(nil)
		exchange.Register().Crashed("engine", []uint64{1, 2}, true)
		answers <- struct{}{}
		time.Sleep(reportInterval)
		exchange.Register().Crashed("another", []uint64{1, 2}, true)
		time.Sleep(reportInterval) // the second write waits for its answer
		first := table.all()
		exchange.ReadRestored(first)
		answers <- struct{}{}
		synctest.Wait()
		second := table.all()
		require.NotEqual(t, first, second)
		require.NoError(t, table.commit(t.Context(), platform.Transaction{Writes: []platform.Write{{Key: first[0].Key, Value: first[0].Value}}}))
		time.Sleep(2 * reportInterval)
		answers <- struct{}{}
		synctest.Wait()
		require.Equal(t, second, table.all())
	})
}
