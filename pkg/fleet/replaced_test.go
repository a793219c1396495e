package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Guards against a dead router that is never declared dead because a new incarnation
// answers probes at its address, as after a restart.
func TestDeadRouterIsClosedThoughReplacementAnswers(t *testing.T) {
	table, network, closer := standin.NewTable(), newNetwork(), &flakyCloser{}
	startNode(t, "a", table, network, closer)
	startMembershipAt(t, "dead", "address", table, network, closer).Close()
	replacement := startMembershipAt(t, "replacement", "address", table, network, closer)
	require.Eventually(t, func() bool { return rowVersion(t, table, deadKey("dead")) != 0 }, testTimeout, testPollInterval)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey("dead")) == 0 }, testTimeout, testPollInterval)
	require.NotZero(t, closer.calls.Load())
	require.Zero(t, rowVersion(t, table, deadKey("replacement")))
	require.Equal(t, "replacement", replacement.Self().Incarnation)
}

// startMembershipAt starts a membership with a peer address and waits until its
// lease row is written.
func startMembershipAt(t *testing.T, incarnation, address string, table platform.Table, network *network, closer *flakyCloser) *Membership {
	t.Helper()
	membership := NewMembership(MembershipConfig{
		Table: table, Prober: network, LeaseDuration: testLeaseDuration, ProbeInterval: testProbeInterval,
		Self:   Member{Incarnation: incarnation, PeerAddress: address},
		OnDead: closer.close,
	})
	network.connect(membership)
	t.Cleanup(membership.Close)
	require.Eventually(t, func() bool { return rowVersion(t, table, leaseKey(incarnation)) != 0 }, testTimeout, testPollInterval)
	return membership
}
