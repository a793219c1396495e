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

// Bounds of the loops.
const (
	// renewalsPerLease is how often a lease is renewed and watched within its
	// duration.
	renewalsPerLease = 3
	// watchersPerLease is how many routers watch each lease.
	watchersPerLease = 2
	// toldOnLeave is how many peers hear of a leaving router from itself.
	toldOnLeave = 8
	// fleetListInterval is the time between reads of the whole partition of
	// leases, by all routers together.
	fleetListInterval = 2 * time.Second
	maxListInterval   = 15 * time.Minute
	// fleetVMInterval is the time between reads of the VM list, by all routers
	// together.
	fleetVMInterval = 500 * time.Millisecond
	minVMInterval   = 2 * time.Second
	maxVMInterval   = 3 * time.Minute
	// tableTimeout bounds one exchange with the platform.
	tableTimeout = 3 * time.Second
)

// renewLoop renews the lease.
func (membership *Membership) renewLoop() {
	for {
		if err := membership.renew(membership.ctx); err != nil {
			membership.warn("renew the lease", err)
		}
		if !membership.pause(membership.config.LeaseDuration/renewalsPerLease, membership.renewNow) {
			return
		}
	}
}

// renew writes the row with what the router says of itself now.
func (membership *Membership) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	membership.leaseMutex.Lock()
	defer membership.leaseMutex.Unlock()
	if membership.lease.lost {
		return nil
	}
	err := membership.lease.renew(ctx, membership.Self())
	if err == nil && !membership.lease.lost {
		membership.registered.Store(true)
	}
	if membership.lease.lost {
		membership.fenced()
	}
	return err
}

// fenced notes that other routers took this one for dead.
func (membership *Membership) fenced() {
	_ = level.Error(membership.config.Logger).Log("msg", "other routers took this one for dead; it has to start again")
	membership.do(func() {
		membership.roster.setSelf(membership.roster.self.WithState(Dead))
	})
	membership.config.OnFenced()
}

// listLoop reads all rows now and then, so that routers find each other. The
// time between reads doubles from a third of a lease on, up to one that grows
// with the fleet, so that all routers together read at a constant rate.
func (membership *Membership) listLoop() {
	early := membership.config.LeaseDuration / renewalsPerLease
	for {
		if err := membership.readList(membership.ctx); err != nil {
			membership.warn("read the list of routers", err)
			if !membership.pause(time.Second, nil) {
				return
			}
			continue
		}
		interval := time.Duration(len(membership.Members())) * fleetListInterval
		interval = max(interval, membership.config.LeaseDuration/renewalsPerLease)
		if !membership.pause(min(interval, early, maxListInterval), nil) {
			return
		}
		early = min(2*early, maxListInterval)
	}
}

func (membership *Membership) readList(ctx context.Context) error {
	after := ""
	for {
		items, err := membership.query(ctx, after)
		if err != nil {
			return err
		}
		membership.do(func() {
			for _, item := range items {
				row, err := decodeLease(item)
				if err == nil && row.Member.Incarnation != "" {
					membership.roster.list(row.Member)
				}
			}
		})
		if len(items) < platform.DefaultQueryLimit {
			return nil
		}
		after = items[len(items)-1].Key.Sort
	}
}

func (membership *Membership) query(ctx context.Context, after string) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return membership.config.Table.Query(ctx, platform.Query{Partition: partitionLease, After: after})
}

// watchLoop watches the leases that fall to this router.
func (membership *Membership) watchLoop() {
	watcher := newWatcher(membership.config.LeaseDuration)
	for membership.pause(membership.config.LeaseDuration/renewalsPerLease, nil) {
		membership.watchOnce(watcher)
		membership.do(func() { membership.roster.expire(time.Now()) })
	}
}

func (membership *Membership) watchOnce(watcher *watcher) {
	keys := watched(membership.Self().Incarnation, membership.Members())
	if len(keys) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(membership.ctx, tableTimeout)
	defer cancel()
	began := time.Now()
	items, err := membership.config.Table.Get(ctx, keys...)
	if err != nil {
		watcher.forget()
		membership.warn("watch leases", err)
		return
	}
	for i := range items {
		items[i].Key = keys[i]
	}
	for _, item := range watcher.see(items, began, time.Now()) {
		membership.lapsed(ctx, item)
	}
}

