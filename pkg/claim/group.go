package claim

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// maxGroup bounds the entries of one transaction. Each needs one write, and in
// the worst case one check of a seal.
const maxGroup = platform.MaxTransactionWrites / 2

// fenceWait bounds the wait of a caller for the withdrawal of its claim.
const fenceWait = 2 * time.Second

// maxUnfinished bounds the entries that are kept for later.
const maxUnfinished = 10000

// commitQueued commits what is queued, in groups.
func (registry *Registry) commitQueued(ctx context.Context) {
	queued := registry.takeQueue()
	for len(queued) > 0 {
		group, rest := splitGroup(queued)
		registry.commit(ctx, group)
		queued = rest
	}
}

func (registry *Registry) takeQueue() []*entry {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	queued := registry.queue
	registry.queue = nil
	return queued
}

// splitGroup returns the first entries of different keys, and the others.
func splitGroup(queued []*entry) ([]*entry, []*entry) {
	var group, rest []*entry
	seen := make(map[platform.Key]bool)
	for _, entry := range queued {
		if len(group) == maxGroup || seen[entry.key] {
			rest = append(rest, entry)
			continue
		}
		seen[entry.key] = true
		group = append(group, entry)
	}
	return group, rest
}

// commit decides all entries of a group. After a conflict the group is split,
// so that one contended claim does not hold up the others.
func (registry *Registry) commit(ctx context.Context, group []*entry) {
	err := registry.retrier.Run(ctx, func(callContext context.Context) error {
		group = undecidedOf(group)
		err := registry.attempt(callContext, group)
		if fault.Is(err, fault.Conflict) && len(group) > 1 {
			half := len(group) / 2
			registry.commit(ctx, group[:half])
			registry.commit(ctx, group[half:])
			return nil
		}
		return err
	})
	for _, entry := range undecidedOf(group) {
		registry.fail(entry, err)
	}
}

func undecidedOf(group []*entry) []*entry {
	var left []*entry
	for _, entry := range group {
		select {
		case <-entry.done:
		default:
			left = append(left, entry)
		}
	}
	return left
}

// attempt reads the rows of the group, answers what they decide, and writes the
// rest in one transaction.
func (registry *Registry) attempt(ctx context.Context, group []*entry) error {
	if len(group) == 0 {
		return nil
	}
	rows, seals, err := registry.read(ctx, group)
	if err != nil {
		return err
	}
	plan := newGroupPlan(registry.config.Incarnation, seals)
	for i, entry := range group {
		row, err := decode[claimRow](rows[i])
		if err != nil {
			registry.answer(entry, Decision{}, err)
			continue
		}
		registry.place(plan, entry, rows[i], row)
	}
	return registry.write(ctx, plan)
}

// read returns the rows of the group and the seals of its hours.
func (registry *Registry) read(ctx context.Context, group []*entry) ([]platform.Item, map[hour]platform.Item, error) {
	keys := make([]platform.Key, 0, 2*len(group))
	for _, entry := range group {
		keys = append(keys, entry.key)
	}
	seals := make(map[hour]platform.Item)
	var hours []hour
	for _, entry := range group {
		if _, ok := seals[entry.hour]; !ok {
			seals[entry.hour] = platform.Item{}
			hours = append(hours, entry.hour)
			keys = append(keys, entry.hour.sealKey())
		}
	}
	items, err := registry.table.Get(ctx, keys...)
	if err != nil {
		return nil, nil, err
	}
	for i, hour := range hours {
		seals[hour] = items[len(group)+i]
	}
	return items[:len(group)], seals, nil
}

// groupPlan collects the writes of a group.
type groupPlan struct {
	owner   string
	seals   map[hour]platform.Item
	checked map[hour]bool
	writes  []platform.Write
	entries []*entry
}

func newGroupPlan(owner string, seals map[hour]platform.Item) *groupPlan {
	return &groupPlan{owner: owner, seals: seals, checked: make(map[hour]bool)}
}

func (plan *groupPlan) add(entry *entry, item platform.Item, row claimRow) {
	plan.writes = append(plan.writes, platform.PutIfUnchanged(item, row))
	plan.entries = append(plan.entries, entry)
	if !plan.checked[entry.hour] {
		plan.checked[entry.hour] = true
		plan.writes = append(plan.writes, platform.Write{
			Key:       entry.hour.sealKey(),
			Action:    platform.Check,
			Condition: platform.Condition{Kind: platform.IfAbsent},
		})
	}
}

// place answers an entry that its row decides, or plans its write.
func (registry *Registry) place(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	entry.absent = item.Version == 0
	if entry.kind != insertClaim && plan.seals[entry.hour].Version != 0 {
		registry.answer(entry, tooOld(), nil)
		return
	}
	switch entry.kind {
	case insertClaim:
		registry.placeInsert(plan, entry, item, row)
	case endClaim:
		registry.placeEnd(plan, entry, item, row)
	case fenceClaim:
		registry.placeFence(plan, entry, item, row)
	}
}

