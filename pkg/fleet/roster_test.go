package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// rosterFleet is a fleet of rosters that probe each other in rounds.
type rosterFleet struct {
	rosters []*roster
	index   map[string]int
	// cut reports whether two routers can't reach each other.
	cut func(a, b int) bool
	now time.Time
}

func newRosterFleet(count int) *rosterFleet {
	fleet := &rosterFleet{index: make(map[string]int), cut: func(int, int) bool { return false }, now: time.Unix(1000, 0)}
	for i := range count {
		name := fmt.Sprintf("router-%03d", i)
		member := Member{Incarnation: name, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 10000+i), State: Live}
		fleet.rosters = append(fleet.rosters, newRoster(member, rand.New(rand.NewPCG(uint64(i), 1))))
		fleet.index[name] = i
	}
	for _, a := range fleet.rosters {
		for _, b := range fleet.rosters {
			a.contact(b.self, fleet.now)
		}
		a.news = newNewsQueue[Member]()
	}
	return fleet
}

// round lets each router probe one other.
func (fleet *rosterFleet) round() {
	fleet.now = fleet.now.Add(defaultProbeInterval)
	for i, roster := range fleet.rosters {
		member, ok := roster.target()
		if !ok {
			continue
		}
		j := fleet.index[member.Incarnation]
		if fleet.cut(i, j) {
			roster.miss(member.Incarnation)
			continue
		}
		fleet.rosters[j].hear(roster.message(), fleet.now)
		roster.hear(fleet.rosters[j].message(), fleet.now)
	}
}

// rounds runs until the condition holds for all routers but one.
func (fleet *rosterFleet) rounds(except int, holds func(roster *roster) bool) int {
	for round := 1; round <= 1000; round++ {
		fleet.round()
		all := true
		for i, roster := range fleet.rosters {
			all = all && (i == except || holds(roster))
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

func TestLeavingSpreadsToAllRouters(t *testing.T) {
	for _, count := range []int{3, 9, 30, 90, 360} {
		fleet := newRosterFleet(count)
		fleet.rosters[0].setSelf(fleet.rosters[0].self.WithState(Leaving))
		rounds := fleet.rounds(0, func(roster *roster) bool { return roster.stateOf("router-000") == Leaving })
		t.Logf("%d routers: all know after %d probe intervals", count, rounds)
		require.Positive(t, rounds)
		require.LessOrEqual(t, rounds, 20)
	}
}

func TestLeavingVMSpreadsAndTheNewsEnds(t *testing.T) {
	fleet := newRosterFleet(30)
	fleet.rosters[4].takeVMs([]platform.VM{{Address: "10.0.0.9", Leaving: true}}, fleet.now)
	require.Positive(t, fleet.rounds(-1, func(roster *roster) bool { return listed(roster.leavingVMs, "10.0.0.9:80") }))
	for range 200 {
		fleet.round()
	}
	for _, roster := range fleet.rosters {
		require.Empty(t, roster.leavingNews.items)
	}
}

func TestUnreachableRouterBecomesSuspectEverywhereAndRecovers(t *testing.T) {
	fleet := newRosterFleet(30)
	fleet.cut = func(a, b int) bool { return a == 7 || b == 7 }
	suspected := fleet.rounds(7, func(roster *roster) bool { return roster.stateOf("router-007") == Suspect })
	t.Logf("30 routers: suspect everywhere after %d probe intervals", suspected)
	require.Positive(t, suspected)
	fleet.cut = func(int, int) bool { return false }
	require.Positive(t, fleet.rounds(-1, func(roster *roster) bool {
		return roster.self.Incarnation == "router-007" || roster.stateOf("router-007") == Live
	}))
}

// Two halves that lost each other must not talk a router that reaches both out
// of either.
func TestPartitionDoesNotSpreadToARouterThatReachesBothSides(t *testing.T) {
	fleet := newRosterFleet(11)
	const bridge = 10
	fleet.cut = func(a, b int) bool { return a != bridge && b != bridge && (a < 5) != (b < 5) }
	for range 300 {
		fleet.round()
		for incarnation, entry := range fleet.rosters[bridge].entries {
			require.Equal(t, Live, entry.member.State, incarnation)
		}
	}
	require.Equal(t, Suspect, fleet.rosters[0].stateOf("router-007"))
	require.Equal(t, Live, fleet.rosters[0].stateOf("router-003"))
}

func TestDeadStaysDeadDespiteLateNews(t *testing.T) {
	fleet := newRosterFleet(3)
	roster := fleet.rosters[0]
	late := roster.entries["router-001"].member
	roster.bury(late, fleet.now)
	late.Sequence += 5
	roster.learn(late, fleet.now)
	roster.contact(late, fleet.now)
	require.Equal(t, Dead, roster.stateOf("router-001"))
	roster.expire(fleet.now.Add(deadKept + time.Second))
	require.Equal(t, State(""), roster.stateOf("router-001"))
}

func TestBusyProfilesSpreadAndLapse(t *testing.T) {
	fleet := newRosterFleet(30)
	fleet.rosters[2].learnBusy(BusyProfile{Profile: "p", Width: 6}, fleet.now)
	knows := func(width int) func(roster *roster) bool {
		return func(roster *roster) bool { return roster.busy["p"].width == width }
	}
	require.Positive(t, fleet.rounds(-1, knows(6)))
	fleet.rosters[3].learnBusy(BusyProfile{Profile: "p", Width: 4}, fleet.now)
	require.Equal(t, 6, fleet.rosters[3].busy["p"].width)
	fleet.rosters[3].learnBusy(BusyProfile{Profile: "p", Width: 12}, fleet.now)
	require.Positive(t, fleet.rounds(-1, knows(12)))
	for _, roster := range fleet.rosters {
		roster.expire(fleet.now.Add(busyKept + time.Second))
		require.Empty(t, roster.busy)
	}
}

// BenchmarkProbe is the work of one exchange at both ends, without the network.
func BenchmarkProbe(b *testing.B) {
	for _, count := range []int{3, 30, 90, 360} {
		b.Run(fmt.Sprint("members_", count), func(b *testing.B) {
			fleet := newRosterFleet(count)
			a, c := fleet.rosters[0], fleet.rosters[1]
			b.ReportAllocs()
			for range b.N {
				c.hear(a.message(), fleet.now)
				a.hear(c.message(), fleet.now)
				_, _ = a.members(), c.members()
			}
		})
	}
}
