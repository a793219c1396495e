// Package upstream balances the attempts of a router over the upstreams of one
// service.
//
// A Pool tracks the load and the health of each upstream. Pool.Acquire applies
// changes of the configuration, asks the policy for a member below its limit and
// increments the member's attempts in flight. The dispatcher reports the first
// part of the answer (Pool.ObserveFirstPart) and the end of the attempt
// (Pool.Release); these update the member's concurrency limit, expected wait and
// circuit breaker. A Monitor polls load reports and probes ejected members.
package upstream

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

var (
	// ErrNoUpstream means that no upstream of the service accepts new attempts:
	// all are draining, leaving or removed, or there are none.
	ErrNoUpstream = errors.New("no upstream takes new work")
	// ErrAtLimit means that each upstream is at its limit of concurrent attempts, or
	// that the first pause of an upstream ends before Criteria.MaxPauseEnd.
	ErrAtLimit = errors.New("every upstream is at its limit")
)

// Config configures a Pool.
type Config struct {
	// Service is the name of the service.
	Service string
	// Upstreams returns the service's upstreams. It must return the same slice
	// until the upstreams change.
	Upstreams func(service string) []configuration.Upstream
	// IsLeaving reports whether the VM list marks the VM at the address as leaving; nil
	// means that no VM is leaving.
	IsLeaving func(address string) bool
	// OnNotice receives each answer of an upstream that changes what is sent to it; nil
	// ignores it. The ID of the process is the upstream's address.
	OnNotice func(change notice.Change)
	// Policy is the name of a policy; empty means DefaultPolicy.
	Policy string
	// Exchange configures the clients; its address is not used.
	Exchange exchange.ClientConfig
	Limit    LimitConfig
	// PanicThreshold is the fraction of members, from 0 to 1, that must be healthy;
	// below it ejections are ignored. Zero means 0.2.
	PanicThreshold float64
	// Seed seeds the generator of random choices.
	Seed uint64
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// defaultPanicThreshold is the default of Config.PanicThreshold.
const defaultPanicThreshold = 0.2

// Criteria are the properties of an attempt by which its upstream is chosen.
type Criteria struct {
	// PrefixHash is the hash of the prompt's prefix; zero means none.
	PrefixHash uint64
	// Avoid lists the addresses of upstreams to use only if no other is available.
	Avoid []string
	// MaxPauseEnd is when a pause that all upstreams asked for must end for the attempt
	// to wait for it; zero means that it doesn't wait.
	MaxPauseEnd time.Time
}

func (criteria Criteria) avoids(member *Member) bool {
	for _, address := range criteria.Avoid {
		if address == member.address {
			return true
		}
	}
	return false
}

// Pool holds the upstreams of one service as members. It is safe for concurrent
// use.
type Pool struct {
	config Config
	policy Policy
	mutex  sync.Mutex
	// syncedUpstreams is the configuration that was last applied to members.
	syncedUpstreams []configuration.Upstream
	// members holds the members by address.
	members   map[string]*Member
	memberSet *memberSet
	chooser   chooser
	// notices holds what upstreams asked for, also of those that the configuration
	// doesn't list at present.
	notices *notice.Register
	// firstPauseEnd is when the first pause of an upstream ends; zero means that none
	// is paused.
	firstPauseEnd time.Time
}

// NewPool returns a pool. The error for an unknown policy lists all policies.
func NewPool(config Config) (*Pool, error) {
	policy, err := FindPolicy(config.Policy)
	if err != nil {
		return nil, err
	}
	if config.PanicThreshold <= 0 {
		config.PanicThreshold = defaultPanicThreshold
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.IsLeaving == nil {
		config.IsLeaving = func(string) bool { return false }
	}
	config.Limit = config.Limit.withDefaults()
	pool := &Pool{config: config, policy: policy, members: make(map[string]*Member), memberSet: newMemberSet(policy.needsLoadOrder)}
	pool.notices = notice.NewRegister(notice.RegisterConfig{OnChange: config.OnNotice})
	random := rand.New(rand.NewPCG(config.Seed, config.Seed))
	pool.chooser = policy.newChooser(random)
	return pool, nil
}

// Acquire chooses a member for an attempt and increments the member's attempts in
// flight, which Release decrements. The error is ErrNoUpstream, ErrAtLimit or a
// PausedError.
func (pool *Pool) Acquire(criteria Criteria) (*Member, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.syncMembers()
	pool.endPauses()
	for {
		member := pool.choose(criteria)
		if member == nil {
			return nil, pool.noMemberError(criteria)
		}
		if pool.config.IsLeaving(member.address) {
			member.leaving = true
			pool.rebuild()
			continue
		}
		pool.adjustInFlight(member, 1)
		return member, nil
	}
}

// choose asks the policy for a member outside criteria.Avoid, and if there is none,
// for any member. It returns nil if no member is available.
func (pool *Pool) choose(criteria Criteria) *Member {
	if len(pool.memberSet.available) == 0 {
		return nil
	}
	member := pool.chooser.choose(pool.memberSet, criteria)
	if member == nil && len(criteria.Avoid) > 0 {
		criteria.Avoid = nil
		member = pool.chooser.choose(pool.memberSet, criteria)
	}
	return member
}

// noMemberError returns the error for a choice without a member.
func (pool *Pool) noMemberError(criteria Criteria) error {
	switch {
	case len(pool.memberSet.eligible) > 0:
		return ErrAtLimit
	case pool.firstPauseEnd.IsZero():
		return ErrNoUpstream
	case pool.firstPauseEnd.After(criteria.MaxPauseEnd):
		return &PausedError{Remaining: pool.firstPauseEnd.Sub(pool.config.Now())}
	default:
		return ErrAtLimit
	}
}

// adjustInFlight adds delta to the member's attempts in flight and updates its
// entry in the member set.
func (pool *Pool) adjustInFlight(member *Member, delta int) {
	member.inFlight += delta
	member.lastUsedAt = pool.config.Now()
	pool.memberSet.update(member, member.lastUsedAt)
}

// HasOther reports whether another upstream than the one with the address is available
// for an attempt.
func (pool *Pool) HasOther(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.syncMembers()
	pool.endPauses()
	return slices.ContainsFunc(pool.memberSet.available, func(member *Member) bool { return member.address != address })
}

// AcquireAddress returns the member with the address for an attempt that already
// runs there, and increments its attempts in flight. The member may be draining or
// at its limit. The result is nil when the configuration lists no such upstream.
func (pool *Pool) AcquireAddress(address string) *Member {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.syncMembers()
	member, ok := pool.members[address]
	if !ok || !member.configured {
		return nil
	}
	pool.adjustInFlight(member, 1)
	return member
}

// ObserveFirstPart adjusts the member's concurrency limit after the first part of
// an answer. latency is the time from sending the request to that part.
func (pool *Pool) ObserveFirstPart(member *Member, latency time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	member.limiter.observe(latencySample{latency: latency, inFlight: member.inFlight, now: now, minLimit: member.minLimit(pool.config.Limit)})
	pool.memberSet.update(member, now)
}

// ObserveRefusal decreases the member's concurrency limit after the member has
// refused an attempt because of its load.
func (pool *Pool) ObserveRefusal(member *Member) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	member.limiter.decrease(latencySample{inFlight: member.inFlight, now: now, minLimit: float64(pool.config.Limit.Min)})
	pool.memberSet.update(member, now)
}

// AttemptResult classifies the end of an attempt or probe for the circuit breaker.
type AttemptResult int

// The results.
const (
	// Neutral is an end that says nothing about the upstream, such as a caller
	// that closed its connection.
	Neutral AttemptResult = iota
	// Success is an answer or a passed health check.
	Success
	// Failure is an error of the upstream or a timeout.
	Failure
)

// Release ends an attempt that Acquire or AcquireAddress started: it records the
// result and decrements the attempts in flight. The duration of a successful
// attempt enters the averages of the member and the pool.
func (pool *Pool) Release(member *Member, result AttemptResult, duration time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if result == Success {
		member.observeDuration(duration, pool.config.Now(), pool.memberSet.meanDurationSeconds)
		pool.memberSet.observeDuration(duration)
	}
	pool.recordResult(member, result)
	pool.adjustInFlight(member, -1)
	pool.removeIfUnused(member)
}

// recordResult updates the member's circuit breaker and ejects or readmits the
// member when the breaker opens or closes.
func (pool *Pool) recordResult(member *Member, result AttemptResult) {
	member.recordResult(result)
	ejected := !member.breaker.IsClosed()
	if ejected == member.ejected {
		return
	}
	member.ejected = ejected
	if ejected {
		member.nextProbeAt = pool.config.Now().Add(member.probeBackoff.NextBackOff())
	} else {
		member.limiter.reset()
	}
	pool.rebuild()
}

// removeIfUnused removes a member that the configuration no longer lists, once it
// has no attempts in flight.
func (pool *Pool) removeIfUnused(member *Member) {
	if member.configured || member.inFlight > 0 {
		return
	}
	delete(pool.members, member.address)
	member.client.Close()
}

// syncMembers applies the configuration to the members if it has changed.
func (pool *Pool) syncMembers() {
	upstreams := pool.config.Upstreams(pool.config.Service)
	if sameSlice(pool.syncedUpstreams, upstreams) {
		return
	}
	pool.syncedUpstreams = upstreams
	for _, member := range pool.members {
		member.configured = false
	}
	for _, upstream := range upstreams {
		pool.addOrUpdate(upstream)
	}
	for _, member := range pool.members {
		pool.removeIfUnused(member)
	}
	pool.rebuild()
}

// sameSlice reports whether a and b are the same slice, not only slices with equal
// elements.
func sameSlice(a, b []configuration.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// addOrUpdate creates or updates the member for an upstream of the configuration.
func (pool *Pool) addOrUpdate(upstream configuration.Upstream) {
	member, ok := pool.members[upstream.Address]
	if !ok {
		member = newMember(upstream.Address, pool.config, func(request notice.Request) { pool.recordNotice(upstream.Address, request) })
		pool.members[upstream.Address] = member
	}
	member.configured = true
	member.draining = upstream.Draining
}

// rebuild recomputes the eligible members. Ejections are ignored while too few
// members are healthy, since the fault is then more likely on the router's side.
func (pool *Pool) rebuild() {
	var acceptingMembers, healthy []*Member
	now := pool.config.Now()
	pool.firstPauseEnd = time.Time{}
	for _, member := range pool.members {
		notice := pool.noticeOf(member.address)
		if !member.configured || member.draining || member.leaving || notice.IsLeaving() {
			continue
		}
		if notice.IsPaused(now) {
			pool.firstPauseEnd = earliest(pool.firstPauseEnd, notice.PausedUntil)
			continue
		}
		acceptingMembers = append(acceptingMembers, member)
		if !member.ejected {
			healthy = append(healthy, member)
		}
	}
	minHealthy := int(math.Ceil(pool.config.PanicThreshold * float64(len(acceptingMembers))))
	if len(healthy) < minHealthy {
		healthy = acceptingMembers
	}
	pool.memberSet.replace(healthy, now)
}

// Service returns the name of the service.
func (pool *Pool) Service() string {
	return pool.config.Service
}

// EjectedCount returns the number of ejected members.
func (pool *Pool) EjectedCount() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	ejected := 0
	for _, member := range pool.members {
		if member.ejected {
			ejected++
		}
	}
	return ejected
}

// Pressure returns the utilization of the pool: the attempts in flight plus
// waiting, divided by the sum of the limits of the eligible members. waiting is the
// number of queued attempts. If that sum is zero, the result is 1 + waiting.
func (pool *Pool) Pressure(waiting int) float64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.syncMembers()
	limitSum, running := 0, 0
	for _, member := range pool.memberSet.eligible {
		limitSum += member.maxInFlight(pool.config.Now())
		running += member.inFlight
	}
	if limitSum == 0 {
		return 1 + float64(waiting)
	}
	return float64(running+waiting) / float64(limitSum)
}

// Close closes the idle connections of all members.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, member := range pool.members {
		member.client.Close()
	}
}
