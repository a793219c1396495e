// Package configuration manages the configuration that operators publish: its
// documents, its numbered revisions, the audit trail, and the view that each
// router serves requests with.
//
// A Publisher validates a Change and stores it as the next revision, a Record,
// in one table transaction (publisher.go). Confirm sends the Record to the live
// routers (confirm.go). The Follower in each router applies records in the order
// of their revisions and makes a new View of them (follower.go, adopt.go).
package configuration

import "time"

// Kind is the type of a document.
type Kind string

// The kinds of documents.
const (
	KindProfile  Kind = "profile"
	KindUpstream Kind = "upstream"
	KindService  Kind = "service"
	KindCaller   Kind = "caller"
	// KindLimit is not stored as a document: the change adds to the token limit
	// of the profile that it names. Its body is a Limit.
	KindLimit Kind = "limit"
)

// Limit is the body of a KindLimit change.
type Limit struct {
	// AddTokens is added to the limit; a negative value lowers it.
	AddTokens int64 `json:"add_tokens"`
}

// Profile is a prepaid token budget with a priority, the callers that may use
// it and the services that it pays for.
type Profile struct {
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	// LimitTokens is the prepaid limit when the profile is first published. It
	// never changes in the document; KindLimit changes raise or lower the limit.
	LimitTokens int64 `json:"limit_tokens" yaml:"limit_tokens" validate:"gte=0"`
	// Priority orders waiting requests; higher values are served first.
	Priority int `json:"priority" yaml:"priority" validate:"gte=0,lte=9"`
	// Callers are the names of the callers that may use the profile.
	Callers []string `json:"callers" yaml:"callers" validate:"required,min=1"`
	// Services are the names of the services that the profile's tokens pay for.
	Services []string `json:"services" yaml:"services" validate:"required,min=1"`
	// Retired is set if requests with the profile are refused.
	Retired bool `json:"retired" yaml:"retired"`
}

// Protocol is the protocol that the upstreams of a service use.
type Protocol string

// The protocols of services.
const (
	// ProtocolModel is the chat completions protocol of a model engine.
	ProtocolModel Protocol = "model"
	// ProtocolPlain is plain HTTP.
	ProtocolPlain Protocol = "plain"
)

// Service is a pool of interchangeable upstreams.
type Service struct {
	Name     string   `json:"name" yaml:"name" validate:"required,max=128"`
	Protocol Protocol `json:"protocol" yaml:"protocol" validate:"oneof=model plain"`
	// CallTokens is the price in tokens of one call of a plain service; zero is
	// free.
	CallTokens int64 `json:"call_tokens" yaml:"call_tokens" validate:"gte=0"`
	// Model is the model name that callers send in their requests.
	Model string `json:"model,omitempty" yaml:"model"`
}

// Upstream is one back end of a service.
type Upstream struct {
	Name    string `json:"name" yaml:"name" validate:"required,max=128"`
	Service string `json:"service" yaml:"service" validate:"required"`
	// Address is the IP address and port, such as 10.0.0.1:80.
	Address string `json:"address" yaml:"address" validate:"required,hostname_port"`
	Zone    string `json:"zone" yaml:"zone"`
	// Draining is set if the upstream gets no new requests.
	Draining bool `json:"draining" yaml:"draining"`
	// ChecksFencing is set if the engine refuses orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing" yaml:"checks_fencing"`
	// Model, Adapter, Version and Role are what the engine is ordered to load.
	Model   string `json:"model,omitempty" yaml:"model"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter"`
	Version string `json:"version,omitempty" yaml:"version"`
	Role    string `json:"role,omitempty" yaml:"role"`
}

// Caller is a client application of a team.
type Caller struct {
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	Team string `json:"team" yaml:"team" validate:"required,max=128"`
	// Weight is the team's weight in fair queuing.
	Weight float64 `json:"weight" yaml:"weight" validate:"gt=0"`
	// TokenHash is the hexadecimal SHA-256 of the caller's bearer token.
	TokenHash string `json:"token_hash" yaml:"token_hash" validate:"len=64,hexadecimal"`
}

// Change is an operator's request to put or delete one document, or to change
// the limit of a profile.
type Change struct {
	// OperationID identifies the change, so that publishing it again has no
	// further effect.
	OperationID string `json:"operation_id"`
	// Operator is the name of the person who requests the change.
	Operator string `json:"operator"`
	// Reason is the operator's reason for the change, for the audit trail.
	Reason string `json:"reason"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	// ExpectedRevision is the revision of the document that the operator last
	// read; zero means that the document must not exist. A change of a document
	// with another revision is refused. It is ignored for KindLimit.
	ExpectedRevision uint64 `json:"expected"`
	// Body is the document as JSON; an empty body deletes the document.
	Body []byte `json:"body"`
}

// Record is an accepted change and an entry of the audit trail.
type Record struct {
	Revision uint64 `json:"revision"`
	Change   Change `json:"change"`
	// PreviousBody is the document before the change; empty if there was none,
	// and for KindLimit.
	PreviousBody []byte `json:"previous"`
	// PublishedAt is the publisher's wall-clock time, for people to read.
	PublishedAt time.Time `json:"at"`
}
