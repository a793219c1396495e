package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestPool(engine bool, count, slots int, now time.Time) *Pool {
	pool := NewPool(PoolConfig{Service: "s", Engine: engine, Random: rand.New(rand.NewPCG(1, 2))})
	var upstreams []Upstream
	for i := range count {
		upstreams = append(upstreams, Upstream{ID: fmt.Sprintf("u-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: slots})
	}
	pool.Update(upstreams, now)
	return pool
}

func prompt(sharedID uint64, ownTokens int64) Criteria {
	return Criteria{Parts: []PromptPart{{ID: 1, Tokens: 2500}, {ID: sharedID, Tokens: 3800}, {ID: sharedID<<32 | 7, Tokens: ownTokens}}}
}

// Guards against routers that send prompts with the same shared part to
// different upstreams, so that each upstream has to process the part again.
// Two routers without communication have to prefer the same upstream.
func TestRoutersPreferTheSameUpstream(t *testing.T) {
	now := time.Unix(100, 0)
	firstRouter, secondRouter := newTestPool(true, 9, 64, now), newTestPool(true, 9, 64, now)
	now = now.Add(time.Minute)
	sameUpstreamCount := 0
	for i := range uint64(90) {
		firstTicket, secondTicket := firstRouter.Choose(prompt(i+2, 2000), now), secondRouter.Choose(prompt(i+2, 2000), now)
		firstTicket.FirstEvent(now.Add(70 * time.Millisecond))
		secondTicket.FirstEvent(now.Add(70 * time.Millisecond))
		firstTicket.End(Success, now)
		secondTicket.End(Success, now)
		if firstTicket.Upstream.ID == secondTicket.Upstream.ID {
			sameUpstreamCount++
		}
	}
	require.Greater(t, sameUpstreamCount, 80)
}

// Guards against an overload of the preferred upstream when much of the
// traffic shares one prompt part: other upstreams have to take the excess.
func TestHotPromptPartSpreadsOverUpstreams(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(true, 9, 64, now)
	now = now.Add(time.Minute)
	counts := make(map[string]int)
	for range 60 {
		counts[pool.Choose(prompt(2, 3000), now).Upstream.ID]++
	}
	require.Greater(t, len(counts), 2)
	for id, count := range counts {
		require.Less(t, count, 40, id)
	}
}

// Guards against an upstream that fails some of its requests while it reports
// itself healthy: it has to lose most of its traffic soon.
func TestPartlyFailingUpstreamGetsFewRequests(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(false, 3, 6, now)
	sentToFailing := 0
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		ticket := pool.Choose(Criteria{}, now)
		result := Success
		if ticket.Upstream.ID == "u-0" {
			sentToFailing++
			if i%5 < 2 {
				result = Failure
			}
		}
		ticket.End(result, now.Add(10*time.Millisecond))
	}
	require.Less(t, sentToFailing, 30)
}

// TestSilentUpstreamGetsNoRequests guards against requests that are sent to an upstream
// for which several others are still waiting.
func TestSilentUpstreamGetsNoRequests(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(false, 3, 6, now)
	tickets := make([]*Ticket, 0, 9)
	for range 9 {
		tickets = append(tickets, pool.Choose(Criteria{}, now))
	}
	now = now.Add(time.Second)
	for _, ticket := range tickets {
		if ticket.Upstream.ID == "u-0" {
			ticket.Silent(now)
			ticket.Silent(now)
		}
	}
	for range 6 {
		require.NotEqual(t, "u-0", pool.Choose(Criteria{}, now.Add(100*time.Millisecond)).Upstream.ID)
	}
}

// Guards against a pool without a usable upstream when a fault hits most of
// it: ejections are ignored when fewer than half of the upstreams are healthy.
func TestEjectionIsIgnoredWhenMostUpstreamsFail(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(false, 3, 6, now)
	for range 30 {
		ticket := pool.Choose(Criteria{}, now)
		require.NotNil(t, ticket)
		ticket.End(Unreachable, now)
	}
	require.NotNil(t, pool.Choose(Criteria{}, now))
}

// Guards against new requests at upstreams that are being scaled in.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(false, 2, 6, now)
	pool.Update([]Upstream{
		{ID: "u-0", Address: "127.0.0.1:1", Slots: 6, Draining: true}, {ID: "u-1", Address: "127.0.0.1:2", Slots: 6},
	}, now)
	for range 50 {
		require.Equal(t, "u-1", pool.Choose(Criteria{}, now).Upstream.ID)
	}
	require.Nil(t, pool.Choose(Criteria{ExcludedIDs: []string{"u-1"}}, now))
}

// Guards against trust in a cache that a restart has emptied: the restarted
// process has the same ID and address but a later start time.
func TestRestartWithSameIDResetsCacheState(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(true, 1, 64, now)
	now = now.Add(time.Minute)
	ticket := pool.Choose(prompt(2, 1000), now)
	ticket.End(Success, now)
	require.Less(t, pool.Choose(prompt(2, 1000), now).UncachedTokens(), int64(1500))
	pool.Update([]Upstream{{ID: "u-0", Address: "127.0.0.1:1", Slots: 64, StartedAt: 7}}, now)
	require.Equal(t, int64(7300), pool.Choose(prompt(2, 1000), now).UncachedTokens())
}
