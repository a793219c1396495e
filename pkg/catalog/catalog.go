// Package catalog holds the configuration that operators have published: routes,
// services, teams with their API keys, and limits.
//
// The flow: an adapter decodes a published document into a Config; Validate
// checks it (validate.go); New indexes it into an immutable Catalog; Match finds the route of a request, and
// Authenticate finds the team of an API key.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of the requests of a route; it determines whether they may
// be retried.
type Kind string

// The kinds of requests.
const (
	// Safe requests may be run more than once.
	Safe Kind = "safe"
	// Unsafe requests are run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by a stream of events. They are run at most
	// once unless the route is resumable.
	Streaming Kind = "streaming"
)

// Share is the share of a route's requests that a service gets: Weight divided by
// the sum of the weights of the route's shares.
type Share struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix, and determines the services
// that they are sent to and the limits that apply to them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may take. Callers may set a
	// shorter timeout.
	Timeout time.Duration
	// LatencyTarget is the time within which the answer, or the first event of a
	// stream, should arrive.
	LatencyTarget time.Duration
	// GapTarget is the time within which the next event of a stream should
	// arrive; zero means no target.
	GapTarget time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Shares are the services among which the requests are split; at least one.
	Shares []Share
	// MaxAttempts is the maximum number of times that a request is run.
	MaxAttempts int
	// Public is set when requests need no API key.
	Public bool
	// Resumable is set when an interrupted stream may be resumed at another
	// upstream.
	Resumable bool
}

// Repeatable reports whether a request may be run more than once.
func (route Route) Repeatable() bool {
	return route.Kind == Safe || (route.Kind == Streaming && route.Resumable)
}

// PickService picks a service by weight; draw is a random number in [0, 1).
func (route Route) PickService(draw float64) string {
	totalWeight := 0.0
	for _, share := range route.Shares {
		totalWeight += share.Weight
	}
	remaining := draw * totalWeight
	for _, share := range route.Shares {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}

// Engine describes the upstreams of a service that generate tokens.
type Engine struct {
	// Slots is the number of requests that one engine runs at the same time.
	Slots int
	// KVCacheTokens is the capacity of one engine's key-value cache in tokens.
	KVCacheTokens int64
	// EventTokens is the number of generated tokens in one event of a stream.
	EventTokens int64
	// MaxCacheWatchers is the maximum number of pending long-poll calls for cache
	// events at one engine.
	MaxCacheWatchers int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the URL path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one upstream
	// accepts from all its clients together.
	MaxConnections int
	// ColdPeriod is how long an upstream is cold after its start, and ColdPerSecond the
	// number of requests a second that it sustains meanwhile. If either is zero, its
	// upstreams are never cold.
	ColdPeriod    time.Duration
	ColdPerSecond float64
	// Engine is nil when the upstreams aren't model engines.
	Engine *Engine
}

// Team is a customer with API keys and, optionally, a prepaid token budget.
type Team struct {
	Name string
	Keys []string
	// HasPriority is set when Priority overrides the priority of the routes.
	HasPriority bool
	Priority    int
	// PrepaidTokens is the budget if HasBudget is set; otherwise the team's use
	// isn't limited.
	PrepaidTokens int64
	HasBudget     bool
}

// Limits are the maximum sizes of a request's header and body, in bytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Config is the content of a Catalog.
type Config struct {
	// Version is the version of the published document.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Catalog is an immutable, indexed Config.
type Catalog struct {
	version uint64
	limits  Limits
	// routesByHost maps lower-case host names to routes, the longest prefix first.
	routesByHost map[string][]Route
	services     map[string]Service
	teams        []Team
	teamsByKey   map[string]Team
}

// New returns a catalog of the configuration. Config.Validate checks it.
func New(config Config) *Catalog {
	catalog := &Catalog{
		version:      config.Version,
		limits:       config.Limits,
		routesByHost: make(map[string][]Route),
		services:     make(map[string]Service, len(config.Services)),
		teams:        slices.Clone(config.Teams),
		teamsByKey:   make(map[string]Team),
	}
	for _, route := range config.Routes {
		host := strings.ToLower(route.Host)
		catalog.routesByHost[host] = append(catalog.routesByHost[host], route)
	}
	for _, routes := range catalog.routesByHost {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range config.Services {
		catalog.services[service.Name] = service
	}
	for _, team := range config.Teams {
		for _, key := range team.Keys {
			catalog.teamsByKey[key] = team
		}
	}
	return catalog
}

// Version returns the version of the published document.
func (catalog *Catalog) Version() uint64 { return catalog.version }

// Limits returns the maximum sizes of a request's header and body.
func (catalog *Catalog) Limits() Limits { return catalog.limits }

// Teams returns all teams. Callers must not modify the slice.
func (catalog *Catalog) Teams() []Team { return catalog.teams }

// Service returns the service with the name, and whether there is one.
func (catalog *Catalog) Service(name string) (Service, bool) {
	service, ok := catalog.services[name]
	return service, ok
}

// Services returns all services, keyed by name. Callers must not modify the map.
func (catalog *Catalog) Services() map[string]Service { return catalog.services }

// RequiresKey reports whether requests of routes that aren't public need an API
// key, which is the case when the configuration has teams.
func (catalog *Catalog) RequiresKey() bool { return len(catalog.teams) > 0 }

// Match returns the host's route with the longest prefix of the path, and
// whether there is one. A port in the host is ignored.
func (catalog *Catalog) Match(host, path string) (Route, bool) {
	hostName, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range catalog.routesByHost[hostName] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Authenticate returns the team that the API key belongs to, and whether there
// is one.
func (catalog *Catalog) Authenticate(key string) (Team, bool) {
	team, ok := catalog.teamsByKey[key]
	return team, ok
}
