package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/evacuation"
	"gitlab.com/wisterialb/wisterialb/pkg/locality"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
	"gitlab.com/wisterialb/wisterialb/pkg/warmup"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Service string
	// Engine is set when the upstreams are model engines, which process prompts.
	Engine bool
	// Notices are shared by the pools of a router; nil means those of this pool only.
	Notices *notice.Register
	// Evacuations are the zones whose upstreams get no requests; nil means none.
	Evacuations *evacuation.Register
	// LeavingPeriod is how long an upstream that says it is leaving may still get
	// requests that no other upstream can take.
	LeavingPeriod time.Duration
	// Warmup limits what is sent to cold upstreams; nil means that none is ever cold.
	Warmup *warmup.Limiter
	// Locality sets what traffic between zones costs in pools whose upstreams state their
	// pace.
	Locality locality.Config
	// OnZoneChange is called when requests begin or cease to leave for another zone, while
	// the pool is locked; nil does nothing.
	OnZoneChange func(change locality.Change)
	// OnPaceStated is called once, when the first upstream has stated its pace, while the
	// pool is locked; nil does nothing.
	OnPaceStated func(upstream Upstream, load Load)
	// Random breaks ties; nil means a source with a random seed.
	Random *rand.Rand
}

// Pool holds the upstreams of one service.
type Pool struct {
	config  PoolConfig
	mutex   sync.Mutex
	members []*member
	// prefillTokensPerMs is the mean prefill rate of all upstreams. It is assumed
	// for upstreams whose own rate isn't measured yet.
	prefillTokensPerMs float64
	paced              pacedState
}

// NewPool returns a pool without upstreams.
func NewPool(config PoolConfig) *Pool {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Notices == nil {
		config.Notices = notice.NewRegister(notice.RegisterConfig{})
	}
	return &Pool{config: config, prefillTokensPerMs: defaultPrefillTokensPerMs}
}

// Update replaces the upstreams. The state of one is kept while its ID, start
// time and address are the same.
func (pool *Pool) Update(upstreams []Upstream, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	previous := make(map[string]*member, len(pool.members))
	for _, member := range pool.members {
		previous[member.ID] = member
	}
	pool.members = pool.members[:0:0]
	for _, upstream := range upstreams {
		found, ok := previous[upstream.ID]
		if !ok || found.StartedAt != upstream.StartedAt || found.Address != upstream.Address {
			found = newMember(upstream, now)
		}
		found.Upstream = upstream
		pool.members = append(pool.members, found)
	}
	slices.SortFunc(pool.members, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
}

// CanServe reports whether Choose would find an upstream for the request.
func (pool *Pool) CanServe(criteria Criteria, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return len(pool.permitted(pool.candidates(criteria, now), now)) > 0
}

// PausedUntil returns when the first pause ends, if all upstreams that take new
// requests asked for one.
func (pool *Pool) PausedUntil(now time.Time) (time.Time, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var first time.Time
	for _, member := range pool.members {
		notice := pool.config.Notices.Of(member.Process())
		if member.Draining || notice.IsLeaving() || pool.config.Evacuations.IsEvacuated(member.Zone) {
			continue
		}
		if !notice.IsPaused(now) {
			return time.Time{}, false
		}
		if first.IsZero() || notice.PausedUntil.Before(first) {
			first = notice.PausedUntil
		}
	}
	return first, !first.IsZero()
}

// IsEvacuated reports whether all upstreams that take new requests are in evacuated
// zones, and there is at least one.
func (pool *Pool) IsEvacuated() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	evacuated := false
	for _, member := range pool.members {
		if member.Draining || pool.config.Notices.Of(member.Process()).IsLeaving() {
			continue
		}
		if !pool.config.Evacuations.IsEvacuated(member.Zone) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// Choose assigns the request to the upstream with the lowest expected cost that may get
// it. It returns nil when no upstream may be used.
func (pool *Pool) Choose(criteria Criteria, now time.Time) *Ticket {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	candidates := pool.permitted(pool.candidates(criteria, now), now)
	for len(candidates) > 0 {
		cheapest, lowestCost := pool.cheapest(candidates, criteria, now)
		if pool.takePermit(cheapest, now) {
			return pool.assign(cheapest, criteria, lowestCost, now)
		}
		candidates = slices.DeleteFunc(candidates, func(candidate *member) bool { return candidate == cheapest })
	}
	return nil
}

// cheapest returns the candidate with the lowest expected cost.
func (pool *Pool) cheapest(candidates []*member, criteria Criteria, now time.Time) (*member, costEstimate) {
	estimates := pool.estimates(candidates, criteria, now)
	var cheapest *member
	var lowestCost costEstimate
	for i, candidate := range candidates {
		if estimate := estimates[i]; cheapest == nil || estimate.totalMs < lowestCost.totalMs {
			cheapest, lowestCost = candidate, estimate
		}
	}
	return cheapest, lowestCost
}

// candidates returns the upstreams that may get the request: those that aren't
// ejected, or all when too few aren't. Draining, paused and excluded upstreams, and those
// in evacuated zones, are never among them, those that are leaving only if there is no
// other.
func (pool *Pool) candidates(criteria Criteria, now time.Time) []*member {
	var healthy, all, leaving []*member
	for _, member := range pool.members {
		notice := pool.config.Notices.Of(member.Process())
		if member.Draining || notice.IsPaused(now) || criteria.excludes(member.ID) || pool.config.Evacuations.IsEvacuated(member.Zone) {
			continue
		}
		if notice.IsLeaving() {
			if now.Before(notice.LeavingSince.Add(pool.config.LeavingPeriod)) {
				leaving = append(leaving, member)
			}
			continue
		}
		all = append(all, member)
		if now.After(member.ejectedUntil) {
			healthy = append(healthy, member)
		}
	}
	if len(all) == 0 {
		return leaving
	}
	if len(healthy) >= max(1, int(float64(len(all))*minHealthyShare)) {
		return healthy
	}
	return all
}

func (pool *Pool) assign(member *member, criteria Criteria, estimate costEstimate, now time.Time) *Ticket {
	member.ownRunning++
	member.sentSinceLoad++
	pool.countArrival(member, criteria, estimate)
	member.pendingTokens += estimate.uncachedTokens
	if pool.config.Engine {
		if len(member.partSentAt) > maxCachedParts {
			clear(member.partSentAt)
		}
		for _, part := range criteria.Parts[:max(len(criteria.Parts)-1, 0)] {
			member.partSentAt[part.ID] = now
		}
	}
	return &Ticket{Upstream: member.Upstream, pool: pool, member: member, estimate: estimate, startedAt: now}
}
