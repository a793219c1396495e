package placement

import (
	"math"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

const (
	// defaultPrefillTokensPerMs is the prefill rate (prompt processing) assumed
	// until one is measured. Only the ratios of the costs matter.
	defaultPrefillTokensPerMs = 30
	// minHealthyShare is the share of upstreams that must not be ejected. When
	// fewer are healthy (the number is rounded down), ejections are ignored.
	minHealthyShare = 0.5
	// cacheLifetime is how long a prompt part is assumed to stay cached after it
	// was sent.
	cacheLifetime = 30 * time.Second
	// maxCachedParts bounds the prompt parts recorded for one upstream.
	maxCachedParts = 8192
	// preferredCachedShare is the share of a shared prompt part that is assumed
	// to be cached at the preferred upstream although this router hasn't sent it
	// there: other routers choose the same upstream.
	preferredCachedShare = 0.8
	// coldCachePeriod is how long a new upstream's cache is assumed to be empty.
	coldCachePeriod = 2 * time.Second
	// loadHalfLife is the age at which a reported load has half its weight.
	loadHalfLife = time.Second
	// runningCostMs is the delay of the first event by each request that runs
	// at an engine.
	runningCostMs = 1.5
	// waitingCostMs is the delay of the first event by each request beyond the
	// upstream's slots.
	waitingCostMs = 25
	// plainRunningCostMs is the delay of the first event by each request that
	// runs at an upstream which isn't an engine.
	plainRunningCostMs = 1
	// fullPenaltyMs is added for upstreams that recently refused a request
	// because they were full.
	fullPenaltyMs = 400
	// failurePenaltyMs is added for an upstream that fails every request; less
	// in proportion to the failure rate.
	failurePenaltyMs = 1500
	// otherZonePenaltyMs prefers the router's own zone, other costs being equal.
	otherZonePenaltyMs = 1
)

// costEstimate is the expected cost of a request at one upstream.
type costEstimate struct {
	// uncachedTokens is the number of prompt tokens that need prefill.
	uncachedTokens float64
	// timeToFirstEventMs is the expected time to the first event.
	timeToFirstEventMs float64
	// totalMs adds the penalties to the expected time.
	totalMs float64
}

// preferredMember returns the upstream that is preferred for the shared parts
// of the prompt, or nil when no part is shared. Rendezvous hashing lets all
// routers prefer the same one without communication, so its cache is reused.
func preferredMember(candidates []*member, demand Demand) *member {
	shared, ok := demand.lastSharedPart()
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

func (pool *Pool) estimate(member *member, demand Demand, preferred bool, now time.Time) costEstimate {
	result := costEstimate{uncachedTokens: member.uncachedTokens(demand, preferred, now)}
	running := member.expectedRunning(now)
	if pool.config.Engine {
		tokensPerMs := member.prefillTokensPerMs
		if tokensPerMs == 0 {
			tokensPerMs = pool.prefillTokensPerMs
		}
		result.timeToFirstEventMs = (result.uncachedTokens+member.pendingTokens)/tokensPerMs*member.latencyRatio + running*runningCostMs
	} else {
		result.timeToFirstEventMs = running * plainRunningCostMs
	}
	if slots := float64(member.Slots); slots > 0 && running > slots {
		result.timeToFirstEventMs += (running - slots) * waitingCostMs
	}
	result.totalMs = result.timeToFirstEventMs + member.failureRate*failurePenaltyMs
	if now.Before(member.fullUntil) {
		result.totalMs += fullPenaltyMs
	}
	if member.Zone != demand.Zone {
		result.totalMs += otherZonePenaltyMs
	}
	result.totalMs += pool.config.Random.Float64() // breaks ties
	return result
}

// uncachedTokens estimates how many tokens of the prompt need prefill at the
// upstream. Caches hold prefixes, so the parts behind an uncached one count in
// full, and so does the last part, which no other request shares.
func (member *member) uncachedTokens(demand Demand, preferred bool, now time.Time) float64 {
	tokens, prefixCached := 0.0, true
	cachedByOthers := preferred && now.Sub(member.firstSeen) > coldCachePeriod
	last := len(demand.Parts) - 1
	for i, part := range demand.Parts {
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

// expectedRunning estimates the number of requests at the upstream: the load
// that it reported plus the requests that this router has sent since. The
// weight of the report falls with its age, in favour of the router's own count.
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
