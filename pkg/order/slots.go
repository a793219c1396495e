package order

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// slots bounds the loads that run at once in the whole fleet, so that they stay
// within the rate of the weight store. A slot is a lease, held from before the
// order until the engine has loaded.
type slots struct {
	leases *leaser
	count  int

	mutex sync.Mutex
	// held are the slots of this router, by upstream.
	held map[string]grip
}

func newSlots(leases *leaser, count int) *slots {
	return &slots{leases: leases, count: count, held: make(map[string]grip)}
}

// take gets a slot for an upstream, or renews the one that it has.
func (slots *slots) take(ctx context.Context, upstream string) error {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if held, ok := slots.held[upstream]; ok {
		return slots.renew(ctx, upstream, held)
	}
	var last error
	for i := range slots.count {
		held, err := slots.leases.acquire(ctx, strconv.Itoa(i), 0)
		if err == nil {
			slots.held[upstream] = held
			return nil
		}
		last = err
		if !fault.Is(err, fault.Conflict) {
			break
		}
	}
	return fault.New(fault.Config{
		Kind:    fault.Overloaded,
		Message: upstream + " waits for one of " + strconv.Itoa(slots.count) + " load slots",
		Remedy:  "wait until other loads are done, or raise the number of slots if the weight store bears it",
		Cause:   last,
	})
}

// renew prolongs a slot. One that was lost is forgotten.
func (slots *slots) renew(ctx context.Context, upstream string, held grip) error {
	renewed, err := slots.leases.renew(ctx, held)
	if err != nil {
		delete(slots.held, upstream)
		return err
	}
	slots.held[upstream] = renewed
	return nil
}

// keep prolongs the slot of an upstream that loads, if it has one.
func (slots *slots) keep(ctx context.Context, upstream string) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if held, ok := slots.held[upstream]; ok {
		_ = slots.renew(ctx, upstream, held)
	}
}

// free gives back the slot of an upstream, if it has one.
func (slots *slots) free(ctx context.Context, upstream string) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if held, ok := slots.held[upstream]; ok {
		delete(slots.held, upstream)
		_ = slots.leases.release(ctx, held)
	}
}

// retain gives back the slots of upstreams that no longer fall to this router.
func (slots *slots) retain(ctx context.Context, own []configuration.Upstream) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	for name, held := range slots.held {
		if slices.ContainsFunc(own, func(upstream configuration.Upstream) bool { return upstream.Name == name }) {
			continue
		}
		delete(slots.held, name)
		_ = slots.leases.release(ctx, held)
	}
}
