// Package settings reads the YAML settings of a router.
//
// The flow: Load reads the file (parse.go), applies it over the defaults
// (default.go), reads secrets that are given as files (secret.go), checks each
// value by its validate tag (validation.go) and the values against each other
// (relation.go). Every stage adds to one list of faults (report.go), so that
// an operator sees all of them at once.
package settings

import "time"

// Settings are the settings of one router. Fields without a value in the file
// have those of Defaults.
type Settings struct {
	// Zone is the availability zone that the router runs in.
	Zone string `yaml:"zone" validate:"required,max=64"`
	// CallerAddress is the IP number and port where callers connect.
	CallerAddress string `yaml:"caller_address" validate:"required,ip_port"`
	// PeerAddress is the IP number and port where other routers connect.
	PeerAddress string `yaml:"peer_address" validate:"required,ip_port"`
	// OperatorAddress is the IP number and port where operators connect.
	OperatorAddress string `yaml:"operator_address" validate:"required,ip_port"`
	// PeerKey is shared by all routers of a fleet.
	PeerKey Secret `yaml:"peer_key" validate:"required,min=32"`
	// PeerKeyFile is read for PeerKey; a relative path starts at the directory
	// of the settings file.
	PeerKeyFile string `yaml:"peer_key_file"`
	// Operators are those who may use the operators' protocol.
	Operators []Operator `yaml:"operators" validate:"required,min=1,dive"`
	// Platform is where the platform's services are.
	Platform Platform `yaml:"platform"`
	// LeaseDuration is how long a router counts as live after a renewal.
	LeaseDuration time.Duration `yaml:"lease_duration" validate:"min=1s,max=10m"`
	// Horizon is the forecast demand that a grant covers.
	Horizon time.Duration `yaml:"horizon" validate:"min=1s,max=10m"`
	// SettleInterval is the time between two settlements.
	SettleInterval time.Duration `yaml:"settle_interval" validate:"min=10ms,max=1m"`
	// PollInterval is the time between two reads of the configuration.
	PollInterval time.Duration `yaml:"poll_interval" validate:"min=50ms,max=5s"`
	// PublishTimeout bounds how long an accepted change waits for the live
	// routers to adopt it before the operator is told which have not.
	PublishTimeout time.Duration `yaml:"publish_timeout" validate:"min=100ms,max=1m"`
	// ClaimRetention is how long claims and stored results are kept.
	ClaimRetention time.Duration `yaml:"claim_retention" validate:"min=1m,max=720h"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration `yaml:"drain_timeout" validate:"min=1s,max=1h"`
	// Policy names how an upstream is chosen, one of upstream.Policies.
	Policy string `yaml:"policy" validate:"policy"`
	// Queue bounds the work that waits for an upstream.
	Queue Queue `yaml:"queue"`
	// Stall bounds the silence of an upstream.
	Stall Stall `yaml:"stall"`
	// Bounds limit what a caller can send.
	Bounds Bounds `yaml:"bounds"`
	// Entry says how callers are spread over the routers.
	Entry Entry `yaml:"entry"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
}

// Operator is one who may use the operators' protocol. Two entries may have
// the same name while a token is being replaced.
type Operator struct {
	// Name is written to the audit trail.
	Name string `yaml:"name" validate:"required,max=128"`
	// TokenHash is the hexadecimal SHA-256 of the operator's bearer token.
	TokenHash string `yaml:"token_hash" validate:"required,len=64,hexadecimal"`
	// TokenHashFile is read for TokenHash.
	TokenHashFile string `yaml:"token_hash_file"`
}

// Platform is where the platform's services are.
type Platform struct {
	// Kind is the protocol of the platform.
	Kind string `yaml:"kind" validate:"oneof=twirp"`
	// Address is an IP number and port.
	Address string `yaml:"address" validate:"required,ip_port"`
	// Timeout bounds each call.
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"`
}

// Queue bounds the work that waits for the upstreams of one service.
type Queue struct {
	// Length is the greatest number of waiting requests.
	MaxLength int `yaml:"length" validate:"min=1,max=1000000"`
	// Wait is the longest time that a request waits.
	MaxWait time.Duration `yaml:"wait" validate:"min=10ms,max=1h"`
}

// Stall bounds the silence of an upstream; a longer one abandons the attempt.
type Stall struct {
	// FirstToken is the time to the first event of an answer.
	FirstTokenTimeout time.Duration `yaml:"first_token" validate:"min=10ms,max=1h"`
	// BetweenTokens is the time between two events of an answer.
	GapTimeout time.Duration `yaml:"between_tokens" validate:"min=10ms,max=1h"`
}

// Bounds limit what a caller can send.
type Bounds struct {
	// BodyBytes is the greatest body of a request.
	MaxBodyBytes int64 `yaml:"body_bytes" validate:"min=1024,max=1073741824"`
	// HeaderBytes is the greatest head of a request.
	MaxHeaderBytes int64 `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// Connections is the greatest number of open connections of callers.
	MaxConnections int `yaml:"connections" validate:"min=1,max=1000000"`
}

// Entry says how callers are spread over the routers.
type Entry struct {
	// Lifetime is how long a caller may use an answer of the entry service.
	ResponseLifetime time.Duration `yaml:"lifetime" validate:"min=1s,max=1h"`
	// Width is the number of routers that serve an idle profile.
	Width int `yaml:"width" validate:"min=1,max=64"`
}
