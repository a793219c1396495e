package upstream

import (
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/failsafe-go/failsafe-go/circuitbreaker"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

const (
	// breakerFailures of the last breakerWindow attempts eject a member.
	breakerFailures = 4
	breakerWindow   = 10
	// breakerDelay is the shortest time between ejection and a probe.
	breakerDelay = 100 * time.Millisecond
	// probeInitial and probeMax bound the time between probes.
	probeInitial = 500 * time.Millisecond
	probeMax     = 15 * time.Second
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * time.Second
	// durationWeight is that of a new sample in the mean duration.
	durationWeight = 0.1
	// durationHalfLife is the age at which an observed duration counts half.
	durationHalfLife = 5 * time.Second
	// slowShare is by how much longer than the mean the attempts of a slow
	// upstream last.
	slowShare = 2
	// reserveShare is how much more than an engine's capacity is sent to it, so
	// that it has work at hand when a slot becomes free.
	reserveShare = 1.1
)

// Member is one upstream of a pool. Its fields are guarded by the pool's lock.
type Member struct {
	address string
	client  *exchange.Client
	limiter limiter
	breaker circuitbreaker.CircuitBreaker[any]
	probes  *backoff.ExponentialBackOff

	// present is set while the configuration has the upstream.
	present  bool
	draining bool
	leaving  bool
	ejected  bool
	probeAt  time.Time

	inFlight int
	usedAt   time.Time
	polledAt time.Time
	report   report
	// durationSeconds is the mean duration of attempts; zero is unknown.
	durationSeconds float64
	durationAt      time.Time

	filing filing
}

// report is a load report with the router's own part in it.
type report struct {
	exchange.LoadReport
	// at is when the upstream's state was as reported.
	at time.Time
	// own is the router's own attempts at that time.
	own int
}

func newMember(address string, config Config) *Member {
	exchangeConfig := config.Exchange
	exchangeConfig.Address = address
	breaker := circuitbreaker.NewBuilder[any]().
		WithFailureThresholdRatio(breakerFailures, breakerWindow).
		WithSuccessThreshold(1).
		WithDelay(breakerDelay).
		Build()
	probes := backoff.NewExponentialBackOff()
	probes.InitialInterval = probeInitial
	probes.MaxInterval = probeMax
	return &Member{
		address: address,
		client:  exchange.NewClient(exchangeConfig),
		limiter: newLimiter(config.Limit),
		breaker: breaker,
		probes:  probes,
		filing:  filing{open: notOpen},
	}
}

// Address returns the IP number and port.
func (member *Member) Address() string {
	return member.address
}

// Client returns the client that speaks to the upstream.
func (member *Member) Client() *exchange.Client {
	return member.client
}

func (member *Member) record(verdict AttemptResult) {
	switch verdict {
	case Success:
		member.breaker.RecordSuccess()
		if !member.ejected {
			member.probes.Reset()
		}
	case Failure:
		member.breaker.RecordFailure()
	case Neutral:
	}
}

// observeDuration takes in how long an attempt lasted, given the mean of the
// pool. What was observed before has aged by then.
func (member *Member) observeDuration(duration time.Duration, now time.Time, meanSeconds float64) {
	member.durationSeconds = smooth(member.expectedSeconds(now, meanSeconds), duration.Seconds())
	member.durationAt = now
}

// expectedSeconds returns how long an attempt at the upstream lasts, given
// the mean of the pool. What was observed counts for less as it
// ages, so that an upstream that was slow is tried again.
func (member *Member) expectedSeconds(now time.Time, meanSeconds float64) float64 {
	if member.durationSeconds == 0 {
		return meanSeconds
	}
	age := now.Sub(member.durationAt)
	return meanSeconds + (member.durationSeconds-meanSeconds)*math.Exp2(-age.Seconds()/durationHalfLife.Seconds())
}

// smooth returns the moving mean with a new sample; a mean of zero is unknown.
func smooth(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + durationWeight*(sample-mean)
}

// slow reports whether the upstream's attempts last much longer than the mean.
func (member *Member) slow(now time.Time, meanSeconds float64) bool {
	return meanSeconds > 0 && member.expectedSeconds(now, meanSeconds) > slowShare*meanSeconds
}

// foreign estimates the attempts of other routers at the upstream. A report
// counts for less as it ages.
func (member *Member) foreign(now time.Time) float64 {
	others := float64(member.report.Running+member.report.Waiting) - float64(member.report.own)
	if others <= 0 {
		return 0
	}
	age := now.Sub(member.report.at)
	return others * math.Exp2(-age.Seconds()/reportHalfLife.Seconds())
}

// load estimates all attempts at the upstream.
func (member *Member) load(now time.Time) float64 {
	return float64(member.inFlight) + member.foreign(now)
}

// capacity returns what the upstream reports, or the limit that was learned.
func (member *Member) capacity() float64 {
	if member.report.Capacity > 0 {
		return float64(member.report.Capacity)
	}
	return member.limiter.limit
}

// allowance is the number of attempts that the router may have at the upstream.
func (member *Member) allowance(now time.Time) int {
	learned := int(member.limiter.limit)
	if member.report.Capacity <= 0 {
		return learned
	}
	left := math.Ceil(float64(member.report.Capacity)*reserveShare) - math.Round(member.foreign(now))
	return max(1, min(learned, int(left)))
}

// floor is what the learned limit does not fall below.
func (member *Member) floor(config LimitConfig) float64 {
	return math.Max(float64(config.Min), float64(member.report.Capacity)/2)
}

// expectedWaitSeconds is the time for which a new attempt takes a share of the
// upstream, given the mean duration of the pool.
func (member *Member) expectedWaitSeconds(now time.Time, meanSeconds float64) float64 {
	return (member.load(now) + 1) / member.capacity() * member.expectedSeconds(now, meanSeconds)
}
