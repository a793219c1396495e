package upstream

import (
	"slices"
	"strings"
	"time"

	"github.com/google/btree"
)

const (
	// notOpen is the index of a member that is not open.
	notOpen = -1
	// treeDegree is the number of children of a tree node.
	treeDegree = 8
)

// set indexes the members that may be chosen, so that a choice does not look at
// all of them.
type set struct {
	// eligible are all that take new work, in the order of their addresses.
	eligible []*Member
	// open are those of them that have room, in no order.
	open []*Member
	// byLoad orders the open ones by their attempts; nil when the policy does
	// not need it.
	byLoad *btree.BTreeG[*Member]
	// version changes with eligible.
	version uint64
	// load is the sum of the eligible members' loads.
	load float64
	// durationSeconds is the mean duration of attempts; zero is unknown.
	durationSeconds float64
	now             time.Time
}

// filing is where a member stands in the set.
type filing struct {
	eligible bool
	// open is the index among the open ones.
	open int
	// inFlight is the key under which byLoad holds the member.
	inFlight int
	load     float64
}

func newSet(ordered bool) *set {
	set := &set{}
	if ordered {
		set.byLoad = btree.NewG(treeDegree, lessLoaded)
	}
	return set
}

func lessLoaded(a, b *Member) bool {
	if a.filing.inFlight == b.filing.inFlight {
		return a.address < b.address
	}
	return a.filing.inFlight < b.filing.inFlight
}

// replace makes the members the eligible ones.
func (set *set) replace(members []*Member, now time.Time) {
	for _, member := range set.eligible {
		set.shut(member)
		member.filing = filing{open: notOpen}
	}
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.address, b.address) })
	set.eligible = members
	set.load = 0
	set.version++
	for _, member := range members {
		member.filing.eligible = true
		set.place(member, now)
	}
}

// place files a member whose load or limit has changed.
func (set *set) place(member *Member, now time.Time) {
	set.now = now
	if !member.filing.eligible {
		return
	}
	load := member.load(now)
	set.load += load - member.filing.load
	member.filing.load = load
	set.shut(member)
	if member.inFlight < member.allowance(now) {
		set.admit(member)
	}
}

func (set *set) admit(member *Member) {
	member.filing.open = len(set.open)
	set.open = append(set.open, member)
	if set.byLoad != nil {
		member.filing.inFlight = member.inFlight
		set.byLoad.ReplaceOrInsert(member)
	}
}

func (set *set) shut(member *Member) {
	index := member.filing.open
	if index == notOpen {
		return
	}
	last := len(set.open) - 1
	set.open[index] = set.open[last]
	set.open[index].filing.open = index
	set.open[last] = nil
	set.open = set.open[:last]
	member.filing.open = notOpen
	if set.byLoad != nil {
		set.byLoad.Delete(member)
	}
}

func (set *set) observeDuration(duration time.Duration) {
	set.durationSeconds = smooth(set.durationSeconds, duration.Seconds())
}

// meanLoad returns the mean load of the eligible members.
func (set *set) meanLoad() float64 {
	return set.load / float64(max(1, len(set.eligible)))
}
