package placement

import (
	"cmp"
	"math"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/locality"
)

// Estimates in pools whose upstreams state their pace. Their upstreams differ in speed,
// and the choice among them is that of balance.go.

const (
	// defaultUsualTimeMs is the time to the first event that is assumed until one is
	// measured.
	defaultUsualTimeMs = 50
	// minGapEvents is the number of events from which their gaps are a sample of speed.
	minGapEvents = 8
	// gapSampleWeight is the weight of such a sample. It is the mean of several gaps, and
	// neither the queue nor the cache changes it.
	gapSampleWeight = 12
	msPerSecond     = 1000
	// outOfScopeMs puts the upstreams of other zones after those of the zone to which a
	// request goes. It is above all other costs.
	outOfScopeMs = 1e6
)

// pacedState is the state of a pool whose upstreams state their pace.
type pacedState struct {
	// active is set once an upstream has stated its pace.
	active bool
	// usualTimeMs is the mean time to the first event at the usual pace; zero until it
	// is measured. usualTimeSamples counts its samples.
	usualTimeMs      float64
	usualTimeSamples int
	// firstEvents and gaps measure the speeds by the time to the first event and by the
	// time between two events.
	firstEvents, gaps speedometer
	// holdMs is the mean time for which a request takes a slot; zero until it is measured.
	holdMs      float64
	holdSamples int
	leaving     leaving
	// uses are the shares of slots in use, by zone.
	uses map[string]*use
}

// reportPaced records a load in the state that only pools with a stated pace have.
func (pool *Pool) reportPaced(member *member, load Load) {
	if load.PacePercent > 0 && !pool.paced.active {
		pool.paced.active = true
		if pool.config.OnPaceStated != nil {
			pool.config.OnPaceStated(member.Upstream, load)
		}
	}
	slots := cmp.Or(load.Slots, member.Slots)
	if !pool.paced.active || slots == 0 {
		return
	}
	if pool.paced.uses == nil {
		pool.paced.uses = make(map[string]*use)
	}
	zoneUse, ok := pool.paced.uses[member.Zone]
	if !ok {
		zoneUse = &use{}
		pool.paced.uses[member.Zone] = zoneUse
	}
	zoneUse.add(float64(load.Running+load.Waiting)/float64(slots), load.ReceivedAt)
}

// recordPaced records a time to the first event, and returns the time that it would have
// been at the usual pace. A time at an upstream with waiting requests is that of its
// queue, and one after a guess of what is cached is that of the cache, so neither says
// anything of the speed.
func (pool *Pool) recordPaced(ticket *Ticket, elapsedMs float64, now time.Time) float64 {
	ticket.firstEventPace = ticket.pace()
	usualMs := elapsedMs / ticket.firstEventPace
	pool.paced.usualTimeSamples++
	weight := max(meanTimeWeight, 1/float64(pool.paced.usualTimeSamples))
	pool.paced.usualTimeMs += weight * (usualMs - pool.paced.usualTimeMs)
	if ticket.member.load.Waiting == 0 && !ticket.estimate.cacheAssumed {
		pool.paced.firstEvents.add(&ticket.member.speed, speedSample{measured: usualMs, expected: ticket.estimate.usualMs, weight: 1}, now)
	}
	return usualMs
}

// recordGap records the mean time between two events of a request that has ended.
func (pool *Pool) recordGap(ticket *Ticket, now time.Time) {
	if ticket.estimate.pace == 0 || ticket.eventCount < minGapEvents {
		return
	}
	duration := ticket.lastEventAt.Sub(ticket.firstEventAt)
	gapMs := duration.Seconds() * msPerSecond / float64(ticket.eventCount-1)
	// A longer stream has run at the mean of several paces.
	usualMs := gapMs / (1 + paceWeight(duration)*(ticket.firstEventPace-1))
	pool.paced.gaps.add(&ticket.member.speed, speedSample{measured: usualMs, expected: 1, weight: gapSampleWeight}, now)
}

