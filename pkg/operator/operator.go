// Package operator implements the operator protocol: the server that every
// router runs on its operator address, and the client of the command line.
//
// On the server, authenticate (token.go) limits the size of the body and looks
// up the operator by the token. Twirp then decodes the message, and an
// interceptor (intercept.go) counts the call and converts its error to a twirp
// error (transport.go). The methods that change the configuration wait until the
// live routers have adopted the change (publish.go); the others only read
// (read.go).
//
// On the client, a method (client.go) calls the routers in turn with the same
// operation id until one returns a result or an error that a retry can't change
// (retry.go). Twirp errors are converted back to faults (transport.go).
package operator

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

// Publisher changes the stored configuration, and reads its documents and its
// audit trail. It is implemented by configuration.Publisher.
type Publisher interface {
	// Publish applies the change, once for each operation id.
	Publish(ctx context.Context, change configuration.Change) (configuration.Record, error)
	// Audit returns at most limit accepted changes with revisions above
	// afterRevision, in ascending order.
	Audit(ctx context.Context, afterRevision uint64, limit int) ([]configuration.Record, error)
	// Head returns the newest stored revision.
	Head(ctx context.Context) (uint64, error)
	Document(ctx context.Context, kind configuration.Kind, name string) (configuration.StoredDocument, error)
	// Documents returns at most limit documents in order of their names, starting
	// after afterName. It also returns the afterName of the next page, which is
	// empty on the last page.
	Documents(ctx context.Context, kind configuration.Kind, afterName string, limit int) ([]configuration.StoredDocument, string, error)
}

// Follower keeps this router's copy of the configuration up to date. It is
// implemented by configuration.Follower.
type Follower interface {
	// Revision returns the revision that this router has adopted.
	Revision() uint64
	// Offer passes accepted changes to adopt.
	Offer(ctx context.Context, records []configuration.Record)
	// Hint reports that a newer revision exists.
	Hint(revision uint64)
}

// Ledger reads the accounts of budgets.
type Ledger interface {
	Statement(ctx context.Context, profile string) (budget.Statement, error)
	// Lines returns at most limit ledger lines, starting after afterLine. It also
	// returns the afterLine of the next page, which is empty on the last page.
	Lines(ctx context.Context, profile, afterLine string, limit int) ([]budget.Line, string, error)
}

// Member describes one router of the fleet.
type Member struct {
	Incarnation     string      `json:"incarnation"`
	Zone            string      `json:"zone"`
	State           fleet.State `json:"state"`
	Revision        uint64      `json:"revision"`
	CallerAddress   string      `json:"caller_address"`
	PeerAddress     string      `json:"peer_address"`
	OperatorAddress string      `json:"operator_address"`
	// Load is the fraction of the router's capacity that is in use.
	Load float64 `json:"load"`
	// Reason explains why the router is not on the newest revision; empty if it is.
	Reason string `json:"reason"`
}

// Status lists the configuration revision of each router.
type Status struct {
	// RespondingRouter is the incarnation of the router that responded.
	RespondingRouter string `json:"router"`
	// NewestRevision is the newest revision known to the responding router.
	NewestRevision uint64   `json:"revision"`
	Members        []Member `json:"members"`
}

// Publication reports how many routers have adopted an accepted change.
type Publication struct {
	Revision uint64 `json:"revision"`
	// RouterCount is the number of routers in the fleet, lagging ones included.
	RouterCount int `json:"routers"`
	// LaggingRouters are the routers that haven't confirmed the revision.
	LaggingRouters []Member `json:"lagging"`
}

// LoadedModel identifies the model, adapter, version and role that a model
// engine serves.
type LoadedModel struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// UpstreamState compares the wanted model of an upstream with the loaded one.
type UpstreamState struct {
	Name    string      `json:"name"`
	Service string      `json:"service"`
	Wanted  LoadedModel `json:"wanted"`
	Actual  LoadedModel `json:"actual"`
	// Reason explains why Wanted and Actual differ; empty if they are equal.
	Reason string `json:"reason"`
}

// UpstreamStates reports the wanted and the loaded models of all upstreams.
type UpstreamStates interface {
	States(ctx context.Context) ([]UpstreamState, error)
}

// Page sizes, in entries.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// pageSize applies the default and the maximum to a requested page size.
func pageSize(limit int32) int {
	if limit <= 0 {
		return defaultPageSize
	}
	return min(int(limit), maxPageSize)
}

// defaultPropagationTimeout bounds how long a publication waits for the live
// routers.
const defaultPropagationTimeout = 5 * time.Second
