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

// These durations are short so that the tests run fast; no assertion depends on them.
const (
	testLeaseDuration = 60 * time.Millisecond
	testProbeInterval = 5 * time.Millisecond
	testTimeout       = 20 * time.Second
	testPollInterval  = time.Millisecond
)

// failableTable is a table that can be made unavailable to one router.
type failableTable struct {
	platform.Table
	unavailable atomic.Bool
	failedCalls atomic.Int64
}

func (table *failableTable) check() error {
	if !table.unavailable.Load() {
		return nil
	}
	table.failedCalls.Add(1)
	return fault.New(fault.Config{Kind: fault.Unavailable, Message: "table unavailable"})
}

func (table *failableTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := table.check(); err != nil {
		return err
	}
	return table.Table.Transact(ctx, transaction)
}

func (table *failableTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := table.check(); err != nil {
		return nil, err
	}
	return table.Table.Get(ctx, keys...)
}

// partitionableProber is the network of one router, which can be partitioned off
// from all others.
type partitionableProber struct {
	*network
	partitioned atomic.Bool
}

func (prober *partitionableProber) Probe(ctx context.Context, address string, message Message) (Message, error) {
	if prober.partitioned.Load() {
		return Message{}, fault.New(fault.Config{Kind: fault.Unavailable, Message: "unreachable"})
	}
	return prober.network.Probe(ctx, address, message)
}

// testNode is a membership with its own table and network, which can be made to
// fail.
type testNode struct {
	*Membership
	table       *failableTable
	prober      *partitionableProber
	fencedCalls atomic.Int64
}

// flakyCloser implements OnDead; its first initialFailures calls fail.
type flakyCloser struct {
	calls, initialFailures atomic.Int64
}

func (closer *flakyCloser) close(context.Context, string) error {
	if closer.calls.Add(1) <= closer.initialFailures.Load() {
		return fault.New(fault.Config{Kind: fault.Unavailable, Message: "ledger unavailable"})
	}
	return nil
}

func startNode(t *testing.T, name string, table platform.Table, network *network, closer *flakyCloser) *testNode {
	t.Helper()
	node := &testNode{table: &failableTable{Table: table}, prober: &partitionableProber{network: network}}
	node.Membership = NewMembership(MembershipConfig{
		Table: node.table, Prober: node.prober, LeaseDuration: testLeaseDuration, ProbeInterval: testProbeInterval,
		Self:     Member{Incarnation: name, PeerAddress: name},
		OnDead:   closer.close,
		OnFenced: func() { node.fencedCalls.Add(1) },
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

// Guards against declaring a router dead because it can't reach the table, while
// it still answers probes.
func TestRouterAnsweringProbesIsNotDeclaredDeadDuringTableOutage(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &flakyCloser{}
	a := startNode(t, "a", table, network, closer)
	b := startNode(t, "b", table, network, closer)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) != 0 }, testTimeout, testPollInterval)
	require.Eventually(t, func() bool { _, ok := a.findMember("b"); return ok }, testTimeout, testPollInterval)
	b.table.unavailable.Store(true)
	failedBefore := b.table.failedCalls.Load()
	require.Eventually(t, func() bool { return b.table.failedCalls.Load() > failedBefore+20 }, testTimeout, testPollInterval)
	require.Zero(t, closer.calls.Load())
	b.table.unavailable.Store(false)
	version := rowVersion(t, table, leaseKey("b"))
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) > version }, testTimeout, testPollInterval)
	require.Zero(t, b.fencedCalls.Load())
}

// Guards against a lease that is never closed, or renewed after it was closed, when
// its router reaches neither the table nor any peer: the others must declare the
// router dead, even if OnDead fails twice, and it must be fenced when it returns.
func TestPartitionedRouterIsDeclaredDeadAndFencedOnReturn(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &flakyCloser{}
	closer.initialFailures.Store(2)
	a := startNode(t, "a", table, network, closer)
	b := startNode(t, "b", table, network, closer)
	require.Eventually(t, func() bool { _, ok := a.findMember("b"); return ok }, testTimeout, testPollInterval)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) != 0 }, testTimeout, testPollInterval)
	b.table.unavailable.Store(true)
	b.prober.partitioned.Store(true)
	network.disconnect("b")
	require.Eventually(t, func() bool { return rowVersion(t, table, deadKey("b")) != 0 }, testTimeout, testPollInterval)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("b")) == 0 }, testTimeout, testPollInterval)
	require.GreaterOrEqual(t, closer.calls.Load(), int64(3), "retries after two failures")
	require.Zero(t, b.fencedCalls.Load())

	b.table.unavailable.Store(false)
	require.Eventually(t, func() bool { return b.fencedCalls.Load() == 1 }, testTimeout, testPollInterval)
	require.Eventually(t, func() bool { return b.Self().State == Dead }, testTimeout, testPollInterval)
	require.Zero(t, rowVersion(t, table, leaseKey("b")))
}

// Guards against calls of OnDead for an incarnation that deregistered itself.
func TestDeregisteredRouterIsNotClosedByOthers(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &flakyCloser{}
	a := startNode(t, "a", table, network, closer)
	b := startNode(t, "b", table, network, closer)
	require.Eventually(t, func() bool { _, ok := a.findMember("b"); return ok }, testTimeout, testPollInterval)
	require.NoError(t, b.Leave(context.Background()))
	require.NoError(t, b.Deregister(context.Background()))
	network.disconnect("b")
	require.Eventually(t, func() bool { _, ok := a.findMember("b"); return !ok }, testTimeout, testPollInterval)
	require.Zero(t, rowVersion(t, table, leaseKey("b")))
	require.Zero(t, rowVersion(t, table, deadKey("b")))
	require.Zero(t, closer.calls.Load())
}
