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
func (faultyTable *faultyTable) strikes() bool {
	return faultyTable.down || faultyTable.random.Float64() < faultyTable.share
}

func (faultyTable *faultyTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	if len(faultyTable.late) > 0 && faultyTable.random.IntN(2) == 0 {
		_ = faultyTable.Table.Transact(ctx, faultyTable.late[0])
		faultyTable.late = faultyTable.late[1:]
	}
	if faultyTable.strikes() {
		return errOutOfReach()
	}
	if faultyTable.strikes() {
		faultyTable.late = append(faultyTable.late, transaction)
		return errOutOfReach()
	}
	err := faultyTable.Table.Transact(ctx, transaction)
	if err == nil && faultyTable.strikes() {
		return errOutOfReach()
	}
	return err
}

func (faultyTable *faultyTable) reachable() error {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	if faultyTable.strikes() {
		return errOutOfReach()
	}
	return nil
}

func (faultyTable *faultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := faultyTable.reachable(); err != nil {
		return nil, err
	}
	return faultyTable.Table.Get(ctx, keys...)
}

func (faultyTable *faultyTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if err := faultyTable.reachable(); err != nil {
		return nil, err
	}
	return faultyTable.Table.Query(ctx, query)
}
