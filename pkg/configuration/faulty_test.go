package configuration

import (
	"context"
	"math/rand/v2"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// faultyTable injects faults: calls that fail, transactions that are applied but
// return an error, and transactions that return an error and are applied later.
// The errors of transactions have an unknown outcome.
type faultyTable struct {
	*standin.Table
	mutex  sync.Mutex
	random *rand.Rand
	// faultProbability is the probability of each fault in a call.
	faultProbability float64
	down             bool
	// delayed are the transactions that are still to be applied.
	delayed []platform.Transaction
}

func newFaultyTable(seed uint64, faultProbability float64) *faultyTable {
	return &faultyTable{Table: standin.NewTable(), random: rand.New(rand.NewPCG(seed, seed)), faultProbability: faultProbability}
}

func errTableUnreachable() error {
	return fault.New(fault.Config{Kind: fault.Unavailable, Message: "table unreachable", Remedy: "wait", Outcome: fault.OutcomeUnknown})
}

// drawFault reports whether to inject a fault. The caller must hold the mutex.
func (faultyTable *faultyTable) drawFault() bool {
	return faultyTable.down || faultyTable.random.Float64() < faultyTable.faultProbability
}

func (faultyTable *faultyTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	if len(faultyTable.delayed) > 0 && faultyTable.random.IntN(2) == 0 {
		_ = faultyTable.Table.Transact(ctx, faultyTable.delayed[0])
		faultyTable.delayed = faultyTable.delayed[1:]
	}
	if faultyTable.drawFault() {
		return errTableUnreachable()
	}
	if faultyTable.drawFault() {
		faultyTable.delayed = append(faultyTable.delayed, transaction)
		return errTableUnreachable()
	}
	err := faultyTable.Table.Transact(ctx, transaction)
	if err == nil && faultyTable.drawFault() {
		return errTableUnreachable()
	}
	return err
}

func (faultyTable *faultyTable) checkReachable() error {
	faultyTable.mutex.Lock()
	defer faultyTable.mutex.Unlock()
	if faultyTable.drawFault() {
		return errTableUnreachable()
	}
	return nil
}

func (faultyTable *faultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := faultyTable.checkReachable(); err != nil {
		return nil, err
	}
	return faultyTable.Table.Get(ctx, keys...)
}

func (faultyTable *faultyTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if err := faultyTable.checkReachable(); err != nil {
		return nil, err
	}
	return faultyTable.Table.Query(ctx, query)
}