// pacedEstimate returns the estimate of one candidate without the random part.
func (pool *Pool) pacedEstimate(member *member, criteria Criteria, preferred bool, now time.Time) costEstimate {
	cost := costEstimate{uncachedTokens: member.uncachedTokens(criteria, preferred, now), pace: member.load.expectedPace(now)}
	cost.cacheAssumed = preferred && cost.uncachedTokens != member.uncachedTokens(criteria, false, now)
	running := pool.pacedRunning(member, now)
	if pool.config.Engine {
		cost.usualMs = (cost.uncachedTokens+member.pendingTokens)/pool.prefillTokensPerMs + running*runningCostMs
	} else {
		cost.usualMs = cmp.Or(pool.paced.usualTimeMs, defaultUsualTimeMs)
	}
	expectedMs := cost.usualMs * cost.pace
	if slots := member.slots(); slots > 0 && running > slots {
		expectedMs += (running - slots) * waitingCostMs
	}
	cost.timeToFirstEventMs = expectedMs / member.speed.speed(now)
	// The speed is part of the capacity, by which requests are divided. To count it
	// here, too, would leave slow upstreams idle.
	cost.totalMs = expectedMs + member.failureRate*failurePenaltyMs
	if now.Before(member.fullUntil) {
		cost.totalMs += fullPenaltyMs
	}
	if member.Zone != criteria.Zone {
		cost.totalMs += otherZonePenaltyMs
	}
	return cost
}

// recordHold adds the time for which a request took a slot to the mean.
func (pool *Pool) recordHold(ticket *Ticket, now time.Time) {
	if ticket.estimate.pace == 0 {
		return
	}
	pool.paced.holdSamples++
	weight := max(meanTimeWeight, 1/float64(pool.paced.holdSamples))
	pool.paced.holdMs += weight * (now.Sub(ticket.startedAt).Seconds()*msPerSecond - pool.paced.holdMs)
}

// slots returns the number of slots, or zero if it isn't known.
func (member *member) slots() float64 { return float64(cmp.Or(member.Slots, member.load.Slots)) }

// pacedRunning estimates the number of requests at an upstream. As a report ages, the
// mean use of the upstream's zone replaces it.
func (pool *Pool) pacedRunning(member *member, now time.Time) float64 {
	running := max(float64(member.ownRunning), pool.meanUse(member.Zone)*member.slots())
	if !member.load.ReceivedAt.IsZero() {
		weight := math.Exp2(-now.Sub(member.load.ReceivedAt).Seconds() / loadHalfLife.Seconds())
		running += weight * (float64(member.load.Running+member.load.Waiting+max(member.sentSinceLoad-member.endedSinceLoad, 0)) - running)
	}
	return max(running, float64(member.ownRunning))
}

// meanUse returns the mean share of slots in use in a zone; zero if nothing is known.
func (pool *Pool) meanUse(zone string) float64 {
	if zoneUse, ok := pool.paced.uses[zone]; ok {
		return zoneUse.share
	}
	return 0
}

// pacedEstimates returns the estimates of all candidates. Requests that share parts of
// their prompts go where the first event is expected first. Others are divided by
// capacity.
func (pool *Pool) pacedEstimates(candidates []*member, criteria Criteria, now time.Time) []costEstimate {
	if _, ok := criteria.lastSharedPart(); ok && pool.config.Engine {
		return pool.cachedEstimates(candidates, criteria, now)
	}
	return pool.balancedEstimates(candidates, criteria, now)
}

