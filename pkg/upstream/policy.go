package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// chooser holds the state of a policy. choose returns nil when criteria excludes
// every available member.
type chooser interface {
	choose(memberSet *memberSet, criteria Criteria) *Member
}

// Policy is a load balancing policy.
type Policy struct {
	Name string
	// Usage describes the policy in one line.
	Usage string
	// needsLoadOrder is set if the policy needs the available members sorted by
	// their attempts in flight.
	needsLoadOrder bool
	newChooser     func(random *rand.Rand) chooser
}

// DefaultPolicy is the policy for an empty name.
const DefaultPolicy = "prefix_affinity"

// Policies lists all policies; a new policy is one entry here.
var Policies = []Policy{
	{
		Name:       "round_robin",
		Usage:      "one upstream after another",
		newChooser: func(*rand.Rand) chooser { return &roundRobin{} },
	},
	{
		Name:           "least_in_flight",
		Usage:          "the upstream with the fewest attempts of this router",
		needsLoadOrder: true,
		newChooser:     func(*rand.Rand) chooser { return leastInFlight{} },
	},
	{
		Name:       "better_of_two",
		Usage:      "of two drawn at random, the upstream with the shorter expected wait",
		newChooser: func(random *rand.Rand) chooser { return &betterOfTwo{random: random} },
	},
	{
		Name:       "prefix_affinity",
		Usage:      "the upstream that rendezvous hashing gives the prompt's prefix, unless it is loaded above the mean or slow; then better_of_two",
		newChooser: newPrefixAffinity,
	},
}

// FindPolicy returns the policy with the name, or DefaultPolicy for an empty name.
// The error for an unknown name lists all names.
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

// roundRobin chooses the eligible members in turn.
type roundRobin struct {
	next int
}

func (roundRobin *roundRobin) choose(memberSet *memberSet, criteria Criteria) *Member {
	for range memberSet.eligible {
		member := memberSet.eligible[roundRobin.next%len(memberSet.eligible)]
		roundRobin.next++
		if member.setEntry.availableIndex != notAvailable && !criteria.avoids(member) {
			return member
		}
	}
	return nil
}

// leastInFlight chooses the member with the fewest attempts of this router.
type leastInFlight struct{}

func (leastInFlight) choose(memberSet *memberSet, criteria Criteria) *Member {
	var least *Member
	memberSet.byInFlight.Ascend(func(member *Member) bool {
		if criteria.avoids(member) {
			return true
		}
		least = member
		return false
	})
	return least
}

// shorterWaitFactor is the ratio of two expected waits below which one counts as
// shorter. Without this margin, the small remaining weight of old load reports would
// decide between members that are otherwise equal.
const shorterWaitFactor = 0.95

// betterOfTwo draws two random members and chooses the one with the shorter
// expected wait.
type betterOfTwo struct {
	random *rand.Rand
}

func (betterOfTwo *betterOfTwo) choose(memberSet *memberSet, criteria Criteria) *Member {
	firstMember := betterOfTwo.randomMember(memberSet, criteria)
	secondMember := betterOfTwo.randomMember(memberSet, criteria)
	if firstMember == nil || secondMember == nil || firstMember == secondMember {
		return firstMember
	}
	poolMeanSeconds := math.Max(memberSet.meanDurationSeconds, math.SmallestNonzeroFloat32)
	if secondMember.expectedWaitSeconds(memberSet.updatedAt, poolMeanSeconds) < shorterWaitFactor*firstMember.expectedWaitSeconds(memberSet.updatedAt, poolMeanSeconds) {
		return secondMember
	}
	return firstMember
}

// randomMember returns a random available member. If criteria excludes it, the next
// available member that is not excluded is returned, or nil if there is none.
func (betterOfTwo *betterOfTwo) randomMember(memberSet *memberSet, criteria Criteria) *Member {
	start := betterOfTwo.random.IntN(len(memberSet.available))
	for offset := range memberSet.available {
		member := memberSet.available[(start+offset)%len(memberSet.available)]
		if !criteria.avoids(member) {
			return member
		}
	}
	return nil
}

