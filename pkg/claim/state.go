// Package claim lets a non-idempotent request run at most once. A router writes
// a claim to the shared table before it dispatches the request, and no router
// takes over the claim of another one.
package claim

import (
	"encoding/json"
	"net/http"
	"time"
)

// State is the state of a claimed request.
type State string

// The states of a claim.
const (
	// Owned means that this call of Claim wrote the claim, so this router may run
	// the request. It is never stored.
	Owned State = "owned"
	// Unclaimed means that there is no claim, and none has been removed. It is never
	// stored.
	Unclaimed State = "unclaimed"
	// Running means that another run of the request holds the claim.
	Running State = "running"
	// Finished means that the request ran and its result is stored.
	Finished State = "finished"
	// Withdrawn means that the request did not run and will not run, as
	// established by the owner of the claim.
	Withdrawn State = "withdrawn"
	// Unknown means that the request may have run and its outcome is not known.
	Unknown State = "unknown"
)

// Request identifies a request that runs at most once.
type Request struct {
	// Scope separates the request ids of different callers.
	Scope     string
	RequestID string
	// Fingerprint identifies the content of the request. A request id that was
	// claimed with a different fingerprint is refused. An empty fingerprint is
	// not compared.
	Fingerprint string
	// Deadline is when the caller stops waiting. A claim that is written later
	// is withdrawn. Zero means no deadline.
	Deadline time.Time
}

// Result is the stored HTTP response to a finished request.
type Result struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Bill is what the run is charged, as its router encoded it. Whoever answers with
	// the result settles it, since that router may have died before it did.
	Bill json.RawMessage `json:"bill,omitempty"`
}

// Decision is the result of Claim or Wait.
type Decision struct {
	State State
	// Owner is the incarnation of the router that owns the claim.
	Owner string
	// Result is set if State is Finished.
	Result Result
	// Reason says why the outcome is not known, if State is Unknown.
	Reason string
}
