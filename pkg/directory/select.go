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
	// keepFactor is that ratio up to which a router stays selected, so that the
	// selection doesn't follow each change of the load.
	keepFactor = 4.5
	// maxListedRatio limits how far the load of a router is corrected for routers that
	// join or leave the selection. It is less than the ratio of keepFactor to
	// headroomFactor, so that a mistake selects no router that would not stay selected.
	maxListedRatio = 1.2
)

// candidate is a router that callers may be directed to. It is serving if its row says
// so, and doubtful if it may have died on standby.
type candidate struct {
	Member
	serving, doubtful bool
}

// selectMembers returns the routers that callers are directed to. From a large
// fleet it selects the routers with the highest capacity, doubtful ones last, and only
// as many as carry the load with headroom: during a network partition, a prepaid budget
// that is split between few routers lasts longer than one split between many.
func selectMembers(candidates []candidate) []Member {
	if len(candidates) <= smallFleetSize {
		return members(candidates)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.doubtful && !b.doubtful:
			return 1
		case b.doubtful && !a.doubtful:
			return -1
		}
		return cmp.Or(cmp.Compare(b.CapacityPerSecond, a.CapacityPerSecond), strings.Compare(a.Address, b.Address))
	})
	required, kept := strongest(candidates, headroomFactor), strongest(candidates, keepFactor)
	return members(slices.DeleteFunc(candidates, func(candidate candidate) bool {
		stays := candidate.serving && kept[candidate.Address]
		return !required[candidate.Address] && !stays
	}))
}

// strongest returns the addresses of the first candidates that carry the load with the
// given headroom.
func strongest(candidates []candidate, headroom float64) map[string]bool {
	fleetLoad := fleetLoad(candidates)
	selected := make(map[string]bool)
	selectedInZone := make(map[string]int)
	selectedCapacity := 0.0
	for _, candidate := range candidates {
		enough := len(selected) >= minSelected && selectedCapacity >= headroom*fleetLoad
		if enough && (candidate.doubtful || selectedInZone[candidate.Zone] >= minSelectedPerZone) {
			continue
		}
		selected[candidate.Address] = true
		selectedInZone[candidate.Zone]++
		selectedCapacity += candidate.CapacityPerSecond
	}
	return selected
}

// fleetLoad returns the load of the fleet. Only the rows of serving routers count, since
// those of the others are known at different ages. If a router lists more routers than
// serve, part of its callers go to routers whose load isn't known yet; if it lists fewer,
// part of its load is about to go to routers that serve already.
func fleetLoad(candidates []candidate) float64 {
	serving, load := 0, 0.0
	for _, candidate := range candidates {
		if candidate.serving {
			serving++
		}
	}
	for _, candidate := range candidates {
		if candidate.serving {
			listedRatio := float64(cmp.Or(candidate.Listed, serving)) / float64(serving)
			load += candidate.LoadPerSecond * min(max(listedRatio, 1/maxListedRatio), maxListedRatio)
		}
	}
	return load
}

func members(candidates []candidate) []Member {
	members := make([]Member, 0, len(candidates))
	for _, candidate := range candidates {
		members = append(members, candidate.Member)
	}
	return members
}
