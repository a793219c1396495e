package router

// Reports of requests whose connection was closed before their answer was complete.

import (
	"context"
	"errors"
	"net/http"
)

// UnansweredReason is why a request got no complete answer.
type UnansweredReason string

// Reasons for requests without a complete answer.
const (
	// UnansweredCallerLeft means that the caller closed the connection.
	UnansweredCallerLeft UnansweredReason = "caller_left"
	// UnansweredAborted means that the handler aborted the answer that it had begun.
	UnansweredAborted UnansweredReason = "aborted"
	// UnansweredPanic means that the handler failed.
	UnansweredPanic UnansweredReason = "panic"
	// UnansweredStopped means that the server stopped before the answer was complete.
	UnansweredStopped UnansweredReason = "stopped"
	// UnansweredUnsent means that the caller had not read the answer at the write
	// deadline.
	UnansweredUnsent UnansweredReason = "unsent"
	// UnansweredClosing means that the request came after the last answer of its
	// connection, which had said so.
	UnansweredClosing UnansweredReason = "closing"
	// UnansweredClosed means that the server closed the connection before the request
	// was answered, with the cause in Err.
	UnansweredClosed UnansweredReason = "closed"
	// UnansweredUnread means that the server closed the connection before all of the
	// request was read, for example since it exceeded a limit.
	UnansweredUnread UnansweredReason = "unread"
)

// Unanswered describes a request that got no complete answer.
type Unanswered struct {
	Reason UnansweredReason
	// Caller is the caller's address.
	Caller string
	// Request is nil if it was not read completely.
	Request *http.Request
	// Err is the cause; nil if the reason says all.
	Err error
	// Connection describes the request's connection.
	Connection ConnectionEnd
}

func ignoreUnanswered(Unanswered) {}

// reasonAfterPanic returns why the answer of a handler that panicked is incomplete.
func reasonAfterPanic(ctx context.Context, cause any) UnansweredReason {
	err, ok := cause.(error)
	switch {
	case errors.Is(context.Cause(ctx), errCallerDisconnected):
		return UnansweredCallerLeft
	case errors.Is(context.Cause(ctx), errDrainTimeout):
		return UnansweredStopped
	case ok && errors.Is(err, http.ErrAbortHandler):
		return UnansweredAborted
	default:
		return UnansweredPanic
	}
}
