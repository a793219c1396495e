package fleet

import (
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// watched returns the keys of the leases that a router watches: those for
// which it is among the first few by rendezvous hashing over the members that
// answer. So each lease has watchers, whoever is gone, and each router watches
// a few, whatever the fleet's size.
func watched(self string, members []Member) []platform.Key {
	watcher := rendezvous.Hash(self)
	hashes := make([]uint64, len(members))
	for i, member := range members {
		hashes[i] = rendezvous.Hash(member.Incarnation)
	}
	var keys []platform.Key
	for i, member := range members {
		if member.Incarnation != self && watches(watcher, i, members, hashes) {
			keys = append(keys, leaseKey(member.Incarnation))
		}
	}
	return keys
}

// watches reports whether fewer members than watchersPerLease score higher than
// the watcher for a member's lease.
func watches(watcher uint64, lease int, members []Member, hashes []uint64) bool {
	score := rendezvous.Score(hashes[lease], watcher)
	higher := 0
	for i, hash := range hashes {
		if i == lease || !members[i].IsReachable() || rendezvous.Score(hashes[lease], hash) <= score {
			continue
		}
		higher++
		if higher == watchersPerLease {
			return false
		}
	}
	return true
}
