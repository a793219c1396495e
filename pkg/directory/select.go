package directory

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// smallFleet is the size up to which callers are led to all routers.
	smallFleet = 12
	// leastRouters and leastInZone bound from below to how many they are led.
	leastRouters = 6
	leastInZone  = 2
	// headroom is how many times the present load the chosen can carry: a team
	// may send several times its usual, and some routers may be lost at once.
	headroom = 3
)

// selectMembers returns the routers that callers are led to: in a large fleet
// as few, and as strong ones, as carry the load with headroom. A budget in few
// hands serves further through a cut than one in many.
func selectMembers(members []Member) []Member {
	if len(members) <= smallFleet {
		return members
	}
	load := 0.0
	for _, member := range members {
		load += member.LoadPerSecond
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.CapacityPerSecond, a.CapacityPerSecond), strings.Compare(a.Address, b.Address))
	})
	var chosen []Member
	inZone := make(map[string]int)
	capacity := 0.0
	for _, member := range members {
		enough := len(chosen) >= leastRouters && capacity >= headroom*load
		if enough && inZone[member.Zone] >= leastInZone {
			continue
		}
		chosen = append(chosen, member)
		inZone[member.Zone]++
		capacity += member.CapacityPerSecond
	}
	return chosen
}
