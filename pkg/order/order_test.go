package order

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// slowTable lets time pass after each write.
type slowTable struct {
	platform.Table
	now   time.Time
	delay time.Duration
}

func (table *slowTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	err := table.Table.Transact(ctx, transaction)
	table.now = table.now.Add(table.delay)
	return err
}

func (table *slowTable) clock() time.Time { return table.now }

// recordingEngine keeps the orders that it was sent.
type recordingEngine struct {
	state  State
	orders []Order
}

func (engine *recordingEngine) State(context.Context, string) (State, error) {
	return engine.state, nil
}

func (engine *recordingEngine) Order(_ context.Context, _ string, order Order) error {
	engine.orders = append(engine.orders, order)
	engine.state = State{Target: order.Target, Fence: order.Fence}
	return nil
}

func TestLeaseTimeIsCountedFromBeforeTheWrite(t *testing.T) {
	for _, checksFencing := range []bool{false, true} {
		table := &slowTable{Table: standin.NewTable(), now: time.Unix(1000, 0), delay: testLease - testTimeout}
		engine := &recordingEngine{}
		orderer := newOrderer(Config{Table: table, Incarnation: "a", Engine: engine, LeaseDuration: testLease, OrderTimeout: testTimeout, Clock: table.clock})
		upstream := configuration.Upstream{Name: "u", Address: testAddress, Model: "m", ChecksFencing: checksFencing}
		task := task{orderer: orderer, upstream: upstream, revision: 1}
		status := task.run(context.Background())
		if checksFencing {
			require.Len(t, engine.orders, 1)
			require.Empty(t, status.Reason)
			continue
		}
		require.Empty(t, engine.orders)
		require.Contains(t, status.Reason, "too little of the lease")
	}
}

func TestLoadsAreBoundedBySlotsUntilTheyAreDone(t *testing.T) {
	ctx := context.Background()
	table := standin.NewTable()
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	node := func(self string) *slots {
		return newSlots(&leaser{table: table, partition: partitionSlot, self: self, duration: testLease, clock: clock}, 2)
	}
	a, b := node("a"), node("b")
	require.NoError(t, a.take(ctx, "u1"))
	require.NoError(t, b.take(ctx, "u2"))
	require.True(t, fault.Is(b.take(ctx, "u3"), fault.Overloaded))
	a.free(ctx, "u1")
	require.NoError(t, b.take(ctx, "u3"))
	require.True(t, fault.Is(a.take(ctx, "u4"), fault.Overloaded))

	// The slots of a router that is gone lapse; those that are kept don't.
	now = now.Add(testLease / 2)
	b.keep(ctx, "u2")
	require.True(t, fault.Is(a.take(ctx, "u4"), fault.Overloaded))
	now = now.Add(testLease / 2)
	b.keep(ctx, "u2")
	require.NoError(t, a.take(ctx, "u4"), "the slot of u3 was not kept")
	require.True(t, fault.Is(a.take(ctx, "u5"), fault.Overloaded))
}

func TestHTTPEngineSpeaksToTheStandIn(t *testing.T) {
	ctx := context.Background()
	stand, err := standin.NewEngine(standin.EngineConfig{Model: "old"})
	require.NoError(t, err)
	defer func() { require.NoError(t, stand.Close()) }()
	engine := NewHTTPEngine()
	defer engine.Close()
	order := Order{Fence: 3, Target: Target{Model: "new", Version: "2", Role: "prefill"}}
	require.NoError(t, engine.Order(ctx, stand.Address(), order))
	state, err := engine.State(ctx, stand.Address())
	require.NoError(t, err)
	require.Equal(t, State{Target: order.Target, Fence: 3}, state)
	order.Fence = 2
	require.True(t, fault.Is(engine.Order(ctx, stand.Address(), order), fault.Conflict))
	_, err = engine.State(ctx, "127.0.0.1:1")
	require.True(t, fault.Is(err, fault.Unavailable))
}
