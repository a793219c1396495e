package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// rosterFleet simulates a fleet of rosters that probe each other in rounds.
type rosterFleet struct {
	rosters []*roster
	index   map[string]int
	// partitioned reports whether two routers can't reach each other.
	partitioned func(a, b int) bool
	now         time.Time
}

func newRosterFleet(count int) *rosterFleet {
	fleet := &rosterFleet{index: make(map[string]int), partitioned: func(int, int) bool { return false }, now: time.Unix(1000, 0)}
	for i := range count {
		name := fmt.Sprintf("router-%03d", i)
		member := Member{Incarnation: name, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 10000+i), State: Live}
		fleet.rosters = append(fleet.rosters, newRoster(member, rand.New(rand.NewPCG(uint64(i), 1))))
		fleet.index[name] = i
	}
	for _, a := range fleet.rosters {
		for _, b := range fleet.rosters {
			a.recordContact(b.self, fleet.now)
		}
		a.memberGossip = newGossipQueue[Member]()
	}
	return fleet
}

// probeOnce lets each router probe one other router.
func (fleet *rosterFleet) probeOnce() {
	fleet.now = fleet.now.Add(defaultProbeInterval)
	for i, roster := range fleet.rosters {
		member, ok := roster.nextProbeTarget()
		if !ok {
			continue
		}
		j := fleet.index[member.Incarnation]
		if fleet.partitioned(i, j) {
			roster.recordMissedProbe(member.Incarnation)
			continue
		}
		fleet.rosters[j].receive(roster.buildMessage(), fleet.now)
		roster.receive(fleet.rosters[j].buildMessage(), fleet.now)
	}
}

// roundsUntil runs probe rounds until the condition holds for all routers but the
// excluded one (-1 for none). It returns the number of rounds, or -1 after 1000.
func (fleet *rosterFleet) roundsUntil(excluded int, condition func(roster *roster) bool) int {
	for round := 1; round <= 1000; round++ {
		fleet.probeOnce()
		all := true
		for i, roster := range fleet.rosters {
			all = all && (i == excluded || condition(roster))
		}
		if all {
			return round
		}
	}
	return -1
}

func (roster *roster) stateOf(incarnation string) State {
	entry, ok := roster.entries[incarnation]
	if !ok {
		return ""
	}
	return entry.member.State
}

func TestLeavingStateReachesAllRouters(t *testing.T) {
	for _, count := range []int{3, 9, 30, 90, 360} {
		fleet := newRosterFleet(count)
		fleet.rosters[0].setSelf(fleet.rosters[0].self.WithState(Leaving))
		rounds := fleet.roundsUntil(0, func(roster *roster) bool { return roster.stateOf("router-000") == Leaving })
		t.Logf("%d routers: all informed after %d probe intervals", count, rounds)
		require.Positive(t, rounds)
		require.LessOrEqual(t, rounds, 20)
	}
}

func TestLeavingVMReachesAllRoutersAndGossipEnds(t *testing.T) {
	fleet := newRosterFleet(30)
	fleet.rosters[4].applyVMList([]platform.VM{{Address: "10.0.0.9", Leaving: true}}, fleet.now)
	require.Positive(t, fleet.roundsUntil(-1, func(roster *roster) bool { return containsAddress(roster.leavingVMs, "10.0.0.9:80") }))
	for range 200 {
		fleet.probeOnce()
	}
	for _, roster := range fleet.rosters {
		require.Empty(t, roster.leavingVMGossip.items)
	}
}

func TestUnreachableRouterBecomesSuspectEverywhereAndRecovers(t *testing.T) {
	fleet := newRosterFleet(30)
	fleet.partitioned = func(a, b int) bool { return a == 7 || b == 7 }
	roundsToSuspect := fleet.roundsUntil(7, func(roster *roster) bool { return roster.stateOf("router-007") == Suspect })
	t.Logf("30 routers: suspect everywhere after %d probe intervals", roundsToSuspect)
	require.Positive(t, roundsToSuspect)
	fleet.partitioned = func(int, int) bool { return false }
	require.Positive(t, fleet.roundsUntil(-1, func(roster *roster) bool {
		return roster.self.Incarnation == "router-007" || roster.stateOf("router-007") == Live
	}))
}

// Guards against gossip that makes a router suspect members it can reach itself:
// two halves of the fleet lose contact and suspect each other, while one router
// still reaches both.
func TestRouterReachingBothSidesOfPartitionSuspectsNoMember(t *testing.T) {
	fleet := newRosterFleet(11)
	const bridge = 10
	fleet.partitioned = func(a, b int) bool { return a != bridge && b != bridge && (a < 5) != (b < 5) }
	for range 300 {
		fleet.probeOnce()
		for incarnation, entry := range fleet.rosters[bridge].entries {
			require.Equal(t, Live, entry.member.State, incarnation)
		}
	}
	require.Equal(t, Suspect, fleet.rosters[0].stateOf("router-007"))
	require.Equal(t, Live, fleet.rosters[0].stateOf("router-003"))
}

func TestLateGossipDoesNotReviveDeadMember(t *testing.T) {
	fleet := newRosterFleet(3)
	roster := fleet.rosters[0]
	lateUpdate := roster.entries["router-001"].member
	roster.declareDead(lateUpdate, fleet.now)
	lateUpdate.Sequence += 5
	roster.applyGossip(lateUpdate, fleet.now)
	roster.recordContact(lateUpdate, fleet.now)
	require.Equal(t, Dead, roster.stateOf("router-001"))
	roster.expire(fleet.now.Add(deadRetention + time.Second))
	require.Equal(t, State(""), roster.stateOf("router-001"))
}

func TestBusyProfilesReachAllRoutersAndExpire(t *testing.T) {
	fleet := newRosterFleet(30)
	fleet.rosters[2].recordBusy(BusyProfile{Profile: "p", Width: 6}, fleet.now)
	hasWidth := func(width int) func(roster *roster) bool {
		return func(roster *roster) bool { return roster.busyProfiles["p"].width == width }
	}
	require.Positive(t, fleet.roundsUntil(-1, hasWidth(6)))
	fleet.rosters[3].recordBusy(BusyProfile{Profile: "p", Width: 4}, fleet.now)
	require.Equal(t, 6, fleet.rosters[3].busyProfiles["p"].width)
	fleet.rosters[3].recordBusy(BusyProfile{Profile: "p", Width: 12}, fleet.now)
	require.Positive(t, fleet.roundsUntil(-1, hasWidth(12)))
	for _, roster := range fleet.rosters {
		roster.expire(fleet.now.Add(busyRetention + time.Second))
		require.Empty(t, roster.busyProfiles)
	}
}

// BenchmarkProbe measures the work of one probe at both ends, without the network.
func BenchmarkProbe(b *testing.B) {
	for _, count := range []int{3, 30, 90, 360} {
		b.Run(fmt.Sprint("members_", count), func(b *testing.B) {
			fleet := newRosterFleet(count)
			a, c := fleet.rosters[0], fleet.rosters[1]
			b.ReportAllocs()
			for range b.N {
				c.receive(a.buildMessage(), fleet.now)
				a.receive(c.buildMessage(), fleet.now)
				_, _ = a.members(), c.members()
			}
		})
	}
}
