package standin

import (
	"context"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// FaultyTable is one client's connection to a table that injects faults. It is for
// tests within one process; Platform injects similar faults over HTTP.
type FaultyTable struct {
	table platform.Table
	// beforeCall, unless nil, is called before each call.
	beforeCall func()

	mutex  sync.Mutex
	faults TableFaults
	// pending holds the transactions that DeliverPending applies, oldest first.
	pending []platform.Transaction
	counts  TableCounts
}

// TableFaults defines the faults that a FaultyTable injects. The zero value injects
// none.
type TableFaults struct {
	// Down makes every call fail with an unknown outcome, without applying it.
	Down bool
	// Hang blocks every call until its context ends, without applying it.
	Hang bool
	// LoseNextResponses is the number of upcoming transactions that are applied
	// but fail with an unknown outcome. DeliverPending sends them to the table a
	// second time, like a late duplicate.
	LoseNextResponses int
	// DelayNextTransactions is the number of upcoming transactions that fail with
	// an unknown outcome and are not applied until DeliverPending.
	DelayNextTransactions int
	// DownAfterDelay sets Down once the next transaction was delayed.
	DownAfterDelay bool
}

// TableCounts counts the calls to a FaultyTable.
type TableCounts struct {
	Transactions int
}

// FaultyTableConfig configures a FaultyTable.
type FaultyTableConfig struct {
	Table platform.Table
	// BeforeCall, unless nil, is called before each call, for example to advance
	// a simulated clock.
	BeforeCall func()
}

var _ platform.Table = (*FaultyTable)(nil)

// NewFaultyTable returns a connection without faults.
func NewFaultyTable(config FaultyTableConfig) *FaultyTable {
	return &FaultyTable{table: config.Table, beforeCall: config.BeforeCall}
}

// SetFaults replaces the injected faults.
func (faultyTable *FaultyTable) SetFaults(faults TableFaults) {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	faultyTable.faults = faults
}

// Counts returns the number of transactions, without those that failed because of
// Down or Hang.
func (faultyTable *FaultyTable) Counts() TableCounts {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	return faultyTable.counts
}

// DeliverPending applies the oldest pending transaction to the table and ignores
// its error. It returns false if none is pending.
func (faultyTable *FaultyTable) DeliverPending(ctx context.Context) bool {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	if len(faultyTable.pending) == 0 {
		return false
	}
	_ = faultyTable.table.Transact(ctx, faultyTable.pending[0])
	faultyTable.pending = faultyTable.pending[1:]
	return true
}

// Transact applies all writes or none. It returns fault.Unavailable with an unknown
// outcome if a fault is injected, and otherwise the error of the table.
func (faultyTable *FaultyTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := faultyTable.checkFaults(ctx); err != nil {
		return err
	}
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	faultyTable.counts.Transactions++
	switch {
	case faultyTable.faults.DelayNextTransactions > 0:
		faultyTable.faults.DelayNextTransactions--
		faultyTable.faults.Down = faultyTable.faults.DownAfterDelay
		faultyTable.faults.DownAfterDelay = false
		faultyTable.pending = append(faultyTable.pending, transaction)
		return errResponseLost
	case faultyTable.faults.LoseNextResponses > 0:
		faultyTable.faults.LoseNextResponses--
		faultyTable.pending = append(faultyTable.pending, transaction)
		_ = faultyTable.table.Transact(ctx, transaction)
		return errResponseLost
	}
	return faultyTable.table.Transact(ctx, transaction)
}

// Get reads items in one snapshot. It returns fault.Unavailable if a fault is
// injected.
func (faultyTable *FaultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := faultyTable.checkFaults(ctx); err != nil {
		return nil, err
	}
	return faultyTable.table.Get(ctx, keys...)
}

// Query reads items of one partition. It returns fault.Unavailable if a fault is
// injected.
func (faultyTable *FaultyTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if err := faultyTable.checkFaults(ctx); err != nil {
		return nil, err
	}
	return faultyTable.table.Query(ctx, query)
}

// checkFaults returns an error if Down or Hang is set. With Hang it blocks until
// the context ends.
func (faultyTable *FaultyTable) checkFaults(ctx context.Context) error {
	if faultyTable.beforeCall != nil {
		faultyTable.beforeCall()
	}
	faultyTable.mutex.Lock()
	faults := faultyTable.faults
	faultyTable.mutex.Unlock()
	if faults.Hang {
		<-ctx.Done()
		return errResponseLost
	}
	if faults.Down {
		return errResponseLost
	}
	return nil
}

var errResponseLost = fault.New(fault.Config{
	Kind:    fault.Unavailable,
	Message: "the response of the table was lost",
	Remedy:  "read the items again before relying on either outcome",
	Outcome: fault.OutcomeUnknown,
})
