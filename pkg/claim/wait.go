package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
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
	row, err := decode[claimRow](items[0])
	if err != nil {
		return Decision{}, err
	}
	if items[0].Version == 0 {
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
