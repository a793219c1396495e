package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// network is an in-process Prober that connects memberships by peer address.
type network struct {
	mutex sync.Mutex
	nodes map[string]*Membership
}

func newNetwork() *network { return &network{nodes: make(map[string]*Membership)} }

// Probe delivers the message to the membership at the address.
func (network *network) Probe(_ context.Context, address string, message Message) (Message, error) {
	network.mutex.Lock()
	node, ok := network.nodes[address]
	network.mutex.Unlock()
	if !ok {
		return Message{}, fault.New(fault.Config{Kind: fault.Unavailable, Message: "unreachable"})
	}
	return node.Receive(message), nil
}

func (network *network) connect(membership *Membership) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.nodes[membership.Self().PeerAddress] = membership
}

func (network *network) disconnect(address string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.nodes, address)
}

func TestMembershipDiscoversPeersAndClosesDeadRouters(t *testing.T) {
	table := standin.NewTable()
	network := newNetwork()
	closedIncarnations := make(chan string, 16)
	start := func(name string) *Membership {
		membership := NewMembership(MembershipConfig{
			Table: table, Prober: network, LeaseDuration: 90 * time.Millisecond, ProbeInterval: 5 * time.Millisecond,
			Self:   Member{Incarnation: name, PeerAddress: name, Zone: "z"},
			OnDead: func(_ context.Context, incarnation string) error { closedIncarnations <- incarnation; return nil },
		})
		network.connect(membership)
		t.Cleanup(membership.Close)
		return membership
	}
	a, b, c := start("a"), start("b"), start("c")
	hasState := func(membership *Membership, name string, state State) func() bool {
		return func() bool {
			member, ok := membership.findMember(name)
			return ok && member.State == state
		}
	}
	require.Eventually(t, hasState(a, "b", Live), 10*time.Second, time.Millisecond)
	require.Eventually(t, hasState(b, "c", Live), 10*time.Second, time.Millisecond)
	require.NoError(t, b.Leave(context.Background()))
	require.Eventually(t, hasState(a, "b", Leaving), 10*time.Second, time.Millisecond)

	network.disconnect("c")
	c.Close()
	require.Equal(t, "c", <-closedIncarnations)
	require.Eventually(t, func() bool { _, ok := a.findMember("c"); return !ok }, 10*time.Second, time.Millisecond)
}
