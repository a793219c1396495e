package dispatch

import (
	"context"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// UpstreamDispatcher dispatches work to the upstreams of the configuration.
type UpstreamDispatcher struct {
	config Config
	mutex  sync.Mutex
	pools  map[string]*pool
	// closing is set when no new work is taken.
	closing bool
	running sync.WaitGroup
}

var _ Dispatcher = (*UpstreamDispatcher)(nil)

// NewDispatcher returns a running dispatcher.
func NewDispatcher(config Config) *UpstreamDispatcher {
	return &UpstreamDispatcher{config: config.withDefaults(), pools: make(map[string]*pool)}
}

// Dispatch runs the work and writes its answer to the sink. A nil error means
// that the whole answer was written: the end marker of a stream is not an event.
func (dispatcher *UpstreamDispatcher) Dispatch(ctx context.Context, work Work, sink Sink) (Result, error) {
	if !dispatcher.enter() {
		return Result{Outcome: fault.NotRun}, fault.New(fault.Config{
			Kind:    fault.Draining,
			Message: "the router is shutting down",
			Remedy:  "send the request to another router",
		})
	}
	defer dispatcher.running.Done()
	if !work.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, work.Deadline)
		defer cancel()
	}
	run := newRun(dispatcher, dispatcher.pool(work.Service), work, sink)
	return run.do(ctx)
}

// enter counts a request in unless the dispatcher is closing.
func (dispatcher *UpstreamDispatcher) enter() bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.closing {
		return false
	}
	dispatcher.running.Add(1)
	return true
}

func (dispatcher *UpstreamDispatcher) pool(service string) *pool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	found, ok := dispatcher.pools[service]
	if !ok {
		found = newPool(dispatcher.config, service)
		dispatcher.pools[service] = found
	}
	return found
}

// Pressure returns how full the service's pool is: 0 when idle, 1 when all its
// slots are taken, and more when work waits.
func (dispatcher *UpstreamDispatcher) Pressure(service string) float64 {
	return dispatcher.pool(service).pressure()
}

// Close refuses new work, waits for running work and releases connections. It
// returns the context's error when work still runs at its end.
func (dispatcher *UpstreamDispatcher) Close(ctx context.Context) error {
	dispatcher.mutex.Lock()
	dispatcher.closing = true
	dispatcher.mutex.Unlock()
	done := make(chan struct{})
	go func() {
		dispatcher.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		dispatcher.release()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (dispatcher *UpstreamDispatcher) release() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, pool := range dispatcher.pools {
		pool.close()
	}
}

// controlContext outlives a caller that is gone, so that its attempt can be
// cancelled at the engine.
func controlContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
}

// cancelTimeout bounds the cancelling of an attempt.
const cancelTimeout = 3 * time.Second
