package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// watched returns the keys of the leases that a router watches: those for
// which it is among the first few by rendezvous hashing over the members that
// answer. So each lease has watchers, whoever is gone, and each router watches
// a few, whatever the fleet's size.
func watched(self string, members []Member) []platform.Key {
	var keys []platform.Key
	for _, member := range members {
		if member.Incarnation != self && slices.Contains(watchersOf(member.Incarnation, members), self) {
			keys = append(keys, leaseKey(member.Incarnation))
		}
	}
	return keys
}

// watchersOf returns the incarnations that watch a lease.
func watchersOf(incarnation string, members []Member) []string {
	type candidate struct {
		incarnation string
		score       uint64
	}
	var candidates []candidate
	for _, member := range members {
		if member.Incarnation == incarnation || !member.Answers() {
			continue
		}
		score := xxhash.Sum64String(member.Incarnation + "\x00" + incarnation)
		candidates = append(candidates, candidate{member.Incarnation, score})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.incarnation, b.incarnation))
	})
	var watchers []string
	for _, candidate := range candidates[:min(watchersPerLease, len(candidates))] {
		watchers = append(watchers, candidate.incarnation)
	}
	return watchers
}
