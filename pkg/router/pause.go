package router

// Pauses of a server while the router is overloaded.
//
// During a pause, the server refuses the first request of a connection as soon as its
// header is read, and drops the rest, so that its caller uses another router. It goes on
// accepting connections: closing the listening socket would reset those that are being
// opened or wait to be accepted, with the requests that they carry.

import (
	"sync/atomic"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/congestion"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// pauseRetryAfter is the Retry-After value during a pause. It is short, since other
// routers may serve the request at once.
const pauseRetryAfter = 50 * time.Millisecond

// errPaused refuses a request during a pause.
var errPaused = fault.New(fault.Config{
	Kind:       fault.Unavailable,
	Message:    "this router is overloaded",
	Remedy:     "send the request to another router",
	RetryAfter: pauseRetryAfter,
})

// Pause is the begin or the end of a time in which a server refuses new callers.
type Pause struct {
	// Begins is false at the end.
	Begins bool
	// Refused is the number of requests that were refused in the pause that ends.
	Refused int64
}

// pauser decides when a server pauses.
type pauser struct {
	overloaded func() bool
	onChange   func(Pause)
	pauses     congestion.Pauses
	paused     atomic.Bool
	refused    atomic.Int64
}

func newPauser(overloaded func() bool, onChange func(Pause)) *pauser {
	return &pauser{overloaded: overloaded, onChange: onChange}
}

// update begins or ends a pause. It must not be called concurrently.
func (pauser *pauser) update(now time.Time) {
	paused := pauser.pauses.Update(pauser.overloaded(), now)
	if pauser.paused.Swap(paused) != paused {
		pauser.onChange(Pause{Begins: paused, Refused: pauser.refused.Swap(0)})
	}
}
