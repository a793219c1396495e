// Package load generates seeded load on the router fleet as callers do. It checks
// each answer against its request, and each reported outcome against the
// upstreams' own records of the requests that ran.
package load

// A run has these steps: Plan draws the requests and their arrival times from the
// seed. Run starts each request at its arrival time, whether or not earlier ones
// have ended (open loop). A caller asks the routers for addresses, sends the
// request and retries it. findViolations compares the results with the run record,
// and the collector aggregates them into the Report.

import (
	"context"
	"net"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	defaultRequests         = 1000
	defaultRate             = 50
	defaultMix              = "mixed"
	defaultModel            = "gasket-advice"
	defaultService          = "orders"
	defaultPrefixBytes      = 1024
	defaultPrefixesPerTeam  = 8
	defaultMinQuestionBytes = 128
	defaultMaxTokens        = 64
	defaultDeadline         = 30 * time.Second
	defaultStallTimeout     = 3 * time.Second
	defaultMaxInFlight      = 4096
	defaultZipfExponent     = 1.5

	// MaxRequests is the maximum number of requests in one run.
	MaxRequests = 1_000_000
)

// Team is a team whose callers send requests.
type Team struct {
	Name string
	// Token is the bearer token of the team's calling service.
	Token   string
	Profile string
	// Weight is the team's weight in fair queueing.
	Weight float64
	// ArrivalShare is the team's share of the arrivals, relative to the sum over
	// all teams.
	ArrivalShare float64
}

// Config configures Run. Zero values of numbers, durations and names are replaced
// by defaults where one exists.
type Config struct {
	// EntryAddresses are the routers that are asked for the ranked list of router
	// addresses.
	EntryAddresses []string
	// Zone is the availability zone of the callers.
	Zone  string
	Teams []Team
	// Seed determines arrival times, kinds, teams, prompts and lengths.
	Seed     uint64
	Requests int
	// Rate is the mean arrival rate in requests per second.
	Rate float64
	// Mix is a key of Mixes.
	Mix string
	// Model is the model of completion requests.
	Model string
	// Service is the plain service that receives bookings and lookups.
	Service string
	// PrefixBytes is the size of each prompt prefix that a team's requests share.
	PrefixBytes int
	// PrefixesPerTeam is the number of prompt prefixes of each team.
	PrefixesPerTeam int
	// ZipfExponent is the exponent, above 1, of the Zipf distribution from which a
	// team's prefixes are drawn.
	ZipfExponent float64
	// MinQuestionBytes is the minimum size of the prompt after its prefix.
	MinQuestionBytes int
	// MaxTokens is the largest max_tokens of a completion request.
	MaxTokens int
	// Deadline is the time that a caller has for a request, including retries.
	Deadline time.Duration
	// StallTimeout is the maximum time without data, before or within a response,
	// after which a caller abandons the attempt.
	StallTimeout time.Duration
	// MaxInFlight is the maximum number of requests in flight. Arrivals above it
	// are not sent but counted as dropped.
	MaxInFlight int
	// Recorder reads the upstreams' run records; nil leaves outcomes unchecked.
	Recorder Recorder
	// Direct treats EntryAddresses as engines and sends requests to them in turn,
	// bypassing the routers, as the baseline for the routers' overhead.
	Direct bool
	// Dial opens the callers' connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnResult is called with the result of each ended request, from several
	// goroutines; it may be nil.
	OnResult func(Result)
	// JSON writes the report as JSON instead of a table, without progress lines.
	JSON bool
}

// withDefaults returns the configuration with zero values replaced by defaults.
func (config Config) withDefaults() Config {
	orDefault(&config.Requests, defaultRequests)
	orDefault(&config.Rate, defaultRate)
	orDefault(&config.Mix, defaultMix)
	orDefault(&config.Model, defaultModel)
	orDefault(&config.Service, defaultService)
	orDefault(&config.PrefixBytes, defaultPrefixBytes)
	orDefault(&config.PrefixesPerTeam, defaultPrefixesPerTeam)
	orDefault(&config.ZipfExponent, defaultZipfExponent)
	orDefault(&config.MinQuestionBytes, defaultMinQuestionBytes)
	orDefault(&config.MaxTokens, defaultMaxTokens)
	orDefault(&config.Deadline, defaultDeadline)
	orDefault(&config.StallTimeout, defaultStallTimeout)
	orDefault(&config.MaxInFlight, defaultMaxInFlight)
	return config
}

func orDefault[Value comparable](value *Value, fallback Value) {
	var zero Value
	if *value == zero {
		*value = fallback
	}
}

// validate returns a fault.Invalid for the first invalid setting.
func (config Config) validate() error {
	switch {
	case len(config.EntryAddresses) == 0:
		return invalid("no router address", "give at least one")
	case len(config.Teams) == 0:
		return invalid("no teams", "give at least one with its token and profile")
	case config.Requests < 1 || config.Requests > MaxRequests:
		return invalid("number of requests out of range", "use 1 to 1000000")
	case config.Rate <= 0:
		return invalid("rate is not positive", "use a number of requests per second above zero")
	case config.ZipfExponent <= 1:
		return invalid("Zipf exponent of the prefixes is not above 1", "use 1.1 or more")
	}
	if _, ok := Mixes[config.Mix]; !ok {
		return invalid("unknown mix "+config.Mix, "use one of "+mixNames())
	}
	for _, team := range config.Teams {
		if team.Weight <= 0 || team.ArrivalShare <= 0 {
			return invalid("weight or share of team "+team.Name+" is not positive", "use numbers above zero")
		}
	}
	return nil
}

func invalid(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy})
}

// Recorder reads the upstreams' own records of the requests that ran.
type Recorder interface {
	// Record returns the records. It is called once, after the last request has
	// ended.
	Record(ctx context.Context) (Record, error)
}
