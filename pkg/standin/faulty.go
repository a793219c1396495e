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
	Reads        int
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
func (table *FaultyTable) SetFaults(faults TableFaults) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.faults = faults
}

// Counts returns how many calls were made.
func (table *FaultyTable) Counts() TableCounts {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.counts
}

// Deliver lets the oldest transaction in transit arrive. It returns false when
// there is none.
func (table *FaultyTable) Deliver(ctx context.Context) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if len(table.inTransit) == 0 {
		return false
	}
	_ = table.table.Transact(ctx, table.inTransit[0])
	table.inTransit = table.inTransit[1:]
	return true
}

// Transact applies all writes or none, or fails as the faults say.
func (table *FaultyTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := table.enter(ctx); err != nil {
		return err
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.counts.Transactions++
	switch {
	case table.faults.Delays > 0:
		table.faults.Delays--
		table.faults.Down = table.faults.DownAfterDelay
		table.faults.DownAfterDelay = false
		table.inTransit = append(table.inTransit, transaction)
		return errLostAnswer
	case table.faults.LoseAnswers > 0:
		table.faults.LoseAnswers--
		table.inTransit = append(table.inTransit, transaction)
		_ = table.table.Transact(ctx, transaction)
		return errLostAnswer
	}
	return table.table.Transact(ctx, transaction)
}

// Get reads items in one snapshot.
func (table *FaultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := table.enter(ctx); err != nil {
		return nil, err
	}
	table.countRead()
	return table.table.Get(ctx, keys...)
}

// Query reads items of one partition.
func (table *FaultyTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if err := table.enter(ctx); err != nil {
		return nil, err
	}
	table.countRead()
	return table.table.Query(ctx, query)
}

func (table *FaultyTable) countRead() {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.counts.Reads++
}

// enter fails or holds a call as the faults say.
func (table *FaultyTable) enter(ctx context.Context) error {
	if table.pause != nil {
		table.pause()
	}
	table.mutex.Lock()
	faults := table.faults
	table.mutex.Unlock()
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
