// Package fault defines the typed errors of the router fleet. Every error that a
// caller or an operator can see has a kind, a message, a remedy and the outcome
// of the failed request.
//
// Code that detects an error creates it with New. Callers of that code read its
// properties with KindOf, OutcomeOf and RetryAfterOf, and the HTTP layer encodes
// it with BodyOf.
package fault

import (
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome says whether a request was processed. Clients rely on there being only
// the three values below.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the complete answer was delivered.
	Answered Outcome = "answered"
	// NotRun means that the request has certainly not run.
	NotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Kind classifies an error.
type Kind string

// The kinds of errors.
const (
	Invalid         Kind = "invalid"
	Unauthenticated Kind = "unauthenticated"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "not_found"
	Conflict        Kind = "conflict"
	TooLarge        Kind = "too_large"
	BudgetExhausted Kind = "budget_exhausted"
	Overloaded      Kind = "overloaded"
	// Draining means that the router is shutting down.
	Draining Kind = "draining"
	// DeadlineExceeded means that the deadline passed or the caller disconnected.
	DeadlineExceeded Kind = "deadline_exceeded"
	Unavailable      Kind = "unavailable"
	// ResponseLost means that no complete answer arrived and the request may have
	// run.
	ResponseLost Kind = "outcome_unknown"
	// UpstreamFailed means that the upstream sent an unusable answer.
	UpstreamFailed Kind = "upstream_failed"
	Internal       Kind = "internal"
)

// kindProperties are the errorx type and the HTTP status of a kind.
type kindProperties struct {
	errorType *errorx.Type
	status    int
}

var (
	namespace          = errorx.NewNamespace("wisterialb")
	remedyProperty     = errorx.RegisterPrintableProperty("remedy")
	outcomeProperty    = errorx.RegisterProperty("outcome")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

// propertiesByKind has an entry for every kind.
var propertiesByKind = map[Kind]kindProperties{
	Invalid:          {namespace.NewType("invalid"), http.StatusBadRequest},
	Unauthenticated:  {namespace.NewType("unauthenticated"), http.StatusUnauthorized},
	Forbidden:        {namespace.NewType("forbidden"), http.StatusForbidden},
	NotFound:         {namespace.NewType("not_found", errorx.NotFound()), http.StatusNotFound},
	Conflict:         {namespace.NewType("conflict"), http.StatusConflict},
	TooLarge:         {namespace.NewType("too_large"), http.StatusRequestEntityTooLarge},
	BudgetExhausted:  {namespace.NewType("budget_exhausted"), http.StatusPaymentRequired},
	Overloaded:       {namespace.NewType("overloaded", errorx.Temporary()), http.StatusTooManyRequests},
	Draining:         {namespace.NewType("draining", errorx.Temporary()), http.StatusServiceUnavailable},
	DeadlineExceeded: {namespace.NewType("deadline_exceeded", errorx.Timeout()), http.StatusGatewayTimeout},
	Unavailable:      {namespace.NewType("unavailable", errorx.Temporary()), http.StatusServiceUnavailable},
	ResponseLost:     {namespace.NewType("outcome_unknown"), http.StatusBadGateway},
	UpstreamFailed:   {namespace.NewType("upstream_failed"), http.StatusBadGateway},
	Internal:         {namespace.NewType("internal"), http.StatusInternalServerError},
}

// Config holds the properties of an error that New creates.
type Config struct {
	// Kind classifies the error; an unknown kind is replaced by Internal.
	Kind Kind
	// Message describes what went wrong.
	Message string
	// Remedy tells the caller or operator what to do about it.
	Remedy string
	// Outcome is the outcome of the request; empty means NotRun, or OutcomeUnknown
	// for the kind ResponseLost.
	Outcome Outcome
	// RetryAfter is the delay after which a retry can succeed; zero means unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error with the properties of the configuration.
func New(config Config) error {
	properties, ok := propertiesByKind[config.Kind]
	if !ok {
		properties = propertiesByKind[Internal]
	}
	if config.Outcome == "" {
		config.Outcome = defaultOutcome(config.Kind)
	}
	builder := errorx.NewErrorBuilder(properties.errorType).WithConditionallyFormattedMessage("%s", config.Message)
	if config.Cause != nil {
		builder = builder.WithCause(config.Cause)
	}
	return builder.Create().
		WithProperty(remedyProperty, config.Remedy).
		WithProperty(outcomeProperty, config.Outcome).
		WithProperty(retryAfterProperty, config.RetryAfter)
}

// defaultOutcome returns the outcome of errors of the kind that set none.
func defaultOutcome(kind Kind) Outcome {
	if kind == ResponseLost {
		return OutcomeUnknown
	}
	return NotRun
}

// KindOf returns the kind of err, or Internal if err isn't a typed error.
func KindOf(err error) Kind {
	errorxError := asErrorx(err)
	if errorxError == nil {
		return Internal
	}
	for kind, properties := range propertiesByKind {
		if errorxError.IsOfType(properties.errorType) {
			return kind
		}
	}
	return Internal
}

// Is reports whether err is not nil and of the kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// OutcomeOf returns the outcome of err. For an error without one it returns
// OutcomeUnknown, because nothing proves that the request didn't run.
func OutcomeOf(err error) Outcome {
	if value, ok := propertyOf(err, outcomeProperty); ok {
		return value.(Outcome)
	}
	return OutcomeUnknown
}

// RemedyOf returns the remedy of err, or the empty string if it has none.
func RemedyOf(err error) string {
	if value, ok := propertyOf(err, remedyProperty); ok {
		return value.(string)
	}
	return ""
}

// RetryAfterOf returns the delay after which a retry can succeed, or zero if
// unknown.
func RetryAfterOf(err error) time.Duration {
	if value, ok := propertyOf(err, retryAfterProperty); ok {
		return value.(time.Duration)
	}
	return 0
}

// CauseOf returns the underlying error of a typed error, or nil. Typed errors don't
// expose it to errors.As and errors.Is.
func CauseOf(err error) error {
	if errorxError := asErrorx(err); errorxError != nil {
		return errorxError.Cause()
	}
	return nil
}

// IsCausedBy reports whether target is err or one of its causes. errors.Is doesn't look at
// the causes of a fault.
func IsCausedBy(err, target error) bool {
	for ; err != nil; err = CauseOf(err) {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// StatusOf returns the HTTP status code for err. It is 502 if the kind's code would
// promise that the request has not run although its outcome is unknown.
func StatusOf(err error) int {
	status := propertiesByKind[KindOf(err)].status
	promisesNotRun := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if promisesNotRun && OutcomeOf(err) == OutcomeUnknown {
		return http.StatusBadGateway
	}
	return status
}

// MessageOf returns the message of err without its kind and remedy.
func MessageOf(err error) string {
	if errorxError := asErrorx(err); errorxError != nil {
		return errorxError.Message()
	}
	return err.Error()
}

// Body is the JSON body of an error response.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError holds the properties of the error in a Body.
type BodyError struct {
	Kind    Kind    `json:"kind"`
	Message string  `json:"message"`
	Remedy  string  `json:"remedy"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is a delay in milliseconds; zero means unknown.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// BodyOf returns the JSON body for err.
func BodyOf(err error) Body {
	return Body{Error: BodyError{
		Kind:         KindOf(err),
		Message:      MessageOf(err),
		Remedy:       RemedyOf(err),
		Outcome:      OutcomeOf(err),
		RetryAfterMS: RetryAfterOf(err).Milliseconds(),
	}}
}

// WithOutcome returns an error that wraps err and has the given outcome and
// otherwise the properties of err.
func WithOutcome(err error, outcome Outcome) error {
	config := configOf(err)
	config.Outcome = outcome
	return New(config)
}

// WithRemedy returns an error that wraps err and has the given remedy and
// otherwise the properties of err.
func WithRemedy(err error, remedy string) error {
	config := configOf(err)
	config.Remedy = remedy
	return New(config)
}

// configOf returns the configuration of an error that wraps err and has its
// properties.
func configOf(err error) Config {
	return Config{
		Kind:       KindOf(err),
		Message:    MessageOf(err),
		Remedy:     RemedyOf(err),
		Outcome:    OutcomeOf(err),
		RetryAfter: RetryAfterOf(err),
		Cause:      err,
	}
}

func asErrorx(err error) *errorx.Error {
	var errorxError *errorx.Error
	if !errors.As(err, &errorxError) {
		return nil
	}
	return errorxError
}

func propertyOf(err error, key errorx.Property) (any, bool) {
	errorxError := asErrorx(err)
	if errorxError == nil {
		return nil, false
	}
	return errorxError.Property(key)
}
