package dispatch

import (
	"context"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// UpstreamDispatcher dispatches work to the configured upstreams.
type UpstreamDispatcher struct {
	config   Config
	metrics  *metrics
	monitor  *upstream.Monitor
	mutex    sync.RWMutex
	services map[string]*service
	// closing is set when new work is refused.
	closing        bool
	activeRequests sync.WaitGroup
}

var _ Dispatcher = (*UpstreamDispatcher)(nil)

// NewDispatcher returns a running dispatcher. The caller must call Close.
func NewDispatcher(config Config) *UpstreamDispatcher {
	config = config.withDefaults()
	dispatcher := &UpstreamDispatcher{
		config:   config,
		metrics:  newMetrics(config.Registerer),
		services: make(map[string]*service),
	}
	dispatcher.monitor = upstream.NewMonitor(upstream.MonitorConfig{
		Pools:          dispatcher.pools,
		Logger:         config.Logger,
		PollInterval:   config.PollInterval,
		PollsPerSecond: config.PollsPerSecond,
		OnChange:       dispatcher.wakeWaiting,
	})
	return dispatcher
}

// Dispatch runs the work and writes its answer to the sink. A nil error means
// that the complete answer was written. The end marker of a stream is not written as
// an event. The error is a fault (pkg/fault) that states the outcome.
func (dispatcher *UpstreamDispatcher) Dispatch(ctx context.Context, work Work, sink Sink) (Result, error) {
	if !dispatcher.beginRequest() {
		return Result{Outcome: fault.NotRun}, fault.New(fault.Config{
			Kind:    fault.Draining,
			Message: "the router is shutting down",
			Remedy:  "send the request to another router",
		})
	}
	defer dispatcher.activeRequests.Done()
	if !work.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, work.Deadline)
		defer cancel()
	}
	run := newRun(dispatcher, dispatcher.serviceFor(work.Service), work, sink)
	result, err := run.do(ctx)
	dispatcher.metrics.observeOutcome(work.Service, result.Outcome)
	return result, err
}

// beginRequest registers an active request. It reports false if the dispatcher is
// closing.
func (dispatcher *UpstreamDispatcher) beginRequest() bool {
	dispatcher.mutex.RLock()
	defer dispatcher.mutex.RUnlock()
	if dispatcher.closing {
		return false
	}
	dispatcher.activeRequests.Add(1)
	return true
}

func (dispatcher *UpstreamDispatcher) serviceFor(name string) *service {
	dispatcher.mutex.RLock()
	existing, ok := dispatcher.services[name]
	dispatcher.mutex.RUnlock()
	if ok {
		return existing
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if existing, ok := dispatcher.services[name]; ok {
		return existing
	}
	created := newService(dispatcher.config, dispatcher.metrics, name)
	dispatcher.services[name] = created
	dispatcher.metrics.registerService(created)
	return created
}

func (dispatcher *UpstreamDispatcher) pools() []*upstream.Pool {
	dispatcher.mutex.RLock()
	defer dispatcher.mutex.RUnlock()
	pools := make([]*upstream.Pool, 0, len(dispatcher.services))
	for _, service := range dispatcher.services {
		pools = append(pools, service.pool)
	}
	return pools
}

// wakeWaiting lets waiting requests of the pool's service try to acquire a member
// again.
func (dispatcher *UpstreamDispatcher) wakeWaiting(pool *upstream.Pool) {
	dispatcher.serviceFor(pool.Service()).gate.DispatchWaiting()
}

// Pressure returns the running and waiting requests of the service divided by its
// upstreams' concurrency limits: 0 when idle, 1 at the limits, and above 1 when
// requests wait.
func (dispatcher *UpstreamDispatcher) Pressure(service string) float64 {
	return dispatcher.serviceFor(service).pressure()
}

// Close refuses new work, waits for running work and closes connections. If the
// context ends first, it returns the context's error and leaves the connections
// open.
func (dispatcher *UpstreamDispatcher) Close(ctx context.Context) error {
	dispatcher.mutex.Lock()
	dispatcher.closing = true
	dispatcher.mutex.Unlock()
	done := make(chan struct{})
	go func() {
		dispatcher.activeRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
		dispatcher.monitor.Close()
		dispatcher.closePools()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (dispatcher *UpstreamDispatcher) closePools() {
	for _, pool := range dispatcher.pools() {
		pool.Close()
	}
}

// controlContext returns a context that is not cancelled when the caller
// disconnects, so that its attempt can still be cancelled at the engine.
func controlContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), controlTimeout)
}

// controlTimeout bounds the calls that cancel an attempt or read its record.
const controlTimeout = 3 * time.Second
