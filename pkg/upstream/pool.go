// Package upstream keeps what a router knows of the upstreams of one service and
// chooses one for each attempt.
//
// The flow: Pool.Take brings the members in line with the configuration, asks
// the policy for a member that has room, and counts the attempt in. The
// dispatcher reports the first part (First) and the end (Put) of the attempt;
// both move the member's concurrency limit, its expected wait and its circuit
// breaker. A Monitor polls load reports and probes ejected members.
package upstream

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

var (
	// ErrNone means that the service has no upstream that takes new work.
	ErrNoUpstream = errors.New("no upstream takes new work")
	// ErrFull means that every upstream is at its limit.
	ErrAtLimit = errors.New("every upstream is at its limit")
)

// Config configures a Pool.
type Config struct {
	Service string
	// Upstreams returns the service's upstreams, and the same slice as long as
	// nothing has changed.
	Upstreams func(service string) []configuration.Upstream
	// Leaving reports whether the VM list marks the address as leaving.
	Leaving func(address string) bool
	// Policy is the name of a policy; empty means DefaultPolicy.
	Policy   string
	Exchange exchange.ClientConfig
	Limit    LimitConfig
	// PanicShare is the share of members that must be healthy for ejection to
	// be honoured.
	PanicShare float64
	// Seed is that of the random choices.
	Seed uint64
	// Now is the clock; nil means the system's.
	Now func() time.Time
}

// defaultPanicShare is the default of Config.PanicShare.
const defaultPanicShare = 0.2

// Demand is what the choice for one attempt depends on.
type Criteria struct {
	// PrefixHash identifies the prompt's prefix; zero means none.
	PrefixHash uint64
	// Avoid names addresses that are taken only when no other has room.
	Avoid []string
}

func (demand Criteria) avoids(member *Member) bool {
	for _, address := range demand.Avoid {
		if address == member.address {
			return true
		}
	}
	return false
}

// Pool holds the members of one service. It is safe for concurrent use.
type Pool struct {
	config  Config
	policy  Policy
	mutex   sync.Mutex
	source  []configuration.Upstream
	members map[string]*Member
	set     *set
	chooser chooser
}

// NewPool returns a pool. The error names the policies when config's is unknown.
func NewPool(config Config) (*Pool, error) {
	policy, err := FindPolicy(config.Policy)
	if err != nil {
		return nil, err
	}
	if config.PanicShare <= 0 {
		config.PanicShare = defaultPanicShare
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Leaving == nil {
		config.Leaving = func(string) bool { return false }
	}
	config.Limit = config.Limit.withDefaults()
	pool := &Pool{config: config, policy: policy, members: make(map[string]*Member), set: newSet(policy.ordered)}
	random := rand.New(rand.NewPCG(config.Seed, config.Seed))
	pool.chooser = policy.construct(random)
	return pool, nil
}

// Take chooses a member for an attempt and counts it in. The error is ErrNone
// or ErrFull.
func (pool *Pool) Acquire(demand Criteria) (*Member, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sync()
	for {
		member := pool.choose(demand)
		if member == nil {
			return nil, pool.emptiness()
		}
		if pool.config.Leaving(member.address) {
			member.leaving = true
			pool.rebuild()
			continue
		}
		pool.count(member, 1)
		return member, nil
	}
}

// choose asks the policy, first without the avoided members.
func (pool *Pool) choose(demand Criteria) *Member {
	if len(pool.set.open) == 0 {
		return nil
	}
	member := pool.chooser.choose(pool.set, demand)
	if member == nil && len(demand.Avoid) > 0 {
		demand.Avoid = nil
		member = pool.chooser.choose(pool.set, demand)
	}
	return member
}

func (pool *Pool) emptiness() error {
	if len(pool.set.eligible) == 0 {
		return ErrNoUpstream
	}
	return ErrAtLimit
}

// count changes the member's attempts and files it anew.
func (pool *Pool) count(member *Member, change int) {
	member.inFlight += change
	member.usedAt = pool.config.Now()
	pool.set.place(member, member.usedAt)
}

// Find returns the member with the address, which may be draining, and counts
// an attempt in that already runs there. It returns nil when the configuration
// has no such upstream.
func (pool *Pool) AcquireAddress(address string) *Member {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sync()
	member, ok := pool.members[address]
	if !ok || !member.present {
		return nil
	}
	pool.count(member, 1)
	return member
}

// First reports how long the first part of an answer took.
func (pool *Pool) ObserveFirstPart(member *Member, latency time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	member.limiter.observe(sample{latency: latency, inFlight: member.inFlight, now: now, floor: member.floor(pool.config.Limit)})
	pool.set.place(member, now)
}

// Refused reports that the member refused an attempt for its load.
func (pool *Pool) ObserveRefusal(member *Member) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	member.limiter.decrease(sample{inFlight: member.inFlight, now: now, floor: float64(pool.config.Limit.Min)})
	pool.set.place(member, now)
}

