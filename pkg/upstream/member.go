package upstream

import (
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/failsafe-go/failsafe-go/circuitbreaker"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

const (
	// A member is ejected when breakerFailureThreshold of its last
	// breakerWindowAttempts attempts have failed.
	breakerFailureThreshold = 4
	breakerWindowAttempts   = 10
	// breakerDelay is the minimum time between an ejection or failed probe and the
	// next probe.
	breakerDelay = 100 * time.Millisecond
	// The interval between probes grows exponentially from initialProbeInterval to
	// maxProbeInterval.
	initialProbeInterval = 500 * time.Millisecond
	maxProbeInterval     = 15 * time.Second
	// loadReportHalfLife is the age at which a load report has half its weight.
	loadReportHalfLife = 2 * time.Second
	// durationSmoothingFactor is the weight of a new sample in the moving average
	// of attempt durations.
	durationSmoothingFactor = 0.1
	// durationHalfLife is the age at which a measured duration has half its weight.
	durationHalfLife = 5 * time.Second
	// slowFactor is the ratio of a member's expected attempt duration to the pool's
	// mean above which the member counts as slow.
	slowFactor = 2
	// oversubscriptionFactor multiplies the capacity that an upstream reports, so that
	// its queue is not empty when one of its attempts ends.
	oversubscriptionFactor = 1.1
)

// Member is one upstream of a pool. Its fields are guarded by the pool's lock.
type Member struct {
	address      string
	client       *exchange.Client
	limiter      limiter
	breaker      circuitbreaker.CircuitBreaker[any]
	probeBackoff *backoff.ExponentialBackOff

	// configured is set while the configuration lists the upstream.
	configured bool
	// draining is set while the configuration marks the upstream as draining.
	draining bool
	// leaving is set while the VM list marks the upstream as leaving.
	leaving bool
	// ejected is set while the circuit breaker is not closed.
	ejected     bool
	nextProbeAt time.Time

	// inFlight is the number of this router's attempts at the upstream.
	inFlight int
	// lastUsedAt is when an attempt last started or ended.
	lastUsedAt   time.Time
	lastPolledAt time.Time
	observedLoad observedLoad
	// meanDurationSeconds is the moving average of attempt durations; zero means
	// unknown.
	meanDurationSeconds float64
	durationUpdatedAt   time.Time

	// setEntry is the member's entry in the pool's memberSet.
	setEntry setEntry
}

// observedLoad is a load report together with the part of that load that this
// router causes.
type observedLoad struct {
	exchange.LoadReport
	// measuredAt is when the upstream measured its load.
	measuredAt time.Time
	// ownAttempts is the number of this router's attempts in flight when the
	// report was requested.
	ownAttempts int
}

func newMember(address string, config Config, onNotice func(notice.Request)) *Member {
	exchangeConfig := config.Exchange
	exchangeConfig.Address = address
	exchangeConfig.OnNotice = onNotice
	breaker := circuitbreaker.NewBuilder[any]().
		WithFailureThresholdRatio(breakerFailureThreshold, breakerWindowAttempts).
		WithSuccessThreshold(1).
		WithDelay(breakerDelay).
		Build()
	probeBackoff := backoff.NewExponentialBackOff()
	probeBackoff.InitialInterval = initialProbeInterval
	probeBackoff.MaxInterval = maxProbeInterval
	return &Member{
		address:      address,
		client:       exchange.NewClient(exchangeConfig),
		limiter:      newLimiter(config.Limit),
		breaker:      breaker,
		probeBackoff: probeBackoff,
		setEntry:     setEntry{availableIndex: notAvailable},
	}
}

// Address returns the IP address and port of the upstream.
func (member *Member) Address() string {
	return member.address
}

// Client returns the client that sends requests to the upstream.
func (member *Member) Client() *exchange.Client {
	return member.client
}

// recordResult passes the result of an attempt or probe to the circuit breaker.
// A success of a member that is not ejected also resets the probe interval.
func (member *Member) recordResult(result AttemptResult) {
	switch result {
	case Success:
		member.breaker.RecordSuccess()
		if !member.ejected {
			member.probeBackoff.Reset()
		}
	case Failure:
		member.breaker.RecordFailure()
	case Neutral:
	}
}

// observeDuration adds the duration of a finished attempt to the moving average,
// after the previous average has decayed towards the pool's mean.
func (member *Member) observeDuration(duration time.Duration, now time.Time, poolMeanSeconds float64) {
	member.meanDurationSeconds = movingAverage(member.expectedDurationSeconds(now, poolMeanSeconds), duration.Seconds())
	member.durationUpdatedAt = now
}

// expectedDurationSeconds estimates the duration of an attempt at the upstream.
// The member's own average decays towards the pool's mean with its age, so that
// an upstream that was slow gets attempts again.
func (member *Member) expectedDurationSeconds(now time.Time, poolMeanSeconds float64) float64 {
	if member.meanDurationSeconds == 0 {
		return poolMeanSeconds
	}
	age := now.Sub(member.durationUpdatedAt)
	return poolMeanSeconds + (member.meanDurationSeconds-poolMeanSeconds)*math.Exp2(-age.Seconds()/durationHalfLife.Seconds())
}

// movingAverage returns the exponential moving average after a new value; a mean
// of zero means that there was none.
func movingAverage(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + durationSmoothingFactor*(value-mean)
}

// isSlow reports whether attempts at the upstream take much longer than the
// pool's mean.
func (member *Member) isSlow(now time.Time, poolMeanSeconds float64) bool {
	return poolMeanSeconds > 0 && member.expectedDurationSeconds(now, poolMeanSeconds) > slowFactor*poolMeanSeconds
}

// otherRoutersLoad estimates the number of attempts that other routers have at
// the upstream. The weight of the load report decays with its age.
func (member *Member) otherRoutersLoad(now time.Time) float64 {
	otherAttempts := float64(member.observedLoad.Running+member.observedLoad.Waiting) - float64(member.observedLoad.ownAttempts)
	if otherAttempts <= 0 {
		return 0
	}
	age := now.Sub(member.observedLoad.measuredAt)
	return otherAttempts * math.Exp2(-age.Seconds()/loadReportHalfLife.Seconds())
}

// load estimates the number of attempts at the upstream from all routers.
func (member *Member) load(now time.Time) float64 {
	return float64(member.inFlight) + member.otherRoutersLoad(now)
}

// capacity returns the number of concurrent attempts that the upstream reports as
// its capacity, or the adaptive limit if it reports none.
func (member *Member) capacity() float64 {
	if member.observedLoad.Capacity > 0 {
		return float64(member.observedLoad.Capacity)
	}
	return member.limiter.limit
}

// maxInFlight returns how many attempts this router may have at the upstream, which
// is at least one if the upstream reports its capacity.
func (member *Member) maxInFlight(now time.Time) int {
	adaptiveLimit := int(member.limiter.limit)
	if member.observedLoad.Capacity <= 0 {
		return adaptiveLimit
	}
	available := math.Ceil(float64(member.observedLoad.Capacity)*oversubscriptionFactor) - math.Round(member.otherRoutersLoad(now))
	return max(1, min(adaptiveLimit, int(available)))
}

// minLimit returns the lower bound of the adaptive limit: half the reported
// capacity, but at least the configured minimum.
func (member *Member) minLimit(config LimitConfig) float64 {
	return math.Max(float64(config.Min), float64(member.observedLoad.Capacity)/2)
}

// expectedWaitSeconds estimates how long a new attempt would take at the upstream:
// its expected duration times the upstream's utilization including that attempt.
func (member *Member) expectedWaitSeconds(now time.Time, poolMeanSeconds float64) float64 {
	return (member.load(now) + 1) / member.capacity() * member.expectedDurationSeconds(now, poolMeanSeconds)
}
