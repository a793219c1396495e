package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// The load that this file addresses: many routers with few requests each choose among
// the same upstreams. Reports of load come with answers, so most are seconds old, and an
// upstream that looks idle looks so to all routers. The choice is therefore random, in
// proportion to capacity, and what is reported, stated and expected shifts it within
// bounds.

const (
	// minUseFactor and maxUseFactor bound by how much the reported use changes an
	// upstream's weight. All routers that have the report apply it at a time.
	minUseFactor = 0.125
	maxUseFactor = 2
	// minComparedUse is the least share of slots in use that is compared. Below it no
	// request waits, so a difference does no harm. useSlack is added to both shares.
	minComparedUse = 0.3
	useSlack       = 0.1
	// reportedUseHalfLife is the age at which the difference of a reported use to the
	// mean has half its effect. It is longer than requests last, since what makes an
	// upstream differ for longer, as its speed does, matters most, and a router sends an
	// engine only a request each few seconds.
	reportedUseHalfLife = 8 * time.Second
	// maxSpread bounds the random part of the choice, in multiples of the resolution.
	maxSpread = 12
	// resolutionShare is the share of the mean time to the first event below which
	// expected times don't differ: the reports they rest on are too old for more.
	resolutionShare = 0.5
	// minResolutionMs is the least such time.
	minResolutionMs = 1
)

// balanceInput is what is known of one candidate.
type balanceInput struct {
	// capacity is the number of slots times the speed.
	capacity float64
	// reportedUse is the share of slots in use, and more if requests wait; reportAge is
	// the age of the report. meanUse is the mean of comparable upstreams.
	reportedUse float64
	reportAge   time.Duration
	meanUse     float64
	share       arrivalShare
}

// weight is the relative probability with which the candidate is chosen if its expected
// time is that of the others. If the requests were in proportion to the capacities, all
// uses would be the same, so the weight falls with the use. Squaring halves the
// difference that is left in comparison to the plain ratio.
func (balanceInput balanceInput) weight() float64 {
	excess := max(balanceInput.share.ratio(), 1) // the square of it evens out the chance in the choice, too
	return balanceInput.capacity * balanceInput.useFactor() / (excess * excess)
}

func (balanceInput balanceInput) useFactor() float64 {
	reportWeight := math.Exp2(-balanceInput.reportAge.Seconds() / reportedUseHalfLife.Seconds())
	expectedUse := balanceInput.meanUse + reportWeight*(balanceInput.reportedUse-balanceInput.meanUse)
	useRatio := (max(balanceInput.meanUse, minComparedUse) + useSlack) / (max(expectedUse, minComparedUse) + useSlack)
	return min(max(useRatio*useRatio, minUseFactor), maxUseFactor)
}

// orderKey turns an expected time into a key whose minimum among the candidates is a
// random choice: each has the probability weight x exp(-expectedMs/resolutionMs). The
// others in the order of their keys are the choices without the first (Gumbel-max).
func orderKey(expectedMs, weight, resolutionMs float64, random *rand.Rand) float64 {
	gumbel := -math.Log(max(random.ExpFloat64(), math.SmallestNonzeroFloat64))
	return expectedMs - resolutionMs*min(max(math.Log(max(weight, math.SmallestNonzeroFloat64))+gumbel, -maxSpread), maxSpread)
}

// use is the smoothed share of slots in use of a group of upstreams.
type use struct {
	share     float64
	updatedAt time.Time
}

const (
	// minUseWeight is the least weight of a report in the mean use, and useHalfLife the
	// time in which the reports before lose half their weight.
	minUseWeight = 0.05
	useHalfLife  = time.Second
)

// add records a reported share.
func (use *use) add(share float64, now time.Time) {
	weight := 1.0
	if !use.updatedAt.IsZero() {
		weight = max(minUseWeight, 1-math.Exp2(-max(now.Sub(use.updatedAt), 0).Seconds()/useHalfLife.Seconds()))
	}
	use.share += weight * (share - use.share)
	use.updatedAt = now
}
