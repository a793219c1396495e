package configuration

import (
	"context"
	"math/rand/v2"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// faultyTable fails calls, loses answers of transactions that were applied, and
// applies others late, after their callers were told that nothing is known.
type faultyTable struct {
	*standin.Table
	mutex  sync.Mutex
	random *rand.Rand
	// share of calls that suffer each fault.
	share float64
	down  bool
	late  []platform.Transaction
}

func newFaultyTable(seed uint64, share float64) *faultyTable {
	return &faultyTable{Table: standin.NewTable(), random: rand.New(rand.NewPCG(seed, seed)), share: share}
}

func errOutOfReach() error {
	return fault.New(fault.Config{Kind: fault.Unavailable, Message: "table out of reach", Remedy: "wait", Outcome: fault.OutcomeUnknown})
}

// strikes draws a fault; the mutex is held.
func (table *faultyTable) strikes() bool { return table.down || table.random.Float64() < table.share }

func (table *faultyTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if len(table.late) > 0 && table.random.IntN(2) == 0 {
		_ = table.Table.Transact(ctx, table.late[0])
		table.late = table.late[1:]
	}
	if table.strikes() {
		return errOutOfReach()
	}
	if table.strikes() {
		table.late = append(table.late, transaction)
		return errOutOfReach()
	}
	err := table.Table.Transact(ctx, transaction)
	if err == nil && table.strikes() {
		return errOutOfReach()
	}
	return err
}

func (table *faultyTable) reachable() error {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.strikes() {
		return errOutOfReach()
	}
	return nil
}

func (table *faultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := table.reachable(); err != nil {
		return nil, err
	}
	return table.Table.Get(ctx, keys...)
}

func (table *faultyTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if err := table.reachable(); err != nil {
		return nil, err
	}
	return table.Table.Query(ctx, query)
}
