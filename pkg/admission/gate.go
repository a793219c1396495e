// Package admission decides when a request may take an upstream: at once, after
// a wait in a fair queue, or not at all.
//
// The flow: Gate.Acquire takes a resource if one is free and nobody waits.
// Otherwise it refuses the request when the predicted wait passes its deadline,
// or queues it. Gate.Release and Gate.Wake hand resources to those that wait,
// in the queue's order. Nothing is granted past its deadline.
package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/queue"
)

const (
	// durationWeight is that of a new sample in the mean duration.
	durationWeight = 0.1
	// minRetryAfter is the shortest time that a refusal names.
	minRetryAfter = 100 * time.Millisecond
)

// errMaxWait means that a request has waited for Config.MaxWait.
var errMaxWait = errors.New("the longest wait has passed")

// Config configures a Gate for resources R that demands D ask for.
type Config[D, R any] struct {
	// Name is what the resources belong to, for messages.
	Name string
	// Capacity bounds the requests that wait.
	Capacity int
	// MaxWait is the longest time that a request waits; zero means no bound.
	MaxWait time.Duration
	// Take takes a resource. An error that is Full makes the request wait; any
	// other ends it.
	Take    func(demand D) (R, error)
	ErrFull error
	// Return gives back a resource that was taken for a request that has gone.
	Return func(resource R)
	// Now is the clock; nil means the system's.
	Now func() time.Time
}

// Request asks for a resource.
type Request[D any] struct {
	Demand   D
	Team     string
	Weight   float64
	Priority int
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Gate admits requests. It is safe for concurrent use.
type Gate[D, R any] struct {
	config  Config[D, R]
	mutex   sync.Mutex
	waiting *queue.Queue[*waiter[D, R]]
	running int
	// duration is the mean time for which a resource is held.
	duration time.Duration
}

// waiter is a request in the queue. Its grant is sent once, under the lock.
type waiter[D, R any] struct {
	demand   D
	deadline time.Time
	grant    chan grant[R]
}

type grant[R any] struct {
	resource R
	err      error
}

// NewGate returns a gate.
func NewGate[D, R any](config Config[D, R]) *Gate[D, R] {
	if config.Now == nil {
		config.Now = time.Now
	}
	waiting := queue.New[*waiter[D, R]](queue.Config{Capacity: config.Capacity})
	return &Gate[D, R]{config: config, waiting: waiting}
}

// Acquire returns a resource, which Release has to be told of. The error is a
// fault with the outcome NotRun, or that of Config.Take.
func (gate *Gate[D, R]) Acquire(ctx context.Context, request Request[D]) (R, error) {
	resource, waiter, ticket, err := gate.enter(request)
	if err != nil || waiter == nil {
		return resource, err
	}
	if gate.config.MaxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, gate.config.MaxWait, errMaxWait)
		defer cancel()
	}
	select {
	case grant := <-waiter.grant:
		return grant.resource, grant.err
	case <-ctx.Done():
		return gate.leave(ctx, waiter, ticket)
	}
}

// enter takes a resource, or queues the request and returns its waiter.
func (gate *Gate[D, R]) enter(request Request[D]) (R, *waiter[D, R], *queue.Ticket[*waiter[D, R]], error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.waiting.Len() == 0 {
		resource, err := gate.config.Take(request.Demand)
		if err == nil {
			gate.running++
		}
		if !errors.Is(err, gate.config.ErrFull) {
			return resource, nil, nil, err
		}
	}
	var none R
	entry := gate.entry(request)
	wait := gate.predict(entry)
	if late := gate.late(entry.Deadline, wait); late > 0 {
		return none, nil, nil, gate.overloaded("the request would not be done by its deadline", late)
	}
	if gate.config.MaxWait > 0 && wait > gate.config.MaxWait {
		return none, nil, nil, gate.overloaded("the wait would be too long", wait-gate.config.MaxWait)
	}
	ticket, evicted, err := gate.waiting.Push(entry)
	if err != nil {
		return none, nil, nil, gate.overloaded("too many requests wait", wait)
	}
	if evicted != nil {
		gate.refuse(evicted.Value, gate.overloaded("a request with more claim took the place in the queue", wait))
	}
	gate.wake()
	return none, entry.Value, ticket, nil
}

func (gate *Gate[D, R]) entry(request Request[D]) queue.Entry[*waiter[D, R]] {
	return queue.Entry[*waiter[D, R]]{
		Value:    &waiter[D, R]{demand: request.Demand, deadline: request.Deadline, grant: make(chan grant[R], 1)},
		Team:     request.Team,
		Weight:   request.Weight,
		Priority: request.Priority,
		Deadline: gate.latestStart(request.Deadline),
	}
}

