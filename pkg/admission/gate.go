// Package admission decides when a request gets an upstream: at once, after a
// wait in a fair queue, or not at all.
//
// The flow: Gate.Acquire takes a resource if one is free and the queue is empty.
// Otherwise it refuses the request if the predicted wait exceeds its deadline,
// or else queues it. Gate.Release and Gate.DispatchWaiting grant resources to
// the queued requests in the queue's order. No request gets a resource after
// its deadline.
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
	// durationWeight is the weight of a new sample in the moving average of the
	// time for which a resource is held.
	durationWeight = 0.1
	// minRetryAfter is the shortest delay before a retry that a refusal asks for.
	minRetryAfter = 100 * time.Millisecond
)

// errMaxWait is the cancellation cause of a request that was queued for
// Config.MaxWait.
var errMaxWait = errors.New("the maximum wait has passed")

// Config configures a Gate. D describes what a request needs; R is the resource
// that it gets, such as an upstream.
type Config[D, R any] struct {
	// Name is the name of the service in error messages.
	Name string
	// Capacity is the maximum number of queued requests.
	Capacity int
	// MaxWait is the longest time that a request is queued; zero means no limit.
	MaxWait time.Duration
	// Take takes a resource. If the error is ErrFull, the request is queued; any
	// other error is returned from Acquire.
	Take func(demand D) (R, error)
	// ErrFull is the error of Take when no resource is free.
	ErrFull error
	// Return gives back a resource that was taken for a request whose caller has
	// left.
	Return func(resource R)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Request asks for a resource.
type Request[D any] struct {
	Demand   D
	Team     string
	Weight   float64
	Priority int
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
}

// Gate grants resources to requests. It is safe for concurrent use.
type Gate[D, R any] struct {
	config Config[D, R]
	mutex  sync.Mutex
	queued *queue.Queue[*waiter[D, R]]
	// inUse is the number of resources held by requests.
	inUse int
	// meanDuration is the moving average of the time for which a resource is
	// held; zero until one was released.
	meanDuration time.Duration
}

// waiter is a queued request. Exactly one grant is sent to it, with the gate's
// mutex held, unless its caller leaves the queue first.
type waiter[D, R any] struct {
	demand   D
	deadline time.Time
	grant    chan grant[R]
}

// grant is the result of the wait: a resource, or the error that ended it.
type grant[R any] struct {
	resource R
	err      error
}

// NewGate returns a gate without queued requests.
func NewGate[D, R any](config Config[D, R]) *Gate[D, R] {
	if config.Now == nil {
		config.Now = time.Now
	}
	queued := queue.New[*waiter[D, R]](queue.Config{Capacity: config.Capacity})
	return &Gate[D, R]{config: config, queued: queued}
}

// Acquire returns a resource; the caller has to call Release when the resource
// is free again. The error is a fault with the outcome NotRun (overload, passed
// deadline or canceled context), or the error of Config.Take.
func (gate *Gate[D, R]) Acquire(ctx context.Context, request Request[D]) (R, error) {
	resource, waiter, ticket, err := gate.takeOrEnqueue(request)
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
		return gate.abandon(ctx, waiter, ticket)
	}
}

// takeOrEnqueue takes a resource, or queues the request and returns its waiter.
func (gate *Gate[D, R]) takeOrEnqueue(request Request[D]) (R, *waiter[D, R], *queue.Ticket[*waiter[D, R]], error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.queued.Len() == 0 {
		resource, err := gate.config.Take(request.Demand)
		if err == nil {
			gate.inUse++
		}
		if !errors.Is(err, gate.config.ErrFull) {
			return resource, nil, nil, err
		}
	}
	var none R
	entry := gate.newEntry(request)
	predictedWait := gate.predictWait(entry)
	if lateBy := gate.lateness(entry.Deadline, predictedWait); lateBy > 0 {
		return none, nil, nil, gate.overloaded("the request would not finish by its deadline", lateBy)
	}
	if gate.config.MaxWait > 0 && predictedWait > gate.config.MaxWait {
		return none, nil, nil, gate.overloaded("the predicted wait is too long", predictedWait-gate.config.MaxWait)
	}
	ticket, evicted, err := gate.queued.Push(entry)
	if err != nil {
		return none, nil, nil, gate.overloaded("too many requests are queued", predictedWait)
	}
	if evicted != nil {
		gate.sendError(evicted.Value, gate.overloaded("a request with a higher priority, or of a team with fewer queued requests for its weight, took its place in the queue", predictedWait))
	}
	gate.dispatchWaiting()
	return none, entry.Value, ticket, nil
}

