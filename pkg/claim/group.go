package claim

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// maxGroupEntries is the maximum number of entries in one transaction. An entry
// needs one write and, if it is the first of its hour, one seal check.
const maxGroupEntries = platform.MaxTransactionWrites / 2

// maxFenceWait is how long a caller waits for the withdrawal of its claim after
// the insert ran out of retries.
const maxFenceWait = 2 * time.Second

// maxRetryEntries is the maximum length of the retry queue. Further entries are
// dropped.
const maxRetryEntries = 10000

// commitQueued commits all queued entries, one group at a time.
func (registry *Registry) commitQueued(ctx context.Context) {
	queued := registry.takeQueue()
	for len(queued) > 0 {
		group, remaining := nextGroup(queued)
		registry.commitGroup(ctx, group)
		queued = remaining
	}
}

func (registry *Registry) takeQueue() []*entry {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	queued := registry.queue
	registry.queue = nil
	return queued
}

// nextGroup splits a queue into up to maxGroupEntries entries with distinct keys
// and the remaining entries.
func nextGroup(queued []*entry) ([]*entry, []*entry) {
	var group, remaining []*entry
	groupKeys := make(map[platform.Key]bool)
	for _, entry := range queued {
		if len(group) == maxGroupEntries || groupKeys[entry.key] {
			remaining = append(remaining, entry)
			continue
		}
		groupKeys[entry.key] = true
		group = append(group, entry)
	}
	return group, remaining
}

// commitGroup commits the entries of a group with retries. After a conflict it
// splits the group in half, so that one contended claim does not delay the
// others.
func (registry *Registry) commitGroup(ctx context.Context, group []*entry) {
	err := registry.retrier.Run(ctx, func(attemptCtx context.Context) error {
		group = undecidedEntries(group)
		err := registry.tryCommit(attemptCtx, group)
		if fault.Is(err, fault.Conflict) && len(group) > 1 {
			half := len(group) / 2
			registry.commitGroup(ctx, group[:half])
			registry.commitGroup(ctx, group[half:])
			return nil
		}
		return err
	})
	for _, entry := range undecidedEntries(group) {
		registry.handleUndecided(entry, err)
	}
}

// undecidedEntries returns the entries that have no decision yet.
func undecidedEntries(group []*entry) []*entry {
	var undecided []*entry
	for _, entry := range group {
		select {
		case <-entry.done:
		default:
			undecided = append(undecided, entry)
		}
	}
	return undecided
}

// tryCommit reads the rows of the group, completes the entries that the rows
// already decide, and writes the remaining ones in one transaction.
func (registry *Registry) tryCommit(ctx context.Context, group []*entry) error {
	if len(group) == 0 {
		return nil
	}
	rows, seals, err := registry.readGroup(ctx, group)
	if err != nil {
		return err
	}
	plan := newGroupPlan(registry.config.Incarnation, seals)
	for i, entry := range group {
		row, err := decode[claimRow](rows[i])
		if err != nil {
			registry.complete(entry, Decision{}, err)
			continue
		}
		registry.planEntry(plan, entry, rows[i], row)
	}
	return registry.writePlan(ctx, plan)
}

