// Package entry answers which addresses a caller uses.
//
// The flow: Rank scores the live routers for a profile by rendezvous hashing,
// takes the best few of the caller's own zone, and adds the best of the other
// zones as a fallback. A router that leaves moves only the profiles that it
// had.
package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
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
	ordered := Order(profile, taking(ranker.config.Members()))
	var own, other []string
	for _, member := range ordered {
		if member.Zone == zone {
			own = append(own, member.CallerAddress)
		} else {
			other = append(other, member.CallerAddress)
		}
	}
	own = own[:min(width, len(own))]
	wanted := width + fallbacks - len(own)
	addresses := slices.Concat(own, other[:min(wanted, len(other))])
	return Answer{Addresses: addresses, LifetimeMS: ranker.config.Lifetime.Milliseconds()}
}

// taking returns the members that take new requests. When none does, overloaded
// members are better than no address.
func taking(members []fleet.Member) []fleet.Member {
	var live, overloaded []fleet.Member
	for _, member := range members {
		switch member.State {
		case fleet.Live:
			live = append(live, member)
		case fleet.Overloaded:
			overloaded = append(overloaded, member)
		default:
		}
	}
	if len(live) == 0 {
		return overloaded
	}
	return live
}

// Order returns the members by their rendezvous score for a key, best first.
func Order(key string, members []fleet.Member) []fleet.Member {
	type scored struct {
		member fleet.Member
		score  uint64
	}
	list := make([]scored, len(members))
	for i, member := range members {
		list[i] = scored{member: member, score: score(key, member)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Incarnation, b.member.Incarnation))
	})
	ordered := make([]fleet.Member, len(list))
	for i, entry := range list {
		ordered[i] = entry.member
	}
	return ordered
}

// score hashes key and caller address, not incarnation: a router that starts
// again at its address keeps its profiles.
func score(key string, member fleet.Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(member.CallerAddress)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
