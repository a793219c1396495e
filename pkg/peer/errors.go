package peer

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// The metadata of a twirp error that carry a fault.
const (
	metaKind       = "kind"
	metaRemedy     = "remedy"
	metaOutcome    = "outcome"
	metaRetryAfter = "retry_after_ms"
)

// codes is the one table of twirp codes for kinds; others are Internal. The
// kind itself travels in the metadata.
var codes = map[fault.Kind]twirp.ErrorCode{
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

// errorToWire makes a twirp error of a typed one.
func errorToWire(err error) error {
	kind := fault.KindOf(err)
	code, ok := codes[kind]
	if !ok {
		code = twirp.Internal
	}
	return twirp.NewError(code, fault.MessageOf(err)).
		WithMeta(metaKind, string(kind)).
		WithMeta(metaRemedy, fault.RemedyOf(err)).
		WithMeta(metaOutcome, string(fault.OutcomeOf(err))).
		WithMeta(metaRetryAfter, strconv.FormatInt(fault.RetryAfterOf(err).Milliseconds(), 10))
}

// errorFromWire makes a typed error of what a call returned. An error without
// a kind came from the transport: the call may have taken effect.
func errorFromWire(err error) error {
	var wire twirp.Error
	if !errors.As(err, &wire) || wire.Meta(metaKind) == "" {
		return fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "router could not be reached: " + err.Error(),
			Remedy:  "check the network between the routers, and that they share one key",
			Outcome: fault.OutcomeUnknown,
			Cause:   err,
		})
	}
	milliseconds, parseErr := strconv.ParseInt(wire.Meta(metaRetryAfter), 10, 64)
	if parseErr != nil {
		milliseconds = 0
	}
	return fault.New(fault.Config{
		Kind:       fault.Kind(wire.Meta(metaKind)),
		Message:    wire.Msg(),
		Remedy:     wire.Meta(metaRemedy),
		Outcome:    outcomeFromWire(wire.Meta(metaOutcome)),
		RetryAfter: time.Duration(milliseconds) * time.Millisecond,
		Cause:      err,
	})
}

// outcomeFromWire takes anything but a known outcome for unknown.
func outcomeFromWire(text string) fault.Outcome {
	switch outcome := fault.Outcome(text); outcome {
	case fault.Answered, fault.NotRun, fault.OutcomeUnknown:
		return outcome
	default:
		return fault.OutcomeUnknown
	}
}
