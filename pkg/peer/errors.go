package peer

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Keys of the twirp error metadata that carry a fault.
const (
	metaKind       = "kind"
	metaRemedy     = "remedy"
	metaOutcome    = "outcome"
	metaRetryAfter = "retry_after_ms"
)

// twirpCodes maps fault kinds to twirp codes; other kinds become Internal. The
// metadata carries the kind itself.
var twirpCodes = map[fault.Kind]twirp.ErrorCode{
	fault.Invalid:          twirp.InvalidArgument,
	fault.Unauthenticated:  twirp.Unauthenticated,
	fault.Forbidden:        twirp.PermissionDenied,
	fault.NotFound:         twirp.NotFound,
	fault.Conflict:         twirp.FailedPrecondition,
	fault.TooLarge:         twirp.OutOfRange,
	fault.BudgetExhausted:  twirp.ResourceExhausted,
	fault.Overloaded:       twirp.ResourceExhausted,
	fault.Draining:         twirp.Unavailable,
	fault.DeadlineExceeded: twirp.DeadlineExceeded,
	fault.Unavailable:      twirp.Unavailable,
}

// errorToWire converts a fault to a twirp error.
func errorToWire(err error) error {
	kind := fault.KindOf(err)
	code, ok := twirpCodes[kind]
	if !ok {
		code = twirp.Internal
	}
	return twirp.NewError(code, fault.MessageOf(err)).
		WithMeta(metaKind, string(kind)).
		WithMeta(metaRemedy, fault.RemedyOf(err)).
		WithMeta(metaOutcome, string(fault.OutcomeOf(err))).
		WithMeta(metaRetryAfter, strconv.FormatInt(fault.RetryAfterOf(err).Milliseconds(), 10))
}

// errorFromWire converts the error of a call to a fault. An error without a kind
// comes from the transport, so the call may have taken effect.
func errorFromWire(err error) error {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Meta(metaKind) == "" {
		return fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "call to the router failed: " + err.Error(),
			Remedy:  "check the network between the routers, and that all have the same peer key",
			Outcome: fault.OutcomeUnknown,
			Cause:   err,
		})
	}
	milliseconds, parseErr := strconv.ParseInt(twirpErr.Meta(metaRetryAfter), 10, 64)
	if parseErr != nil {
		milliseconds = 0
	}
	return fault.New(fault.Config{
		Kind:       fault.Kind(twirpErr.Meta(metaKind)),
		Message:    twirpErr.Msg(),
		Remedy:     twirpErr.Meta(metaRemedy),
		Outcome:    outcomeFromWire(twirpErr.Meta(metaOutcome)),
		RetryAfter: time.Duration(milliseconds) * time.Millisecond,
		Cause:      err,
	})
}

// outcomeFromWire returns fault.OutcomeUnknown for any text that is not an
// outcome.
func outcomeFromWire(text string) fault.Outcome {
	switch outcome := fault.Outcome(text); outcome {
	case fault.Answered, fault.NotRun, fault.OutcomeUnknown:
		return outcome
	default:
		return fault.OutcomeUnknown
	}
}
