// Package catalog holds what operators have published for requests of any
// kind: routes, services, tenants with their keys, and limits.
//
// The flow: an adapter decodes a published document into a Config; New indexes
// it into an immutable Catalog; Match finds the route of a request and
// Authenticate the team that holds a key.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what of a request may be repeated.
type Kind string

// The kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by events and run at most once, unless
	// they are resumable.
	Streaming Kind = "streaming"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests go and what is promised for them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer, or its first event, is on time.
	LatencyTarget time.Duration
	// PauseGoal is the longest pause between events that is on time.
	GapTarget time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Shares are the services that serve the route.
	Shares []Share
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (route Route) Repeatable() bool {
	return route.Kind == Safe || (route.Kind == Streaming && route.Resumable)
}

// Service picks the service for a draw in [0, 1).
func (route Route) PickService(draw float64) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	left := draw * total
	for _, share := range route.Shares {
		if left -= share.Weight; left < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}

// Engine describes the upstreams of a service that generate tokens.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the memory of one engine.
	KVCacheTokens int64
	// EventTokens is the number of tokens of one event.
	EventTokens int64
	// CacheWatchers is how many calls for cache events an engine keeps waiting.
	MaxCacheWatchers int
}

// Service is a group of upstreams that do the same.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections an upstream accepts of all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a holder of keys and of a prepaid budget.
type Team struct {
	Name string
	Keys []string
	// Ranked is set when Priority replaces that of the routes.
	HasPriority bool
	Priority    int
	// Prepaid is the budget in tokens; Metered is set when there is one.
	PrepaidTokens int64
	HasBudget     bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is the content of a Catalog.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Catalog is an immutable, indexed Config.
type Catalog struct {
	version  uint64
	limits   Limits
	routes   map[string][]Route
	services map[string]Service
	teams    []Team
	byKey    map[string]Team
}

// New indexes the content.
func New(config Config) *Catalog {
	catalog := &Catalog{
		version:  config.Version,
		limits:   config.Limits,
		routes:   make(map[string][]Route),
		services: make(map[string]Service, len(config.Services)),
		teams:    slices.Clone(config.Teams),
		byKey:    make(map[string]Team),
	}
	for _, route := range config.Routes {
		host := strings.ToLower(route.Host)
		catalog.routes[host] = append(catalog.routes[host], route)
	}
	for _, routes := range catalog.routes {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range config.Services {
		catalog.services[service.Name] = service
	}
	for _, team := range config.Teams {
		for _, key := range team.Keys {
			catalog.byKey[key] = team
		}
	}
	return catalog
}

// Version returns the version of the published document.
func (catalog *Catalog) Version() uint64 { return catalog.version }

// Limits returns what callers may send.
func (catalog *Catalog) Limits() Limits { return catalog.limits }

// Teams returns all teams.
func (catalog *Catalog) Teams() []Team { return catalog.teams }

// Service returns the service with the name.
func (catalog *Catalog) Service(name string) (Service, bool) {
	service, ok := catalog.services[name]
	return service, ok
}

// Services returns all services by name.
func (catalog *Catalog) Services() map[string]Service { return catalog.services }

// Keyed reports whether requests have to carry a key.
func (catalog *Catalog) RequiresKey() bool { return len(catalog.teams) > 0 }

// Match returns the route with the longest prefix of the path on the host. The
// host may carry a port.
func (catalog *Catalog) Match(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range catalog.routes[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Authenticate returns the team that holds the key.
func (catalog *Catalog) Authenticate(key string) (Team, bool) {
	team, ok := catalog.byKey[key]
	return team, ok
}
