package exchange

import (
	"errors"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

// Reason is the kind of failure of an exchange.
type Reason string

// Reasons of failures.
const (
	// ReasonConnect means that no connection could be opened.
	ReasonConnect Reason = "connect"
	// ReasonClosed means that the connection broke before status and headers of the
	// answer had arrived.
	ReasonClosed Reason = "closed"
	// ReasonStalled means that the wait for the next part timed out, or that parts
	// sent by the engine did not arrive.
	ReasonStalled Reason = "stalled"
	// ReasonTruncated means that the answer ended early.
	ReasonTruncated Reason = "truncated"
	// ReasonDisorder means that an event was missing or out of order.
	ReasonDisorder Reason = "disorder"
	// ReasonForeign means that the answer does not carry the ID of the attempt, or
	// arrived before the request.
	ReasonForeign Reason = "foreign"
	// ReasonOversized means that an event was larger than MaxEventBytes, the stated length
	// of the answer more than Request.MaxBodyBytes, or that its head had too many fields.
	ReasonOversized Reason = "oversized"
	// ReasonGivenUp means that the answer was given up, so that the limit for all
	// answers holds.
	ReasonGivenUp Reason = "given_up"
	// ReasonWithdrawn means that Request.MaySend did not allow the request.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonCancelled means that the context was cancelled or timed out.
	ReasonCancelled Reason = "cancelled"
)

// Error is the failure of an exchange.
type Error struct {
	Reason Reason
	// MayHaveStarted is false only if the upstream cannot have received any byte of
	// the request, so that it is safe to resend.
	MayHaveStarted bool
	// Err is the underlying error.
	Err error
}

// Error returns a message with the reason and the underlying error.
func (err *Error) Error() string {
	return fmt.Sprintf("exchange failed (%s): %v", err.Reason, err.Err)
}

// Unwrap returns the underlying error.
func (err *Error) Unwrap() error {
	return err.Err
}

// NewLimitError returns the Error of an answer whose share could not grow. The cause is
// the error of Share.Grow.
func NewLimitError(cause error) *Error {
	reason := ReasonCancelled
	switch {
	case isGivenUp(cause):
		reason = ReasonGivenUp
	case errors.Is(cause, memory.ErrTooLarge):
		reason = ReasonOversized
	}
	return &Error{Reason: reason, MayHaveStarted: true, Err: cause}
}

// ErrorOf returns the Error in the chain of err. Any other error is converted to one
// with ReasonClosed and MayHaveStarted set, which is the safe assumption.
func ErrorOf(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return &Error{Reason: ReasonClosed, MayHaveStarted: true, Err: err}
}

var (
	errWithdrawn     = errors.New("the request must not be sent to the upstream any more")
	errStalled       = errors.New("the upstream sent nothing within the timeout")
	errTruncated     = errors.New("the answer ended before it was complete")
	errOutOfOrder    = errors.New("an event is missing or out of order")
	errWrongAttempt  = errors.New("the answer does not carry the ID of the attempt")
	errUnsolicited   = errors.New("the upstream sent data before the request")
	errNotFinal      = errors.New("the upstream's status is not that of a final answer")
	errOversized     = errors.New("an event is larger than the limit")
	errHeadOversized = errors.New("the answer's head has more fields than the limit")
	errHeadGivenUp   = errors.New("there is no room for the answer's head")
	errHeadMalformed = errors.New("the answer's head has a malformed line")
	// errBodyOversized is not errOversized: the stated length is no answer without end.
	errBodyOversized = errors.New("the stated length of the answer is more than the limit")
)
