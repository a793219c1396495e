package congestion

import "time"

const (
	// MaxPause is how long new callers are refused at a time, so that callers that know
	// no other router get through now and then.
	MaxPause = time.Second
	// minOpen is how long new callers are served between two pauses.
	minOpen = 200 * time.Millisecond
)

// Pauses decides when an overloaded router refuses new callers, which then use other
// routers. The zero value is outside a pause. It isn't safe for concurrent use.
type Pauses struct {
	paused    bool
	changedAt time.Time
}

// Update returns whether new callers are to be refused.
func (pauses *Pauses) Update(congested bool, now time.Time) bool {
	inState := now.Sub(pauses.changedAt)
	switch {
	case pauses.paused && (!congested || inState >= MaxPause):
		pauses.paused, pauses.changedAt = false, now
	case !pauses.paused && congested && inState >= minOpen:
		pauses.paused, pauses.changedAt = true, now
	}
	return pauses.paused
}
