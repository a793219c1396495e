package standin

import (
	"context"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// FaultyTable is one client's connection to a table, with fault switches. It is
// for tests in one process; Platform has the same faults behind its protocol.
type FaultyTable struct {
	table platform.Table
	// pause is called before each call, to let time pass; nil passes none.
	pause func()

	mutex     sync.Mutex
	faults    TableFaults
	inTransit []platform.Transaction
	counts    TableCounts
}

// TableFaults are the faults that are switched on. The zero value is none.
type TableFaults struct {
	// Down loses every call before it is applied.
	Down bool
	// Hang keeps every call until its context ends.
	Hang bool
	// LoseAnswers counts the next transactions that are applied and reported as
	// lost. They arrive a second time at Deliver.
	LoseAnswers int
	// Delays counts the next transactions that are reported as lost and are
	// applied at Deliver.
	Delays int
	// DownAfterDelay sets Down with the next delayed transaction.
	DownAfterDelay bool
}

// TableCounts counts calls.
type TableCounts struct {
	Transactions int
}

// FaultyTableConfig configures a FaultyTable.
type FaultyTableConfig struct {
	Table platform.Table
	// Pause is called before each call, to let time pass; nil passes none.
	Pause func()
}

var _ platform.Table = (*FaultyTable)(nil)

// NewFaultyTable returns a connection without faults.
func NewFaultyTable(config FaultyTableConfig) *FaultyTable {
	return &FaultyTable{table: config.Table, pause: config.Pause}
}

// SetFaults replaces the faults.
func (faultyTable *FaultyTable) SetFaults(faults TableFaults) {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	faultyTable.faults = faults
}

// Counts returns how many calls were made.
func (faultyTable *FaultyTable) Counts() TableCounts {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	return faultyTable.counts
}

// Deliver lets the oldest transaction in transit arrive. It returns false when
// there is none.
func (faultyTable *FaultyTable) Deliver(ctx context.Context) bool {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	if len(faultyTable.inTransit) == 0 {
		return false
	}
	_ = faultyTable.table.Transact(ctx, faultyTable.inTransit[0])
	faultyTable.inTransit = faultyTable.inTransit[1:]
	return true
}

// Transact applies all writes or none, or fails as the faults say.
func (faultyTable *FaultyTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := faultyTable.enter(ctx); err != nil {
		return err
	}
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	faultyTable.counts.Transactions++
	switch {
	case faultyTable.faults.Delays > 0:
		faultyTable.faults.Delays--
		faultyTable.faults.Down = faultyTable.faults.DownAfterDelay
		faultyTable.faults.DownAfterDelay = false
		faultyTable.inTransit = append(faultyTable.inTransit, transaction)
		return errLostAnswer
	case faultyTable.faults.LoseAnswers > 0:
		faultyTable.faults.LoseAnswers--
		faultyTable.inTransit = append(faultyTable.inTransit, transaction)
		_ = faultyTable.table.Transact(ctx, transaction)
		return errLostAnswer
	}
	return faultyTable.table.Transact(ctx, transaction)
}

// Get reads items in one snapshot.
func (faultyTable *FaultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := faultyTable.enter(ctx); err != nil {
		return nil, err
	}
	return faultyTable.table.Get(ctx, keys...)
}

// Query reads items of one partition.
func (faultyTable *FaultyTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if err := faultyTable.enter(ctx); err != nil {
		return nil, err
	}
	return faultyTable.table.Query(ctx, query)
}

// enter fails or holds a call as the faults say.
func (faultyTable *FaultyTable) enter(ctx context.Context) error {
	if faultyTable.pause != nil {
		faultyTable.pause()
	}
	faultyTable.mutex.Lock()
	faults := faultyTable.faults
	faultyTable.mutex.Unlock()
	if faults.Hang {
		<-ctx.Done()
		return errLostAnswer
	}
	if faults.Down {
		return errLostAnswer
	}
	return nil
}

var errLostAnswer = fault.New(fault.Config{
	Kind:    fault.Unavailable,
	Message: "the table's answer was lost",
	Remedy:  "read back before relying on either outcome",
	Outcome: fault.OutcomeUnknown,
})
