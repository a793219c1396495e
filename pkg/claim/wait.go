package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The pauses between two reads of another router's claim.
const (
	firstPoll = 50 * time.Millisecond
	lastPoll  = time.Second
)

// Wait joins a running request: it returns once the claim has ended, or with
// State Running or Unknown at the deadline. The errors are fault.Invalid and
// fault.Unavailable.
func (registry *Registry) Wait(ctx context.Context, request Request) (Decision, error) {
	entry, err := registry.newEntry(request)
	if err != nil {
		return Decision{}, err
	}
	ctx, cancel := waitContext(ctx, request)
	defer cancel()
	polls := &backoff.ExponentialBackOff{
		InitialInterval:     firstPoll,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         lastPoll,
	}
	for {
		decision, err := registry.look(ctx, entry)
		if err == nil && decision.State != Running {
			return decision, nil
		}
		if !registry.pause(ctx, entry, polls.NextBackOff()) {
			return decision, err
		}
	}
}

func waitContext(ctx context.Context, request Request) (context.Context, context.CancelFunc) {
	if request.Deadline.IsZero() {
		return context.WithTimeout(ctx, DefaultWait)
	}
	return context.WithDeadline(ctx, request.Deadline)
}

// look reads the claim as it is now.
func (registry *Registry) look(ctx context.Context, entry *entry) (Decision, error) {
	items, err := registry.table.Get(ctx, entry.key)
	if err != nil {
		return Decision{State: Unknown, Reason: "the table does not answer"}, undecided(entry, err)
	}
	row, err := decode[claimRow](items[0])
	if err != nil {
		return Decision{}, err
	}
	if items[0].Version == 0 {
		return Decision{State: Unknown, Reason: "there is no claim of the request"}, nil
	}
	return registry.judge(row.decision()), nil
}

// pause waits until the next read. It returns false when ctx ends.
func (registry *Registry) pause(ctx context.Context, entry *entry, duration time.Duration) bool {
	var ended <-chan struct{}
	if running, ok := registry.owned(entry.key); ok {
		ended = running.done
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ended:
	case <-timer.C:
	}
	return true
}
