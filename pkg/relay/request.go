// Package relay forwards a caller's request to an upstream and the answer back
// to the caller. It chooses the upstream, retries requests that may be repeated,
// resumes an interrupted event stream at another upstream, and reports whether the
// request may have run.
//
// Relay.Serve makes one attempt after the other (relay.go). delivery.go writes
// the answer to the caller, crash.go tells a crash of the upstream from other
// failures, and retries.go limits the retries.
package relay

import (
	"net/http"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/catalog"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/placement"
)

// Request is one request of a caller.
type Request struct {
	// ID is chosen by the caller; each of the caller's tries has a new one.
	ID      string
	Route   catalog.Route
	Service catalog.Service
	Team    string
	// Priority is the priority of the team or the route; 0 is the most urgent.
	Priority int
	Method   string
	// Target is the path and query as the caller sent them.
	Target string
	// Header holds the caller's headers that are forwarded.
	Header http.Header
	Body   []byte
	// PromptTokens is the length of the prompt in tokens, and MaxOutputTokens the
	// largest number of tokens that may be generated.
	PromptTokens, MaxOutputTokens int64
	// PromptParts identify the parts of the prompt that an upstream may have
	// cached.
	PromptParts []placement.PromptPart
	// Arrived is when the request came in; Deadline is when its answer must be
	// complete.
	Arrived  time.Time
	Deadline time.Time
	// LastEventID is the ID of the last event that the caller has of a stream to
	// be resumed; 0 starts at the beginning.
	LastEventID int64
}

// MaxTokens returns the largest number of tokens that the request can use.
func (request Request) MaxTokens() int64 { return request.PromptTokens + request.MaxOutputTokens }

// Protocol encodes requests and decodes answers in the upstreams' protocol.
type Protocol interface {
	// RequestHeader returns the header of an attempt at the upstream. A
	// lastEventID other than 0 resumes the stream after that event.
	RequestHeader(request Request, upstream placement.Upstream, lastEventID int64) http.Header
	// ParseAnswer reads the status and header of an answer.
	ParseAnswer(answer *exchange.Answer) AnswerInfo
	// EchoHeader is the name of the header in which an upstream repeats the
	// request's ID.
	EchoHeader() string
}

// AnswerInfo holds the information in the status and header of an answer.
type AnswerInfo struct {
	// NotRun is set when the upstream reports that it did not run the request.
	NotRun bool
	// PromisesNotRun is set when callers take the status for a promise that the request
	// has not run and never will.
	PromisesNotRun bool
	// Misdirected is set when another process than the upstream has its address.
	Misdirected bool
	// Signed is set when the answer carries the upstream's signature.
	Signed bool
	// Encoded is set when the body has a content encoding. Upstreams apply none,
	// so an intermediary has changed the body.
	Encoded bool
	// Leaving is set when the upstream says that it is leaving, and Pause is how long
	// it asks to be sent nothing.
	Leaving bool
	Pause   time.Duration
	// ColdLeft is for how long the upstream is still cold, if it says so.
	ColdLeft time.Duration
	// Load is the upstream's load; nil if the answer doesn't state it.
	Load *placement.Load
}

// Sink writes an answer to the caller.
type Sink interface {
	// WriteHeader sends the status and header.
	WriteHeader(status int, header http.Header) error
	// Write sends a piece of the body without buffering it.
	Write(data []byte) error
}

// Result describes how a request was served.
type Result struct {
	// Delivered is set when an upstream's answer was delivered completely.
	Delivered bool
	// HeaderSent is set when the status and header were sent to the caller.
	HeaderSent bool
	// MayHaveRun is set when an upstream may have run the request.
	MayHaveRun bool
	// Events is the number of delivered events that have an ID.
	Events int64
	// Attempts are the IDs of the upstreams tried, in order.
	Attempts []string
	// Status is the HTTP status of the delivered answer.
	Status int
	// TimeToFirstByte is the time from the request's arrival until the header was
	// sent; zero if none was.
	TimeToFirstByte time.Duration
	// ExpectedTimeToFirstByte and UncachedTokens are the estimates by which the
	// last upstream was chosen; UncachedTokens is the number of prompt tokens
	// that it had not cached.
	ExpectedTimeToFirstByte time.Duration
	UncachedTokens          int64
}
