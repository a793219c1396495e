package fleet

// The flow: roster is the control state of Membership and belongs to its one
// control goroutine. Messages are heard, probes are answered or missed, and
// the snapshot that traffic reads is made anew after each change.
//
// A router takes another for suspect on its own experience only: news of a
// suspicion makes it probe the member next. So two sides of a partition don't
// overrule what a third router sees by itself.

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Bounds of the roster and of its messages.
const (
	// missesToSuspect is the number of probes missed in a row.
	missesToSuspect = 2
	// newsPerMessage bounds the members that a message tells of.
	newsPerMessage = 6
	// leavingPerMessage bounds the VM addresses of a message.
	leavingPerMessage = 16
	// maxMembers bounds the routers that one knows.
	maxMembers = 8192
	// maxVerify bounds the members waiting to be probed out of turn.
	maxVerify = 64
	// deadKept is how long a dead member is remembered, so that late news of
	// it does not bring it back.
	deadKept = 10 * time.Minute
	// leavingVMKept is how long a VM is taken for leaving after the list
	// marked it last.
	leavingVMKept = 5 * time.Minute
)

// roster is what one router knows of the fleet.
type roster struct {
	self    Member
	entries map[string]*rosterEntry
	news    *newsQueue[Member]
	// verify are incarnations to be probed out of turn.
	verify []string
	// round are incarnations still to be probed in this round.
	round  []string
	random *rand.Rand
	// changes counts what matters to traffic: members that come, go or change
	// their state, leaving VMs and busy profiles, but not load and revision.
	changes uint64

	leavingVMs  map[string]time.Time
	leavingNews *newsQueue[string]

	busy     map[string]busyEntry
	busyNews *newsQueue[BusyProfile]
}

type rosterEntry struct {
	member Member
	misses int
	// rumoured is set when others suspect the member; one miss is enough then.
	rumoured bool
	// diedAt is when the member was taken for dead.
	diedAt time.Time
}

func newRoster(self Member, random *rand.Rand) *roster {
	if self.State == "" {
		self.State = Live
	}
	return &roster{
		self:        self,
		entries:     make(map[string]*rosterEntry),
		news:        newNewsQueue[Member](),
		random:      random,
		leavingVMs:  make(map[string]time.Time),
		leavingNews: newNewsQueue[string](),
		busy:        make(map[string]busyEntry),
		busyNews:    newNewsQueue[BusyProfile](),
	}
}

// setSelf changes what this router says of itself. A change of state is news.
func (roster *roster) setSelf(self Member) {
	if self.State != roster.self.State {
		self.Sequence = roster.self.Sequence + 1
		roster.news.add(self.Incarnation, self)
	}
	roster.changes++
	roster.self = self
}

// message is what this router tells a peer.
func (roster *roster) message() Message {
	size := len(roster.entries) + 1
	return Message{
		Sender:     roster.self,
		Members:    roster.news.take(newsPerMessage, size),
		LeavingVMs: roster.leavingNews.take(leavingPerMessage, size),
		Busy:       roster.busyNews.take(busyPerMessage, size),
	}
}

// hear takes in a message from a peer.
func (roster *roster) hear(message Message, now time.Time) {
	roster.contact(message.Sender, now)
	for _, member := range message.Members {
		roster.learn(member, now)
	}
	for _, address := range message.LeavingVMs {
		roster.learnLeavingVM(address, now)
	}
	for _, busy := range message.Busy {
		roster.learnBusy(busy, now)
	}
}

// contact notes that a member spoke for itself.
func (roster *roster) contact(member Member, now time.Time) {
	if member.Incarnation == "" || member.Incarnation == roster.self.Incarnation {
		return
	}
	entry, ok := roster.entries[member.Incarnation]
	if !ok {
		roster.welcome(member)
		return
	}
	if entry.member.State == Dead || member.Sequence < entry.member.Sequence {
		return
	}
	if member.Sequence > entry.member.Sequence {
		roster.news.add(member.Incarnation, member)
	}
	if member.State != entry.member.State {
		roster.changes++
	}
	entry.member = member
	entry.misses = 0
	entry.rumoured = false
	if member.State == Dead {
		entry.diedAt = now
	}
}

// learn takes in news of a member from somebody else.
func (roster *roster) learn(member Member, now time.Time) {
	if member.Incarnation == roster.self.Incarnation {
		roster.refute(member)
		return
	}
	if member.State == Dead {
		roster.bury(member, now)
		return
	}
	entry, ok := roster.entries[member.Incarnation]
	if !ok {
		roster.welcome(member)
		roster.askNext(member.Incarnation)
		return
	}
	if entry.member.State == Dead {
		return
	}
	if member.State == Suspect {
		if entry.member.State != Suspect && member.Sequence >= entry.member.Sequence {
			entry.rumoured = true
			roster.askNext(member.Incarnation)
		}
		return
	}
	roster.learnNewer(entry, member)
}

