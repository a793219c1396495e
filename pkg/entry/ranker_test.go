package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

// testMembers returns live routers, spread evenly over the zones.
func testMembers(count, zones int) []fleet.Member {
	members := make([]fleet.Member, count)
	for i := range members {
		members[i] = fleet.Member{
			Incarnation:   fmt.Sprintf("router-%03d", i),
			CallerAddress: fmt.Sprintf("127.0.%d.%d:8080", i/250, i%250),
			Zone:          fmt.Sprintf("zone-%d", i%zones),
			State:         fleet.Live,
		}
	}
	return members
}

func TestRankPutsTheOwnZoneFirstAndLeavesOutLeavingRouters(t *testing.T) {
	members := testMembers(9, 3)
	ranker := NewRanker(RankerConfig{Members: func() []fleet.Member { return members }})
	answerBeforeLeave := ranker.Rank("warranty", "zone-1")
	require.Len(t, answerBeforeLeave.Addresses, 4)
	zoneOf := make(map[string]string)
	for _, member := range members {
		zoneOf[member.CallerAddress] = member.Zone
	}
	require.Equal(t, "zone-1", zoneOf[answerBeforeLeave.Addresses[0]])
	require.Equal(t, "zone-1", zoneOf[answerBeforeLeave.Addresses[1]])
	for i := range members {
		if members[i].CallerAddress == answerBeforeLeave.Addresses[0] {
			members[i] = members[i].WithState(fleet.Leaving)
		}
	}
	answerAfterLeave := ranker.Rank("warranty", "zone-1")
	require.NotContains(t, answerAfterLeave.Addresses, answerBeforeLeave.Addresses[0])
	require.Equal(t, answerBeforeLeave.Addresses[1], answerAfterLeave.Addresses[0])
}

// movedShare returns the fraction of profiles, from 0 to 1, whose first address
// differs between the two fleets.
func movedFraction(membersBefore, membersAfter []fleet.Member, profileCount int) float64 {
	newRanker := func(members []fleet.Member) *Ranker {
		return NewRanker(RankerConfig{Members: func() []fleet.Member { return members }})
	}
	rankerBefore, rankerAfter := newRanker(membersBefore), newRanker(membersAfter)
	moved := 0
	for i := range profileCount {
		profile := fmt.Sprintf("profile-%d", i)
		zone := fmt.Sprintf("zone-%d", i%3)
		if rankerBefore.Rank(profile, zone).Addresses[0] != rankerAfter.Rank(profile, zone).Addresses[0] {
			moved++
		}
	}
	return float64(moved) / float64(profileCount)
}

func TestARouterThatLeavesMovesOnlyItsOwnProfiles(t *testing.T) {
	const profileCount = 20000
	for _, count := range []int{9, 30, 90, 360} {
		membersBefore := testMembers(count, 3)
		membersAfter := append([]fleet.Member(nil), membersBefore...)
		membersAfter[1] = membersAfter[1].WithState(fleet.Leaving)
		fraction := movedFraction(membersBefore, membersAfter, profileCount)
		t.Logf("%d routers: %.4f of the profiles moved when one left, expected 1/%d = %.4f", count, fraction, count, 1/float64(count))
		require.InDelta(t, 1/float64(count), fraction, 0.5/float64(count))
	}
}

func TestProfilesSpreadEvenlyOverRouters(t *testing.T) {
	members := testMembers(9, 3)
	ranker := NewRanker(RankerConfig{Members: func() []fleet.Member { return members }})
	counts := make(map[string]int)
	for i := range 9000 {
		counts[ranker.Rank(fmt.Sprintf("profile-%d", i), fmt.Sprintf("zone-%d", i%3)).Addresses[0]]++
	}
	require.Len(t, counts, 9)
	for address, count := range counts {
		require.InDelta(t, 1000, count, 120, address)
	}
}

func TestLargerWidthKeepsTheFirstAddresses(t *testing.T) {
	members := testMembers(30, 3)
	width := 2
	ranker := NewRanker(RankerConfig{Members: func() []fleet.Member { return members }, Width: func(string) int { return width }})
	addressesAtWidth2 := ranker.Rank("busy", "zone-0").Addresses
	width = 6
	addressesAtWidth6 := ranker.Rank("busy", "zone-0").Addresses
	require.Len(t, addressesAtWidth6, 8)
	require.Equal(t, addressesAtWidth2[:2], addressesAtWidth6[:2])
}

func TestRankWithoutLiveRouters(t *testing.T) {
	members := []fleet.Member{{CallerAddress: "a", State: fleet.Overloaded}, {CallerAddress: "b", State: fleet.Suspect}}
	ranker := NewRanker(RankerConfig{Members: func() []fleet.Member { return members }})
	require.Equal(t, []string{"a"}, ranker.Rank("p", "").Addresses)
	members = members[1:]
	require.Empty(t, ranker.Rank("p", "").Addresses)
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{3, 9, 30, 90, 360} {
		members := testMembers(count, 14)
		ranker := NewRanker(RankerConfig{Members: func() []fleet.Member { return members }})
		b.Run(fmt.Sprint("members_", count), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				ranker.Rank("warranty", "zone-1")
			}
		})
	}
}

func ExampleRanker_Rank() {
	members := []fleet.Member{
		{Incarnation: "a", CallerAddress: "10.0.1.1:8080", Zone: "varnamo", State: fleet.Live},
		{Incarnation: "b", CallerAddress: "10.0.2.1:8080", Zone: "gislaved", State: fleet.Live},
		{Incarnation: "c", CallerAddress: "10.0.3.1:8080", Zone: "jonkoping", State: fleet.Leaving},
	}
	ranker := NewRanker(RankerConfig{Members: func() []fleet.Member { return members }})
	answer := ranker.Rank("warranty", "gislaved")
	fmt.Println(answer.Addresses, answer.LifetimeMS)
	// Output: [10.0.2.1:8080 10.0.1.1:8080] 10000
}
