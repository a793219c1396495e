// Package entry selects the router addresses that a caller uses for a profile.
//
// Rank scores the live routers for a profile by rendezvous hashing, takes those
// with the highest scores in the caller's own zone, and adds the highest of the
// other zones as fallbacks. When a router leaves, only the profiles that it served
// move to other routers.
package entry

import (
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

const (
	// defaultLifetime is the default of RankerConfig.Lifetime.
	defaultLifetime = 10 * time.Second
	// defaultWidth is the default number of routers per zone that serve a profile.
	defaultWidth = 2
	// fallbackCount is the number of addresses in other zones that follow those of
	// the caller's own zone.
	fallbackCount = 2
)

// RankerConfig configures a Ranker.
type RankerConfig struct {
	// Members returns all routers of the fleet, in any state.
	Members func() []fleet.Member
	// Lifetime is how long a caller may cache an Answer; zero means 10 s.
	Lifetime time.Duration
	// Width returns the number of routers per zone that serve a profile; nil means
	// 2 for every profile.
	Width func(profile string) int
}

// Answer is the answer to a caller's request for the routers of a profile.
type Answer struct {
	// Addresses are the addresses of routers for callers, each an IP address and a
	// port, in the order in which to try them.
	Addresses []string `json:"addresses"`
	// LifetimeMS is how long the answer may be cached, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Ranker ranks the routers of the fleet for a profile.
type Ranker struct {
	config RankerConfig
}

// NewRanker returns a Ranker. It replaces zero fields of the configuration with
// their defaults.
func NewRanker(config RankerConfig) *Ranker {
	if config.Lifetime <= 0 {
		config.Lifetime = defaultLifetime
	}
	if config.Width == nil {
		config.Width = func(string) int { return defaultWidth }
	}
	return &Ranker{config: config}
}

// Rank returns the router addresses for a profile, those in the zone first. For an
// unknown or empty zone it returns the routers with the highest scores in all zones.
// Overloaded routers are returned only if no router is live.
func (ranker *Ranker) Rank(profile, zone string) Answer {
	width := max(ranker.config.Width(profile), 1)
	members := ranker.config.Members()
	addresses := rank(profile, zone, members, fleet.Live, width)
	if len(addresses) == 0 {
		addresses = rank(profile, zone, members, fleet.Overloaded, width)
	}
	return Answer{Addresses: addresses, LifetimeMS: ranker.config.Lifetime.Milliseconds()}
}

// rank returns the addresses for a profile, chosen from the members in the given
// state.
func rank(profile, zone string, members []fleet.Member, state fleet.State, width int) []string {
	maxAddresses := width + fallbackCount
	profileHash := rendezvous.Hash(profile)
	ownZone, otherZones := newTopMembers(width), newTopMembers(maxAddresses)
	for i := range members {
		member := &members[i]
		switch {
		case member.State != state:
		case member.Zone == zone:
			ownZone.insertIfTop(member, profileHash)
		default:
			otherZones.insertIfTop(member, profileHash)
		}
	}
	fallbacks := otherZones.members[:min(maxAddresses-len(ownZone.members), len(otherZones.members))]
	addresses := make([]string, 0, maxAddresses)
	for _, member := range slices.Concat(ownZone.members, fallbacks) {
		addresses = append(addresses, member.CallerAddress)
	}
	return addresses
}
