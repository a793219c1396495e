package warmup

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

// Refuse counts a request that is refused because all engines that could serve it are
// cold, and returns when its caller is to come back. Callers get turns at the rate of
// this router's permits, or come back spread over the first step of the ramp once an
// engine is warm, so that they don't return together. It reports false if an engine is
// warm or there is none.
func (limiter *Limiter) Refuse(serviceName string, processes []notice.Process, now time.Time) (time.Time, bool) {
	if limiter == nil {
		return time.Time{}, false
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limits := limiter.config.Limits(serviceName)
	rate := limiter.holderRate(limits)
	var warmAt, permitAt time.Time
	held := 0
	for _, process := range processes {
		engine, ok := limiter.engines[process.ID]
		if !ok || !limits.IsEnabled() || !now.Before(engine.coldEnd(limits.ColdPeriod)) {
			return time.Time{}, false
		}
		warmAt = earliest(warmAt, engine.coldEnd(limits.ColdPeriod))
		if limiter.fillCold(engine, limits, now) {
			permitAt = earliest(permitAt, engine.cold.nextAt(rate))
			held++
		}
	}
	if warmAt.IsZero() {
		return time.Time{}, false
	}
	service := limiter.serviceOf(serviceName)
	service.refusals++
	if held > 0 {
		turn := latest(now, permitAt, service.turnAt.Add(interval(rate*float64(held))))
		if turn.Before(warmAt) {
			service.turnAt = turn
			return turn, true
		}
	}
	spread := float64(limits.ColdPeriod) / rampSteps
	return warmAt.Add(time.Duration(limiter.config.Random.Float64() * spread)), true
}

// earliest returns the earlier of two times, of which the first may not be set yet.
func earliest(first, second time.Time) time.Time {
	if first.IsZero() || second.Before(first) {
		return second
	}
	return first
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if other.After(first) {
			first = other
		}
	}
	return first
}
