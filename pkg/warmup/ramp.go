package warmup

import (
	"math"
	"time"
)

// rampSteps is the number of steps in which the limit rises after the cold time. Each
// lasts an equal part of another cold period and doubles the limit, up to 16 times the
// rate of a cold engine.
const rampSteps = 4

// rampRate returns the requests a second that one of a number of serving routers may
// send to an engine that has been warm for that time.
func rampRate(limits Limits, warmFor time.Duration, routers int) float64 {
	step := int(max(0, warmFor) * rampSteps / limits.ColdPeriod)
	return limits.PerSecond * math.Exp2(float64(step+1)) / float64(routers)
}

// bucket is a token bucket.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// filled returns the bucket at a later time. Times that go back change nothing.
func (bucket bucket) filled(rate float64, now time.Time) bucket {
	if elapsed := now.Sub(bucket.updatedAt); elapsed > 0 {
		bucket.tokens = min(bucket.tokens+rate*elapsed.Seconds(), burst)
		bucket.updatedAt = now
	}
	return bucket
}

// nextAt returns when the bucket has a token.
func (bucket bucket) nextAt(rate float64) time.Time {
	missing := max(0, 1-bucket.tokens)
	return bucket.updatedAt.Add(interval(rate / missing))
}

// maxInterval limits times that are computed from a rate: a conversion to an integer that
// overflows gives other results on other processors.
const maxInterval = 24 * time.Hour

// interval returns the time between two events of a rate per second, rounded up.
func interval(rate float64) time.Duration {
	return time.Duration(math.Ceil(min(1/rate, maxInterval.Seconds()) * float64(time.Second)))
}