func (registry *Registry) placeInsert(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	sealed := plan.seals[entry.hour].Version != 0
	switch {
	case plan.owns(entry, row) && row.State == Running:
		registry.answerOwned(entry)
	case row.isOfAnother(entry.request):
		registry.answer(entry, Decision{}, idOfAnother(entry.request))
	case item.Version != 0:
		registry.answer(entry, row.decision(), nil)
	case sealed || registry.isOld(entry):
		registry.answer(entry, tooOld(), nil)
	case registry.hasLeft(entry):
		registry.answer(entry, Decision{}, undecided(entry, nil))
	default:
		plan.add(entry, item, newClaimRow(plan.owner, entry))
	}
}

func (registry *Registry) placeEnd(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	switch {
	case !plan.owns(entry, row):
		registry.answer(entry, Decision{}, notOwned(entry.request))
	case row.State == Running:
		plan.add(entry, item, row.WithEnd(entry.end.State, entry.end.Result, entry.end.Reason))
	case row.State == entry.end.State:
		registry.answer(entry, row.decision(), nil)
	default:
		registry.answer(entry, Decision{}, notOwned(entry.request))
	}
}

func (registry *Registry) placeFence(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	switch {
	case item.Version == 0:
		plan.add(entry, item, newClaimRow(plan.owner, entry).WithEnd(Withdrawn, Result{}, ""))
	case plan.owns(entry, row) && row.State == Running:
		plan.add(entry, item, row.WithEnd(Withdrawn, Result{}, ""))
	default:
		registry.answer(entry, row.decision(), nil)
	}
}

// owns reports whether the row was written by the run of the entry.
func (plan *groupPlan) owns(entry *entry, row claimRow) bool {
	return row.Owner == plan.owner && row.Run == entry.run
}

func tooOld() Decision {
	return Decision{State: Unknown, Reason: "the request is older than claims are kept"}
}

// isOld reports whether this router's clock says that the claim may have been
// removed. The seal of the hour decides where clocks differ.
func (registry *Registry) isOld(entry *entry) bool {
	at, err := TimeOf(entry.request.RequestID)
	return err != nil || time.Since(at) > registry.config.Retention
}

func (registry *Registry) write(ctx context.Context, plan *groupPlan) error {
	if len(plan.writes) == 0 {
		return nil
	}
	registry.metrics.groups.Inc()
	for _, entry := range plan.entries {
		entry.absent = false
	}
	err := registry.table.Transact(ctx, platform.Transaction{Writes: plan.writes})
	if err != nil {
		return err
	}
	for _, entry := range plan.entries {
		if entry.kind == insertClaim {
			registry.answerOwned(entry)
			continue
		}
		registry.answer(entry, entry.end.decision(), nil)
	}
	return nil
}

// answerOwned hands an owned claim to its caller, or withdraws it when the
// caller has left.
func (registry *Registry) answerOwned(entry *entry) {
	registry.metrics.claims.Inc()
	if registry.answer(entry, Decision{State: Owned, Owner: registry.config.Incarnation}, nil) {
		registry.later(entry.fence())
	}
}

// fail deals with an entry that the table did not decide. An end is tried again
// until the table has it. An insert that may have been applied is fenced off;
// its caller waits up to fenceWait for that, to be told that nothing ran.
func (registry *Registry) fail(entry *entry, cause error) {
	registry.metrics.undecided.Inc()
	switch {
	case entry.kind == insertClaim && entry.absent:
		registry.answer(entry, Decision{}, undecided(entry, cause))
	case entry.kind == insertClaim:
		entry.failedAt = time.Now()
		registry.later(entry.fence())
	default:
		registry.giveUpOrigin(entry, cause)
		registry.later(entry.again())
		registry.answer(entry, Decision{}, undecided(entry, cause))
	}
}

// giveUpOrigin ends the wait of an insert whose fence was not decided in time.
func (registry *Registry) giveUpOrigin(fence *entry, cause error) {
	origin := fence.origin
	if origin != nil && time.Since(origin.failedAt) >= fenceWait {
		registry.answer(origin, Decision{}, undecided(origin, cause))
	}
}

// later keeps an entry for the next round of retries.
func (registry *Registry) later(entry *entry) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if len(registry.unfinished) < maxUnfinished {
		registry.unfinished = append(registry.unfinished, entry)
	}
}

// dropUnfinished answers the callers of entries that are not tried again.
func (registry *Registry) dropUnfinished() {
	registry.mutex.Lock()
	dropped := registry.unfinished
	registry.unfinished = nil
	registry.mutex.Unlock()
	for _, entry := range dropped {
		if entry.origin != nil {
			registry.answer(entry.origin, Decision{}, undecided(entry.origin, nil))
		}
	}
}

// requeue queues the entries that were kept for later.
func (registry *Registry) requeue() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.queue = append(registry.queue, registry.unfinished...)
	registry.unfinished = nil
}
