// Package settings reads and validates the YAML settings file of a router.
//
// Load reads the file and decodes it (parse.go) over the defaults (default.go),
// reads secrets that are given as files (secret.go), validates each value by its
// validate tag (validation.go) and checks rules that involve several settings
// (cross_field_rule.go). Each step adds its faults to one report (report.go), so
// that the operator sees all of them at once.
package settings

import "time"

// Settings are the settings of one router. Settings that the file leaves out have
// the values of Defaults.
type Settings struct {
	// Zone is the availability zone of the router.
	Zone string `yaml:"zone" validate:"required,max=64"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `yaml:"caller_address" validate:"required,ip_port"`
	// PeerAddress is the IP address and port for other routers.
	PeerAddress string `yaml:"peer_address" validate:"required,ip_port"`
	// OperatorAddress is the IP address and port for operators.
	OperatorAddress string `yaml:"operator_address" validate:"required,ip_port"`
	// PeerKey is the key that all routers of a fleet share.
	PeerKey Secret `yaml:"peer_key" validate:"required,min=32"`
	// PeerKeyFile is a file that holds PeerKey. A relative path is resolved
	// against the directory of the settings file.
	PeerKeyFile string `yaml:"peer_key_file"`
	// Operators may call the operator protocol.
	Operators []Operator `yaml:"operators" validate:"required,min=1,dive"`
	// Platform is the address of the platform's services and how to call them.
	Platform Platform `yaml:"platform"`
	// LeaseDuration is how long a router counts as live after it renews its lease.
	LeaseDuration time.Duration `yaml:"lease_duration" validate:"min=1s,max=10m"`
	// Horizon is how long a budget grant should last at the forecast demand.
	Horizon time.Duration `yaml:"horizon" validate:"min=1s,max=10m"`
	// SettleInterval is the time between settlements of used budget tokens.
	SettleInterval time.Duration `yaml:"settle_interval" validate:"min=10ms,max=1m"`
	// PollInterval is the time between reads of the configuration, and of the other
	// routers' reports of crashes.
	PollInterval time.Duration `yaml:"poll_interval" validate:"min=50ms,max=5s"`
	// PublishTimeout bounds how long the publication of an accepted change waits
	// for the live routers to adopt it. Routers that haven't adopted it by then
	// are reported to the operator.
	PublishTimeout time.Duration `yaml:"publish_timeout" validate:"min=100ms,max=1m"`
	// ClaimRetention is how long claims and stored results are kept.
	ClaimRetention time.Duration `yaml:"claim_retention" validate:"min=1m,max=720h"`
	// DrainTimeout bounds the duration of a graceful shutdown.
	DrainTimeout time.Duration `yaml:"drain_timeout" validate:"min=1s,max=1h"`
	// Policy is the name of the load balancing policy, one of upstream.Policies.
	Policy string `yaml:"policy" validate:"policy"`
	// Queue limits the requests that wait for an upstream.
	Queue Queue `yaml:"queue"`
	// Stall holds the timeouts for upstreams that stop sending.
	Stall Stall `yaml:"stall"`
	// Bounds limits the requests and connections of callers.
	Bounds Bounds `yaml:"bounds"`
	// Entry configures the entry service, which assigns callers to routers.
	Entry Entry `yaml:"entry"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
}

// Operator is the credential of an operator. Two entries may have the same name,
// so that an operator's token can be replaced without an interruption.
type Operator struct {
	// Name identifies the operator in the audit trail.
	Name string `yaml:"name" validate:"required,max=128"`
	// TokenHash is the SHA-256 of the operator's bearer token, in hexadecimal.
	TokenHash string `yaml:"token_hash" validate:"required,len=64,hexadecimal"`
	// TokenHashFile is a file that holds TokenHash.
	TokenHashFile string `yaml:"token_hash_file"`
}

// Platform is the address of the platform's services and how to call them.
type Platform struct {
	// Kind is the protocol of the platform's services.
	Kind string `yaml:"kind" validate:"oneof=twirp"`
	// Address is the IP address and port of the platform's services.
	Address string `yaml:"address" validate:"required,ip_port"`
	// Timeout bounds each call.
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"`
}

// Queue limits the requests that wait for the upstreams of one service.
type Queue struct {
	// MaxLength is the maximum number of waiting requests.
	MaxLength int `yaml:"length" validate:"min=1,max=1000000"`
	// MaxWait is the maximum time that a request waits.
	MaxWait time.Duration `yaml:"wait" validate:"min=10ms,max=1h"`
}

// Stall holds the timeouts for upstreams that stop sending. An attempt that
// exceeds one is abandoned.
type Stall struct {
	// FirstTokenTimeout bounds the time to the first event of an answer.
	FirstTokenTimeout time.Duration `yaml:"first_token" validate:"min=10ms,max=1h"`
	// GapTimeout bounds the time between two events of an answer.
	GapTimeout time.Duration `yaml:"between_tokens" validate:"min=10ms,max=1h"`
}

// Bounds limits the requests and connections of callers.
type Bounds struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `yaml:"body_bytes" validate:"min=1024,max=1073741824"`
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes int64 `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int `yaml:"connections" validate:"min=1,max=1000000"`
	// MemoryBytes is the memory limit of the process. What requests and answers hold is
	// limited to parts of it. Zero means memory.DefaultLimit.
	MemoryBytes int64 `yaml:"memory_bytes" validate:"omitempty,min=67108864"`
}

// Entry configures the entry service, which assigns callers to routers.
type Entry struct {
	// ResponseLifetime is how long a caller may use a response of the entry service.
	ResponseLifetime time.Duration `yaml:"lifetime" validate:"min=1s,max=1h"`
	// Width is the number of routers per zone that serve a profile that isn't busy.
	Width int `yaml:"width" validate:"min=1,max=64"`
}