// Verdict says what the end of an attempt tells of the upstream.
type AttemptResult int

// The verdicts.
const (
	// Neutral ends tell nothing, such as a caller that went away.
	Neutral AttemptResult = iota
	// Success is an answer.
	Success
	// Failure is an error of the upstream or silence.
	Failure
)

// Put counts an attempt out. The duration is that of the attempt.
func (pool *Pool) Release(member *Member, verdict AttemptResult, duration time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if verdict == Success {
		member.observeDuration(duration, pool.config.Now(), pool.set.durationSeconds)
		pool.set.observeDuration(duration)
	}
	pool.judge(member, verdict)
	pool.count(member, -1)
	pool.retire(member)
}

// judge tells the member's breaker and applies what it says.
func (pool *Pool) judge(member *Member, verdict AttemptResult) {
	member.record(verdict)
	ejected := !member.breaker.IsClosed()
	if ejected == member.ejected {
		return
	}
	member.ejected = ejected
	if ejected {
		member.probeAt = pool.config.Now().Add(member.probes.NextBackOff())
	} else {
		member.limiter.restart()
	}
	pool.rebuild()
}

// retire drops a member that the configuration no longer has.
func (pool *Pool) retire(member *Member) {
	if member.present || member.inFlight > 0 {
		return
	}
	delete(pool.members, member.address)
	member.client.Close()
}

// sync brings the members in line with the configuration if that has changed.
func (pool *Pool) sync() {
	upstreams := pool.config.Upstreams(pool.config.Service)
	if same(pool.source, upstreams) {
		return
	}
	pool.source = upstreams
	for _, member := range pool.members {
		member.present = false
	}
	for _, upstream := range upstreams {
		pool.adopt(upstream)
	}
	for _, member := range pool.members {
		pool.retire(member)
	}
	pool.rebuild()
}

// same reports whether both are the same slice, not only equal ones.
func same(a, b []configuration.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (pool *Pool) adopt(upstream configuration.Upstream) {
	member, ok := pool.members[upstream.Address]
	if !ok {
		member = newMember(upstream.Address, pool.config)
		pool.members[upstream.Address] = member
	}
	member.present = true
	member.draining = upstream.Draining
}

// rebuild files all members anew. Ejection is ignored while too few members
// are healthy, since then the fault is more likely on the router's side.
func (pool *Pool) rebuild() {
	var takeable, healthy []*Member
	for _, member := range pool.members {
		if !member.present || member.draining || member.leaving {
			continue
		}
		takeable = append(takeable, member)
		if !member.ejected {
			healthy = append(healthy, member)
		}
	}
	needed := int(math.Ceil(pool.config.PanicShare * float64(len(takeable))))
	if len(healthy) < needed {
		healthy = takeable
	}
	pool.set.replace(healthy, pool.config.Now())
}

// Service returns the name of the service.
func (pool *Pool) Service() string {
	return pool.config.Service
}

// Ejected returns the number of ejected members.
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

// Pressure returns the attempts, and waiting besides, for the room of the pool.
func (pool *Pool) Pressure(waiting int) float64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sync()
	room, running := 0, 0
	for _, member := range pool.set.eligible {
		room += member.allowance(pool.config.Now())
		running += member.inFlight
	}
	if room == 0 {
		return 1 + float64(waiting)
	}
	return float64(running+waiting) / float64(room)
}

// Close closes the unused connections.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, member := range pool.members {
		member.client.Close()
	}
}
