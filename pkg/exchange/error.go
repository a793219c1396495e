package exchange

import (
	"errors"
	"fmt"
)

// Reason says why an exchange failed.
type Reason string

// The reasons of failures.
const (
	// ReasonConnect means that no connection could be had.
	ReasonConnect Reason = "connect"
	// ReasonClosed means that the connection broke before the answer's head.
	ReasonClosed Reason = "closed"
	// ReasonStalled means that the upstream was silent for too long.
	ReasonStalled Reason = "stalled"
	// ReasonTruncated means that the answer ended without its end marker.
	ReasonTruncated Reason = "truncated"
	// ReasonDisorder means that an event was missing or out of order.
	ReasonDisorder Reason = "disorder"
	// ReasonForeign means that the answer belongs to another attempt.
	ReasonForeign Reason = "foreign"
	// ReasonOversized means that an event was larger than the bound.
	ReasonOversized Reason = "oversized"
	// ReasonCancelled means that the caller's context ended.
	ReasonCancelled Reason = "cancelled"
)

// Error is the error of an exchange that did not end whole.
type Error struct {
	Reason Reason
	// Started is false only when no byte of the request can have arrived.
	MayHaveStarted bool
	// Err is the error underneath.
	Err error
}

// Error returns the reason and the error underneath.
func (err *Error) Error() string {
	return fmt.Sprintf("exchange failed (%s): %v", err.Reason, err.Err)
}

// Unwrap returns the error underneath.
func (err *Error) Unwrap() error {
	return err.Err
}

// ErrorOf returns the failure in err. An error of another type counts as a
// connection that broke after the request had started.
func ErrorOf(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return &Error{Reason: ReasonClosed, MayHaveStarted: true, Err: err}
}

var (
	errStalled   = errors.New("the upstream was silent for too long")
	errEnd       = errors.New("the answer ended without its end marker")
	errDisorder  = errors.New("an event is missing or out of order")
	errForeign   = errors.New("the answer belongs to another attempt")
	errOversized = errors.New("an event is larger than the bound")
)