// latestStart returns when a request has to start so that one of mean duration
// is done by the deadline. Work that starts later mostly runs in vain.
func (gate *Gate[D, R]) latestStart(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-gate.duration)
}

// predict returns how long the entry would wait.
func (gate *Gate[D, R]) predict(entry queue.Entry[*waiter[D, R]]) time.Duration {
	turns := gate.waiting.Ahead(entry) + 1
	return gate.duration * time.Duration(turns) / time.Duration(max(1, gate.running))
}

// late returns by how much the wait passes the latest start.
func (gate *Gate[D, R]) late(latestStart time.Time, wait time.Duration) time.Duration {
	if latestStart.IsZero() {
		return 0
	}
	return wait - latestStart.Sub(gate.config.Now())
}

func (gate *Gate[D, R]) overloaded(reason string, retryAfter time.Duration) error {
	return fault.New(fault.Config{
		Kind:       fault.Overloaded,
		Message:    "service " + gate.config.Name + " is overloaded: " + reason,
		Remedy:     "send the request again after the stated time",
		RetryAfter: max(retryAfter, minRetryAfter),
	})
}

func (gate *Gate[D, R]) expired() error {
	return fault.New(fault.Config{
		Kind:       fault.DeadlineExceeded,
		Message:    "the deadline passed while the request waited for service " + gate.config.Name,
		Remedy:     "send the request again with a later deadline",
		RetryAfter: minRetryAfter,
	})
}

// tooLate returns the error for a request that waited past its latest start.
func (gate *Gate[D, R]) tooLate(waiter *waiter[D, R], now time.Time) error {
	if now.Before(waiter.deadline) {
		return gate.overloaded("no upstream became free in time", gate.duration)
	}
	return gate.expired()
}

func (gate *Gate[D, R]) refuse(waiter *waiter[D, R], err error) {
	waiter.grant <- grant[R]{err: err}
}

// leave withdraws a request whose caller waits no longer. A resource that was
// granted meanwhile goes back.
func (gate *Gate[D, R]) leave(ctx context.Context, waiter *waiter[D, R], ticket *queue.Ticket[*waiter[D, R]]) (R, error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	var none R
	if !gate.waiting.Remove(ticket) {
		select {
		case grant := <-waiter.grant:
			if grant.err != nil {
				return none, grant.err
			}
			gate.config.Return(grant.resource)
			gate.running--
			gate.wake()
		default:
		}
	}
	if errors.Is(context.Cause(ctx), errMaxWait) {
		return none, gate.overloaded("the longest wait has passed", gate.duration)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return none, gate.expired()
	}
	return none, fault.New(fault.Config{
		Kind:    fault.DeadlineExceeded,
		Message: "the caller left while the request waited for service " + gate.config.Name,
		Remedy:  "send the request again",
		Cause:   ctx.Err(),
	})
}

// Adopt counts in a resource that is held without Acquire.
func (gate *Gate[D, R]) AddInUse() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.running++
}

// Release counts a resource out that is free again. The duration is how long
// the request took, or zero when it was broken off and says nothing of others.
func (gate *Gate[D, R]) Release(duration time.Duration) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.running--
	gate.observe(duration)
	gate.wake()
}

func (gate *Gate[D, R]) observe(duration time.Duration) {
	switch {
	case duration <= 0:
	case gate.duration == 0:
		gate.duration = duration
	default:
		gate.duration += time.Duration(durationWeight * float64(duration-gate.duration))
	}
}

// Wake hands out resources that became free by other means than Release.
func (gate *Gate[D, R]) DispatchWaiting() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.wake()
}

func (gate *Gate[D, R]) wake() {
	now := gate.config.Now()
	for {
		next, ok := gate.waiting.Peek(now)
		if !ok {
			break
		}
		resource, err := gate.config.Take(next.demand)
		if errors.Is(err, gate.config.ErrFull) {
			break
		}
		if err == nil {
			gate.running++
		}
		_, _ = gate.waiting.Pop(now)
		next.grant <- grant[R]{resource: resource, err: err}
	}
	for _, late := range gate.waiting.Expire(now) {
		gate.refuse(late, gate.tooLate(late, now))
	}
}

// Waiting returns the number of requests that wait.
func (gate *Gate[D, R]) Waiting() int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.waiting.Len()
}