// welcome adds a member that was not known.
func (roster *roster) welcome(member Member) {
	if len(roster.entries) >= maxMembers {
		return
	}
	roster.changes++
	roster.entries[member.Incarnation] = &rosterEntry{member: member}
	roster.news.add(member.Incarnation, member)
}

// list takes in a row of the table. It is not news: the others read the same
// rows.
func (roster *roster) list(member Member) {
	_, known := roster.entries[member.Incarnation]
	if known || member.Incarnation == roster.self.Incarnation || len(roster.entries) >= maxMembers {
		return
	}
	roster.entries[member.Incarnation] = &rosterEntry{member: member}
}

// learnNewer takes in a newer statement that a member made of itself.
func (roster *roster) learnNewer(entry *rosterEntry, member Member) {
	if member.Sequence <= entry.member.Sequence {
		return
	}
	roster.news.add(member.Incarnation, member)
	if entry.member.State == Suspect && member.State != Leaving {
		member.State = Suspect
		roster.askNext(member.Incarnation)
	}
	roster.changes++
	member.Revision = max(member.Revision, entry.member.Revision)
	entry.member = member
}

// refute answers a suspicion of this router itself with a newer statement.
func (roster *roster) refute(member Member) {
	if member.State != Suspect || member.Sequence < roster.self.Sequence {
		return
	}
	roster.changes++
	roster.self.Sequence = member.Sequence + 1
	roster.news.add(roster.self.Incarnation, roster.self)
}

// bury marks a member dead for good.
func (roster *roster) bury(member Member, now time.Time) {
	entry, ok := roster.entries[member.Incarnation]
	if ok && entry.member.State == Dead {
		return
	}
	member.State = Dead
	roster.changes++
	roster.entries[member.Incarnation] = &rosterEntry{member: member, diedAt: now}
	roster.news.add(member.Incarnation, member)
}

// miss notes that a member did not answer a probe.
func (roster *roster) miss(incarnation string) {
	entry, ok := roster.entries[incarnation]
	if !ok || entry.member.State == Dead || entry.member.State == Suspect {
		return
	}
	entry.misses++
	if entry.misses < missesToSuspect && !entry.rumoured {
		roster.askNext(incarnation)
		return
	}
	entry.member.State = Suspect
	roster.news.add(incarnation, entry.member)
}

// askNext queues a member to be probed out of turn.
func (roster *roster) askNext(incarnation string) {
	if len(roster.verify) < maxVerify && !slices.Contains(roster.verify, incarnation) {
		roster.verify = append(roster.verify, incarnation)
	}
}

// target returns the member to probe next: one to verify, else the next of a
// shuffled round over all members that are not dead.
func (roster *roster) target() (Member, bool) {
	if member, ok := roster.pop(&roster.verify); ok {
		return member, true
	}
	if member, ok := roster.pop(&roster.round); ok {
		return member, true
	}
	for incarnation := range roster.entries {
		roster.round = append(roster.round, incarnation)
	}
	slices.Sort(roster.round)
	roster.random.Shuffle(len(roster.round), func(i, j int) {
		roster.round[i], roster.round[j] = roster.round[j], roster.round[i]
	})
	return roster.pop(&roster.round)
}

// pop takes incarnations off the queue until one is a member that is not dead.
func (roster *roster) pop(queue *[]string) (Member, bool) {
	for len(*queue) > 0 {
		incarnation := (*queue)[0]
		*queue = (*queue)[1:]
		entry, ok := roster.entries[incarnation]
		if ok && entry.member.State != Dead {
			return entry.member, true
		}
	}
	return Member{}, false
}

// expire forgets what is only kept for a while.
func (roster *roster) expire(now time.Time) {
	roster.expireBusy(now)
	for incarnation, entry := range roster.entries {
		if entry.member.State == Dead && now.Sub(entry.diedAt) > deadKept {
			delete(roster.entries, incarnation)
		}
	}
	for address, heard := range roster.leavingVMs {
		if now.Sub(heard) > leavingVMKept {
			delete(roster.leavingVMs, address)
		}
	}
}

// members returns self and all others that are not dead, by incarnation. A
// member on a VM that the list marks as leaving is leaving.
func (roster *roster) members() []Member {
	members := []Member{roster.self}
	for _, entry := range roster.entries {
		if entry.member.State != Dead {
			members = append(members, entry.member)
		}
	}
	for i, member := range members {
		if member.IsReachable() && listed(roster.leavingVMs, member.PeerAddress) {
			members[i] = member.WithState(Leaving)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return members
}
