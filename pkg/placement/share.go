package placement

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the age at which an arrival has half its weight. With 64 routers
	// and 140 engines, a router sends an engine a request each few seconds.
	shareHalfLife = 20 * time.Second
	// shareSlack is added to the arrivals and to the expected ones, so that the first
	// requests of a router count little as an excess. With twice as much, the busiest
	// engine of the simulated fleet had up to 1.63 times its share.
	shareSlack = 0.5
)

// arrivalShare compares the requests that this router sent to an upstream with the
// upstream's share by capacity. Only requests for which the upstream was a candidate
// count, so one that returns after a pause has nothing to make up for.
type arrivalShare struct {
	arrivals, expected float64
	updatedAt          time.Time
}

// shareDecay is the factor by which what was counted so long ago has lost weight.
func shareDecay(elapsed time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / shareHalfLife.Seconds())
}

// decay reduces the weight of what was counted before.
func (arrivalShare *arrivalShare) decay(factor float64, now time.Time) {
	arrivalShare.arrivals *= factor
	arrivalShare.expected *= factor
	arrivalShare.updatedAt = now
}

// ratio is the number of arrivals relative to the expected ones.
func (arrivalShare *arrivalShare) ratio() float64 {
	return (arrivalShare.arrivals + shareSlack) / (arrivalShare.expected + shareSlack)
}
