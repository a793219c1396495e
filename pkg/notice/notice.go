// Package notice records what upstreams ask of a router in their answers: to send
// no new requests because they are leaving, or to send nothing for a while.
//
// A Notice is the state of one process, Register holds those of all processes, and
// ParseRetryAfter decodes the length of a pause.
package notice

import "time"

// Notice is what one process of an upstream has asked of this router.
type Notice struct {
	// LeavingSince is when the process first said that it is leaving; zero means
	// never.
	LeavingSince time.Time
	// PausedUntil is the latest end of the pauses that the process asked for; zero
	// means that it asked for none.
	PausedUntil time.Time
}

// WithLeaving returns the notice of a process that said at the given time that it is
// leaving. The first such time holds.
func (notice Notice) WithLeaving(at time.Time) Notice {
	if notice.LeavingSince.IsZero() {
		notice.LeavingSince = at
	}
	return notice
}

// WithPause returns the notice of a process that asked for a pause with the given
// end. The latest end holds.
func (notice Notice) WithPause(until time.Time) Notice {
	if until.After(notice.PausedUntil) {
		notice.PausedUntil = until
	}
	return notice
}

// IsLeaving reports whether the process said that it is leaving.
func (notice Notice) IsLeaving() bool { return !notice.LeavingSince.IsZero() }

// IsPaused reports whether nothing may be sent to the process at the given time.
func (notice Notice) IsPaused(at time.Time) bool { return at.Before(notice.PausedUntil) }
