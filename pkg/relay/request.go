// Package relay takes a request of any kind to an upstream and its answer back
// to the caller: it chooses, sends, retries what may be repeated, lets a broken
// stream go on at another upstream, and tells the truth about what ran.
//
// The flow: Relay.Serve makes attempts one after the other (relay.go); each is
// judged by the tables of verdict.go, delivered by delivery.go, and counted by
// the retry budget (retries.go).
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
	// ID is the caller's, one for each try.
	ID      string
	Route   catalog.Route
	Service catalog.Service
	Team    string
	// Priority is that of the team or the route; 0 is the most urgent.
	Priority int
	Method   string
	// Target is the path and query as the caller sent them.
	Target string
	// Header are the caller's headers that are passed on.
	Header http.Header
	Body   []byte
	// Prompt and Output are the tokens read and the most that are generated.
	Prompt, Output int64
	Parts          []placement.PromptPart
	// Arrived is when the request was read; Deadline when its final answer is due.
	Arrived  time.Time
	Deadline time.Time
	// After is the event behind which the caller's stream goes on.
	After int64
}

// Most returns the greatest number of tokens that the request can use.
func (request Request) Most() int64 { return request.Prompt + request.Output }

// Wire translates between requests and the upstreams' protocol.
type Wire interface {
	// Header returns the header of an attempt at the upstream, which goes on
	// behind an event when after is not zero.
	Header(request Request, upstream placement.Upstream, after int64) http.Header
	// Read tells what an answer's status and header say.
	Read(answer *exchange.Answer) Reading
	// Echo names the header in which an upstream repeats the request's id.
	Echo() string
}

// Reading is what an answer's status and header say.
type Reading struct {
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set when another process has the address.
	Misdirected bool
	// Sealed is set when the answer bears the upstream's signature.
	Sealed bool
	// Encoded is set when the body isn't the upstream's own.
	Encoded bool
	// Load is the upstream's load; nil if the answer doesn't say.
	Load *placement.Load
}

// Sink takes the answer.
type Sink interface {
	// Begin takes the head.
	Begin(status int, header http.Header) error
	// Write takes one piece of the body and sends it at once.
	Write(data []byte) error
}

// Result is what became of a request.
type Result struct {
	// Delivered is set when a whole answer of an upstream was delivered.
	Delivered bool
	// Begun is set when the head has been sent to the caller.
	Begun bool
	// Ran is set when the request may have run.
	Ran bool
	// Events is the number of events delivered.
	Events int64
	// Attempts are the upstreams in order.
	Attempts []string
	// Status is that of the delivered answer.
	Status int
	// First is the time to the first piece; zero if there was none.
	First time.Duration
	// Expected is the time to it that the choice of the last upstream was made
	// by, and Unread the tokens of the prompt that were taken not to be cached.
	Expected time.Duration
	Unread   int64
}
