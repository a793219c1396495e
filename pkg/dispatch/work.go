// Package dispatch takes an admitted request to an upstream: it waits in a
// fair queue, chooses the upstream, runs attempts, and resumes or retries them
// where the promises allow it.
//
// The flow: UpstreamDispatcher.Dispatch makes a run; the run takes a member of
// the service's pool through the gate and makes an attempt; the attempt sends
// the request, hands the answer to the delivery, and recovers a broken answer at
// the same upstream; when that fails the run settles what the attempt has used
// and decides by the table in retry.go whether another attempt is allowed.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Work is one request that has been paid for by a reservation.
type Work struct {
	RequestID string
	Profile   string
	Team      string
	// Weight is the team's share in fair queuing.
	Weight float64
	// Priority orders waiting work; a higher one goes first.
	Priority int
	// Service is the pool of upstreams.
	Service string
	// Model is set for model engines and unset for plain services.
	Model bool
	// Idempotent work may be run again when its outcome is not known.
	Idempotent bool
	// Deadline is when the caller stops waiting; nothing is dispatched later.
	Deadline time.Time
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	// PrefixHash identifies the prompt's prefix for cache affinity.
	PrefixHash uint64
	// MaxTokens is the reservation; a stream that reaches it is cancelled.
	MaxTokens int64
	// PromptTokens is an upper bound of the prompt's tokens, a part of
	// MaxTokens. Zero means not known.
	PromptTokens int64
	// Extend adds tokens to the reservation for a further attempt, after one
	// whose usage is not known. Nil or an error means that none are added.
	Extend func(ctx context.Context, tokens int64) error
	// Resume continues an earlier attempt when it is not empty.
	Resume ResumeToken
}

// ResumeToken names a position in an earlier attempt's stream.
type ResumeToken struct {
	Upstream string `json:"upstream"`
	Attempt  string `json:"attempt"`
	// Position is the number of events that the caller has.
	Position int64 `json:"position"`
}

// Head is the start of an upstream's answer.
type Head struct {
	Status int
	Header http.Header
	Resume ResumeToken
}

// Event is one part of an answer's body, whole and in order.
type Event struct {
	// Position counts events of the stream from 1.
	Position int64
	// Data is an SSE data payload for models and body bytes otherwise.
	Data []byte
}

// Sink receives an answer. An error means that the caller is gone.
type Sink interface {
	Head(head Head) error
	Event(event Event) error
}

// Usage is what an upstream reported as used.
type Usage struct {
	PromptTokens     int64
	CompletionTokens int64
	// Known is false when no report was received; the reservation is charged.
	Known bool
}

// Tokens returns prompt and completion tokens together.
func (usage Usage) Tokens() int64 {
	return usage.PromptTokens + usage.CompletionTokens
}

// AttemptRecord tells how one attempt ended.
type AttemptRecord struct {
	Attempt  string
	Upstream string
	// Started is false when no byte of the request can have arrived.
	Started bool
	Usage   Usage
	Err     error
}

// Result is how a request ended.
type Result struct {
	Outcome fault.Outcome
	// Usage is that of the attempt that was delivered.
	Usage Usage
	// WasteTokens were used by abandoned attempts, as far as proven.
	WasteTokens int64
	// WasteUnknown is set when an abandoned attempt may have used more.
	WasteUnknown bool
	// ExtendedTokens were added to the reservation by Work.Extend.
	ExtendedTokens int64
	Attempts       []AttemptRecord
}

// Dispatcher runs work.
type Dispatcher interface {
	// Dispatch runs the work and writes its answer to the sink. The error
	// states the outcome that the caller must be told. The result is valid
	// with an error too: it says what has to be charged.
	Dispatch(ctx context.Context, work Work, sink Sink) (Result, error)
}
