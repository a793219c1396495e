package fleet

import (
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// watchedLeases returns the keys of the leases that a router watches: those for
// which it is among the top watchersPerLease reachable members by rendezvous
// hashing. So each lease has watchers even after some of them fail, and each
// router watches only a few leases, whatever the fleet's size.
func watchedLeases(self string, members []Member) []platform.Key {
	watcherHash := rendezvous.Hash(self)
	memberHashes := make([]uint64, len(members))
	for i, member := range members {
		memberHashes[i] = rendezvous.Hash(member.Incarnation)
	}
	var keys []platform.Key
	for i, member := range members {
		if member.Incarnation != self && isWatcher(watcherHash, i, members, memberHashes) {
			keys = append(keys, leaseKey(member.Incarnation))
		}
	}
	return keys
}

// isWatcher reports whether fewer than watchersPerLease reachable members score
// higher than the watcher for the lease of the member at leaseIndex.
func isWatcher(watcherHash uint64, leaseIndex int, members []Member, memberHashes []uint64) bool {
	score := rendezvous.Score(memberHashes[leaseIndex], watcherHash)
	higherCount := 0
	for i, hash := range memberHashes {
		if i == leaseIndex || !members[i].IsReachable() || rendezvous.Score(memberHashes[leaseIndex], hash) <= score {
			continue
		}
		higherCount++
		if higherCount == watchersPerLease {
			return false
		}
	}
	return true
}
