package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Limits and intervals of the background loops.
const (
	// renewalsPerLease is how many times a lease is renewed, and read by its
	// watchers, within its duration.
	renewalsPerLease = 3
	// watchersPerLease is the number of routers that watch each lease.
	watchersPerLease = 2
	// maxPeersNotifiedOnLeave is the number of peers that a leaving router
	// notifies directly; gossip carries its state to the others.
	maxPeersNotifiedOnLeave = 8
	// leaseListIntervalPerMember is multiplied by the number of members to get
	// the interval at which one router reads all leases, so that the read rate of
	// the whole fleet does not grow with its size.
	leaseListIntervalPerMember = 2 * time.Second
	maxLeaseListInterval       = 15 * time.Minute
	// vmListIntervalPerMember is multiplied by the number of members to get the
	// interval at which one router reads the VM list, so that the read rate of
	// the whole fleet does not grow with its size.
	vmListIntervalPerMember = 500 * time.Millisecond
	minVMListInterval       = 2 * time.Second
	maxVMListInterval       = 3 * time.Minute
	// platformTimeout is the time limit of one platform operation.
	platformTimeout = 3 * time.Second
)

func (membership *Membership) renewLoop() {
	for {
		if err := membership.renew(membership.ctx); err != nil {
			membership.warn("renew the lease", err)
		}
		if !membership.waitJittered(membership.config.LeaseDuration/renewalsPerLease, membership.renewNow) {
			return
		}
	}
}

// renew writes the lease row with the current state of this router.
func (membership *Membership) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	membership.leaseMutex.Lock()
	defer membership.leaseMutex.Unlock()
	if membership.lease.ended {
		return nil
	}
	err := membership.lease.renew(ctx, membership.Self())
	if err == nil && !membership.lease.ended {
		membership.registered.Store(true)
	}
	if membership.lease.ended {
		membership.handleFenced()
	}
	return err
}

// handleFenced marks this router dead after other routers declared it dead, and
// calls OnFenced.
func (membership *Membership) handleFenced() {
	_ = level.Error(membership.config.Logger).Log("msg", "other routers declared this router dead; it must restart as a new incarnation")
	membership.update(func() {
		membership.roster.setSelf(membership.roster.self.WithState(Dead))
	})
	membership.config.OnFenced()
}

// listLoop periodically reads all leases, so that routers discover each other.
// The interval starts at a third of the lease duration and doubles with each
// read, up to one proportional to the fleet's size, so that the read rate of the
// whole fleet stays constant.
func (membership *Membership) leaseListLoop() {
	startupInterval := membership.config.LeaseDuration / renewalsPerLease
	for {
		if err := membership.readLeases(membership.ctx); err != nil {
			membership.warn("read the leases of all routers", err)
			if !membership.waitJittered(time.Second, nil) {
				return
			}
			continue
		}
		interval := time.Duration(len(membership.Members())) * leaseListIntervalPerMember
		interval = max(interval, membership.config.LeaseDuration/renewalsPerLease)
		if !membership.waitJittered(min(interval, startupInterval, maxLeaseListInterval), nil) {
			return
		}
		startupInterval = min(2*startupInterval, maxLeaseListInterval)
	}
}

func (membership *Membership) readLeases(ctx context.Context) error {
	lastKey := ""
	for {
		items, err := membership.queryLeases(ctx, lastKey)
		if err != nil {
			return err
		}
		membership.update(func() {
			for _, item := range items {
				row, err := decodeLease(item)
				if err == nil && row.Member.Incarnation != "" {
					membership.roster.addFromTable(row.Member)
				}
			}
		})
		if len(items) < platform.DefaultQueryLimit {
			return nil
		}
		lastKey = items[len(items)-1].Key.Sort
	}
}

func (membership *Membership) queryLeases(ctx context.Context, after string) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return membership.config.Table.Query(ctx, platform.Query{Partition: partitionLease, After: after})
}

// watchLoop checks the leases that this router watches.
func (membership *Membership) watchLoop() {
	watcher := newWatcher(membership.config.LeaseDuration)
	for membership.waitJittered(membership.config.LeaseDuration/renewalsPerLease, nil) {
		membership.checkWatchedLeases(watcher)
		membership.update(func() { membership.roster.expire(time.Now()) })
	}
}

func (membership *Membership) checkWatchedLeases(watcher *watcher) {
	keys := watchedLeases(membership.Self().Incarnation, membership.Members())
	if len(keys) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(membership.ctx, platformTimeout)
	defer cancel()
	readStarted := time.Now()
	items, err := membership.config.Table.Get(ctx, keys...)
	if err != nil {
		watcher.reset()
		membership.warn("read the watched leases", err)
		return
	}
	for i := range items {
		items[i].Key = keys[i]
	}
	for _, item := range watcher.observe(items, readStarted, time.Now()) {
		membership.handleExpiredLease(ctx, item)
	}
}

