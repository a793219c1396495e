package entry

import (
	"slices"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// topMembers holds up to limit members with the highest rendezvous scores, in
// descending order of score.
type topMembers struct {
	limit   int
	members []*fleet.Member
	scores  []uint64
}

func newTopMembers(limit int) *topMembers {
	return &topMembers{limit: limit, members: make([]*fleet.Member, 0, limit+1), scores: make([]uint64, 0, limit+1)}
}

// offer inserts the member if its score for the hashed key is among the highest.
func (topMembers *topMembers) insertIfTop(member *fleet.Member, keyHash uint64) {
	score := scoreOf(member, keyHash)
	index := len(topMembers.scores)
	for index > 0 && topMembers.ranksBefore(score, member, index-1) {
		index--
	}
	if index == topMembers.limit {
		return
	}
	topMembers.members = slices.Insert(topMembers.members, index, member)
	topMembers.scores = slices.Insert(topMembers.scores, index, score)
	if len(topMembers.members) > topMembers.limit {
		topMembers.members = topMembers.members[:topMembers.limit]
		topMembers.scores = topMembers.scores[:topMembers.limit]
	}
}

// ranksBefore reports whether the member ranks before the one at the index: by
// higher score, then by lower incarnation.
func (topMembers *topMembers) ranksBefore(score uint64, member *fleet.Member, index int) bool {
	if score != topMembers.scores[index] {
		return score > topMembers.scores[index]
	}
	return member.Incarnation < topMembers.members[index].Incarnation
}

// scoreOf hashes the caller address and not the incarnation, so that a router
// that restarts at the same address keeps its profiles.
func scoreOf(member *fleet.Member, keyHash uint64) uint64 {
	return rendezvous.Score(keyHash, rendezvous.Hash(member.CallerAddress))
}

// Best returns up to limit members with the highest rendezvous scores for a key,
// in descending order of score.
func Best(key string, members []fleet.Member, limit int) []fleet.Member {
	keyHash := rendezvous.Hash(key)
	topMembers := newTopMembers(limit)
	for i := range members {
		topMembers.insertIfTop(&members[i], keyHash)
	}
	copies := make([]fleet.Member, len(topMembers.members))
	for i, member := range topMembers.members {
		copies[i] = *member
	}
	return copies
}
