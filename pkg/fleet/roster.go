package fleet

// The roster is the mutable state of Membership and owned by its control
// goroutine: received messages and the results of probes update it, and
// Membership publishes a new snapshot after a change.
//
// A router suspects a member only if its own probes fail: gossip about a
// suspicion only makes it probe that member next. So a router that reaches both
// sides of a network partition does not suspect members because others do.

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Limits of the roster and of its messages.
const (
	// missedProbesToSuspect is the number of consecutive missed probes after
	// which a member is suspect.
	missedProbesToSuspect = 2
	// maxMembersPerMessage is the number of members in the gossip of one message.
	maxMembersPerMessage = 6
	// maxLeavingVMsPerMessage is the number of VM addresses in one message.
	maxLeavingVMsPerMessage = 16
	// maxMembers is the number of roster entries above which no live members are
	// added.
	maxMembers = 8192
	// maxPriorityProbes is the length limit of the queue of members to be probed
	// before the regular round.
	maxPriorityProbes = 64
	// deadRetention is how long a dead member is kept, so that late gossip does
	// not add it again as live.
	deadRetention = 10 * time.Minute
	// leavingVMRetention is how long a VM counts as leaving after the platform's
	// VM list or gossip last reported it as leaving.
	leavingVMRetention = 5 * time.Minute
)

// roster is one router's view of the fleet and its queues of outgoing gossip.
type roster struct {
	self         Member
	entries      map[string]*rosterEntry
	memberGossip *gossipQueue[Member]
	// priorityProbes are incarnations to be probed before the regular round.
	priorityProbes []string
	// roundProbes are incarnations still to be probed in the current round.
	roundProbes []string
	random      *rand.Rand
	// changeCount grows with each change that needs a new snapshot at once:
	// members added, declared dead or with a new state, leaving VMs and busy
	// profiles. New load and revision values alone don't count.
	changeCount uint64

	// leavingVMs maps VM addresses to the time of the last report.
	leavingVMs      map[string]time.Time
	leavingVMGossip *gossipQueue[string]

	busyProfiles map[string]busyEntry
	busyGossip   *gossipQueue[BusyProfile]
}

type rosterEntry struct {
	member       Member
	missedProbes int
	// suspectedByOthers is set when gossip says that the member is suspect; one
	// missed probe then suffices to suspect it.
	suspectedByOthers bool
	// declaredDeadAt is when this router learned that the member is dead.
	declaredDeadAt time.Time
}

func newRoster(self Member, random *rand.Rand) *roster {
	if self.State == "" {
		self.State = Live
	}
	return &roster{
		self:            self,
		entries:         make(map[string]*rosterEntry),
		memberGossip:    newGossipQueue[Member](),
		random:          random,
		leavingVMs:      make(map[string]time.Time),
		leavingVMGossip: newGossipQueue[string](),
		busyProfiles:    make(map[string]busyEntry),
		busyGossip:      newGossipQueue[BusyProfile](),
	}
}

// setSelf replaces this router's own entry. A change of state gets a new
// sequence number and is gossiped.
func (roster *roster) setSelf(self Member) {
	if self.State != roster.self.State {
		self.Sequence = roster.self.Sequence + 1
		roster.memberGossip.add(self.Incarnation, self)
	}
	roster.changeCount++
	roster.self = self
}

// buildMessage returns the next message to a peer and counts its gossip as sent.
func (roster *roster) buildMessage() Message {
	fleetSize := len(roster.entries) + 1
	return Message{
		Sender:       roster.self,
		Members:      roster.memberGossip.take(maxMembersPerMessage, fleetSize),
		LeavingVMs:   roster.leavingVMGossip.take(maxLeavingVMsPerMessage, fleetSize),
		BusyProfiles: roster.busyGossip.take(maxBusyPerMessage, fleetSize),
	}
}

// receive applies a message from a peer.
func (roster *roster) receive(message Message, now time.Time) {
	roster.recordContact(message.Sender, now)
	for _, member := range message.Members {
		roster.applyGossip(member, now)
	}
	for _, address := range message.LeavingVMs {
		roster.recordLeavingVM(address, now)
	}
	for _, busy := range message.BusyProfiles {
		roster.recordBusy(busy, now)
	}
}

// recordContact applies the state that a member sent of itself, which also shows
// that the member is alive.
func (roster *roster) recordContact(member Member, now time.Time) {
	if member.Incarnation == "" || member.Incarnation == roster.self.Incarnation {
		return
	}
	entry, ok := roster.entries[member.Incarnation]
	if !ok {
		roster.addMember(member)
		return
	}
	if entry.member.State == Dead || member.Sequence < entry.member.Sequence {
		return
	}
	if member.Sequence > entry.member.Sequence {
		roster.memberGossip.add(member.Incarnation, member)
	}
	if member.State != entry.member.State {
		roster.changeCount++
	}
	entry.member = member
	entry.missedProbes = 0
	entry.suspectedByOthers = false
	if member.State == Dead {
		entry.declaredDeadAt = now
	}
}

// applyGossip applies the state of a member as received from another member.
func (roster *roster) applyGossip(member Member, now time.Time) {
	if member.Incarnation == roster.self.Incarnation {
		roster.refute(member)
		return
	}
	if member.State == Dead {
		roster.declareDead(member, now)
		return
	}
	entry, ok := roster.entries[member.Incarnation]
	if !ok {
		roster.addMember(member)
		roster.queueProbe(member.Incarnation)
		return
	}
	if entry.member.State == Dead {
		return
	}
	if member.State == Suspect {
		if entry.member.State != Suspect && member.Sequence >= entry.member.Sequence {
			entry.suspectedByOthers = true
			roster.queueProbe(member.Incarnation)
		}
		return
	}
	roster.applyNewer(entry, member)
}

