package upstream

import (
	"math"
	"time"
)

// LimitConfig configures the adaptive concurrency limit of each upstream.
type LimitConfig struct {
	// Initial, Min and Max are numbers of concurrent attempts.
	Initial int
	Min     int
	Max     int
	// Target is the time to the first part above which the limit falls.
	LatencyTarget time.Duration
}

// Defaults of LimitConfig.
const (
	defaultInitialLimit  = 32
	defaultMinLimit      = 4
	defaultMaxLimit      = 1024
	defaultLatencyTarget = 370 * time.Millisecond
)

// decreaseFactor is applied to the limit once in each latency above the target.
const decreaseFactor = 0.9

func (limitConfig LimitConfig) withDefaults() LimitConfig {
	if limitConfig.Initial <= 0 {
		limitConfig.Initial = defaultInitialLimit
	}
	if limitConfig.Min <= 0 {
		limitConfig.Min = defaultMinLimit
	}
	if limitConfig.Max <= 0 {
		limitConfig.Max = defaultMaxLimit
	}
	if limitConfig.LatencyTarget <= 0 {
		limitConfig.LatencyTarget = defaultLatencyTarget
	}
	return limitConfig
}

// limiter adapts a limit by additive increase and multiplicative decrease.
type limiter struct {
	config      LimitConfig
	limit       float64
	decreasedAt time.Time
}

// sample is one observation of the time to the first part.
type sample struct {
	latency  time.Duration
	inFlight int
	now      time.Time
	// floor is what the limit must not fall below.
	floor float64
}

func newLimiter(config LimitConfig) limiter {
	return limiter{config: config, limit: float64(config.Initial)}
}

// observe moves the limit.
func (limiter *limiter) observe(sample sample) {
	if sample.latency > limiter.config.LatencyTarget {
		limiter.decrease(sample)
		return
	}
	if float64(sample.inFlight)*2 >= limiter.limit {
		limiter.limit = math.Min(limiter.limit+limiter.step(), float64(limiter.config.Max))
	}
}

// step is by how much a fast first part raises the limit: by one, which doubles
// it in each latency, until it has fallen once, and then by one in each latency.
func (limiter *limiter) step() float64 {
	if limiter.decreasedAt.IsZero() {
		return 1
	}
	return 1 / limiter.limit
}

// decrease lowers the limit at most once in a latency, since the samples of
// attempts that were already sent say nothing of the lower limit.
func (limiter *limiter) decrease(sample sample) {
	if sample.now.Sub(limiter.decreasedAt) < sample.latency {
		return
	}
	limiter.decreasedAt = sample.now
	used := math.Min(limiter.limit, float64(sample.inFlight))
	limiter.limit = math.Min(limiter.limit, math.Max(used*decreaseFactor, sample.floor))
}

// restart begins anew with the smallest limit, after an upstream came back.
func (limiter *limiter) restart() {
	limiter.limit = float64(limiter.config.Min)
	limiter.decreasedAt = time.Time{}
}