// cachedEstimates compares the expected times to the first event at the upstreams of all
// zones. A part of a prompt is cached at one of them, in whichever zone; to divide such
// requests by capacity or to keep them in a zone would have each part read by more
// upstreams, which takes longer than what the division saves.
func (pool *Pool) cachedEstimates(candidates []*member, criteria Criteria, now time.Time) []costEstimate {
	preferred := preferredMember(candidates, criteria)
	leavingMs := pool.config.Locality.LeavingCost(criteria.Bytes).Seconds() * msPerSecond
	estimates := make([]costEstimate, len(candidates))
	pool.countExpected(candidates, now)
	for i, candidate := range candidates {
		estimate := pool.pacedEstimate(candidate, criteria, candidate == preferred, now)
		estimate.totalMs += estimate.timeToFirstEventMs * (1 - candidate.speed.speed(now)) // as the time at its own speed counts here
		if candidate.Zone != criteria.Zone {
			estimate.totalMs += leavingMs - otherZonePenaltyMs
			estimate.leaveReason = locality.Shorter
		}
		estimate.totalMs += pool.config.Random.Float64() // breaks ties
		estimates[i] = estimate
	}
	return estimates
}

// balancedEstimates returns estimates of which the lowest total is the choice of
// balance.go among the upstreams of the zone that pkg/locality decides on. Those of other
// zones come after them.
func (pool *Pool) balancedEstimates(candidates []*member, criteria Criteria, now time.Time) []costEstimate {
	decision := pool.decideZone(candidates, criteria, now)
	inScope := make([]*member, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.Zone == cmp.Or(decision.Zone, criteria.Zone) {
			inScope = append(inScope, candidate)
		}
	}
	if len(inScope) == 0 {
		inScope = candidates
	}
	resolutionMs := max(resolutionShare*cmp.Or(pool.paced.usualTimeMs, defaultUsualTimeMs), minResolutionMs)
	meanCapacity := pool.countExpected(inScope, now) / float64(len(inScope))
	estimates := make([]costEstimate, len(candidates))
	for i, candidate := range candidates {
		estimates[i] = pool.pacedEstimate(candidate, criteria, false, now)
		if candidate.Zone != criteria.Zone {
			estimates[i].leaveReason = cmp.Or(decision.Reason, locality.NoUpstream)
		}
		input := pool.balanceInput(candidate, now)
		input.capacity /= meanCapacity
		estimates[i].totalMs = orderKey(estimates[i].totalMs, input.weight(), resolutionMs, pool.config.Random)
		if len(inScope) < len(candidates) && candidate.Zone != inScope[0].Zone {
			estimates[i].totalMs += outOfScopeMs
		}
	}
	return estimates
}

func (pool *Pool) balanceInput(member *member, now time.Time) balanceInput {
	input := balanceInput{capacity: member.capacity(now), meanUse: pool.meanUse(member.Zone), share: member.share}
	input.reportedUse = input.meanUse
	if slots := member.slots(); slots > 0 && !member.load.ReceivedAt.IsZero() {
		input.reportedUse = float64(member.load.Running+member.load.Waiting) / slots
		input.reportAge = now.Sub(member.load.ReceivedAt)
	}
	return input
}

// capacity is the number of slots times the speed.
func (member *member) capacity(now time.Time) float64 {
	return max(member.slots(), 1) * member.speed.speed(now)
}

// countExpected adds a request to those expected at the candidates, and returns the sum
// of their capacities.
func (pool *Pool) countExpected(candidates []*member, now time.Time) float64 {
	total := 0.0
	for _, candidate := range candidates {
		total += candidate.capacity(now)
	}
	var elapsed time.Duration
	factor := 1.0
	for _, candidate := range candidates {
		if candidateElapsed := now.Sub(candidate.share.updatedAt); candidateElapsed != elapsed {
			elapsed, factor = candidateElapsed, shareDecay(candidateElapsed) // most were updated at the same time
		}
		candidate.share.decay(factor, now)
		candidate.share.expected += candidate.capacity(now) / total
	}
	return total
}

// LargestShareRatio returns the largest ratio of the requests that this router sent to
// an upstream to the upstream's share by capacity; zero unless the upstreams state their
// pace.
func (pool *Pool) LargestShareRatio() float64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	largest := 0.0
	if pool.paced.active {
		for _, member := range pool.members {
			largest = max(largest, member.share.ratio())
		}
	}
	return largest
}