// addMember adds and gossips a member that is not in the roster yet.
func (roster *roster) addMember(member Member) {
	if len(roster.entries) >= maxMembers {
		return
	}
	roster.changeCount++
	roster.entries[member.Incarnation] = &rosterEntry{member: member}
	roster.memberGossip.add(member.Incarnation, member)
}

// addFromTable adds a member read from the lease table, if it is new. It is not
// gossiped, because the other routers read the same rows.
func (roster *roster) addFromTable(member Member) {
	_, known := roster.entries[member.Incarnation]
	if known || member.Incarnation == roster.self.Incarnation || len(roster.entries) >= maxMembers {
		return
	}
	roster.entries[member.Incarnation] = &rosterEntry{member: member}
}

// applyNewer applies and gossips a state with a higher sequence number. A suspect
// member stays suspect, unless it is leaving, and is probed next.
func (roster *roster) applyNewer(entry *rosterEntry, member Member) {
	if member.Sequence <= entry.member.Sequence {
		return
	}
	roster.memberGossip.add(member.Incarnation, member)
	if entry.member.State == Suspect && member.State != Leaving {
		member.State = Suspect
		roster.queueProbe(member.Incarnation)
	}
	roster.changeCount++
	member.Revision = max(member.Revision, entry.member.Revision)
	entry.member = member
}

// refute answers gossip that this router is suspect by gossiping its own state
// with a higher sequence number.
func (roster *roster) refute(member Member) {
	if member.State != Suspect || member.Sequence < roster.self.Sequence {
		return
	}
	roster.changeCount++
	roster.self.Sequence = member.Sequence + 1
	roster.memberGossip.add(roster.self.Incarnation, roster.self)
}

// declareDead marks a member dead for good and gossips it.
func (roster *roster) declareDead(member Member, now time.Time) {
	entry, ok := roster.entries[member.Incarnation]
	if ok && entry.member.State == Dead {
		return
	}
	member.State = Dead
	roster.changeCount++
	roster.entries[member.Incarnation] = &rosterEntry{member: member, declaredDeadAt: now}
	roster.memberGossip.add(member.Incarnation, member)
}

// recordMissedProbe counts an unanswered probe and marks the member suspect after
// enough of them; until then the member is probed again next.
func (roster *roster) recordMissedProbe(incarnation string) {
	entry, ok := roster.entries[incarnation]
	if !ok || entry.member.State == Dead || entry.member.State == Suspect {
		return
	}
	entry.missedProbes++
	if entry.missedProbes < missedProbesToSuspect && !entry.suspectedByOthers {
		roster.queueProbe(incarnation)
		return
	}
	entry.member.State = Suspect
	roster.memberGossip.add(incarnation, entry.member)
}

// queueProbe queues a member to be probed before the regular round.
func (roster *roster) queueProbe(incarnation string) {
	if len(roster.priorityProbes) < maxPriorityProbes && !slices.Contains(roster.priorityProbes, incarnation) {
		roster.priorityProbes = append(roster.priorityProbes, incarnation)
	}
}

// nextProbeTarget returns the member to probe next: one of the priority queue,
// else the next of a shuffled round over all members that are not dead. It
// returns false if there is none.
func (roster *roster) nextProbeTarget() (Member, bool) {
	if member, ok := roster.popLiveMember(&roster.priorityProbes); ok {
		return member, true
	}
	if member, ok := roster.popLiveMember(&roster.roundProbes); ok {
		return member, true
	}
	for incarnation := range roster.entries {
		roster.roundProbes = append(roster.roundProbes, incarnation)
	}
	slices.Sort(roster.roundProbes)
	roster.random.Shuffle(len(roster.roundProbes), func(i, j int) {
		roster.roundProbes[i], roster.roundProbes[j] = roster.roundProbes[j], roster.roundProbes[i]
	})
	return roster.popLiveMember(&roster.roundProbes)
}

// popLiveMember removes incarnations from the queue up to and including the first
// that belongs to a member that is not dead, and returns that member.
func (roster *roster) popLiveMember(queue *[]string) (Member, bool) {
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

// expire removes busy profiles, dead members and leaving VMs whose retention time
// has passed.
func (roster *roster) expire(now time.Time) {
	roster.expireBusy(now)
	for incarnation, entry := range roster.entries {
		if entry.member.State == Dead && now.Sub(entry.declaredDeadAt) > deadRetention {
			delete(roster.entries, incarnation)
		}
	}
	for address, reportedAt := range roster.leavingVMs {
		if now.Sub(reportedAt) > leavingVMRetention {
			delete(roster.leavingVMs, address)
		}
	}
}

// members returns this router and all others that are not dead, sorted by
// incarnation. A reachable member on a leaving VM is returned as leaving.
func (roster *roster) members() []Member {
	members := []Member{roster.self}
	for _, entry := range roster.entries {
		if entry.member.State != Dead {
			members = append(members, entry.member)
		}
	}
	for i, member := range members {
		if member.IsReachable() && containsAddress(roster.leavingVMs, member.PeerAddress) {
			members[i] = member.WithState(Leaving)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return members
}
