package warmup

import (
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// handoverTime is for how long a router must have been a holder of an engine before it
// sends to it while it is cold. By then, all routers that reach the table have read the
// view in which the engine moved: a router counts as connected if two of its reads are
// at most 2.5 s apart. Without it, routers that start together would each believe for
// a moment that they are alone.
const handoverTime = 3 * time.Second

// maxServing is the number of serving routers that is assumed while the fleet isn't
// known: callers are told of at most as many.
const maxServing = 64

// View is a router's view of the fleet.
type View struct {
	// Self is the name of this router, Serving the names of the routers that callers
	// are directed to.
	Self    string
	Serving []string
	// Known is set once the whole fleet has been read.
	Known bool
}

// fleet is a View prepared for the assignment of engines.
type fleet struct {
	names     []string
	hashes    []uint64
	selfHash  uint64
	isServing bool
	// changedAt is when the view last became another one.
	changedAt time.Time
}

// withView returns the fleet of a view, and whether it is another one.
func (fleet fleet) withView(view View, now time.Time) (fleet, bool) {
	var names []string
	if view.Known {
		names = slices.Sorted(slices.Values(view.Serving))
	}
	isServing := slices.Contains(names, view.Self)
	fleet.selfHash = rendezvous.Hash(view.Self)
	if isServing == fleet.isServing && slices.Equal(names, fleet.names) {
		return fleet, false
	}
	fleet.names, fleet.isServing, fleet.changedAt = names, isServing, now
	fleet.hashes = make([]uint64, 0, len(names))
	for _, name := range names {
		fleet.hashes = append(fleet.hashes, rendezvous.Hash(name))
	}
	return fleet, true
}

// rampRouters returns the number of routers among which the ramp is divided.
func (fleet fleet) rampRouters() int {
	if len(fleet.names) == 0 {
		return maxServing
	}
	return len(fleet.names)
}

// holds reports whether this router is one of the count holders of an engine: those
// serving routers whose scores for it are the highest.
func (fleet fleet) holds(engineHash uint64, count int) bool {
	if !fleet.isServing {
		return false
	}
	own, higher := rendezvous.Score(engineHash, fleet.selfHash), 0
	for _, hash := range fleet.hashes {
		if rendezvous.Score(engineHash, hash) > own {
			higher++
		}
	}
	return higher < count
}
