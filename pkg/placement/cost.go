package placement

import (
	"math"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

const (
	// defaultSpeed is the reading speed in tokens a millisecond until one was
	// learnt; only ratios of costs count.
	defaultSpeed = 30
	// leastOpen is the share of upstreams that must be open for ejection to count.
	leastOpen = 0.5
	// cacheLife is how long a part that was sent is taken to be cached.
	cacheLife = 30 * time.Second
	// greatestCache bounds the parts remembered for one upstream.
	greatestCache = 8192
	// homeTrust is the part of a prompt's home that is taken to be cached there
	// when this router has not sent it itself: others probably have.
	homeTrust = 0.8
	// settling is how long a new upstream's cache is taken to be empty.
	settling = 2 * time.Second
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = time.Second
	// runningCost is by how many milliseconds each running request delays a
	// first event at an engine.
	runningCost = 1.5
	// waitingCost is the same for each waiting one.
	waitingCost = 25
	// plainCost is the delay by a request at a plain upstream that has free slots.
	plainCost = 1
	// fullCost keeps requests from upstreams that refused one just now.
	fullCost = 400
	// failureCost is the cost in milliseconds of an upstream that always fails.
	failureCost = 1500
	// otherZoneCost prefers the own zone, all else being equal.
	otherZoneCost = 1
)

// cost is the estimate for one upstream, in milliseconds.
type cost struct {
	// unread is the number of prompt tokens that have to be read.
	unread float64
	// first is the expected time to the first event.
	first float64
	total float64
}

// homeOf returns the upstream that all routers agree on for the shared parts,
// without asking each other.
func homeOf(candidates []*member, demand Demand) *member {
	shared, ok := demand.shared()
	if !ok {
		return nil
	}
	var home *member
	var best uint64
	for _, candidate := range candidates {
		if score := rendezvous.Score(shared.ID, candidate.hash); home == nil || score > best {
			home, best = candidate, score
		}
	}
	return home
}

func (pool *Pool) estimate(member *member, demand Demand, home bool, now time.Time) cost {
	estimate := cost{unread: member.unreadOf(demand, home, now)}
	running := member.expectedRunning(now)
	if pool.config.Engine {
		speed := member.speed
		if speed == 0 {
			speed = pool.speed
		}
		estimate.first = (estimate.unread+member.unread)/speed*member.lateness + running*runningCost
	} else {
		estimate.first = running * plainCost
	}
	if slots := float64(member.Slots); slots > 0 && running > slots {
		estimate.first += (running - slots) * waitingCost
	}
	estimate.total = estimate.first + member.failures*failureCost
	if now.Before(member.fullTill) {
		estimate.total += fullCost
	}
	if member.Zone != demand.Zone {
		estimate.total += otherZoneCost
	}
	estimate.total += pool.config.Random.Float64() // ties
	return estimate
}

// unreadOf returns how many tokens of the prompt the upstream has to read.
func (member *member) unreadOf(demand Demand, home bool, now time.Time) float64 {
	unread, cached := 0.0, true
	trusted := home && now.Sub(member.since) > settling
	last := len(demand.Parts) - 1
	for i, part := range demand.Parts {
		if i == last || !cached {
			unread += float64(part.Tokens)
			continue
		}
		sent, ok := member.cached[part.ID]
		switch {
		case ok && now.Sub(sent) < cacheLife:
		case trusted:
			unread += float64(part.Tokens) * (1 - homeTrust)
		default:
			cached = false
			unread += float64(part.Tokens)
		}
	}
	return unread
}

// expectedRunning is the number of requests at the upstream: what it said, as
// far as that is still true, and the own requests since.
func (member *member) expectedRunning(now time.Time) float64 {
	own := float64(member.running)
	if member.load.ReceivedAt.IsZero() {
		return own
	}
	age := now.Sub(member.load.ReceivedAt).Seconds() / loadHalfLife.Seconds()
	weight := math.Exp2(-age)
	reported := float64(member.load.Running+member.load.Waiting) + float64(member.sent)
	return max(own, weight*reported+(1-weight)*own)
}
