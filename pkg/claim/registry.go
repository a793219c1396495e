package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The steps of a claim: Claim queues an insert. The control goroutine takes the
// queued entries, reads their rows, and writes the new claims in one
// transaction. The router dispatches the request only if it owns the claim, and
// ends the claim with Finish, Withdraw or Abandon. No other router changes the
// row.

// Defaults of RegistryConfig and limits of requests.
const (
	// DefaultGroupInterval is the delay after a group commit, during which
	// entries are collected for the next one.
	DefaultGroupInterval = 2 * time.Millisecond
	// DefaultRetention is how long claims and stored results are kept at least.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxResultBytes is the maximum size of the body of a stored result.
	DefaultMaxResultBytes = 128 << 10
	// DefaultWaitTimeout is how long Wait waits for a request without a
	// deadline.
	DefaultWaitTimeout = 30 * time.Second
	// retryInterval is the time between two commits of the retry queue.
	retryInterval = time.Second
	// MaxClockSkew is how far the time in a request id may be ahead of this
	// router's clock.
	MaxClockSkew = 10 * time.Minute
)

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Table platform.Table
	// Incarnation identifies this run of the router process. It is never
	// reused.
	Incarnation string
	Logger      log.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	// GroupInterval is the delay after a group commit; zero means
	// DefaultGroupInterval.
	GroupInterval time.Duration
	// Retention is how long claims and stored results are kept at least; zero
	// means DefaultRetention.
	Retention time.Duration
	// MaxResultBytes is the maximum size of the body of a stored result; zero
	// means DefaultMaxResultBytes.
	MaxResultBytes int
	// IsLive reports whether an incarnation may still be running; nil assumes
	// that all are. A running claim of a dead incarnation is reported as Unknown.
	IsLive func(incarnation string) bool
	// Retry configures the retries of table calls.
	Retry platform.RetryConfig
}

func (config RegistryConfig) withDefaults() RegistryConfig {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.GroupInterval <= 0 {
		config.GroupInterval = DefaultGroupInterval
	}
	if config.Retention <= 0 {
		config.Retention = DefaultRetention
	}
	if config.MaxResultBytes <= 0 {
		config.MaxResultBytes = DefaultMaxResultBytes
	}
	if config.IsLive == nil {
		config.IsLive = func(string) bool { return true }
	}
	return config
}

// Registry writes the claims of one router. Its methods are safe for concurrent
// use.
type Registry struct {
	config  RegistryConfig
	table   platform.Table
	retrier *platform.Retrier
	metrics metrics

	mutex sync.Mutex
	queue []*entry
	// retryQueue holds entries that are committed again after retryInterval.
	retryQueue []*entry
	closed     bool
	// ownedRuns holds the runs whose claims this router owns, by the key of the
	// claim.
	ownedRuns map[platform.Key]*run

	// wake signals the control goroutine that the queue is not empty.
	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
}

// run is one execution of a request whose claim this router owns. done is closed
// when its final state has been written.
type run struct {
	id   string
	done chan struct{}
}

// NewRegistry returns a Registry and starts its control goroutine, which
// commits entries and removes expired claims until Close.
func NewRegistry(config RegistryConfig) *Registry {
	config = config.withDefaults()
	registry := &Registry{
		config:    config,
		table:     config.Table,
		retrier:   platform.NewRetrier(config.Retry),
		metrics:   newMetrics(config.Registerer),
		ownedRuns: make(map[platform.Key]*run),
		wake:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
	}
	go func() {
		defer close(registry.stopped)
		registry.runControlLoop(context.Background())
	}()
	return registry
}

func (registry *Registry) runControlLoop(ctx context.Context) {
	retentionTicker := time.NewTicker(removalInterval)
	defer retentionTicker.Stop()
	retryTicker := time.NewTicker(retryInterval)
	defer retryTicker.Stop()
	for {
		select {
		case <-registry.stop:
			registry.requeueRetries()
			registry.commitQueued(ctx)
			registry.dropRetries()
			return
		case <-registry.wake:
			registry.commitQueued(ctx)
			time.Sleep(registry.config.GroupInterval)
		case <-retryTicker.C:
			registry.requeueRetries()
			registry.commitQueued(ctx)
		case <-retentionTicker.C:
			registry.removeExpired(ctx)
		}
	}
}

