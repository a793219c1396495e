package order

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// slots limits how many engines of the fleet load weights at the same time, so
// that the weight store is not overloaded. A slot is a lease that is held from
// before the order until the engine has loaded.
type slots struct {
	leases *leaseManager
	count  int

	mutex sync.Mutex
	// byUpstream holds the slots of this router by the name of the upstream.
	byUpstream map[string]heldLease
}

func newSlots(leases *leaseManager, count int) *slots {
	return &slots{leases: leases, count: count, byUpstream: make(map[string]heldLease)}
}

// acquire acquires a slot for an upstream, or renews the one that it holds.
func (slots *slots) acquire(ctx context.Context, upstream string) error {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if lease, ok := slots.byUpstream[upstream]; ok {
		return slots.renewLocked(ctx, upstream, lease)
	}
	var lastErr error
	for i := range slots.count {
		lease, err := slots.leases.acquire(ctx, strconv.Itoa(i), 0)
		if err == nil {
			slots.byUpstream[upstream] = lease
			return nil
		}
		lastErr = err
		if !fault.Is(err, fault.Conflict) {
			break
		}
	}
	return fault.New(fault.Config{
		Kind:    fault.Overloaded,
		Message: upstream + " waits for one of " + strconv.Itoa(slots.count) + " load slots",
		Remedy:  "wait until other loads have finished, or raise the number of slots if the weight store can serve more loads at once",
		Cause:   lastErr,
	})
}

// renewLocked renews a slot and removes it if the renewal fails. The caller must
// hold slots.mutex.
func (slots *slots) renewLocked(ctx context.Context, upstream string, lease heldLease) error {
	renewed, err := slots.leases.renew(ctx, lease)
	if err != nil {
		delete(slots.byUpstream, upstream)
		return err
	}
	slots.byUpstream[upstream] = renewed
	return nil
}

// renewIfHeld renews the slot of an upstream whose engine is loading, if it holds
// one.
func (slots *slots) renewIfHeld(ctx context.Context, upstream string) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if lease, ok := slots.byUpstream[upstream]; ok {
		_ = slots.renewLocked(ctx, upstream, lease)
	}
}

// release releases the slot of an upstream, if it holds one.
func (slots *slots) release(ctx context.Context, upstream string) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if lease, ok := slots.byUpstream[upstream]; ok {
		delete(slots.byUpstream, upstream)
		_ = slots.leases.release(ctx, lease)
	}
}

// releaseUnassigned releases the slots of upstreams that are no longer assigned
// to this router.
func (slots *slots) releaseUnassigned(ctx context.Context, assigned []configuration.Upstream) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	for name, lease := range slots.byUpstream {
		if slices.ContainsFunc(assigned, func(upstream configuration.Upstream) bool { return upstream.Name == name }) {
			continue
		}
		delete(slots.byUpstream, name)
		_ = slots.leases.release(ctx, lease)
	}
}
