package operator

import (
	"errors"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// The keys of the metadata of a twirp error.
const (
	metaKind         = "kind"
	metaRemedy       = "remedy"
	metaOutcome      = "outcome"
	metaRetryAfterMS = "retry_after_ms"
)

// codes is the one table of twirp codes for kinds of faults.
var codes = map[fault.Kind]twirp.ErrorCode{
	fault.Invalid:          twirp.InvalidArgument,
	fault.Unauthenticated:  twirp.Unauthenticated,
	fault.Forbidden:        twirp.PermissionDenied,
	fault.NotFound:         twirp.NotFound,
	fault.Conflict:         twirp.Aborted,
	fault.TooLarge:         twirp.OutOfRange,
	fault.BudgetExhausted:  twirp.FailedPrecondition,
	fault.Overloaded:       twirp.ResourceExhausted,
	fault.Draining:         twirp.Unavailable,
	fault.DeadlineExceeded: twirp.DeadlineExceeded,
	fault.Unavailable:      twirp.Unavailable,
	fault.ResponseLost:     twirp.Unknown,
	fault.UpstreamFailed:   twirp.Unknown,
	fault.Internal:         twirp.Internal,
}

// toTwirp turns an error into a twirp error that carries its kind, remedy and
// outcome. A twirp error is kept.
func toTwirp(err error) error {
	var known twirp.Error
	if errors.As(err, &known) {
		return known
	}
	kind := fault.KindOf(err)
	return twirp.NewError(codes[kind], fault.MessageOf(err)).
		WithMeta(metaKind, string(kind)).
		WithMeta(metaRemedy, fault.RemedyOf(err)).
		WithMeta(metaOutcome, string(fault.OutcomeOf(err))).
		WithMeta(metaRetryAfterMS, strconv.FormatInt(fault.RetryAfterOf(err).Milliseconds(), 10))
}

// fromTwirp turns an answer's error into the fault that the server made. An
// error that is not the server's is a transport failure.
func fromTwirp(err error) error {
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return transportFault(err)
	}
	if answer.Meta(metaKind) == "" {
		return fromProtocol(answer)
	}
	milliseconds, _ := strconv.ParseInt(answer.Meta(metaRetryAfterMS), 10, 64)
	return fault.New(fault.Config{
		Kind:       fault.Kind(answer.Meta(metaKind)),
		Message:    answer.Msg(),
		Remedy:     answer.Meta(metaRemedy),
		Outcome:    fault.Outcome(answer.Meta(metaOutcome)),
		RetryAfter: time.Duration(milliseconds) * time.Millisecond,
	})
}

// metaIntermediary is set by twirp when the answer is not a twirp server's.
const metaIntermediary = "http_error_from_intermediary"

// fromProtocol turns an error that twirp made itself into a fault.
func fromProtocol(answer twirp.Error) error {
	if answer.Meta(metaIntermediary) != "" {
		return transportFault(answer)
	}
	switch answer.Code() {
	case twirp.Malformed:
		return fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "malformed message: " + answer.Msg(),
			Remedy:  "send a message of the operators' protocol, in protobuf or JSON",
		})
	case twirp.BadRoute:
		return fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: answer.Msg(),
			Remedy:  "use a client of the router's version and its operator address",
		})
	default:
		return transportFault(answer)
	}
}

// transportFault is the fault of a call without a router's answer. The outcome is
// not_run only if no connection was made.
func transportFault(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "no connection: " + operation.Error(),
			Remedy:  "name the operator address of a live router with --address",
			Cause:   err,
		})
	}
	return fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "no answer: " + causeOf(err).Error(),
		Remedy:  "make the call again under the same operation id",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}

// causeOf returns what went wrong with a request, without the request.
func causeOf(err error) error {
	var request *url.Error
	if errors.As(err, &request) {
		return request.Err
	}
	return err
}