// handleExpiredLease declares the holder of an expired lease dead, unless it
// answers a probe. If the row does not exist, there are no tokens to charge: the
// holder has deregistered, another router has closed the incarnation already, or
// the holder has not yet written its first row and so holds no tokens (see
// IsRegistered).
func (membership *Membership) handleExpiredLease(ctx context.Context, item platform.Item) {
	incarnation := item.Key.Sort
	member, ok := membership.findMember(incarnation)
	if !ok {
		return
	}
	if membership.answersProbe(member) {
		_ = level.Warn(membership.config.Logger).Log("msg", "router answers probes but its lease has expired", "incarnation", incarnation)
		return
	}
	if item.Version == 0 {
		membership.update(func() { membership.roster.declareDead(member, time.Now()) })
		return
	}
	if err := membership.closeIncarnation(ctx, item); err != nil {
		membership.warn("close incarnation "+incarnation+" of a dead router", err)
		return
	}
	_ = level.Info(membership.config.Logger).Log("msg", "closed a dead incarnation", "incarnation", incarnation)
	membership.update(func() { membership.roster.declareDead(member, time.Now()) })
}

// closeIncarnation marks the holder of a lease dead, calls OnDead for it, which
// charges its tokens, and deletes the lease. Until all three steps succeed the
// lease stays watched, and a later call repeats them.
func (membership *Membership) closeIncarnation(ctx context.Context, item platform.Item) error {
	if err := markDead(ctx, membership.config.Table, item); err != nil {
		return err
	}
	if err := membership.config.OnDead(ctx, item.Key.Sort); err != nil {
		return err
	}
	return deleteDeadLease(ctx, membership.config.Table, item.Key.Sort)
}

// findMember returns the member with an incarnation, unless it is dead.
func (membership *Membership) findMember(incarnation string) (Member, bool) {
	for _, member := range membership.Members() {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}

// answersProbe probes a member once and reports whether it answered.
func (membership *Membership) answersProbe(member Member) bool {
	return membership.config.Prober != nil && membership.probe(membership.ctx, member) == nil
}

// probeLoop probes one member per ProbeInterval.
func (membership *Membership) probeLoop() {
	for membership.waitJittered(membership.config.ProbeInterval, nil) {
		var member Member
		var ok bool
		membership.runControl(func() { member, ok = membership.roster.nextProbeTarget() })
		if !ok {
			continue
		}
		membership.startGoroutine(func() {
			if err := membership.probe(membership.ctx, member); err != nil {
				membership.update(func() { membership.roster.recordMissedProbe(member.Incarnation) })
			}
		})
	}
}

// probe exchanges messages with a member. It returns an error if the member
// does not answer, or if another incarnation answers at its address.
func (membership *Membership) probe(ctx context.Context, member Member) error {
	ctx, cancel := context.WithTimeout(ctx, membership.config.ProbeTimeout)
	defer cancel()
	var message Message
	membership.runControl(func() { message = membership.roster.buildMessage() })
	response, err := membership.config.Prober.Probe(ctx, member.PeerAddress, message)
	if err != nil {
		return err
	}
	membership.runControl(func() { membership.receive(response) })
	membership.config.OnRevision(response.Sender.Revision)
	if response.Sender.Incarnation != member.Incarnation {
		return replacedError(member, response.Sender)
	}
	return nil
}

// replacedError is returned when another incarnation answers at a member's
// address, which does not show that the member is alive.
func replacedError(member, answering Member) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "incarnation " + answering.Incarnation + " answers at the address of " + member.Incarnation,
		Remedy:  "wait until the lease of the earlier incarnation has expired; it is then declared dead",
	})
}

// notifyPeers sends this router's state to a few random peers without waiting
// for their turn to be probed.
func (membership *Membership) notifyPeers(ctx context.Context) {
	if membership.config.Prober == nil {
		return
	}
	members := slices.Clone(membership.Members())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var group sync.WaitGroup
	notified := 0
	for _, member := range members {
		if member.Incarnation == membership.config.Self.Incarnation || !member.IsReachable() || notified == maxPeersNotifiedOnLeave {
			continue
		}
		notified++
		group.Go(func() {
			if err := membership.probe(ctx, member); err != nil {
				membership.warn("notify "+member.Incarnation, err)
			}
		})
	}
	group.Wait()
}

// vmLoop periodically reads the platform's VM list. The interval grows with the
// fleet's size, since routers gossip leaving VMs to each other.
func (membership *Membership) vmListLoop() {
	for {
		if err := membership.readVMList(membership.ctx); err != nil {
			membership.warn("read the list of VMs", err)
		}
		interval := time.Duration(len(membership.Members())) * vmListIntervalPerMember
		if !membership.waitJittered(min(max(interval, minVMListInterval), maxVMListInterval), nil) {
			return
		}
	}
}

func (membership *Membership) readVMList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := membership.config.VMs.List(ctx)
	if err != nil {
		return err
	}
	membership.update(func() { membership.roster.applyVMList(vms, time.Now()) })
	return nil
}