// lapsed deals with a lease that was not renewed for its whole duration. A row
// that is gone was deleted by its holder, or by the router that closed what the
// holder held: a router holds nothing before its first row (Registered).
func (membership *Membership) lapsed(ctx context.Context, item platform.Item) {
	incarnation := item.Key.Sort
	member, ok := membership.find(incarnation)
	if !ok {
		return
	}
	if membership.answers(member) {
		_ = level.Warn(membership.config.Logger).Log("msg", "router answers but can't renew its lease", "incarnation", incarnation)
		return
	}
	if item.Version == 0 {
		membership.do(func() { membership.roster.bury(member, time.Now()) })
		return
	}
	if err := membership.closeDead(ctx, item); err != nil {
		membership.warn("close what "+incarnation+" held", err)
		return
	}
	_ = level.Info(membership.config.Logger).Log("msg", "closed what a dead router held", "incarnation", incarnation)
	membership.do(func() { membership.roster.bury(member, time.Now()) })
}

// closeDead marks a router dead, closes what it held and deletes its lease.
// Until all of it succeeds the lease stays watched, and the steps are repeated.
func (membership *Membership) closeDead(ctx context.Context, item platform.Item) error {
	if err := markDead(ctx, membership.config.Table, item); err != nil {
		return err
	}
	if err := membership.config.OnDead(ctx, item.Key.Sort); err != nil {
		return err
	}
	return removeDead(ctx, membership.config.Table, item.Key.Sort)
}

// find returns a member that is not dead.
func (membership *Membership) find(incarnation string) (Member, bool) {
	for _, member := range membership.Members() {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}

// answers probes a member once.
func (membership *Membership) answers(member Member) bool {
	return membership.config.Prober != nil && membership.probe(membership.ctx, member) == nil
}

// probeLoop probes one member at each interval.
func (membership *Membership) probeLoop() {
	for membership.pause(membership.config.ProbeInterval, nil) {
		var member Member
		var ok bool
		membership.run(func() { member, ok = membership.roster.target() })
		if !ok {
			continue
		}
		membership.start(func() {
			if err := membership.probe(membership.ctx, member); err != nil {
				membership.do(func() { membership.roster.miss(member.Incarnation) })
			}
		})
	}
}

// probe exchanges messages with a member.
func (membership *Membership) probe(ctx context.Context, member Member) error {
	ctx, cancel := context.WithTimeout(ctx, membership.config.ProbeTimeout)
	defer cancel()
	var message Message
	membership.run(func() { message = membership.roster.message() })
	answer, err := membership.config.Prober.Probe(ctx, member.PeerAddress, message)
	if err != nil {
		return err
	}
	membership.run(func() { membership.hear(answer) })
	membership.config.OnRevision(answer.Sender.Revision)
	if answer.Sender.Incarnation != member.Incarnation {
		return replacedError(member, answer.Sender)
	}
	return nil
}

// replacedError tells that another incarnation answers at a member's address,
// which proves nothing about the member.
func replacedError(member, answering Member) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "incarnation " + answering.Incarnation + " answers at the address of " + member.Incarnation,
		Remedy:  "the earlier one is closed when its lease has lapsed",
	})
}

// tellPeers speaks to some members at once.
func (membership *Membership) tellPeers(ctx context.Context) {
	if membership.config.Prober == nil {
		return
	}
	members := slices.Clone(membership.Members())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var group sync.WaitGroup
	told := 0
	for _, member := range members {
		if member.Incarnation == membership.config.Self.Incarnation || !member.IsReachable() || told == toldOnLeave {
			continue
		}
		told++
		group.Go(func() {
			if err := membership.probe(ctx, member); err != nil {
				membership.warn("tell "+member.Incarnation, err)
			}
		})
	}
	group.Wait()
}

// vmLoop reads the platform's list of VMs. The time between reads grows with
// the fleet; what one router read, it passes on.
func (membership *Membership) vmLoop() {
	for {
		if err := membership.readVMs(membership.ctx); err != nil {
			membership.warn("read the list of VMs", err)
		}
		interval := time.Duration(len(membership.Members())) * fleetVMInterval
		if !membership.pause(min(max(interval, minVMInterval), maxVMInterval), nil) {
			return
		}
	}
}

func (membership *Membership) readVMs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	vms, err := membership.config.VMs.List(ctx)
	if err != nil {
		return err
	}
	membership.do(func() { membership.roster.takeVMs(vms, time.Now()) })
	return nil
}
