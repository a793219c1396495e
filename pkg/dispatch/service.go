package dispatch

import (
	"context"
	"errors"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/admission"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// service is the dispatcher's state for one service.
type service struct {
	name        string
	pool        *upstream.Pool
	gate        *admission.Gate[upstream.Criteria, *upstream.Member]
	retryBudget *retryBudget
}

func newService(config Config, name string) *service {
	pool, err := upstream.NewPool(upstream.Config{
		Service:   name,
		Upstreams: config.Upstreams,
		IsLeaving: config.IsLeaving,
		Policy:    config.Policy,
		Exchange:  config.Exchange,
		Limit:     config.Limit,
		Seed:      config.Seed,
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
	return &service{name: name, pool: pool, gate: gate, retryBudget: newRetryBudget(config.Retry)}
}

// acquire waits for a pool member for an attempt of the work. Members in avoid
// are used only if no other is available.
func (service *service) acquire(ctx context.Context, work Work, avoid []string) (*upstream.Member, error) {
	member, err := service.gate.Acquire(ctx, admission.Request[upstream.Criteria]{
		Criteria: upstream.Criteria{PrefixHash: work.PrefixHash, Avoid: avoid},
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
	return member, err
}

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
