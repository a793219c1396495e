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

// Metadata keys of twirp errors.
const (
	metaKind         = "kind"
	metaRemedy       = "remedy"
	metaOutcome      = "outcome"
	metaRetryAfterMS = "retry_after_ms"
)

// twirpCodes maps each kind of fault to a twirp error code.
var twirpCodes = map[fault.Kind]twirp.ErrorCode{
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

// toTwirpError converts an error to a twirp error that carries its kind, remedy,
// outcome and retry delay. An error that is a twirp error already is returned
// unchanged.
func toTwirpError(err error) error {
	var twirpError twirp.Error
	if errors.As(err, &twirpError) {
		return twirpError
	}
	kind := fault.KindOf(err)
	return twirp.NewError(twirpCodes[kind], fault.MessageOf(err)).
		WithMeta(metaKind, string(kind)).
		WithMeta(metaRemedy, fault.RemedyOf(err)).
		WithMeta(metaOutcome, string(fault.OutcomeOf(err))).
		WithMeta(metaRetryAfterMS, strconv.FormatInt(fault.RetryAfterOf(err).Milliseconds(), 10))
}

// fromTwirpError converts the error of a call back to the fault that the server
// returned. Any other error is a transport failure or an error of the twirp
// library.
func fromTwirpError(err error) error {
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) {
		return transportFault(err)
	}
	if twirpError.Meta(metaKind) == "" {
		return fromTwirpLibraryError(twirpError)
	}
	milliseconds, _ := strconv.ParseInt(twirpError.Meta(metaRetryAfterMS), 10, 64)
	return fault.New(fault.Config{
		Kind:       fault.Kind(twirpError.Meta(metaKind)),
		Message:    twirpError.Msg(),
		Remedy:     twirpError.Meta(metaRemedy),
		Outcome:    fault.Outcome(twirpError.Meta(metaOutcome)),
		RetryAfter: time.Duration(milliseconds) * time.Millisecond,
	})
}

// metaIntermediary is the metadata key that twirp sets if the response comes from
// an intermediary, such as a proxy, and not from a twirp server.
const metaIntermediary = "http_error_from_intermediary"

// fromTwirpLibraryError converts an error that the twirp library returned itself.
func fromTwirpLibraryError(twirpError twirp.Error) error {
	if twirpError.Meta(metaIntermediary) != "" {
		return transportFault(twirpError)
	}
	switch twirpError.Code() {
	case twirp.Malformed:
		return fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "malformed message: " + twirpError.Msg(),
			Remedy:  "send a message of the operator protocol, in protobuf or JSON",
		})
	case twirp.BadRoute:
		return fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: twirpError.Msg(),
			Remedy:  "use a client of the same version as the router, and the router's operator address",
		})
	default:
		return transportFault(twirpError)
	}
}

// transportFault returns the fault of a call that got no response from a router.
// The outcome is not_run only if no connection was established, because otherwise
// the router may have received the request.
func transportFault(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "no connection: " + opError.Error(),
			Remedy:  "name the operator address of a live router with --address",
			Cause:   err,
		})
	}
	return fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "no answer: " + withoutURL(err).Error(),
		Remedy:  "retry the call with the same operation id",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}

// withoutURL returns the cause of an HTTP client error, without the method and
// URL that url.Error adds to the message.
func withoutURL(err error) error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err
	}
	return err
}
