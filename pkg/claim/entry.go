package claim

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// entryKind says what an entry of a group wants.
type entryKind int

const (
	// insertClaim claims a request.
	insertClaim entryKind = iota
	// endClaim ends an owned claim.
	endClaim
	// fenceClaim withdraws an insert that may or may not have been applied. A
	// request without a claim gets a withdrawn one, so that the insert cannot
	// be applied any more.
	fenceClaim
)

// entry is one part of a group commit.
type entry struct {
	kind    entryKind
	request Request
	hour    hour
	key     platform.Key
	run     string
	// end is the last state, for endClaim.
	end claimRow
	// origin is the insert that a fence withdraws, while its caller waits.
	origin *entry
	// failedAt is when the table had not decided an insert within the retries.
	failedAt time.Time
	// absent is set while the last read showed no claim and nothing was sent
	// since.
	absent bool
	// left is set when the caller no longer waits; see Registry.submit.
	left     bool
	answered bool
	decision Decision
	err      error
	done     chan struct{}
}

func (registry *Registry) newEntry(request Request) (*entry, error) {
	at, err := TimeOf(request.RequestID)
	if err != nil {
		return nil, err
	}
	if at.After(time.Now().Add(MaxClockSkew)) {
		return nil, idFromFuture(request)
	}
	hour := hourOf(at)
	return &entry{request: request, hour: hour, key: hour.claimKey(request), done: make(chan struct{})}, nil
}

// submit queues an entry and waits for its decision. When ctx ends first, an
// insert that succeeds later is withdrawn by the control goroutine.
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
	if entry.answered {
		return entry.decision, entry.err
	}
	entry.left = true
	return Decision{}, gaveUp(entry.request, ctx.Err())
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

// answer gives an entry its decision, and the decision of a fence to the insert
// that it withdraws. It returns true when an owned claim has nobody to run it.
func (registry *Registry) answer(entry *entry, decision Decision, err error) bool {
	if entry.origin != nil && err == nil {
		registry.answerOrigin(entry.origin, decision)
	}
	return registry.answerOne(entry, decision, err)
}

// answerOrigin tells an insert that it is withdrawn for good, or what another
// run's claim says.
func (registry *Registry) answerOrigin(origin *entry, decision Decision) {
	if decision.State != Withdrawn {
		registry.answerOne(origin, decision, nil)
		return
	}
	registry.answerOne(origin, Decision{}, fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the claim of request " + origin.request.RequestID + " could not be written in time and is withdrawn",
		Remedy:  "retry with a new request id",
	}))
}

func (registry *Registry) answerOne(entry *entry, decision Decision, err error) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if entry.answered {
		return false
	}
	entry.answered = true
	entry.decision = decision
	entry.err = err
	close(entry.done)
	if entry.kind != insertClaim && err == nil {
		registry.forgetLocked(entry.key, entry.run)
	}
	owned := entry.kind == insertClaim && decision.State == Owned && err == nil
	if owned {
		registry.runs[entry.key] = &run{id: entry.run, done: make(chan struct{})}
	}
	return owned && entry.left
}

// hasLeft reports whether the caller of an entry no longer waits.
func (registry *Registry) hasLeft(entry *entry) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return entry.left
}

// again returns a copy of an entry that is not decided.
func (entry *entry) again() *entry {
	copied := newQueued(entry)
	copied.kind = entry.kind
	copied.end = entry.end
	copied.origin = entry.origin
	return copied
}

func newQueued(from *entry) *entry {
	return &entry{request: from.request, hour: from.hour, key: from.key, run: from.run, done: make(chan struct{})}
}

// fence returns the entry that withdraws an insert.
func (entry *entry) fence() *entry {
	fence := entry.again()
	fence.kind = fenceClaim
	fence.origin = entry
	fence.end = claimRow{}.WithEnd(Withdrawn, Result{}, "")
	return fence
}

func idFromFuture(request Request) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "the time of request id " + request.RequestID + " lies in the future",
		Remedy:  "correct the clock that makes the request ids",
	})
}

// idOfAnother is told as not run: the row that holds the id blocks this request
// for good.
func idOfAnother(request Request) error {
	return fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: "request id " + request.RequestID + " was used for a request of other content",
		Remedy:  "send this request under a new request id",
	})
}

func gaveUp(request Request, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.DeadlineExceeded,
		Message: "the claim of request " + request.RequestID + " was not decided in time",
		Remedy:  "retry with the same request id to learn the outcome",
		Outcome: fault.OutcomeUnknown,
		Cause:   cause,
	})
}

func undecided(entry *entry, cause error) error {
	outcome := fault.OutcomeUnknown
	if entry.absent {
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