const (
	// candidatesPerPrefix is how many members are tried for a prefix.
	candidatesPerPrefix = 3
	// rankingCacheSize is the number of prefixes whose ranking is cached.
	rankingCacheSize = 4096
	// loadBoundFactor is the maximum ratio of a member's load to the mean load at
	// which the member still gets attempts for its prefixes.
	loadBoundFactor = 1.25
)

// prefixAffinity chooses a member whose prompt cache probably holds the prefix.
type prefixAffinity struct {
	// fallback chooses when there is no prefix or all candidates are overloaded,
	// slow or excluded.
	fallback *betterOfTwo
	// setVersion is the memberSet.eligibleVersion of the cached hashes and rankings.
	setVersion uint64
	// addressHashes holds the hash of each eligible member's address, in the order of
	// memberSet.eligible.
	addressHashes []uint64
	// rankingCache maps the hash of a prefix to its candidates.
	rankingCache *lru.Cache[uint64, [candidatesPerPrefix]*Member]
}

func newPrefixAffinity(random *rand.Rand) chooser {
	rankingCache, _ := lru.New[uint64, [candidatesPerPrefix]*Member](rankingCacheSize)
	return &prefixAffinity{fallback: &betterOfTwo{random: random}, rankingCache: rankingCache}
}

func (prefixAffinity *prefixAffinity) choose(memberSet *memberSet, criteria Criteria) *Member {
	if criteria.PrefixHash == 0 {
		return prefixAffinity.fallback.choose(memberSet, criteria)
	}
	maxLoad := math.Ceil(loadBoundFactor * (memberSet.meanLoad() + 1))
	for _, member := range prefixAffinity.topMembers(memberSet, criteria.PrefixHash) {
		if member == nil || member.setEntry.availableIndex == notAvailable || criteria.avoids(member) || member.isSlow(memberSet.updatedAt, memberSet.meanDurationSeconds) {
			continue
		}
		if member.load(memberSet.updatedAt) < maxLoad {
			return member
		}
	}
	return prefixAffinity.fallback.choose(memberSet, criteria)
}

// topMembers returns the members with the highest rendezvous hashes for the
// prefix, highest first; unused entries are nil.
func (prefixAffinity *prefixAffinity) topMembers(memberSet *memberSet, prefixHash uint64) [candidatesPerPrefix]*Member {
	prefixAffinity.purgeIfChanged(memberSet)
	if cached, ok := prefixAffinity.rankingCache.Get(prefixHash); ok {
		return cached
	}
	var best [candidatesPerPrefix]*Member
	var scores [candidatesPerPrefix]uint64
	for index, addressHash := range prefixAffinity.addressHashes {
		score := combineHashes(prefixHash, addressHash)
		if index >= candidatesPerPrefix && score <= scores[candidatesPerPrefix-1] {
			continue
		}
		for position := range best {
			if best[position] == nil || score > scores[position] {
				copy(best[position+1:], best[position:])
				copy(scores[position+1:], scores[position:])
				best[position], scores[position] = memberSet.eligible[index], score
				break
			}
		}
	}
	prefixAffinity.rankingCache.Add(prefixHash, best)
	return best
}

// purgeIfChanged discards cached rankings and address hashes when the eligible
// members have changed.
func (prefixAffinity *prefixAffinity) purgeIfChanged(memberSet *memberSet) {
	if prefixAffinity.setVersion == memberSet.eligibleVersion {
		return
	}
	prefixAffinity.setVersion = memberSet.eligibleVersion
	prefixAffinity.rankingCache.Purge()
	prefixAffinity.addressHashes = prefixAffinity.addressHashes[:0]
	for _, member := range memberSet.eligible {
		prefixAffinity.addressHashes = append(prefixAffinity.addressHashes, xxhash.Sum64String(member.address))
	}
}

// combineHashes returns the rendezvous hash of a prefix and a member's address,
// computed with the finalizer of MurmurHash3.
func combineHashes(prefixHash, addressHash uint64) uint64 {
	hash := prefixHash ^ addressHash
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
