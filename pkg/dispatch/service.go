package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/admission"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// service is the dispatcher's state for one service.
type service struct {
	name        string
	pool        *upstream.Pool
	gate        *admission.Gate[upstream.Criteria, *upstream.Member]
	retryBudget *retryBudget
	maxWait     time.Duration
}

func newService(config Config, metrics *metrics, name string) *service {
	pool, err := upstream.NewPool(upstream.Config{
		Service:   name,
		Upstreams: config.Upstreams,
		IsLeaving: config.IsLeaving,
		OnNotice: func(change notice.Change) {
			metrics.notices.WithLabelValues(name, string(change.Kind)).Inc()
			logNotice(config.Logger, name, change)
		},
		Policy:   config.Policy,
		Exchange: config.Exchange,
		Limit:    config.Limit,
		Seed:     config.Seed,
	})
	if err != nil {
		panic(err) // Config.withDefaults replaces an unknown policy.
	}
	gate := admission.NewGate(admission.Config[upstream.Criteria, *upstream.Member]{
		Name:     name,
		Capacity: config.QueueLength,
		MaxWait:  config.MaxWait,
		Take:     pool.Acquire,
		ErrFull:  upstream.ErrAtLimit,
		Return:   func(member *upstream.Member) { pool.Release(member, upstream.Neutral, 0) },
	})
	return &service{name: name, pool: pool, gate: gate, retryBudget: newRetryBudget(config.Retry), maxWait: config.MaxWait}
}

// logNotice logs an answer that changes what is sent to an upstream.
func logNotice(logger log.Logger, service string, change notice.Change) {
	fields := []any{"event", "upstream_" + string(change.Kind), "service", service, "upstream", change.Process.ID, "source", change.Source}
	if change.Kind == notice.Paused {
		fields = append(fields, "until", change.Notice.PausedUntil.UTC().Format(time.RFC3339Nano))
	}
	_ = logger.Log(fields...)
}

// acquire waits for a pool member for an attempt of the work. Members in avoid
// are used only if no other is available.
func (service *service) acquire(ctx context.Context, work Work, avoid []string) (*upstream.Member, error) {
	member, err := service.gate.Acquire(ctx, admission.Request[upstream.Criteria]{
		Criteria: upstream.Criteria{PrefixHash: work.PrefixHash, Avoid: avoid, MaxPauseEnd: service.maxPauseEnd(work)},
		Team:     work.Team,
		Weight:   work.Weight,
		Priority: work.Priority,
		Deadline: work.Deadline,
	})
	if errors.Is(err, upstream.ErrNoUpstream) {
		return nil, fault.New(fault.Config{
			Kind:       fault.Unavailable,
			Message:    "service " + service.name + " has no upstream that accepts new work",
			Remedy:     "add an upstream to the service, or stop draining one",
			RetryAfter: unavailableRetryAfter,
			Cause:      err,
		})
	}
	var paused *upstream.PausedError
	if errors.As(err, &paused) {
		return nil, pausedError("all upstreams of service "+service.name+" have asked for a pause", paused.Remaining)
	}
	return member, err
}

// maxPauseEnd returns when a pause of all upstreams must end for the request to be
// queued meanwhile. A request that would wait for longer is refused at once.
func (service *service) maxPauseEnd(work Work) time.Time {
	now := time.Now()
	wait := service.maxWait
	if !work.Deadline.IsZero() {
		wait = min(wait, work.Deadline.Sub(now))
	}
	return now.Add(time.Duration(maxPauseShare * float64(wait)))
}

func pausedError(message string, remaining time.Duration) error {
	return fault.New(fault.Config{
		Kind: fault.Unavailable, Message: message, Remedy: "send the request again after the stated time", RetryAfter: remaining,
	})
}

// maxPauseShare is the part of the time for which a request may be queued that it may
// wait for the end of a pause. The rest is for the queue and the answer.
const maxPauseShare = 0.5

// unavailableRetryAfter is the delay after which a caller may retry a service
// without available upstreams.
const unavailableRetryAfter = time.Second

// release returns a member to the pool and admits waiting requests.
func (service *service) release(member *upstream.Member, result upstream.AttemptResult, duration time.Duration) {
	service.pool.Release(member, result, duration)
	if result != upstream.Success {
		duration = 0
	}
	service.gate.Release(duration)
}

func (service *service) pressure() float64 {
	return service.pool.Pressure(service.gate.Waiting())
}
