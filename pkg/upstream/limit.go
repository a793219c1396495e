package upstream

import (
	"math"
	"time"
)

// LimitConfig configures the adaptive concurrency limit of each upstream. Zero
// values select the defaults.
type LimitConfig struct {
	// Initial is the limit at the start, in concurrent attempts.
	Initial int
	// Min and Max bound the limit, in concurrent attempts.
	Min int
	Max int
	// LatencyTarget is the time to the first part of an answer above which the
	// limit is decreased.
	LatencyTarget time.Duration
}

// Defaults of LimitConfig.
const (
	defaultInitialLimit  = 32
	defaultMinLimit      = 4
	defaultMaxLimit      = 1024
	defaultLatencyTarget = 370 * time.Millisecond
)

// decreaseFactor multiplies the limit when the latency is above the target.
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

// limiter adapts a concurrency limit by additive increase and multiplicative
// decrease (AIMD).
type limiter struct {
	config      LimitConfig
	limit       float64
	decreasedAt time.Time
}

// latencySample is one measurement of the time to the first part of an answer.
type latencySample struct {
	// latency is zero for a refusal.
	latency time.Duration
	// inFlight is the number of this router's attempts at the upstream.
	inFlight int
	now      time.Time
	// minLimit is the lower bound of a decreased limit.
	minLimit float64
}

func newLimiter(config LimitConfig) limiter {
	return limiter{config: config, limit: float64(config.Initial)}
}

// observe adjusts the limit after a sample. It increases the limit only while at
// least half of it is in use, since otherwise the sample says nothing about a
// higher limit.
func (limiter *limiter) observe(sample latencySample) {
	if sample.latency > limiter.config.LatencyTarget {
		limiter.decrease(sample)
		return
	}
	if float64(sample.inFlight)*2 >= limiter.limit {
		limiter.limit = math.Min(limiter.limit+limiter.increment(), float64(limiter.config.Max))
	}
}

// increment returns how much a sample below the latency target raises the limit.
// Until the first decrease it is 1 for each sample, so that the limit doubles each
// time as many attempts as the limit have been answered. After that the limit rises
// by at most 1 in the same number of attempts.
func (limiter *limiter) increment() float64 {
	if limiter.decreasedAt.IsZero() {
		return 1
	}
	return 1 / limiter.limit
}

// decrease lowers the limit, unless it was lowered while the sample's attempt was
// waiting for its first part: the attempt was then sent under the higher limit.
func (limiter *limiter) decrease(sample latencySample) {
	if sample.now.Sub(limiter.decreasedAt) < sample.latency {
		return
	}
	limiter.decreasedAt = sample.now
	inUse := math.Min(limiter.limit, float64(sample.inFlight))
	limiter.limit = math.Min(limiter.limit, math.Max(inUse*decreaseFactor, sample.minLimit))
}

// reset sets the limit to its minimum after an ejected upstream has recovered.
func (limiter *limiter) reset() {
	limiter.limit = float64(limiter.config.Min)
	limiter.decreasedAt = time.Time{}
}
