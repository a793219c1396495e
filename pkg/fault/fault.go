// Package fault holds the typed errors of the router fleet. Every error that a
// caller or an operator can see has a kind, a message, a remedy and the outcome
// of the request it ended.
//
// The flow: code that detects a fault calls New with a Config; code above it
// reads KindOf, OutcomeOf and RetryAfterOf; the HTTP layer writes the Body.
package fault

import (
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome tells what happened to a request. There are three and never more.
type Outcome string

// The three outcomes that a caller can be told.
const (
	// Answered means that the whole answer was delivered.
	Answered Outcome = "answered"
	// NotRun means that the request provably did not run.
	NotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Kind names a family of errors.
type Kind string

// The kinds of errors.
const (
	Invalid          Kind = "invalid"
	Unauthenticated  Kind = "unauthenticated"
	Forbidden        Kind = "forbidden"
	NotFound         Kind = "not_found"
	Conflict         Kind = "conflict"
	TooLarge         Kind = "too_large"
	BudgetExhausted  Kind = "budget_exhausted"
	Overloaded       Kind = "overloaded"
	Draining         Kind = "draining"
	DeadlineExceeded Kind = "deadline_exceeded"
	Unavailable      Kind = "unavailable"
	ResponseLost     Kind = "outcome_unknown"
	UpstreamFailed   Kind = "upstream_failed"
	Internal         Kind = "internal"
)

// kindRow describes one kind: its errorx type and its HTTP status.
type kindRow struct {
	errorType *errorx.Type
	status    int
}

var (
	namespace          = errorx.NewNamespace("wisterialb")
	remedyProperty     = errorx.RegisterPrintableProperty("remedy")
	outcomeProperty    = errorx.RegisterProperty("outcome")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

// kinds is the one table of kinds; a new kind is one row.
var kinds = map[Kind]kindRow{
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

// Config describes an error to be made by New.
type Config struct {
	// Kind is the family; an unknown kind is taken as Internal.
	Kind Kind
	// Message says what went wrong.
	Message string
	// Remedy says what the reader can do about it.
	Remedy string
	// Outcome is what happened to the request; empty means NotRun, or
	// OutcomeUnknown for the kind Lost.
	Outcome Outcome
	// RetryAfter is when a retry can succeed; zero means not stated.
	RetryAfter time.Duration
	// Cause is the error underneath, or nil.
	Cause error
}

// New makes a typed error.
func New(config Config) error {
	row, ok := kinds[config.Kind]
	if !ok {
		row = kinds[Internal]
	}
	if config.Outcome == "" {
		config.Outcome = defaultOutcome(config.Kind)
	}
	builder := errorx.NewErrorBuilder(row.errorType).WithConditionallyFormattedMessage("%s", config.Message)
	if config.Cause != nil {
		builder = builder.WithCause(config.Cause)
	}
	return builder.Create().
		WithProperty(remedyProperty, config.Remedy).
		WithProperty(outcomeProperty, config.Outcome).
		WithProperty(retryAfterProperty, config.RetryAfter)
}

// defaultOutcome is the outcome of an error that states none.
func defaultOutcome(kind Kind) Outcome {
	if kind == ResponseLost {
		return OutcomeUnknown
	}
	return NotRun
}

// KindOf returns the kind of err, or Internal when err has none.
func KindOf(err error) Kind {
	typed := typedOf(err)
	if typed == nil {
		return Internal
	}
	for kind, row := range kinds {
		if typed.IsOfType(row.errorType) {
			return kind
		}
	}
	return Internal
}

// Is reports whether err is of the kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// OutcomeOf returns the outcome that err states. An error that states none is
// OutcomeUnknown, because nothing proves that the request did not run.
func OutcomeOf(err error) Outcome {
	if value, ok := property(err, outcomeProperty); ok {
		return value.(Outcome)
	}
	return OutcomeUnknown
}

// RemedyOf returns the remedy that err names, or the empty string.
func RemedyOf(err error) string {
	if value, ok := property(err, remedyProperty); ok {
		return value.(string)
	}
	return ""
}

// RetryAfterOf returns when a retry can succeed, or zero when not stated.
func RetryAfterOf(err error) time.Duration {
	if value, ok := property(err, retryAfterProperty); ok {
		return value.(time.Duration)
	}
	return 0
}

// CauseOf returns the error underneath a typed error, or nil. Typed errors hide
// it from errors.As and errors.Is.
func CauseOf(err error) error {
	if typed := typedOf(err); typed != nil {
		return typed.Cause()
	}
	return nil
}

// StatusOf returns the HTTP status for err.
func StatusOf(err error) int {
	return kinds[KindOf(err)].status
}

// MessageOf returns the message of err without its type name and remedy.
func MessageOf(err error) string {
	if typed := typedOf(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

// Body is the one JSON form of an error.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of a Body.
type BodyError struct {
	Kind    Kind    `json:"kind"`
	Message string  `json:"message"`
	Remedy  string  `json:"remedy"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is in milliseconds; zero means not stated.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// BodyOf returns the JSON form of err.
func BodyOf(err error) Body {
	return Body{Error: BodyError{
		Kind:         KindOf(err),
		Message:      MessageOf(err),
		Remedy:       RemedyOf(err),
		Outcome:      OutcomeOf(err),
		RetryAfterMS: RetryAfterOf(err).Milliseconds(),
	}}
}

// WithOutcome returns err with another outcome, its other properties kept.
func WithOutcome(err error, outcome Outcome) error {
	config := configOf(err)
	config.Outcome = outcome
	return New(config)
}

// WithRemedy returns err with another remedy, its other properties kept.
func WithRemedy(err error, remedy string) error {
	config := configOf(err)
	config.Remedy = remedy
	return New(config)
}

// configOf returns the configuration of an error that wraps err.
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

func typedOf(err error) *errorx.Error {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return nil
	}
	return typed
}

func property(err error, key errorx.Property) (any, bool) {
	typed := typedOf(err)
	if typed == nil {
		return nil, false
	}
	return typed.Property(key)
}