// Claim writes a claim for the request, or returns the state of the existing
// one. Owned means that the request may be dispatched until its deadline, and
// that the claim must be ended with Finish, Withdraw or Abandon. The errors are
// fault.Invalid, fault.Conflict for a request id that was used with different
// content, fault.DeadlineExceeded, fault.Draining, fault.Unavailable, and
// fault.Internal if the row is unreadable. Their outcome is fault.NotRun only if
// the request did not run and will not run.
func (registry *Registry) Claim(ctx context.Context, request Request) (Decision, error) {
	entry, err := registry.newEntry(request)
	if err != nil {
		return Decision{}, err
	}
	entry.kind = insertClaim
	entry.runID = uuid.NewString()
	decision, err := registry.submit(ctx, entry)
	if err != nil || decision.State != Owned {
		return registry.resolveDeadOwner(decision), err
	}
	if !request.Deadline.IsZero() && !time.Now().Before(request.Deadline) {
		return Decision{}, registry.withdrawAfterDeadline(ctx, request)
	}
	return decision, nil
}

// resolveDeadOwner changes Running to Unknown if the owner of the claim is dead.
func (registry *Registry) resolveDeadOwner(decision Decision) Decision {
	if decision.State == Running && !registry.config.IsLive(decision.Owner) {
		decision.State = Unknown
		decision.Reason = "the router that ran the request has stopped"
	}
	return decision
}

// withdrawAfterDeadline withdraws a claim that was written after the deadline of
// its request, and returns the error for the caller.
func (registry *Registry) withdrawAfterDeadline(ctx context.Context, request Request) error {
	config := fault.Config{
		Kind:    fault.DeadlineExceeded,
		Message: "the deadline passed before the claim was written",
		Remedy:  "retry with a new request id and a later deadline",
	}
	if err := registry.Withdraw(context.WithoutCancel(ctx), request); err != nil {
		config.Outcome = fault.OutcomeUnknown
		config.Cause = err
	}
	return fault.New(config)
}

// Finish stores the result of a request whose claim this router owns. If the
// body exceeds MaxResultBytes, the claim ends as Unknown with a reason. The
// errors are fault.Conflict if this router owns no running claim of the request,
// fault.Invalid, fault.DeadlineExceeded if ctx ends first, fault.Draining, and
// fault.Unavailable if the table fails; the registry then retries the write in
// the background.
func (registry *Registry) Finish(ctx context.Context, request Request, result Result) error {
	if len(result.Body) > registry.config.MaxResultBytes {
		return registry.submitEnd(ctx, request, Unknown, Result{}, "the result was too large to be stored")
	}
	return registry.submitEnd(ctx, request, Finished, result, "")
}

// Withdraw ends a claim of this router whose request did not run and will not
// run. The errors are those of Finish.
func (registry *Registry) Withdraw(ctx context.Context, request Request) error {
	return registry.submitEnd(ctx, request, Withdrawn, Result{}, "")
}

// Abandon ends a claim of this router whose request has an unknown outcome. The
// errors are those of Finish.
func (registry *Registry) Abandon(ctx context.Context, request Request) error {
	return registry.submitEnd(ctx, request, Unknown, Result{}, "the run ended without a known outcome")
}

// submitEnd writes the final state of a claim that this router owns.
func (registry *Registry) submitEnd(ctx context.Context, request Request, state State, result Result, reason string) error {
	entry, err := registry.newEntry(request)
	if err != nil {
		return err
	}
	run, ok := registry.ownedRun(entry.key)
	if !ok {
		return notOwnedError(request)
	}
	entry.kind = endClaim
	entry.runID = run.id
	entry.finalRow = claimRow{}.withFinalState(state, result, reason)
	_, err = registry.submit(ctx, entry)
	return err
}

func (registry *Registry) ownedRun(key platform.Key) (*run, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	run, ok := registry.ownedRuns[key]
	return run, ok
}

// removeRunLocked removes a run and wakes the goroutines that wait for its end.
// The caller must hold registry.mutex.
func (registry *Registry) removeRunLocked(key platform.Key, runID string) {
	if run, ok := registry.ownedRuns[key]; ok && run.id == runID {
		delete(registry.ownedRuns, key)
		close(run.done)
	}
}

// Close commits the queued entries and stops the registry. Claims of running
// requests stay in the table; once this router is dead, other routers report
// their outcome as unknown. The error is that of ctx if it ends first.
func (registry *Registry) Close(ctx context.Context) error {
	registry.mutex.Lock()
	if !registry.closed {
		registry.closed = true
		close(registry.stop)
	}
	registry.mutex.Unlock()
	select {
	case <-registry.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func notOwnedError(request Request) error {
	return fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: "this router holds no running claim of request " + request.RequestID,
		Remedy:  "only the router that claimed a request can end it",
		Outcome: fault.OutcomeUnknown,
	})
}
