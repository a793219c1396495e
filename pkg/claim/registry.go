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

// The flow of a claim: Claim queues an insert; the control goroutine joins what
// is queued into one transaction, reads the rows first, and decides each entry
// by its row. The router dispatches only when it owns the claim, and ends it by
// Finish, Withdraw or Abandon. No other router writes the row.

// The defaults of RegistryConfig.
const (
	// DefaultGroupInterval is the pause between two group commits.
	DefaultGroupInterval = 2 * time.Millisecond
	// DefaultRetention is how long claims and stored results are kept.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxResultBytes bounds the body of a stored result.
	DefaultMaxResultBytes = 128 << 10
	// DefaultWait bounds the wait for a running request without a deadline.
	DefaultWait = 30 * time.Second
	// unfinishedInterval is the time between two tries of what the table did
	// not decide.
	unfinishedInterval = time.Second
	// MaxClockSkew is how far ahead of this router's clock the time of a
	// request id may be.
	MaxClockSkew = 10 * time.Minute
)

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Table platform.Table
	// Incarnation names this run of the router; it is never used again.
	Incarnation string
	Logger      log.Logger
	// Registerer receives the metrics; nil registers none.
	Registerer prometheus.Registerer
	// GroupInterval is the pause between two group commits.
	GroupInterval time.Duration
	// Retention is how long claims and stored results are kept.
	Retention time.Duration
	// MaxResultBytes bounds the body of a stored result.
	MaxResultBytes int
	// IsLive reports whether an incarnation may still be running; nil takes
	// every one for live. It only shortens the wait for a dead owner.
	IsLive func(incarnation string) bool
	// Retry bounds the retries of table calls.
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

// Registry claims requests for one router. Its methods are safe for concurrent
// use.
type Registry struct {
	config  RegistryConfig
	table   platform.Table
	retrier *platform.Retrier
	metrics metrics

	mutex sync.Mutex
	queue []*entry
	// unfinished are entries that the table did not decide, to be tried again.
	unfinished []*entry
	closed     bool
	// runs are the requests that run in this router.
	runs map[platform.Key]*run

	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
}

// run is a request that this router owns.
type run struct {
	id   string
	done chan struct{}
}

// NewRegistry returns a Registry and starts its control goroutine, which
// commits groups and removes old claims until Close.
func NewRegistry(config RegistryConfig) *Registry {
	config = config.withDefaults()
	registry := &Registry{
		config:  config,
		table:   config.Table,
		retrier: platform.NewRetrier(config.Retry),
		metrics: newMetrics(config.Registerer),
		runs:    make(map[platform.Key]*run),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go func() {
		defer close(registry.stopped)
		registry.loop(context.Background())
	}()
	return registry
}

func (registry *Registry) loop(ctx context.Context) {
	retention := time.NewTicker(retentionInterval)
	defer retention.Stop()
	retry := time.NewTicker(unfinishedInterval)
	defer retry.Stop()
	for {
		select {
		case <-registry.stop:
			registry.requeue()
			registry.commitQueued(ctx)
			registry.dropUnfinished()
			return
		case <-registry.wake:
			registry.commitQueued(ctx)
			time.Sleep(registry.config.GroupInterval)
		case <-retry.C:
			registry.requeue()
			registry.commitQueued(ctx)
		case <-retention.C:
			registry.removeOld(ctx)
		}
	}
}

// Claim writes a claim for the request, or tells what the present claim says.
// Owned means that the request may be dispatched until its deadline, and must
// be ended by Finish, Withdraw or Abandon. The errors are fault.Invalid,
// fault.Conflict for a request id of other content, fault.Deadline,
// fault.Draining and fault.Unavailable; their outcome is NotRun only where no
// run of the request exists.
func (registry *Registry) Claim(ctx context.Context, request Request) (Decision, error) {
	entry, err := registry.newEntry(request)
	if err != nil {
		return Decision{}, err
	}
	entry.kind = insertClaim
	entry.run = uuid.NewString()
	decision, err := registry.submit(ctx, entry)
	if err != nil || decision.State != Owned {
		return registry.judge(decision), err
	}
	if !request.Deadline.IsZero() && !time.Now().Before(request.Deadline) {
		return Decision{}, registry.withdrawLate(ctx, request)
	}
	return decision, nil
}

// judge tells a running claim of a dead owner as unknown.
func (registry *Registry) judge(decision Decision) Decision {
	if decision.State == Running && !registry.config.IsLive(decision.Owner) {
		decision.State = Unknown
		decision.Reason = "the router that ran the request is gone"
	}
	return decision
}

// withdrawLate withdraws a claim that was written after the deadline.
func (registry *Registry) withdrawLate(ctx context.Context, request Request) error {
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

// Finish stores the result of an owned request. A result above MaxResultBytes
// is stored as unknown with the reason. The errors are fault.Conflict when this
// router does not own a running claim and fault.Unavailable.
func (registry *Registry) Finish(ctx context.Context, request Request, result Result) error {
	if len(result.Body) > registry.config.MaxResultBytes {
		return registry.end(ctx, request, Unknown, Result{}, "the result was too large to be stored")
	}
	return registry.end(ctx, request, Finished, result, "")
}

// Withdraw states that an owned request did not run and will not run. The
// errors are those of Finish.
func (registry *Registry) Withdraw(ctx context.Context, request Request) error {
	return registry.end(ctx, request, Withdrawn, Result{}, "")
}

// Abandon states that nobody knows how an owned request ended. The errors are
// those of Finish.
func (registry *Registry) Abandon(ctx context.Context, request Request) error {
	return registry.end(ctx, request, Unknown, Result{}, "the run ended without a known outcome")
}

func (registry *Registry) end(ctx context.Context, request Request, state State, result Result, reason string) error {
	entry, err := registry.newEntry(request)
	if err != nil {
		return err
	}
	running, ok := registry.owned(entry.key)
	if !ok {
		return notOwned(request)
	}
	entry.kind = endClaim
	entry.run = running.id
	entry.end = claimRow{}.WithEnd(state, result, reason)
	_, err = registry.submit(ctx, entry)
	return err
}

func (registry *Registry) owned(key platform.Key) (*run, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	running, ok := registry.runs[key]
	return running, ok
}

// forgetLocked ends the waiting for a run. The caller holds the lock.
func (registry *Registry) forgetLocked(key platform.Key, id string) {
	if running, ok := registry.runs[key]; ok && running.id == id {
		delete(registry.runs, key)
		close(running.done)
	}
}

// Close commits what is queued and stops. Claims of running requests stay, and
// tell that the outcome is unknown.
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

func notOwned(request Request) error {
	return fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: "this router holds no running claim of request " + request.RequestID,
		Remedy:  "only the router that claimed a request can end it",
		Outcome: fault.OutcomeUnknown,
	})
}
