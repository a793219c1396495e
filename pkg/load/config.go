// Package load sends a seeded mix of requests to the router fleet as callers do,
// and checks each answer against its own request and each told outcome against
// the upstreams' own record of what ran.
package load

// The flow of a run: Plan makes the requests and their arrival times from the
// seed; Run starts each at its time, whatever became of those before it; a caller
// asks for addresses, sends the request and retries it; the judge compares what
// the caller was told with the record; the report is what is left.

import (
	"context"
	"net"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	defaultRequests      = 1000
	defaultRate          = 50
	defaultMix           = "mixed"
	defaultModel         = "gasket-advice"
	defaultService       = "orders"
	defaultPrefixBytes   = 1024
	defaultPrefixes      = 8
	defaultQuestionBytes = 128
	defaultMaxTokens     = 64
	defaultDeadline      = 30 * time.Second
	defaultStall         = 3 * time.Second
	defaultMaxInFlight   = 4096
	defaultSkew          = 1.5

	// MaxRequests bounds the requests of one run.
	MaxRequests = 1_000_000
)

// Team is one team of callers.
type Team struct {
	Name string
	// Token is the bearer token of the team's calling service.
	Token   string
	Profile string
	// Weight is the team's share in fair queuing.
	Weight float64
	// Share is the team's part of the arrivals, in proportion to the others.
	Share float64
}

// Config configures Run. Zero values are replaced by defaults.
type Config struct {
	// Entries are addresses of routers that are asked for the ranked ones.
	Entries []string
	// Zone is the availability zone of the callers.
	Zone  string
	Teams []Team
	// Seed decides arrivals, kinds, teams, prompts and lengths.
	Seed     uint64
	Requests int
	// Rate is the mean of arrivals in requests per second.
	Rate float64
	// Mix names a row of Mixes.
	Mix string
	// Model is the model that completions ask for.
	Model string
	// Service is the plain service for bookings and lookups.
	Service string
	// PrefixBytes is the size of the prompt prefixes that a team shares.
	PrefixBytes int
	// Prefixes is how many prefixes each team has.
	Prefixes int
	// Skew is the exponent, above 1, with which the first prefixes of a team are
	// preferred.
	Skew float64
	// QuestionBytes is the least size of what follows the prefix.
	QuestionBytes int
	// MaxTokens is the greatest max_tokens of a completion.
	MaxTokens int
	// Deadline is how long a caller waits for its answer, retries included.
	Deadline time.Duration
	// Stall is how long a caller waits for the next byte of an answer before it
	// takes the connection for silent.
	Stall time.Duration
	// MaxInFlight bounds the requests under way; arrivals beyond are dropped
	// and counted.
	MaxInFlight int
	// Recorder gives the upstreams' own record; nil leaves outcomes unchecked.
	Recorder Recorder
	// Direct sends completions straight to Entries as to engines, in turn, to
	// tell a router's own cost.
	Direct bool
	// Dial opens the callers' connections; nil means the usual way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Observe is given each result when its request has ended; nil ignores them.
	Observe func(Result)
	// JSON writes the report as JSON in place of a table.
	JSON bool
}

// withDefaults replaces zero values.
func (config Config) withDefaults() Config {
	orDefault(&config.Requests, defaultRequests)
	orDefault(&config.Rate, defaultRate)
	orDefault(&config.Mix, defaultMix)
	orDefault(&config.Model, defaultModel)
	orDefault(&config.Service, defaultService)
	orDefault(&config.PrefixBytes, defaultPrefixBytes)
	orDefault(&config.Prefixes, defaultPrefixes)
	orDefault(&config.Skew, defaultSkew)
	orDefault(&config.QuestionBytes, defaultQuestionBytes)
	orDefault(&config.MaxTokens, defaultMaxTokens)
	orDefault(&config.Deadline, defaultDeadline)
	orDefault(&config.Stall, defaultStall)
	orDefault(&config.MaxInFlight, defaultMaxInFlight)
	return config
}

func orDefault[Value comparable](value *Value, standard Value) {
	var zero Value
	if *value == zero {
		*value = standard
	}
}

// validate reports the first setting that cannot be used.
func (config Config) validate() error {
	switch {
	case len(config.Entries) == 0:
		return invalid("no router address", "name at least one")
	case len(config.Teams) == 0:
		return invalid("no teams", "name at least one with its token and profile")
	case config.Requests < 1 || config.Requests > MaxRequests:
		return invalid("number of requests out of range", "use 1 to 1000000")
	case config.Rate <= 0:
		return invalid("rate is not positive", "use requests per second above zero")
	case config.Skew <= 1:
		return invalid("skew is not above 1", "use 1.1 or more")
	}
	if _, ok := Mixes[config.Mix]; !ok {
		return invalid("unknown mix "+config.Mix, "use one of "+mixNames())
	}
	for _, team := range config.Teams {
		if team.Weight <= 0 || team.Share <= 0 {
			return invalid("weight or share of team "+team.Name+" is not positive", "use numbers above zero")
		}
	}
	return nil
}

func invalid(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy})
}

// Recorder gives the upstreams' own record of what ran.
type Recorder interface {
	// Record reads the record. It is called once, behind the last answer.
	Record(ctx context.Context) (Record, error)
}
