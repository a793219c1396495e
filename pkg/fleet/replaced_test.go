package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// TestReplacedRouterIsClosed checks that a dead router is found dead though its
// replacement answers at its address.
func TestReplacedRouterIsClosed(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &closer{}
	startNode(t, "a", table, network, closer)
	startAt(t, "dead", "address", table, network, closer).Close()
	replacement := startAt(t, "replacement", "address", table, network, closer)
	require.Eventually(t, func() bool { return rowVersion(t, table, deadKey("dead")) != 0 }, testWait, testTick)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("dead")) == 0 }, testWait, testTick)
	require.NotZero(t, closer.calls.Load())
	require.Zero(t, rowVersion(t, table, deadKey("replacement")))
	require.Equal(t, "replacement", replacement.Self().Incarnation)
}

// startAt starts a router at an address and waits until it has its lease.
func startAt(t *testing.T, incarnation, address string, table platform.Table, network *network, closer *closer) *Membership {
	t.Helper()
	membership := NewMembership(MembershipConfig{
		Table: table, Prober: network, LeaseDuration: testLease, ProbeInterval: testProbe,
		Self:   Member{Incarnation: incarnation, PeerAddress: address},
		OnDead: closer.close,
	})
	network.connect(membership)
	t.Cleanup(membership.Close)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey(incarnation)) != 0 }, testWait, testTick)
	return membership
}
