package entry

import (
	"slices"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// best keeps the members with the highest rendezvous scores, best first.
type best struct {
	limit   int
	members []*fleet.Member
	scores  []uint64
}

func newBest(limit int) *best {
	return &best{limit: limit, members: make([]*fleet.Member, 0, limit+1), scores: make([]uint64, 0, limit+1)}
}

// add offers a member for a key that was hashed.
func (best *best) add(member *fleet.Member, key uint64) {
	score := scoreOf(member, key)
	at := len(best.scores)
	for at > 0 && best.before(score, member, at-1) {
		at--
	}
	if at == best.limit {
		return
	}
	best.members = slices.Insert(best.members, at, member)
	best.scores = slices.Insert(best.scores, at, score)
	if len(best.members) > best.limit {
		best.members = best.members[:best.limit]
		best.scores = best.scores[:best.limit]
	}
}

// before orders by score, and by incarnation among equals.
func (best *best) before(score uint64, member *fleet.Member, at int) bool {
	if score != best.scores[at] {
		return score > best.scores[at]
	}
	return member.Incarnation < best.members[at].Incarnation
}

// scoreOf takes the caller address, not the incarnation: a router that starts
// again at its address keeps its profiles.
func scoreOf(member *fleet.Member, key uint64) uint64 {
	return rendezvous.Score(key, rendezvous.Hash(member.CallerAddress))
}

// Best returns up to limit members with the highest rendezvous scores for a
// key, best first.
func Best(key string, members []fleet.Member, limit int) []fleet.Member {
	hash := rendezvous.Hash(key)
	best := newBest(limit)
	for i := range members {
		best.add(&members[i], hash)
	}
	list := make([]fleet.Member, len(best.members))
	for i, member := range best.members {
		list[i] = *member
	}
	return list
}
