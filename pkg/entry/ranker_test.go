package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

// testMembers returns live routers spread over zones.
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
	before := ranker.Rank("warranty", "zone-1")
	require.Len(t, before.Addresses, 4)
	zoneOf := make(map[string]string)
	for _, member := range members {
		zoneOf[member.CallerAddress] = member.Zone
	}
	require.Equal(t, "zone-1", zoneOf[before.Addresses[0]])
	require.Equal(t, "zone-1", zoneOf[before.Addresses[1]])
	for i := range members {
		if members[i].CallerAddress == before.Addresses[0] {
			members[i] = members[i].WithState(fleet.Leaving)
		}
	}
	after := ranker.Rank("warranty", "zone-1")
	require.NotContains(t, after.Addresses, before.Addresses[0])
	require.Equal(t, before.Addresses[1], after.Addresses[0])
}
