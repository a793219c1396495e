package dispatch

import (
	"context"
	"errors"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/admission"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// service is what the dispatcher keeps for one service.
type service struct {
	name    string
	pool    *upstream.Pool
	gate    *admission.Gate[upstream.Criteria, *upstream.Member]
	retries *retryBudget
}

func newService(config Config, name string) *service {
	pool, err := upstream.NewPool(upstream.Config{
		Service:   name,
		Upstreams: config.Upstreams,
		Leaving:   config.Leaving,
		Policy:    config.Policy,
		Exchange:  config.Exchange,
		Limit:     config.Limit,
		Seed:      config.Seed,
	})
	if err != nil {
		panic(err) // Config.withDefaults has checked the policy.
	}
	gate := admission.NewGate(admission.Config[upstream.Criteria, *upstream.Member]{
		Name:     name,
		Capacity: config.QueueLength,
		MaxWait:  config.MaxWait,
		Take:     pool.Acquire,
		ErrFull:  upstream.ErrAtLimit,
		Return:   func(member *upstream.Member) { pool.Release(member, upstream.Neutral, 0) },
	})
	return &service{name: name, pool: pool, gate: gate, retries: newRetryBudget(config.Retry)}
}

// acquire takes a member for an attempt of the work.
func (service *service) acquire(ctx context.Context, work Work, avoid []string) (*upstream.Member, error) {
	member, err := service.gate.Acquire(ctx, admission.Request[upstream.Criteria]{
		Demand:   upstream.Criteria{PrefixHash: work.PrefixHash, Avoid: avoid},
		Team:     work.Team,
		Weight:   work.Weight,
		Priority: work.Priority,
		Deadline: work.Deadline,
	})
	if errors.Is(err, upstream.ErrNoUpstream) {
		return nil, fault.New(fault.Config{
			Kind:       fault.Unavailable,
			Message:    "service " + service.name + " has no upstream that takes new work",
			Remedy:     "add an upstream to the service, or end the draining of one",
			RetryAfter: unavailableRetryAfter,
			Cause:      err,
		})
	}
	return member, err
}

// unavailableRetryAfter is when a service without upstreams is tried again.
const unavailableRetryAfter = time.Second

// release gives back a member that acquire returned.
func (service *service) release(member *upstream.Member, verdict upstream.AttemptResult, duration time.Duration) {
	service.pool.Release(member, verdict, duration)
	if verdict != upstream.Success {
		duration = 0
	}
	service.gate.Release(duration)
}

func (service *service) pressure() float64 {
	return service.pool.Pressure(service.gate.Waiting())
}
