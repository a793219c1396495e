package directory

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// smallFleetSize is the fleet size up to which callers are directed to all
	// routers.
	smallFleetSize = 12
	// minSelected and minSelectedPerZone are the minimum numbers of selected
	// routers.
	minSelected        = 6
	minSelectedPerZone = 2
	// headroomFactor is the minimum ratio of the selected routers' capacity to
	// the current load of the fleet: a team may send several times its usual
	// load, and several routers may fail at the same time.
	headroomFactor = 3
)

// selectMembers returns the routers that callers are directed to. From a large
// fleet it selects the routers with the highest capacity, and only as many as
// carry the load with headroom: during a network partition, a prepaid budget
// that is split between few routers lasts longer than one split between many.
func selectMembers(members []Member) []Member {
	if len(members) <= smallFleetSize {
		return members
	}
	fleetLoad := 0.0
	for _, member := range members {
		fleetLoad += member.LoadPerSecond
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.CapacityPerSecond, a.CapacityPerSecond), strings.Compare(a.Address, b.Address))
	})
	var selected []Member
	selectedInZone := make(map[string]int)
	selectedCapacity := 0.0
	for _, member := range members {
		enough := len(selected) >= minSelected && selectedCapacity >= headroomFactor*fleetLoad
		if enough && selectedInZone[member.Zone] >= minSelectedPerZone {
			continue
		}
		selected = append(selected, member)
		selectedInZone[member.Zone]++
		selectedCapacity += member.CapacityPerSecond
	}
	return selected
}