func (gate *Gate[D, R]) newEntry(request Request[D]) queue.Entry[*waiter[D, R]] {
	return queue.Entry[*waiter[D, R]]{
		Value:    &waiter[D, R]{demand: request.Demand, deadline: request.Deadline, grant: make(chan grant[R], 1)},
		Team:     request.Team,
		Weight:   request.Weight,
		Priority: request.Priority,
		Deadline: gate.latestStart(request.Deadline),
	}
}

// latestStart returns when a request of mean duration has to start to finish by
// the deadline. Most requests that start later are wasted work.
func (gate *Gate[D, R]) latestStart(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-gate.meanDuration)
}

// predictWait returns how long the entry is expected to be queued.
func (gate *Gate[D, R]) predictWait(entry queue.Entry[*waiter[D, R]]) time.Duration {
	entriesToServe := gate.queued.Ahead(entry) + 1
	return gate.meanDuration * time.Duration(entriesToServe) / time.Duration(max(1, gate.inUse))
}

// lateness returns by how much the wait exceeds the time left until the latest
// start; it is zero without a deadline.
func (gate *Gate[D, R]) lateness(latestStart time.Time, wait time.Duration) time.Duration {
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
		Message:    "the deadline passed while the request was queued for service " + gate.config.Name,
		Remedy:     "send the request again with a later deadline",
		RetryAfter: minRetryAfter,
	})
}

// expiryError returns the error for a request queued until its latest start.
func (gate *Gate[D, R]) expiryError(waiter *waiter[D, R], now time.Time) error {
	if now.Before(waiter.deadline) {
		return gate.overloaded("no upstream became free early enough to finish by the deadline", gate.meanDuration)
	}
	return gate.expired()
}

func (gate *Gate[D, R]) sendError(waiter *waiter[D, R], err error) {
	waiter.grant <- grant[R]{err: err}
}

// abandon removes a request from the queue when its context ends. A resource
// that was granted in the meantime is returned.
func (gate *Gate[D, R]) abandon(ctx context.Context, waiter *waiter[D, R], ticket *queue.Ticket[*waiter[D, R]]) (R, error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	var none R
	if !gate.queued.Remove(ticket) {
		select {
		case grant := <-waiter.grant:
			if grant.err != nil {
				return none, grant.err
			}
			gate.config.Return(grant.resource)
			gate.inUse--
			gate.dispatchWaiting()
		default:
		}
	}
	if errors.Is(context.Cause(ctx), errMaxWait) {
		return none, gate.overloaded("the maximum wait has passed", gate.meanDuration)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return none, gate.expired()
	}
	return none, fault.New(fault.Config{
		Kind:    fault.DeadlineExceeded,
		Message: "the caller disconnected while the request was queued for service " + gate.config.Name,
		Remedy:  "send the request again",
		Cause:   ctx.Err(),
	})
}

// AddInUse counts a resource that a request holds without having called
// Acquire. Release has to be called for it as well.
func (gate *Gate[D, R]) AddInUse() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.inUse++
}

// Release records that a resource is free again and grants free resources to
// queued requests. The duration is how long the request held it; zero leaves the
// mean duration unchanged, for a request that was aborted.
func (gate *Gate[D, R]) Release(duration time.Duration) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.inUse--
	gate.recordDuration(duration)
	gate.dispatchWaiting()
}

func (gate *Gate[D, R]) recordDuration(duration time.Duration) {
	switch {
	case duration <= 0:
	case gate.meanDuration == 0:
		gate.meanDuration = duration
	default:
		gate.meanDuration += time.Duration(durationWeight * float64(duration-gate.meanDuration))
	}
}

// DispatchWaiting grants resources that became free by other means than Release
// to queued requests.
func (gate *Gate[D, R]) DispatchWaiting() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.dispatchWaiting()
}

func (gate *Gate[D, R]) dispatchWaiting() {
	now := gate.config.Now()
	for {
		next, ok := gate.queued.Peek(now)
		if !ok {
			break
		}
		resource, err := gate.config.Take(next.demand)
		if errors.Is(err, gate.config.ErrFull) {
			break
		}
		if err == nil {
			gate.inUse++
		}
		_, _ = gate.queued.Pop(now)
		next.grant <- grant[R]{resource: resource, err: err}
	}
	for _, expired := range gate.queued.Expire(now) {
		gate.sendError(expired, gate.expiryError(expired, now))
	}
}

// Waiting returns the number of queued requests.
func (gate *Gate[D, R]) Waiting() int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.queued.Len()
}
