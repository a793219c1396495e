package evacuation

import (
	"maps"
	"slices"
	"time"
)

// state is what is known of the zones. It is immutable.
type state struct {
	// evacuated maps the evacuated zones to when the row that a restored table lacks stops
	// being awaited; zero means that the table has the row.
	evacuated map[string]time.Time
	// takenBack maps zones that are not evacuated to when they were taken back.
	takenBack map[string]time.Time
}

// withEvacuated returns the state in which the table has the zone's row. It is unchanged
// if the name is no zone's, or if MaxZones are evacuated already.
func (state state) withEvacuated(zone string) state {
	_, known := state.evacuated[zone]
	if zone == "" || len(zone) > MaxNameBytes || !known && len(state.evacuated) >= MaxZones {
		return state
	}
	state = state.withAwaited(zone, time.Time{})
	state.takenBack = maps.Clone(state.takenBack)
	delete(state.takenBack, zone)
	return state
}

// withAwaited returns the state in which the zone is evacuated, and its row is awaited
// until the given time.
func (state state) withAwaited(zone string, until time.Time) state {
	state.evacuated = cloneMap(state.evacuated)
	state.evacuated[zone] = until
	return state
}

// withTakenBack returns the state in which the zone is not evacuated. Of more than
// MaxZones that were taken back, the earliest is forgotten.
func (state state) withTakenBack(zone string, now time.Time) state {
	if _, known := state.evacuated[zone]; !known {
		return state
	}
	state.evacuated = cloneMap(state.evacuated)
	delete(state.evacuated, zone)
	state.takenBack = cloneMap(state.takenBack)
	state.takenBack[zone] = now
	if len(state.takenBack) > MaxZones {
		delete(state.takenBack, state.earliestTakenBack())
	}
	return state
}

func (state state) earliestTakenBack() string {
	return slices.MinFunc(slices.Collect(maps.Keys(state.takenBack)), func(a, b string) int {
		return state.takenBack[a].Compare(state.takenBack[b])
	})
}

// cloneMap returns a copy to which entries can be added.
func cloneMap(times map[string]time.Time) map[string]time.Time {
	if times == nil {
		return make(map[string]time.Time)
	}
	return maps.Clone(times)
}

// missingIn returns the zones that are evacuated in the other state only, in alphabetical
// order.
func missingIn(state, other state) []string {
	var zones []string
	for zone := range other.evacuated {
		if _, ok := state.evacuated[zone]; !ok {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
