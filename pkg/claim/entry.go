package claim

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// entryKind is the operation that an entry requests.
type entryKind int

const (
	// insertClaim writes a new claim.
	insertClaim entryKind = iota
	// endClaim writes the final state of a claim that this router owns.
	endClaim
	// fenceClaim withdraws the claim of an insert whose outcome is unknown. If
	// no claim exists, it writes a withdrawn one, so that a delayed insert
	// fails.
	fenceClaim
)

// entry is a queued operation on one claim. Several entries are committed in one
// transaction.
type entry struct {
	kind    entryKind
	request Request
	hour    hour
	key     platform.Key
	runID   string
	// finalRow holds the final state, result and reason, for endClaim and
	// fenceClaim.
	finalRow claimRow
	// fencedInsert is the insert that a fenceClaim entry withdraws. The goroutine
	// that submitted the insert may still be waiting.
	fencedInsert *entry
	// retriesEndedAt is when the retries of an insert ended without a known
	// outcome.
	retriesEndedAt time.Time
	// knownAbsent is set while the last read found no claim and no write of
	// this entry was sent after it.
	knownAbsent bool
	// waitCancelled is set if submit returned before the entry was completed,
	// because its context ended.
	waitCancelled bool
	completed     bool
	decision      Decision
	err           error
	done          chan struct{}
}

func (registry *Registry) newEntry(request Request) (*entry, error) {
	requestTime, err := TimeOf(request.RequestID)
	if err != nil {
		return nil, err
	}
	if requestTime.After(time.Now().Add(MaxClockSkew)) {
		return nil, futureRequestIDError(request)
	}
	hour := hourOf(requestTime)
	return &entry{request: request, hour: hour, key: hour.claimKey(request), done: make(chan struct{})}, nil
}

// submit queues an entry and waits for its decision. If ctx ends first and an
// insert succeeds afterwards, the control goroutine withdraws the claim.
func (registry *Registry) submit(ctx context.Context, entry *entry) (Decision, error) {
	if err := registry.enqueue(entry); err != nil {
		return Decision{}, err
	}
	select {
	case <-entry.done:
		return entry.decision, entry.err
	case <-ctx.Done():
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if entry.completed {
		return entry.decision, entry.err
	}
	entry.waitCancelled = true
	return Decision{}, waitCancelledError(entry.request, ctx.Err())
}

func (registry *Registry) enqueue(entry *entry) error {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.closed {
		return fault.New(fault.Config{
			Kind:    fault.Draining,
			Message: "this router is shutting down",
			Remedy:  "send the request to another router",
			Outcome: fault.OutcomeUnknown,
		})
	}
	registry.queue = append(registry.queue, entry)
	select {
	case registry.wake <- struct{}{}:
	default:
	}
	return nil
}

// complete sets the decision of an entry and ends the wait in submit. If the entry
// is a fence, it also completes the fenced insert. It returns true if this router
// now owns the claim but submit no longer waits, so that the request is never run.
func (registry *Registry) complete(entry *entry, decision Decision, err error) bool {
	if entry.fencedInsert != nil && err == nil {
		registry.completeFencedInsert(entry.fencedInsert, decision)
	}
	return registry.completeEntry(entry, decision, err)
}

// completeFencedInsert completes an insert with the decision of its fence: an
// error with outcome NotRun if the claim is withdrawn, otherwise the state of
// the claim that the table holds.
func (registry *Registry) completeFencedInsert(insert *entry, decision Decision) {
	if decision.State != Withdrawn {
		registry.completeEntry(insert, decision, nil)
		return
	}
	registry.completeEntry(insert, Decision{}, fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the claim of request " + insert.request.RequestID + " could not be written in time and is withdrawn",
		Remedy:  "retry with a new request id",
	}))
}

func (registry *Registry) completeEntry(entry *entry, decision Decision, err error) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if entry.completed {
		return false
	}
	entry.completed = true
	entry.decision = decision
	entry.err = err
	close(entry.done)
	if entry.kind != insertClaim && err == nil {
		registry.removeRunLocked(entry.key, entry.runID)
	}
	owned := entry.kind == insertClaim && decision.State == Owned && err == nil
	if owned {
		registry.ownedRuns[entry.key] = &run{id: entry.runID, done: make(chan struct{})}
	}
	return owned && entry.waitCancelled
}

// isWaitCancelled reports whether submit no longer waits for the entry.
func (registry *Registry) isWaitCancelled(entry *entry) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return entry.waitCancelled
}

// undecidedCopy returns a copy of the entry that has no decision yet.
func (entry *entry) undecidedCopy() *entry {
	entryCopy := newEntryFrom(entry)
	entryCopy.kind = entry.kind
	entryCopy.finalRow = entry.finalRow
	entryCopy.fencedInsert = entry.fencedInsert
	return entryCopy
}

func newEntryFrom(source *entry) *entry {
	return &entry{request: source.request, hour: source.hour, key: source.key, runID: source.runID, done: make(chan struct{})}
}

// newFence returns an entry that withdraws this insert.
func (entry *entry) newFence() *entry {
	fence := entry.undecidedCopy()
	fence.kind = fenceClaim
	fence.fencedInsert = entry
	fence.finalRow = claimRow{}.withFinalState(Withdrawn, Result{}, "")
	return fence
}

func futureRequestIDError(request Request) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "request id " + request.RequestID + " carries a time in the future",
		Remedy:  "correct the clock of the host that generates the request ids",
	})
}

// reusedRequestIDError has the outcome NotRun: the existing claim keeps this
// request from ever running under the same request id.
func reusedRequestIDError(request Request) error {
	return fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: "request id " + request.RequestID + " was already used for a request with different content",
		Remedy:  "send this request with a new request id",
	})
}

func waitCancelledError(request Request, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.DeadlineExceeded,
		Message: "timed out before the claim of request " + request.RequestID + " was decided",
		Remedy:  "retry with the same request id to learn the outcome",
		Outcome: fault.OutcomeUnknown,
		Cause:   cause,
	})
}

func undecidedError(entry *entry, cause error) error {
	outcome := fault.OutcomeUnknown
	if entry.knownAbsent {
		outcome = fault.NotRun
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the claim of request " + entry.request.RequestID + " could not be written",
		Remedy:  "retry with the same request id",
		Outcome: outcome,
		Cause:   cause,
	})
}
