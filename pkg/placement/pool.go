package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Service string
	// Engine is set when upstreams read prompts.
	Engine bool
	// Random breaks ties; nil means a random seed.
	Random *rand.Rand
}

// Pool holds the upstreams of one service.
type Pool struct {
	config  PoolConfig
	mutex   sync.Mutex
	members []*member
	// speed is the mean learnt reading speed, for upstreams that have none.
	speed float64
}

// NewPool returns a pool without upstreams.
func NewPool(config PoolConfig) *Pool {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Pool{config: config, speed: defaultSpeed}
}

// Update replaces the upstreams. What is known of one stays while its ID and
// its start are the same.
func (pool *Pool) Update(upstreams []Upstream, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known := make(map[string]*member, len(pool.members))
	for _, member := range pool.members {
		known[member.ID] = member
	}
	pool.members = pool.members[:0:0]
	for _, upstream := range upstreams {
		found, ok := known[upstream.ID]
		if !ok || found.StartedAt != upstream.StartedAt || found.Address != upstream.Address {
			found = newMember(upstream, now)
		}
		found.Upstream = upstream
		pool.members = append(pool.members, found)
	}
	slices.SortFunc(pool.members, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
}

// Size returns how many upstreams take new requests.
func (pool *Pool) AvailableCount() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	size := 0
	for _, member := range pool.members {
		if !member.Draining {
			size++
		}
	}
	return size
}

// Choose takes the upstream with the least cost. It returns nil when none may
// be used.
func (pool *Pool) Choose(demand Demand, now time.Time) *Ticket {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	candidates := pool.candidates(demand, now)
	if len(candidates) == 0 {
		return nil
	}
	home := homeOf(candidates, demand)
	var best *member
	var bestCost cost
	for _, candidate := range candidates {
		estimate := pool.estimate(candidate, demand, candidate == home, now)
		if best == nil || estimate.total < bestCost.total {
			best, bestCost = candidate, estimate
		}
	}
	return pool.take(best, demand, bestCost, now)
}

// candidates returns the upstreams that may take the request: those that are
// not ejected, or all when nearly all are.
func (pool *Pool) candidates(demand Demand, now time.Time) []*member {
	var open, all []*member
	for _, member := range pool.members {
		if member.Draining || demand.avoids(member.ID) {
			continue
		}
		all = append(all, member)
		if now.After(member.ejectedTill) {
			open = append(open, member)
		}
	}
	if len(open) >= max(1, int(float64(len(all))*leastOpen)) {
		return open
	}
	return all
}

func (pool *Pool) take(member *member, demand Demand, estimate cost, now time.Time) *Ticket {
	member.running++
	member.sent++
	member.unread += estimate.unread
	if pool.config.Engine {
		if len(member.cached) > greatestCache {
			clear(member.cached)
		}
		for _, part := range demand.Parts[:max(len(demand.Parts)-1, 0)] {
			member.cached[part.ID] = now
		}
	}
	return &Ticket{Upstream: member.Upstream, pool: pool, member: member, cost: estimate, at: now}
}
