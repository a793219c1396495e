// Package admission decides when a request gets an upstream: at once, after a
// wait in a fair queue, or not at all.
//
// The flow: Gate.Acquire takes a resource if one is free and the queue is empty.
// Otherwise it queues the request, or refuses it if the queue is full or the
// predicted wait is too long. Gate.Release and Gate.DispatchWaiting grant
// resources to the queued requests in the queue's order. No queued request gets
// a resource after its deadline.
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
	// durationWeight is the weight of a new sample in Gate.meanDuration.
	durationWeight = 0.1
	// minRetryAfter is the shortest delay before a retry that a refusal asks for.
	minRetryAfter = 100 * time.Millisecond
)

// errMaxWait is the cancellation cause of a request that was queued for
// Config.MaxWait.
var errMaxWait = errors.New("the maximum wait has passed")

// Config configures a Gate. C is the type of the criteria that a request sets for
// its resource; R is the type of the resource, such as an upstream.
type Config[C, R any] struct {
	// Name is the name of the service in error messages.
	Name string
	// Capacity is the maximum number of queued requests.
	Capacity int
	// MaxWait is the maximum time for which a request is queued; zero means no
	// limit.
	MaxWait time.Duration
	// Take takes a free resource that meets the criteria. If the error is ErrFull,
	// the request is queued; Acquire returns any other error.
	Take func(criteria C) (R, error)
	// ErrFull is the error of Take when no resource is free.
	ErrFull error
	// Return returns a resource that was taken for a request whose caller
	// disconnected in the meantime.
	Return func(resource R)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Request is a request for a resource.
type Request[C any] struct {
	// Criteria are passed to Config.Take.
	Criteria C
	// Team, Weight and Priority determine the order in the queue; a higher
	// priority is served first.
	Team     string
	Weight   float64
	Priority int
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
}

// Gate grants resources to requests. It is safe for concurrent use.
type Gate[C, R any] struct {
	config Config[C, R]
	mutex  sync.Mutex
	queued *queue.Queue[*waiter[C, R]]
	// inUse is the number of resources held by requests.
	inUse int
	// meanDuration is the moving average of the time for which a resource is
	// held; zero until one was released.
	meanDuration time.Duration
}

// waiter is a queued request. Exactly one grant is sent to it, with the gate's
// mutex held, unless it is removed from the queue before.
type waiter[C, R any] struct {
	criteria C
	deadline time.Time
	grant    chan grant[R]
}

// grant is the result of the wait: a resource, or the error that ended it.
type grant[R any] struct {
	resource R
	err      error
}

// NewGate returns a gate without queued requests.
func NewGate[C, R any](config Config[C, R]) *Gate[C, R] {
	if config.Now == nil {
		config.Now = time.Now
	}
	queued := queue.New[*waiter[C, R]](queue.Config{Capacity: config.Capacity})
	return &Gate[C, R]{config: config, queued: queued}
}

// Acquire returns a resource. Release has to be called when the resource is free
// again. The error is a fault with the outcome NotRun (overload, passed deadline
// or canceled context), or the error of Config.Take.
func (gate *Gate[C, R]) Acquire(ctx context.Context, request Request[C]) (R, error) {
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
func (gate *Gate[C, R]) takeOrEnqueue(request Request[C]) (R, *waiter[C, R], *queue.Ticket[*waiter[C, R]], error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.queued.Len() == 0 {
		resource, err := gate.config.Take(request.Criteria)
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
		return none, nil, nil, gate.overloadedError("the request would not finish by its deadline", lateBy)
	}
	if gate.config.MaxWait > 0 && predictedWait > gate.config.MaxWait {
		return none, nil, nil, gate.overloadedError("the predicted wait is too long", predictedWait-gate.config.MaxWait)
	}
	ticket, evicted, err := gate.queued.Push(entry)
	if err != nil {
		return none, nil, nil, gate.overloadedError("too many requests are queued", predictedWait)
	}
	if evicted != nil {
		gate.sendError(evicted.Value, gate.overloadedError("a request with a higher priority, or of a team with fewer queued requests for its weight, took its place in the queue", predictedWait))
	}
	gate.dispatchWaiting()
	return none, entry.Value, ticket, nil
}

func (gate *Gate[C, R]) newEntry(request Request[C]) queue.Entry[*waiter[C, R]] {
	return queue.Entry[*waiter[C, R]]{
		Value:    &waiter[C, R]{criteria: request.Criteria, deadline: request.Deadline, grant: make(chan grant[R], 1)},
		Team:     request.Team,
		Weight:   request.Weight,
		Priority: request.Priority,
		Deadline: gate.latestStart(request.Deadline),
	}
}

// latestStart returns when a request of mean duration has to start to finish by
// the deadline. Most requests that start later don't finish in time, and their
// work is wasted.
func (gate *Gate[C, R]) latestStart(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-gate.meanDuration)
}

// predictWait returns how long the entry is expected to be queued.
func (gate *Gate[C, R]) predictWait(entry queue.Entry[*waiter[C, R]]) time.Duration {
	entriesToServe := gate.queued.EntriesAhead(entry) + 1
	return gate.meanDuration * time.Duration(entriesToServe) / time.Duration(max(1, gate.inUse))
}

// lateness returns by how much the wait exceeds the time until the latest start;
// it is zero without a deadline.
func (gate *Gate[C, R]) lateness(latestStart time.Time, wait time.Duration) time.Duration {
	if latestStart.IsZero() {
		return 0
	}
	return wait - latestStart.Sub(gate.config.Now())
}

func (gate *Gate[C, R]) overloadedError(reason string, retryAfter time.Duration) error {
	return fault.New(fault.Config{
		Kind:       fault.Overloaded,
		Message:    "service " + gate.config.Name + " is overloaded: " + reason,
		Remedy:     "send the request again after the stated time",
		RetryAfter: max(retryAfter, minRetryAfter),
	})
}

func (gate *Gate[C, R]) deadlinePassedError() error {
	return fault.New(fault.Config{
		Kind:       fault.DeadlineExceeded,
		Message:    "the deadline passed while the request was queued for service " + gate.config.Name,
		Remedy:     "send the request again with a later deadline",
		RetryAfter: minRetryAfter,
	})
}

// queueExpiryError returns the error for a request that was queued until its
// latest start or later.
func (gate *Gate[C, R]) queueExpiryError(waiter *waiter[C, R], now time.Time) error {
	if now.Before(waiter.deadline) {
		return gate.overloadedError("no upstream became free early enough to finish by the deadline", gate.meanDuration)
	}
	return gate.deadlinePassedError()
}

func (gate *Gate[C, R]) sendError(waiter *waiter[C, R], err error) {
	waiter.grant <- grant[R]{err: err}
}

// abandon removes a request from the queue when its context ends. A resource
// that was granted in the meantime is returned.
func (gate *Gate[C, R]) abandon(ctx context.Context, waiter *waiter[C, R], ticket *queue.Ticket[*waiter[C, R]]) (R, error) {
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
		return none, gate.overloadedError("the maximum wait has passed", gate.meanDuration)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return none, gate.deadlinePassedError()
	}
	return none, fault.New(fault.Config{
		Kind:    fault.DeadlineExceeded,
		Message: "the caller disconnected while the request was queued for service " + gate.config.Name,
		Remedy:  "send the request again",
		Cause:   ctx.Err(),
	})
}

// AddInUse counts a resource that a request holds although Acquire wasn't called
// for it. Release has to be called for it as well.
func (gate *Gate[C, R]) AddInUse() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.inUse++
}

// Release records that a resource is free again and grants free resources to
// queued requests. The duration is how long the request held it; zero leaves the
// mean duration unchanged, for a request that was aborted.
func (gate *Gate[C, R]) Release(duration time.Duration) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.inUse--
	gate.recordDuration(duration)
	gate.dispatchWaiting()
}

func (gate *Gate[C, R]) recordDuration(duration time.Duration) {
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
func (gate *Gate[C, R]) DispatchWaiting() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.dispatchWaiting()
}

func (gate *Gate[C, R]) dispatchWaiting() {
	now := gate.config.Now()
	for {
		next, ok := gate.queued.Peek(now)
		if !ok {
			break
		}
		resource, err := gate.config.Take(next.criteria)
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
		gate.sendError(expired, gate.queueExpiryError(expired, now))
	}
}

// Waiting returns the number of queued requests.
func (gate *Gate[C, R]) Waiting() int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.queued.Len()
}
