package upstream

import (
	"slices"
	"strings"
	"time"

	"github.com/google/btree"
)

const (
	// notAvailable is the availableIndex of a member that is not available.
	notAvailable = -1
	// treeDegree is the degree of the B-tree: the minimum number of children of an
	// inner node other than the root.
	treeDegree = 8
)

// memberSet indexes the members that may be chosen, so that a choice does not
// have to iterate over all of them.
type memberSet struct {
	// eligible are the members that may get new attempts, whether or not they are at
	// their limit, sorted by address.
	eligible []*Member
	// available are the eligible members below their limit, in no particular order.
	available []*Member
	// byInFlight sorts the available members by attempts in flight; nil if the policy
	// does not need it.
	byInFlight *btree.BTreeG[*Member]
	// eligibleVersion is incremented with each change of eligible.
	eligibleVersion uint64
	// totalLoad is the sum of the eligible members' loads.
	totalLoad float64
	// meanDurationSeconds is the moving average of the durations of all members'
	// attempts; zero means unknown.
	meanDurationSeconds float64
	updatedAt           time.Time
}

// setEntry holds a member's position in the set's indexes.
type setEntry struct {
	eligible bool
	// availableIndex is the index in memberSet.available, or notAvailable.
	availableIndex int
	// inFlightKey is the number of attempts in flight by which byInFlight has sorted
	// the member. It must not change while the member is in the tree.
	inFlightKey int
	// load is the member's part of memberSet.totalLoad.
	load float64
}

func newMemberSet(needsLoadOrder bool) *memberSet {
	memberSet := &memberSet{}
	if needsLoadOrder {
		memberSet.byInFlight = btree.NewG(treeDegree, lessInFlight)
	}
	return memberSet
}

// lessInFlight sorts members by attempts in flight, then by address.
func lessInFlight(a, b *Member) bool {
	if a.setEntry.inFlightKey == b.setEntry.inFlightKey {
		return a.address < b.address
	}
	return a.setEntry.inFlightKey < b.setEntry.inFlightKey
}

// replace sets the eligible members and takes ownership of the slice.
func (memberSet *memberSet) replace(members []*Member, now time.Time) {
	for _, member := range memberSet.eligible {
		memberSet.removeAvailable(member)
		member.setEntry = setEntry{availableIndex: notAvailable}
	}
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.address, b.address) })
	memberSet.eligible = members
	memberSet.totalLoad = 0
	memberSet.eligibleVersion++
	for _, member := range members {
		member.setEntry.eligible = true
		memberSet.update(member, now)
	}
}

// update refreshes the indexes after the load or limit of the member has changed.
func (memberSet *memberSet) update(member *Member, now time.Time) {
	memberSet.updatedAt = now
	if !member.setEntry.eligible {
		return
	}
	load := member.load(now)
	memberSet.totalLoad += load - member.setEntry.load
	member.setEntry.load = load
	memberSet.removeAvailable(member)
	if member.inFlight < member.maxInFlight(now) {
		memberSet.addAvailable(member)
	}
}

func (memberSet *memberSet) addAvailable(member *Member) {
	member.setEntry.availableIndex = len(memberSet.available)
	memberSet.available = append(memberSet.available, member)
	if memberSet.byInFlight != nil {
		member.setEntry.inFlightKey = member.inFlight
		memberSet.byInFlight.ReplaceOrInsert(member)
	}
}

func (memberSet *memberSet) removeAvailable(member *Member) {
	position := member.setEntry.availableIndex
	if position == notAvailable {
		return
	}
	last := len(memberSet.available) - 1
	memberSet.available[position] = memberSet.available[last]
	memberSet.available[position].setEntry.availableIndex = position
	memberSet.available[last] = nil
	memberSet.available = memberSet.available[:last]
	member.setEntry.availableIndex = notAvailable
	if memberSet.byInFlight != nil {
		memberSet.byInFlight.Delete(member)
	}
}

func (memberSet *memberSet) observeDuration(duration time.Duration) {
	memberSet.meanDurationSeconds = movingAverage(memberSet.meanDurationSeconds, duration.Seconds())
}

// meanLoad returns the mean load of the eligible members.
func (memberSet *memberSet) meanLoad() float64 {
	return memberSet.totalLoad / float64(max(1, len(memberSet.eligible)))
}
