// Package dispatch sends admitted requests to upstreams. It queues them fairly,
// selects the upstream, makes attempts, and resumes or retries them where the
// delivery guarantees allow it.
//
// UpstreamDispatcher.Dispatch creates a run. The run acquires a member of the
// service's pool through the admission gate and makes an attempt. The attempt
// sends the request, passes the answer to the delivery, and recovers an
// interrupted answer at the same upstream. If that fails, the run determines the
// tokens that the attempt used and decides by the rules in retry.go whether
// another attempt is allowed.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

// Work is one request whose tokens have been reserved.
type Work struct {
	RequestID string
	Profile   string
	Team      string
	// Weight is the team's relative weight in fair queuing.
	Weight float64
	// Priority orders waiting work; higher values go first.
	Priority int
	// Service is the name of the service whose upstreams run the work.
	Service string
	// ModelEngine is set if the upstreams are model engines, and unset for plain
	// services.
	ModelEngine bool
	// Idempotent work may be run again when its outcome is unknown.
	Idempotent bool
	// Deadline is when the caller stops waiting; no attempt starts after it. The
	// zero time means no deadline.
	Deadline time.Time
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	// PrefixHash identifies the prompt's prefix for cache affinity.
	PrefixHash uint64
	// ReservedTokens is the number of tokens reserved for the prompt and the
	// completion; a stream that exceeds it is cancelled.
	ReservedTokens int64
	// MaxPromptTokens is an upper bound of the prompt's tokens, included in
	// ReservedTokens. Zero means unknown.
	MaxPromptTokens int64
	// Extend adds tokens to the reservation when it does not cover another
	// attempt. Nil or an error means that no tokens are added.
	Extend func(ctx context.Context, tokens int64) error
	// Resume identifies an earlier attempt to continue; the zero value means none.
	Resume ResumeToken
}

// ResumeToken identifies a position in an earlier attempt's stream. The zero value
// means that there is nothing to resume.
type ResumeToken struct {
	UpstreamAddress string `json:"upstream"`
	AttemptID       string `json:"attempt"`
	// Position is the number of events that the caller has received.
	Position int64 `json:"position"`
}

// Head is the status and header of an upstream's answer, with the token to resume
// its stream.
type Head struct {
	Status int
	Header http.Header
	Resume ResumeToken
}

// Event is one part of an answer's body. Events are complete and in order.
type Event struct {
	// Position numbers the events of the stream from 1.
	Position int64
	// Data is an SSE data payload for models and body bytes otherwise.
	Data []byte
}

// Sink receives an answer. An error means that the caller has disconnected.
type Sink interface {
	Head(head Head) error
	Event(event Event) error
}

// Holder is a Sink that holds what it receives until the answer ends.
type Holder interface {
	// Held returns how many bytes are held.
	Held() int
	// Drop discards what is held, as the answer has failed.
	Drop()
}

// Usage is the number of tokens that an upstream reported as used.
type Usage struct {
	PromptTokens     int64
	CompletionTokens int64
	// Known is false when no report was received; the whole reservation is then
	// charged.
	Known bool
}

// maxReportedTokens limits each number of a usage report.
const maxReportedTokens = 1 << 40

// reportedUsage returns the usage that an upstream reported. It is unknown if no
// upstream can have used so many tokens.
func reportedUsage(promptTokens, completionTokens int64) Usage {
	if min(promptTokens, completionTokens) < 0 || max(promptTokens, completionTokens) > maxReportedTokens {
		return Usage{}
	}
	return Usage{PromptTokens: promptTokens, CompletionTokens: completionTokens, Known: true}
}

// Tokens returns the sum of prompt and completion tokens.
func (usage Usage) Tokens() int64 {
	return usage.PromptTokens + usage.CompletionTokens
}

// AttemptRecord describes an ended attempt.
type AttemptRecord struct {
	AttemptID string
	// UpstreamAddress is the IP address and port of the upstream.
	UpstreamAddress string
	// MayHaveStarted is false when the upstream cannot have run the attempt: no byte of
	// the request can have arrived, or the upstream refused it.
	MayHaveStarted bool
	Usage          Usage
	Err            error
}

// Result is the result of a request, also of a failed one.
type Result struct {
	Outcome fault.Outcome
	// Usage is the usage of the last attempt, or zero if that attempt was counted
	// as waste.
	Usage Usage
	// WasteTokens is the known usage of abandoned attempts.
	WasteTokens int64
	// WasteUnknown is set when the usage of an abandoned attempt is unknown.
	WasteUnknown bool
	// ExtendedTokens is the number of tokens that Work.Extend added to the
	// reservation.
	ExtendedTokens int64
	Attempts       []AttemptRecord
	// Held counts what the sink holds of a delivered answer. It must be released after
	// the answer has been written to the caller.
	Held *memory.Share
}

// Dispatcher dispatches work to upstreams.
type Dispatcher interface {
	// Dispatch runs the work and writes its answer to the sink. The error states the
	// outcome to report to the caller. The result is also valid when there is an
	// error; it determines the tokens to charge.
	Dispatch(ctx context.Context, work Work, sink Sink) (Result, error)
}
