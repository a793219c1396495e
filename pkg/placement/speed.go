package placement

import (
	"math"
	"time"
)

const (
	// speedPriorSamples is the number of samples at the pool's mean that a new estimate
	// counts as. Engines differ by a factor of two and single times to the first event by
	// about as much, so two of them have as much weight as the mean.
	speedPriorSamples = 2
	// maxSpeedSamples limits the samples that an estimate remembers, so that it follows
	// a lasting change.
	maxSpeedSamples = 60
	// speedHalfLife is the time in which an unused estimate loses half of its samples.
	speedHalfLife = 30 * time.Second
	// minSpeed and maxSpeed bound an estimate. Engines have speeds from 0.55 to 1.2 of
	// the nominal one, so those of a pool differ by less than this.
	minSpeed = 0.4
	maxSpeed = 2
	// maxTimeRatio bounds one sample; its inverse is the lower bound. A ratio beyond it
	// is due to a queue or a cache, not to the speed.
	maxTimeRatio = 4
	// meanTimeWeight is the weight of a sample in the mean of a pool. The first samples
	// have the weight of a plain mean.
	meanTimeWeight = 0.02
)

// speedEstimate is the measured speed of an upstream relative to the mean of its pool.
// Logarithms are averaged, so that half and twice the speed weigh the same.
type speedEstimate struct {
	// logTime is the mean logarithm of the measured times as multiples of the pool's.
	logTime   float64
	samples   float64
	updatedAt time.Time
	// cached is the speed at the time cachedAt, as one choice needs it several times.
	cached   float64
	cachedAt time.Time
}

// samplesAt returns the number of samples that the estimate still has.
func (speedEstimate *speedEstimate) samplesAt(now time.Time) float64 {
	return speedEstimate.samples * math.Exp2(-max(now.Sub(speedEstimate.updatedAt), 0).Seconds()/speedHalfLife.Seconds())
}

// add records the logarithm of a measured time as a multiple of the pool's mean.
func (speedEstimate *speedEstimate) add(logTime, weight float64, now time.Time) {
	samples := min(speedEstimate.samplesAt(now), maxSpeedSamples-weight) + weight
	speedEstimate.logTime += weight * (logTime - speedEstimate.logTime) / samples
	speedEstimate.samples, speedEstimate.updatedAt, speedEstimate.cached = samples, now, 0
}

// speed returns the expected speed relative to the pool's mean: 1 without samples, and
// nearer to the measured one with each.
func (speedEstimate *speedEstimate) speed(now time.Time) float64 {
	if speedEstimate.cached == 0 || !speedEstimate.cachedAt.Equal(now) {
		samples := speedEstimate.samplesAt(now)
		confidence := samples / (samples + speedPriorSamples)
		speedEstimate.cached = min(max(math.Exp(-confidence*speedEstimate.logTime), minSpeed), maxSpeed)
		speedEstimate.cachedAt = now
	}
	return speedEstimate.cached
}

// speedSample is a time measured at an upstream, at the usual pace, and the one expected
// at mean speed.
type speedSample struct {
	measured, expected float64
	// weight is the number of samples of usual accuracy that this one counts as.
	weight float64
}

// speedometer measures the speeds of a pool's upstreams by times of one kind. The mean of
// all measured times as multiples of the expected ones removes what the expectation has
// wrong for all.
type speedometer struct {
	meanLogTime float64
	samples     int
}

// add records a time measured at an upstream.
func (speedometer *speedometer) add(estimate *speedEstimate, sample speedSample, now time.Time) {
	if sample.measured <= 0 || sample.expected <= 0 {
		return
	}
	logTime := math.Log(sample.measured / sample.expected)
	speedometer.samples++
	speedometer.meanLogTime += max(meanTimeWeight, 1/float64(speedometer.samples)) * (logTime - speedometer.meanLogTime)
	limit := math.Log(maxTimeRatio)
	estimate.add(min(max(logTime-speedometer.meanLogTime, -limit), limit), sample.weight, now)
}
