// Package claim makes a non-idempotent request run at most once: a router
// writes a claim before it dispatches, and nobody takes over another router's
// claim.
package claim

import (
	"net/http"
	"time"
)

// State is how far a claimed request has come.
type State string

// The states of a claim.
const (
	// Owned means that the claim was written now and the request may run.
	Owned State = "owned"
	// Running means that another run of the request holds the claim.
	Running State = "running"
	// Finished means that the stored result is the answer.
	Finished State = "finished"
	// Withdrawn means that the owner proved that the request did not run and
	// will not run.
	Withdrawn State = "withdrawn"
	// Unknown means that the request ran to an end nobody knows.
	Unknown State = "unknown"
)

// Request names a request that runs at most once.
type Request struct {
	// Scope separates the request ids of different callers.
	Scope     string
	RequestID string
	// Fingerprint identifies what is asked for; a request id that was claimed
	// under another one is refused. Empty is not compared.
	Fingerprint string
	// Deadline is when the caller stops waiting; nothing is dispatched later.
	Deadline time.Time
}

// Result is the stored answer of a finished request.
type Result struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Decision is what the registry found.
type Decision struct {
	State State
	// Owner is the incarnation that holds the claim.
	Owner string
	// Result is set when State is Finished.
	Result Result
	// Reason says why when State is Unknown.
	Reason string
}
