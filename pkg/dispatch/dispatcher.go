package dispatch

import (
	"context"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// UpstreamDispatcher dispatches work to the upstreams of the configuration.
type UpstreamDispatcher struct {
	config   Config
	metrics  *metrics
	monitor  *upstream.Monitor
	mutex    sync.RWMutex
	services map[string]*service
	// closing is set when no new work is taken.
	closing bool
	running sync.WaitGroup
}

var _ Dispatcher = (*UpstreamDispatcher)(nil)

// NewDispatcher returns a running dispatcher.
func NewDispatcher(config Config) *UpstreamDispatcher {
	config = config.withDefaults()
	dispatcher := &UpstreamDispatcher{
		config:   config,
		metrics:  newMetrics(config.Registerer),
		services: make(map[string]*service),
	}
	dispatcher.monitor = upstream.NewMonitor(upstream.MonitorConfig{
		Pools:        dispatcher.pools,
		Logger:       config.Logger,
		PollInterval: config.PollInterval,
		PollRate:     config.PollRate,
		OnChange:     dispatcher.wake,
	})
	return dispatcher
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
	run := newRun(dispatcher, dispatcher.service(work.Service), work, sink)
	result, err := run.do(ctx)
	dispatcher.metrics.ended(work.Service, result.Outcome)
	return result, err
}

// enter counts a request in unless the dispatcher is closing.
func (dispatcher *UpstreamDispatcher) enter() bool {
	dispatcher.mutex.RLock()
	defer dispatcher.mutex.RUnlock()
	if dispatcher.closing {
		return false
	}
	dispatcher.running.Add(1)
	return true
}

func (dispatcher *UpstreamDispatcher) service(name string) *service {
	dispatcher.mutex.RLock()
	found, ok := dispatcher.services[name]
	dispatcher.mutex.RUnlock()
	if ok {
		return found
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if found, ok := dispatcher.services[name]; ok {
		return found
	}
	created := newService(dispatcher.config, name)
	dispatcher.services[name] = created
	dispatcher.metrics.watch(created)
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

// wake lets waiting requests of the pool's service try again.
func (dispatcher *UpstreamDispatcher) wake(pool *upstream.Pool) {
	dispatcher.service(pool.Service()).gate.DispatchWaiting()
}

// Pressure returns how full the service's pool is: 0 when idle, 1 when all its
// room is taken, and more when work waits.
func (dispatcher *UpstreamDispatcher) Pressure(service string) float64 {
	return dispatcher.service(service).pressure()
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

// controlContext outlives a caller that is gone, so that its attempt can be
// cancelled at the engine.
func controlContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
}

// cancelTimeout bounds the cancelling of an attempt.
const cancelTimeout = 3 * time.Second
