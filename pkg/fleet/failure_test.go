package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// The durations of these tests are short; no verdict depends on them.
const (
	testLease = 60 * time.Millisecond
	testProbe = 5 * time.Millisecond
	testWait  = 20 * time.Second
	testTick  = time.Millisecond
)

// gateTable is a table that one router can lose sight of.
type gateTable struct {
	platform.Table
	closed atomic.Bool
	failed atomic.Int64
}

func (table *gateTable) check() error {
	if !table.closed.Load() {
		return nil
	}
	table.failed.Add(1)
	return fault.New(fault.Config{Kind: fault.Unavailable, Message: "table out of reach"})
}

func (table *gateTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := table.check(); err != nil {
		return err
	}
	return table.Table.Transact(ctx, transaction)
}

func (table *gateTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := table.check(); err != nil {
		return nil, err
	}
	return table.Table.Get(ctx, keys...)
}

// cutProber is the network as one router sees it.
type cutProber struct {
	*network
	cut atomic.Bool
}

func (prober *cutProber) Probe(ctx context.Context, address string, message Message) (Message, error) {
	if prober.cut.Load() {
		return Message{}, fault.New(fault.Config{Kind: fault.Unavailable, Message: "unreachable"})
	}
	return prober.network.Probe(ctx, address, message)
}

// testNode is one router with what can fail around it.
type testNode struct {
	*Membership
	table  *gateTable
	prober *cutProber
	fenced atomic.Int64
}

// closer closes what dead routers held; the first tries fail.
type closer struct {
	calls, failures atomic.Int64
}

func (closer *closer) close(context.Context, string) error {
	if closer.calls.Add(1) <= closer.failures.Load() {
		return fault.New(fault.Config{Kind: fault.Unavailable, Message: "ledger out of reach"})
	}
	return nil
}

func startNode(t *testing.T, name string, table platform.Table, network *network, closer *closer) *testNode {
	t.Helper()
	node := &testNode{table: &gateTable{Table: table}, prober: &cutProber{network: network}}
	node.Membership = NewMembership(MembershipConfig{
		Table: node.table, Prober: node.prober, LeaseDuration: testLease, ProbeInterval: testProbe,
		Self:     Member{Incarnation: name, PeerAddress: name},
		OnDead:   closer.close,
		OnFenced: func() { node.fenced.Add(1) },
	})
	network.connect(node.Membership)
	t.Cleanup(node.Close)
	return node
}

func rowVersion(t *testing.T, table platform.Table, key platform.Key) uint64 {
	t.Helper()
	items, err := table.Get(context.Background(), key)
	require.NoError(t, err)
	return items[0].Version
}

func TestRouterThatAnswersIsNotDeadWithoutTheTable(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &closer{}
	a := startNode(t, "a", table, network, closer)
	b := startNode(t, "b", table, network, closer)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) != 0 }, testWait, testTick)
	require.Eventually(t, func() bool { _, ok := a.find("b"); return ok }, testWait, testTick)
	b.table.closed.Store(true)
	before := b.table.failed.Load()
	require.Eventually(t, func() bool { return b.table.failed.Load() > before+20 }, testWait, testTick)
	require.Zero(t, closer.calls.Load())
	b.table.closed.Store(false)
	version := rowVersion(t, table, leaseKey("b"))
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) > version }, testWait, testTick)
	require.Zero(t, b.fenced.Load())
}

func TestRouterCutOffFromAllIsClosedAndFencedWhenItReturns(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &closer{}
	closer.failures.Store(2)
	a := startNode(t, "a", table, network, closer)
	b := startNode(t, "b", table, network, closer)
	require.Eventually(t, func() bool { _, ok := a.find("b"); return ok }, testWait, testTick)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) != 0 }, testWait, testTick)
	b.table.closed.Store(true)
	b.prober.cut.Store(true)
	network.disconnect("b")
	require.Eventually(t, func() bool { return rowVersion(t, table, deadKey("b")) != 0 }, testWait, testTick)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) == 0 }, testWait, testTick)
	require.GreaterOrEqual(t, closer.calls.Load(), int64(3), "two failures are tried again")
	require.Zero(t, b.fenced.Load())

	b.table.closed.Store(false)
	require.Eventually(t, func() bool { return b.fenced.Load() == 1 }, testWait, testTick)
	require.Eventually(t, func() bool { return b.Self().State == Dead }, testWait, testTick)
	require.Zero(t, rowVersion(t, table, leaseKey("b")))
}

func TestOrderlyEndLeavesNothingToClose(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &closer{}
	a := startNode(t, "a", table, network, closer)
	b := startNode(t, "b", table, network, closer)
	require.Eventually(t, func() bool { _, ok := a.find("b"); return ok }, testWait, testTick)
	require.NoError(t, b.Leave(context.Background()))
	require.NoError(t, b.Deregister(context.Background()))
	network.disconnect("b")
	require.Eventually(t, func() bool { _, ok := a.find("b"); return !ok }, testWait, testTick)
	require.Zero(t, rowVersion(t, table, leaseKey("b")))
	require.Zero(t, rowVersion(t, table, deadKey("b")))
	require.Zero(t, closer.calls.Load())
}
