// Package operator is the operators' protocol: the server that every router
// runs on its operator address, and the client that the command line uses.
//
// The flow on the server: authenticate (token.go) bounds the body and finds the
// operator by the token, twirp decodes the message, an interceptor (intercept.go)
// counts the call and turns its error into a twirp error (transport.go), and the
// method does the work: publish.go changes the configuration and waits until the
// live routers are on it, read.go answers questions.
//
// The flow on the client: a method (client.go) calls the routers in turn, with
// the same operation id, until one gives an answer that settles the matter
// (retry.go); the twirp error becomes a fault again.
package operator

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

// Publisher makes changes of the configuration, keeps the audit trail and reads
// what the table holds. configuration.Publisher is one.
type Publisher interface {
	// Publish makes the change once for each operation id.
	Publish(ctx context.Context, change configuration.Change) (configuration.Record, error)
	// Audit returns accepted changes behind the revision, in their order.
	Audit(ctx context.Context, after uint64, limit int) ([]configuration.Record, error)
	// Head returns the newest revision.
	Head(ctx context.Context) (uint64, error)
	Document(ctx context.Context, kind configuration.Kind, name string) (configuration.StoredDocument, error)
	// Documents returns a page in the order of names and the after of the next
	// page, which is empty on the last one.
	Documents(ctx context.Context, kind configuration.Kind, after string, limit int) ([]configuration.StoredDocument, string, error)
}

// Follower adopts the configuration of this router. configuration.Follower is
// one.
type Follower interface {
	Revision() uint64
	// Offer hands over accepted changes.
	Offer(ctx context.Context, records []configuration.Record)
	// Hint tells of a newer revision.
	Hint(revision uint64)
}

// Ledger answers questions about budgets.
type Ledger interface {
	Statement(ctx context.Context, profile string) (budget.Statement, error)
	// Lines returns a page of ledger lines and the after of the next page, which
	// is empty on the last one.
	Lines(ctx context.Context, profile, after string, limit int) ([]budget.Line, string, error)
}

// Member is one router of the fleet.
type Member struct {
	Incarnation     string      `json:"incarnation"`
	Zone            string      `json:"zone"`
	State           fleet.State `json:"state"`
	Revision        uint64      `json:"revision"`
	CallerAddress   string      `json:"caller_address"`
	PeerAddress     string      `json:"peer_address"`
	OperatorAddress string      `json:"operator_address"`
	// Load is the share of the router's capacity that is in use.
	Load float64 `json:"load"`
	// Reason says why the router is not on the newest revision.
	Reason string `json:"reason"`
}

// Status tells which revision each router is on.
type Status struct {
	// Router is the incarnation that answered.
	RespondingRouter string `json:"router"`
	// Revision is the newest one that the answering router knows.
	NewestRevision uint64   `json:"revision"`
	Members        []Member `json:"members"`
}

// Publication is how far an accepted change has come.
type Publication struct {
	Revision uint64 `json:"revision"`
	// Routers is the number of routers that were waited for.
	RouterCount int `json:"routers"`
	// Lagging are the routers not known to be on the revision.
	LaggingRouters []Member `json:"lagging"`
}

// LoadedModel is what a model engine has loaded.
type LoadedModel struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// UpstreamState sets what an upstream should have loaded beside what it has.
type UpstreamState struct {
	Name    string      `json:"name"`
	Service string      `json:"service"`
	Wanted  LoadedModel `json:"wanted"`
	Actual  LoadedModel `json:"actual"`
	// Reason says why the two differ; empty when they do not.
	Reason string `json:"reason"`
}

// UpstreamStates knows what upstreams have loaded.
type UpstreamStates interface {
	States(ctx context.Context) ([]UpstreamState, error)
}

// Limits of pages, in entries.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// pageSize returns the number of entries of a page.
func pageSize(limit int32) int {
	if limit <= 0 {
		return defaultPageSize
	}
	return min(int(limit), maxPageSize)
}

// defaultPropagation bounds how long a publication waits for the live routers.
const defaultPropagation = 5 * time.Second