// readGroup returns the claim rows of the group, in its order, and the seals of
// its hours.
func (registry *Registry) readGroup(ctx context.Context, group []*entry) ([]platform.Item, map[hour]platform.Item, error) {
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

// groupPlan holds the writes of one transaction and the entries that they
// complete.
type groupPlan struct {
	owner       string
	seals       map[hour]platform.Item
	sealChecked map[hour]bool
	writes      []platform.Write
	entries     []*entry
}

func newGroupPlan(owner string, seals map[hour]platform.Item) *groupPlan {
	return &groupPlan{owner: owner, seals: seals, sealChecked: make(map[hour]bool)}
}

func (plan *groupPlan) add(entry *entry, item platform.Item, row claimRow) {
	plan.writes = append(plan.writes, platform.PutIfUnchanged(item, row))
	plan.entries = append(plan.entries, entry)
	if !plan.sealChecked[entry.hour] {
		plan.sealChecked[entry.hour] = true
		plan.writes = append(plan.writes, platform.Write{
			Key:       entry.hour.sealKey(),
			Action:    platform.Check,
			Condition: platform.Condition{Kind: platform.IfAbsent},
		})
	}
}

// planEntry completes an entry if its row already decides it, and plans its
// write otherwise.
func (registry *Registry) planEntry(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	entry.knownAbsent = item.Version == 0
	if entry.kind != insertClaim && plan.seals[entry.hour].Version != 0 {
		registry.complete(entry, expiredDecision(), nil)
		return
	}
	switch entry.kind {
	case insertClaim:
		registry.planInsert(plan, entry, item, row)
	case endClaim:
		registry.planEnd(plan, entry, item, row)
	case fenceClaim:
		registry.planFence(plan, entry, item, row)
	}
}

func (registry *Registry) planInsert(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	sealed := plan.seals[entry.hour].Version != 0
	switch {
	case plan.ownsRow(entry, row) && row.State == Running:
		registry.completeOwned(entry)
	case row.hasOtherFingerprint(entry.request):
		registry.complete(entry, Decision{}, reusedRequestIDError(entry.request))
	case item.Version != 0:
		registry.complete(entry, row.decision(), nil)
	case sealed || registry.isExpired(entry):
		registry.complete(entry, expiredDecision(), nil)
	case registry.isWaitCancelled(entry):
		registry.complete(entry, Decision{}, undecidedError(entry, nil))
	default:
		plan.add(entry, item, newClaimRow(plan.owner, entry))
	}
}

func (registry *Registry) planEnd(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	switch {
	case !plan.ownsRow(entry, row):
		registry.complete(entry, Decision{}, notOwnedError(entry.request))
	case row.State == Running:
		plan.add(entry, item, row.withFinalState(entry.finalRow.State, entry.finalRow.Result, entry.finalRow.Reason))
	case row.State == entry.finalRow.State:
		registry.complete(entry, row.decision(), nil)
	default:
		registry.complete(entry, Decision{}, notOwnedError(entry.request))
	}
}

func (registry *Registry) planFence(plan *groupPlan, entry *entry, item platform.Item, row claimRow) {
	switch {
	case item.Version == 0:
		plan.add(entry, item, newClaimRow(plan.owner, entry).withFinalState(Withdrawn, Result{}, ""))
	case plan.ownsRow(entry, row) && row.State == Running:
		plan.add(entry, item, row.withFinalState(Withdrawn, Result{}, ""))
	default:
		registry.complete(entry, row.decision(), nil)
	}
}

// ownsRow reports whether the row was written by this router for the run of the
// entry.
func (plan *groupPlan) ownsRow(entry *entry, row claimRow) bool {
	return row.Owner == plan.owner && row.RunID == entry.runID
}

func expiredDecision() Decision {
	return Decision{State: Unknown, Reason: "the request is older than the retention of claims"}
}

// isExpired reports whether the claim may have been removed according to this
// router's clock. If the clocks of routers differ, the seal of the hour decides.
func (registry *Registry) isExpired(entry *entry) bool {
	requestTime, err := TimeOf(entry.request.RequestID)
	return err != nil || time.Since(requestTime) > registry.config.Retention
}

func (registry *Registry) writePlan(ctx context.Context, plan *groupPlan) error {
	if len(plan.writes) == 0 {
		return nil
	}
	registry.metrics.groupCommits.Inc()
	for _, entry := range plan.entries {
		entry.knownAbsent = false
	}
	err := registry.table.Transact(ctx, platform.Transaction{Writes: plan.writes})
	if err != nil {
		return err
	}
	for _, entry := range plan.entries {
		if entry.kind == insertClaim {
			registry.completeOwned(entry)
			continue
		}
		registry.complete(entry, entry.finalRow.decision(), nil)
	}
	return nil
}

// completeOwned completes an insert whose claim this router owns, and schedules
// the withdrawal of the claim if submit no longer waits for the entry.
func (registry *Registry) completeOwned(entry *entry) {
	registry.metrics.ownedClaims.Inc()
	if registry.complete(entry, Decision{State: Owned, Owner: registry.config.Incarnation}, nil) {
		registry.scheduleRetry(entry.newFence())
	}
}

// handleUndecided handles an entry whose outcome the table did not return within
// the retries. A final state is retried until the table accepts it. An insert
// that may have been applied is fenced; its caller waits up to maxFenceWait for
// the fence, since the request can then be reported as not run.
func (registry *Registry) handleUndecided(entry *entry, cause error) {
	registry.metrics.undecidedEntries.Inc()
	switch {
	case entry.kind == insertClaim && entry.knownAbsent:
		registry.complete(entry, Decision{}, undecidedError(entry, cause))
	case entry.kind == insertClaim:
		entry.retriesEndedAt = time.Now()
		registry.scheduleRetry(entry.newFence())
	default:
		registry.expireFencedInsert(entry, cause)
		registry.scheduleRetry(entry.undecidedCopy())
		registry.complete(entry, Decision{}, undecidedError(entry, cause))
	}
}

// expireFencedInsert completes the insert of an undecided fence with an unknown
// outcome once its caller has waited for maxFenceWait.
func (registry *Registry) expireFencedInsert(fence *entry, cause error) {
	insert := fence.fencedInsert
	if insert != nil && time.Since(insert.retriesEndedAt) >= maxFenceWait {
		registry.complete(insert, Decision{}, undecidedError(insert, cause))
	}
}

// scheduleRetry adds an entry to the retry queue.
func (registry *Registry) scheduleRetry(entry *entry) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if len(registry.retryQueue) < maxRetryEntries {
		registry.retryQueue = append(registry.retryQueue, entry)
	}
}

// dropRetries empties the retry queue and completes the inserts that wait for
// its fences with an unknown outcome.
func (registry *Registry) dropRetries() {
	registry.mutex.Lock()
	dropped := registry.retryQueue
	registry.retryQueue = nil
	registry.mutex.Unlock()
	for _, entry := range dropped {
		if entry.fencedInsert != nil {
			registry.complete(entry.fencedInsert, Decision{}, undecidedError(entry.fencedInsert, nil))
		}
	}
}

// requeueRetries moves the retry queue to the commit queue.
func (registry *Registry) requeueRetries() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.queue = append(registry.queue, registry.retryQueue...)
	registry.retryQueue = nil
}
