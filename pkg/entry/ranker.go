// Package entry answers which addresses a caller uses.
//
// The flow: Rank scores the live routers for a profile by rendezvous hashing,
// takes the best few of the caller's own zone, and adds the best of the other
// zones as a fallback. A router that leaves moves only the profiles that it
// had.
package entry

import (
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// Defaults of a ranker.
const (
	defaultLifetime = 10 * time.Second
	defaultWidth    = 2
	// fallbacks is the number of addresses in other zones behind those of the
	// own zone.
	fallbacks = 2
)

// RankerConfig configures a Ranker.
type RankerConfig struct {
	// Members returns the routers of the fleet.
	Members func() []fleet.Member
	// Lifetime is how long a caller may keep an answer; zero means 10 s.
	Lifetime time.Duration
	// Width returns how many routers of one zone serve a profile; nil means 2
	// for each.
	Width func(profile string) int
}

// Answer is what a caller is told.
type Answer struct {
	// Addresses are in the order in which to try them.
	Addresses []string `json:"addresses"`
	// LifetimeMS is how long the answer may be kept.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Ranker ranks the routers for profiles.
type Ranker struct {
	config RankerConfig
}

// NewRanker returns a ranker.
func NewRanker(config RankerConfig) *Ranker {
	if config.Lifetime <= 0 {
		config.Lifetime = defaultLifetime
	}
	if config.Width == nil {
		config.Width = func(string) int { return defaultWidth }
	}
	return &Ranker{config: config}
}

// Rank returns the addresses for a profile, those in the zone first. An unknown
// or empty zone has no addresses of its own, so the best of all are returned.
func (ranker *Ranker) Rank(profile, zone string) Answer {
	width := max(ranker.config.Width(profile), 1)
	members := ranker.config.Members()
	addresses := rank(profile, zone, members, fleet.Live, width)
	if len(addresses) == 0 {
		addresses = rank(profile, zone, members, fleet.Overloaded, width)
	}
	return Answer{Addresses: addresses, LifetimeMS: ranker.config.Lifetime.Milliseconds()}
}

// rank returns the addresses of the members in one state.
func rank(profile, zone string, members []fleet.Member, state fleet.State, width int) []string {
	wanted := width + fallbacks
	key := rendezvous.Hash(profile)
	own, other := newBest(width), newBest(wanted)
	for i := range members {
		member := &members[i]
		switch {
		case member.State != state:
		case member.Zone == zone:
			own.add(member, key)
		default:
			other.add(member, key)
		}
	}
	others := other.members[:min(wanted-len(own.members), len(other.members))]
	addresses := make([]string, 0, wanted)
	for _, member := range slices.Concat(own.members, others) {
		addresses = append(addresses, member.CallerAddress)
	}
	return addresses
}
