package congestion

import "time"

const (
	// maxPause is how long a listener is closed at a time, so that callers that know
	// no other router get through now and then.
	maxPause = time.Second
	// minOpen is how long a listener is open between two pauses.
	minOpen = 200 * time.Millisecond
)

// Pauses decides when an overloaded router stops accepting connections. While its
// listener is closed, callers are refused before they send a request, and use
// other routers. An answer that rejects a request would not help: the request has
// already been sent over the link, and comes again as a retry. The zero value is
// an open listener. It isn't safe for concurrent use.
type Pauses struct {
	paused    bool
	changedAt time.Time
}

// Update returns whether the listener is to be closed.
func (pauses *Pauses) Update(congested bool, now time.Time) bool {
	inState := now.Sub(pauses.changedAt)
	switch {
	case pauses.paused && (!congested || inState >= maxPause):
		pauses.paused, pauses.changedAt = false, now
	case !pauses.paused && congested && inState >= minOpen:
		pauses.paused, pauses.changedAt = true, now
	}
	return pauses.paused
}
