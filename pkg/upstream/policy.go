package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// chooser is a policy's state. It returns nil when every open member is avoided.
type chooser interface {
	choose(set *set, demand Criteria) *Member
}

// Policy is a way of choosing.
type Policy struct {
	Name  string
	Usage string
	// ordered policies need the members in the order of their loads.
	ordered   bool
	construct func(random *rand.Rand) chooser
}

// DefaultPolicy is used when no policy is named.
const DefaultPolicy = "prefix_affinity"

// Policies is the one table of policies; a new policy is one row.
var Policies = []Policy{
	{
		Name:      "round_robin",
		Usage:     "one upstream after another",
		construct: func(*rand.Rand) chooser { return &roundRobin{} },
	},
	{
		Name:      "least_in_flight",
		Usage:     "the upstream with the fewest attempts of this router",
		ordered:   true,
		construct: func(*rand.Rand) chooser { return leastInFlight{} },
	},
	{
		Name:      "better_of_two",
		Usage:     "of two drawn at random, the upstream with the shorter expected wait",
		construct: func(random *rand.Rand) chooser { return &betterOfTwo{random: random} },
	},
	{
		Name:      "prefix_affinity",
		Usage:     "the upstream that rendezvous hashing gives the prompt's prefix, unless it is loaded above the mean or slow; then better_of_two",
		construct: newPrefixAffinity,
	},
}

// FindPolicy returns the policy with the name, or the default for an empty one.
func FindPolicy(name string) (Policy, error) {
	if name == "" {
		name = DefaultPolicy
	}
	names := make([]string, 0, len(Policies))
	for _, policy := range Policies {
		if policy.Name == name {
			return policy, nil
		}
		names = append(names, policy.Name)
	}
	return Policy{}, fmt.Errorf("policy %q is unknown; use one of %s", name, strings.Join(names, ", "))
}

// roundRobin takes one member after another.
type roundRobin struct {
	next int
}

func (roundRobin *roundRobin) choose(set *set, demand Criteria) *Member {
	for range set.eligible {
		member := set.eligible[roundRobin.next%len(set.eligible)]
		roundRobin.next++
		if member.filing.open != notOpen && !demand.avoids(member) {
			return member
		}
	}
	return nil
}

// leastInFlight takes the member with the fewest attempts.
type leastInFlight struct{}

func (leastInFlight) choose(set *set, demand Criteria) *Member {
	var least *Member
	set.byLoad.Ascend(func(member *Member) bool {
		if demand.avoids(member) {
			return true
		}
		least = member
		return false
	})
	return least
}

// noticeable is the share of one expected wait below which another counts as
// shorter. A smaller difference would let the rests of old load reports decide.
const noticeable = 0.95

// betterOfTwo takes the better of two members by expected wait.
type betterOfTwo struct {
	random *rand.Rand
}

func (betterOfTwo *betterOfTwo) choose(set *set, demand Criteria) *Member {
	first := betterOfTwo.draw(set, demand)
	second := betterOfTwo.draw(set, demand)
	if first == nil || second == nil || first == second {
		return first
	}
	meanSeconds := math.Max(set.durationSeconds, math.SmallestNonzeroFloat32)
	if second.expectedWaitSeconds(set.now, meanSeconds) < noticeable*first.expectedWaitSeconds(set.now, meanSeconds) {
		return second
	}
	return first
}

// draw returns a random open member, or the next one that is not avoided.
func (betterOfTwo *betterOfTwo) draw(set *set, demand Criteria) *Member {
	start := betterOfTwo.random.IntN(len(set.open))
	for step := range set.open {
		member := set.open[(start+step)%len(set.open)]
		if !demand.avoids(member) {
			return member
		}
	}
	return nil
}

const (
	// rankedMembers is how many members are tried for a prefix.
	rankedMembers = 3
	// rankings is the number of prefixes whose ranking is kept.
	rankings = 4096
	// loadBound is how far above the mean a member's load may be for a prefix.
	loadBound = 1.25
)

// prefixAffinity takes a member whose cache probably holds the prefix.
type prefixAffinity struct {
	fallback *betterOfTwo
	version  uint64
	hashes   []uint64
	ranked   *lru.Cache[uint64, [rankedMembers]*Member]
}

func newPrefixAffinity(random *rand.Rand) chooser {
	ranked, _ := lru.New[uint64, [rankedMembers]*Member](rankings)
	return &prefixAffinity{fallback: &betterOfTwo{random: random}, ranked: ranked}
}

func (prefixAffinity *prefixAffinity) choose(set *set, demand Criteria) *Member {
	if demand.PrefixHash == 0 {
		return prefixAffinity.fallback.choose(set, demand)
	}
	bound := math.Ceil(loadBound * (set.meanLoad() + 1))
	for _, member := range prefixAffinity.rank(set, demand.PrefixHash) {
		if member == nil || member.filing.open == notOpen || demand.avoids(member) || member.slow(set.now, set.durationSeconds) {
			continue
		}
		if member.load(set.now) < bound {
			return member
		}
	}
	return prefixAffinity.fallback.choose(set, demand)
}

// rank returns the members with the highest rendezvous hashes for the prefix.
func (prefixAffinity *prefixAffinity) rank(set *set, prefix uint64) [rankedMembers]*Member {
	prefixAffinity.follow(set)
	if found, ok := prefixAffinity.ranked.Get(prefix); ok {
		return found
	}
	var best [rankedMembers]*Member
	var scores [rankedMembers]uint64
	for index, hash := range prefixAffinity.hashes {
		score := mix(prefix, hash)
		if index >= rankedMembers && score <= scores[rankedMembers-1] {
			continue
		}
		for place := range best {
			if best[place] == nil || score > scores[place] {
				copy(best[place+1:], best[place:])
				copy(scores[place+1:], scores[place:])
				best[place], scores[place] = set.eligible[index], score
				break
			}
		}
	}
	prefixAffinity.ranked.Add(prefix, best)
	return best
}

// follow drops what was known of an older set.
func (prefixAffinity *prefixAffinity) follow(set *set) {
	if prefixAffinity.version == set.version {
		return
	}
	prefixAffinity.version = set.version
	prefixAffinity.ranked.Purge()
	prefixAffinity.hashes = prefixAffinity.hashes[:0]
	for _, member := range set.eligible {
		prefixAffinity.hashes = append(prefixAffinity.hashes, xxhash.Sum64String(member.address))
	}
}

// mix hashes a prefix with a member's hash, by the finalizer of MurmurHash3.
func mix(prefix, member uint64) uint64 {
	hash := prefix ^ member
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
