package placement

import (
	"math"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/locality"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

const (
	// defaultPrefillTokensPerMs is the prefill rate (prompt processing) assumed
	// until one is measured. Only the ratios of the costs matter.
	defaultPrefillTokensPerMs = 30
	// minHealthyShare is the minimum share of upstreams that are not ejected.
	// When fewer are left, ejections are ignored. The minimum number is rounded
	// down.
	minHealthyShare = 0.5
	// cacheLifetime is how long a prompt part is assumed to stay cached after it
	// was sent.
	cacheLifetime = 30 * time.Second
	// maxCachedParts limits the number of prompt parts recorded for one upstream.
	maxCachedParts = 8192
	// preferredCachedShare is the share of a shared prompt part's tokens that is
	// assumed to be cached at the preferred upstream even if this router hasn't
	// sent the part there, since other routers prefer the same upstream.
	preferredCachedShare = 0.8
	// coldCachePeriod is how long a new upstream's cache is assumed to be empty.
	coldCachePeriod = 2 * time.Second
	// loadHalfLife is the age at which a reported load has half its weight.
	loadHalfLife = time.Second
	// runningCostMs is by how much each request that runs at an engine delays
	// the first event of a new one.
	runningCostMs = 1.5
	// waitingCostMs is added to it for each request in excess of the upstream's
	// slots.
	waitingCostMs = 25
	// plainRunningCostMs replaces runningCostMs at an upstream that isn't an
	// engine.
	plainRunningCostMs = 1
	// fullPenaltyMs is added for upstreams that recently refused a request
	// because they were full.
	fullPenaltyMs = 400
	// failurePenaltyMs times the failure rate is added for each upstream.
	failurePenaltyMs = 1500
	// otherZonePenaltyMs is added for upstreams outside the router's zone, so
	// that its own zone is preferred when the other costs are equal.
	otherZonePenaltyMs = 1
)

// costEstimate is the expected cost of a request at one upstream.
type costEstimate struct {
	// uncachedTokens is the number of prompt tokens that need prefill.
	uncachedTokens float64
	// timeToFirstEventMs is the expected time to the first event.
	timeToFirstEventMs float64
	// usualMs is the expected time at the usual pace and at the pool's mean speed, without
	// that of the upstream's queue. It is only set if the upstreams state their pace.
	usualMs float64
	// cacheAssumed is set when parts of the prompt are assumed to be cached although this
	// router has not sent them to the upstream.
	cacheAssumed bool
	// leaveReason is why the request leaves the zone if it goes to this upstream.
	leaveReason locality.Reason
	// pace is by what factor work was expected to take longer than usual; zero in pools
	// whose upstreams don't state it.
	pace float64
	// totalMs is timeToFirstEventMs plus the penalties.
	totalMs float64
}

// preferredMember returns the upstream that is preferred for the shared parts
// of the prompt, or nil when no part is shared. With rendezvous hashing all
// routers prefer the same one without communication, so its cache is reused.
func preferredMember(candidates []*member, criteria Criteria) *member {
	shared, ok := criteria.lastSharedPart()
	if !ok {
		return nil
	}
	var preferred *member
	var highestScore uint64
	for _, candidate := range candidates {
		if score := rendezvous.Score(shared.ID, candidate.idHash); preferred == nil || score > highestScore {
			preferred, highestScore = candidate, score
		}
	}
	return preferred
}

// estimates returns the estimates of the candidates, in their order.
func (pool *Pool) estimates(candidates []*member, criteria Criteria, now time.Time) []costEstimate {
	if pool.paced.active {
		return pool.pacedEstimates(candidates, criteria, now)
	}
	preferred := preferredMember(candidates, criteria)
	estimates := make([]costEstimate, len(candidates))
	for i, candidate := range candidates {
		estimates[i] = pool.estimate(candidate, criteria, candidate == preferred, now)
	}
	return estimates
}

func (pool *Pool) estimate(member *member, criteria Criteria, preferred bool, now time.Time) costEstimate {
	cost := costEstimate{uncachedTokens: member.uncachedTokens(criteria, preferred, now)}
	running := member.expectedRunning(now)
	if pool.config.Engine {
		tokensPerMs := member.prefillTokensPerMs
		if tokensPerMs == 0 {
			tokensPerMs = pool.prefillTokensPerMs
		}
		cost.timeToFirstEventMs = (cost.uncachedTokens+member.pendingTokens)/tokensPerMs*member.latencyRatio + running*runningCostMs
	} else {
		cost.timeToFirstEventMs = running * plainRunningCostMs
	}
	if slots := float64(member.Slots); slots > 0 && running > slots {
		cost.timeToFirstEventMs += (running - slots) * waitingCostMs
	}
	cost.totalMs = cost.timeToFirstEventMs + member.failureRate*failurePenaltyMs
	if now.Before(member.fullUntil) {
		cost.totalMs += fullPenaltyMs
	}
	if member.Zone != criteria.Zone {
		cost.totalMs += otherZonePenaltyMs
	}
	cost.totalMs += pool.config.Random.Float64() // breaks ties
	return cost
}

// uncachedTokens estimates how many tokens of the prompt need prefill at the
// upstream. Caches hold prefixes, so the parts after an uncached one count in
// full. So does the last part, which no other request shares.
func (member *member) uncachedTokens(criteria Criteria, preferred bool, now time.Time) float64 {
	tokens, prefixCached := 0.0, true
	cachedByOthers := preferred && now.Sub(member.addedAt) > coldCachePeriod
	last := len(criteria.Parts) - 1
	for i, part := range criteria.Parts {
		if i == last || !prefixCached {
			tokens += float64(part.Tokens)
			continue
		}
		sentAt, ok := member.partSentAt[part.ID]
		switch {
		case ok && now.Sub(sentAt) < cacheLifetime:
		case cachedByOthers:
			tokens += float64(part.Tokens) * (1 - preferredCachedShare)
		default:
			prefixCached = false
			tokens += float64(part.Tokens)
		}
	}
	return tokens
}

// expectedRunning estimates the number of requests at the upstream: the weighted
// mean of this router's own requests and of the reported load plus the requests
// sent since the report. The weight of the report falls with its age. The result
// is never below this router's own requests.
func (member *member) expectedRunning(now time.Time) float64 {
	ownRunning := float64(member.ownRunning)
	if member.load.ReceivedAt.IsZero() {
		return ownRunning
	}
	age := now.Sub(member.load.ReceivedAt).Seconds() / loadHalfLife.Seconds()
	weight := math.Exp2(-age)
	reported := float64(member.load.Running+member.load.Waiting) + float64(member.sentSinceLoad)
	return max(ownRunning, weight*reported+(1-weight)*ownRunning)
}
