package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Bounds of the interval between two reads of a running claim.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// Wait waits for the end of the claim of a request and returns its final state.
// At the deadline of the request, or after DefaultWaitTimeout if it has none, it
// returns the state that it read last, such as Running. The errors are
// fault.Invalid, fault.Unavailable if the last read failed, and fault.Internal if
// the row is unreadable.
func (registry *Registry) Wait(ctx context.Context, request Request) (Decision, error) {
	entry, err := registry.newEntry(request)
	if err != nil {
		return Decision{}, err
	}
	ctx, cancel := waitContext(ctx, request)
	defer cancel()
	pollBackoff := &backoff.ExponentialBackOff{
		InitialInterval:     minPollInterval,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         maxPollInterval,
	}
	for {
		decision, err := registry.readDecision(ctx, entry)
		if err == nil && decision.State != Running {
			return decision, nil
		}
		if !registry.waitForPoll(ctx, entry, pollBackoff.NextBackOff()) {
			return decision, err
		}
	}
}

// Lookup returns the present state of the claim of a request, without waiting and
// without claiming it. The errors are fault.Invalid, fault.Unavailable if the table does
// not answer, and fault.Internal if the row is unreadable.
func (registry *Registry) Lookup(ctx context.Context, request Request) (Decision, error) {
	entry, err := registry.newEntry(request)
	if err != nil {
		return Decision{}, err
	}
	items, err := registry.table.Get(ctx, entry.key, entry.hour.sealKey())
	if err != nil {
		return Decision{}, undecidedError(entry, err)
	}
	if items[0].Version == 0 && items[1].Version == 0 {
		return Decision{State: Unclaimed}, nil
	}
	return registry.decisionOf(items[0])
}

func waitContext(ctx context.Context, request Request) (context.Context, context.CancelFunc) {
	if request.Deadline.IsZero() {
		return context.WithTimeout(ctx, DefaultWaitTimeout)
	}
	return context.WithDeadline(ctx, request.Deadline)
}

// readDecision reads the current state of the claim.
func (registry *Registry) readDecision(ctx context.Context, entry *entry) (Decision, error) {
	items, err := registry.table.Get(ctx, entry.key)
	if err != nil {
		return Decision{State: Unknown, Reason: "the table does not answer"}, undecidedError(entry, err)
	}
	return registry.decisionOf(items[0])
}

// decisionOf returns the state that the row of a claim states.
func (registry *Registry) decisionOf(item platform.Item) (Decision, error) {
	row, err := decode[claimRow](item)
	if err != nil {
		return Decision{}, err
	}
	if item.Version == 0 {
		return Decision{State: Unknown, Reason: "there is no claim of the request"}, nil
	}
	return registry.resolveDeadOwner(row.decision()), nil
}

// waitForPoll waits for the given duration, or until a run of this router ends
// the claim. It returns false if ctx ends first.
func (registry *Registry) waitForPoll(ctx context.Context, entry *entry, duration time.Duration) bool {
	var runEnded <-chan struct{}
	if run, ok := registry.ownedRun(entry.key); ok {
		runEnded = run.done
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-runEnded:
	case <-timer.C:
	}
	return true
}
