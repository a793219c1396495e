// Package configuration holds the operators' configuration: its documents, the
// publishing of changes as revisions, the audit trail, and the view of it that
// each router adopts.
//
// The flow: a Publisher validates a Change and makes it the next revision, a
// Record, in one transaction (publisher.go); Confirm passes the Record to the
// live routers (confirm.go); the Follower of each adopts records in their order
// into a new View (follower.go, adopt.go), which requests are served by.
package configuration

import "time"

// Kind names a family of documents.
type Kind string

// The kinds of documents.
const (
	KindProfile  Kind = "profile"
	KindUpstream Kind = "upstream"
	KindService  Kind = "service"
	KindCaller   Kind = "caller"
	// KindLimit is no stored document: it adds to the limit of the profile
	// that the change names. Its body is a Limit.
	KindLimit Kind = "limit"
)

// Limit is the body of a KindLimit change.
type Limit struct {
	// AddTokens raises the limit, or lowers it when negative.
	AddTokens int64 `json:"add_tokens"`
}

// Profile is a budget with a priority and the services allowed to draw on it.
type Profile struct {
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	// LimitTokens is the prepaid limit when the profile is first published.
	// Later it is raised by top-ups only.
	LimitTokens int64 `json:"limit_tokens" yaml:"limit_tokens" validate:"gte=0"`
	// Priority orders waiting requests; a higher one goes first.
	Priority int `json:"priority" yaml:"priority" validate:"gte=0,lte=9"`
	// Callers are the names of calling services that may use the profile.
	Callers []string `json:"callers" yaml:"callers" validate:"required,min=1"`
	// Services are the names of services that the profile may be spent on.
	Services []string `json:"services" yaml:"services" validate:"required,min=1"`
	// Retired profiles accept no requests.
	Retired bool `json:"retired" yaml:"retired"`
}

// Protocol says how upstreams of a service are spoken to.
type Protocol string

// The protocols of services.
const (
	// ProtocolModel is a model engine with chat completions.
	ProtocolModel Protocol = "model"
	// ProtocolPlain is a plain HTTP service.
	ProtocolPlain Protocol = "plain"
)

// Service is a pool of equal upstreams.
type Service struct {
	Name     string   `json:"name" yaml:"name" validate:"required,max=128"`
	Protocol Protocol `json:"protocol" yaml:"protocol" validate:"oneof=model plain"`
	// CallTokens is what one call of a plain service costs; zero is free.
	CallTokens int64 `json:"call_tokens" yaml:"call_tokens" validate:"gte=0"`
	// Model is the name of the model that callers ask for.
	Model string `json:"model,omitempty" yaml:"model"`
}

// Upstream is one back end of a service.
type Upstream struct {
	Name    string `json:"name" yaml:"name" validate:"required,max=128"`
	Service string `json:"service" yaml:"service" validate:"required"`
	// Address is an IP number and port.
	Address string `json:"address" yaml:"address" validate:"required,hostname_port"`
	Zone    string `json:"zone" yaml:"zone"`
	// Draining upstreams receive no new work.
	Draining bool `json:"draining" yaml:"draining"`
	// ChecksFencing is set for engines that refuse an order with an old fence.
	ChecksFencing bool `json:"checks_fencing" yaml:"checks_fencing"`
	// Model, Adapter, Version and Role are what the engine should have loaded.
	Model   string `json:"model,omitempty" yaml:"model"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter"`
	Version string `json:"version,omitempty" yaml:"version"`
	Role    string `json:"role,omitempty" yaml:"role"`
}

// Caller is a calling service and its team.
type Caller struct {
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	Team string `json:"team" yaml:"team" validate:"required,max=128"`
	// Weight is the team's share in fair queuing.
	Weight float64 `json:"weight" yaml:"weight" validate:"gt=0"`
	// TokenHash is the hexadecimal SHA-256 of the caller's bearer token.
	TokenHash string `json:"token_hash" yaml:"token_hash" validate:"len=64,hexadecimal"`
}

// Change is an operator's wish to put or delete one document.
type Change struct {
	// OperationID makes the change idempotent.
	OperationID string `json:"operation_id"`
	// Operator is who asked for the change.
	Operator string `json:"operator"`
	// Reason is why.
	Reason string `json:"reason"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	// Expected is the revision of the document that the operator saw; zero
	// means that the document should not exist.
	ExpectedRevision uint64 `json:"expected"`
	// Body is the JSON of the document; empty deletes it.
	Body []byte `json:"body"`
}

// Record is an accepted change: a line of the audit trail.
type Record struct {
	Revision     uint64    `json:"revision"`
	Change       Change    `json:"change"`
	PreviousBody []byte    `json:"previous"`
	PublishedAt  time.Time `json:"at"`
}
