package budget

import (
	"context"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// faultyTable is one router's connection to a table, with fault switches.
type faultyTable struct {
	platform.Table
	mutex sync.Mutex
	// down refuses every call without applying it.
	down bool
	// loseAnswers counts transactions that are applied and reported as lost.
	loseAnswers int
	// delays counts transactions that are reported as lost and kept in transit.
	delays int
	// downAfterDelay takes the table down with the next delayed transaction.
	downAfterDelay bool
	// inTransit are transactions that arrive late or a second time.
	inTransit []platform.Transaction
	writes    int
}

func lost() error {
	return fault.New(fault.Config{Kind: fault.Unavailable, Message: "no answer", Remedy: "read back", Outcome: fault.OutcomeUnknown})
}

func (table *faultyTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.writes++
	switch {
	case table.down:
		return lost()
	case table.delays > 0:
		table.delays--
		table.down = table.downAfterDelay
		table.downAfterDelay = false
		table.inTransit = append(table.inTransit, transaction)
		return lost()
	case table.loseAnswers > 0:
		table.loseAnswers--
		table.inTransit = append(table.inTransit, transaction)
		_ = table.Table.Transact(ctx, transaction)
		return lost()
	}
	return table.Table.Transact(ctx, transaction)
}

func (table *faultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if table.isDown() {
		return nil, lost()
	}
	return table.Table.Get(ctx, keys...)
}

func (table *faultyTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if table.isDown() {
		return nil, lost()
	}
	return table.Table.Query(ctx, query)
}

func (table *faultyTable) isDown() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.down
}

// deliver lets the oldest transaction in transit arrive.
func (table *faultyTable) deliver(ctx context.Context) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if len(table.inTransit) == 0 {
		return
	}
	_ = table.Table.Transact(ctx, table.inTransit[0])
	table.inTransit = table.inTransit[1:]
}

func (table *faultyTable) heal() {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.down = false
	table.loseAnswers = 0
	table.delays = 0
	table.downAfterDelay = false
}
