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

func prompt(subject uint64, own int64) Demand {
	return Demand{Parts: []PromptPart{{ID: 1, Tokens: 2500}, {ID: subject, Tokens: 3800}, {ID: subject<<32 | 7, Tokens: own}}}
}

// TestHomesWithoutTalking is the pattern of long prompts that share parts: two
// routers that know nothing of each other send a subject to the same upstream.
func TestHomesWithoutTalking(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := newTestPool(true, 9, 64, now), newTestPool(true, 9, 64, now)
	now = now.Add(time.Minute)
	same := 0
	for subject := range uint64(90) {
		a, b := first.Choose(prompt(subject+2, 2000), now), second.Choose(prompt(subject+2, 2000), now)
		a.FirstEvent(now.Add(70 * time.Millisecond))
		b.FirstEvent(now.Add(70 * time.Millisecond))
		a.End(Success, now)
		b.End(Success, now)
		if a.Upstream.ID == b.Upstream.ID {
			same++
		}
	}
	require.Greater(t, same, 80)
}

// TestHotPart is the pattern of one subject with much of the traffic: its home
// fills up and others take what it can't.
func TestHotPart(t *testing.T) {
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

// TestGreyUpstream is the pattern of an upstream that fails part of its requests
// while it calls itself healthy: it soon gets few.
func TestGreyUpstream(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(false, 3, 6, now)
	grey := 0
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		ticket := pool.Choose(Demand{}, now)
		verdict := Success
		if ticket.Upstream.ID == "u-0" {
			grey++
			if i%5 < 2 {
				verdict = Failure
			}
		}
		ticket.End(verdict, now.Add(10*time.Millisecond))
	}
	require.Less(t, grey, 30)
}

// TestNearlyAllEjected is the pattern of a fault that hits most of a pool:
// ejection counts only while half of the upstreams are open.
func TestNearlyAllEjected(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(false, 3, 6, now)
	for range 30 {
		ticket := pool.Choose(Demand{}, now)
		require.NotNil(t, ticket)
		ticket.End(Unreachable, now)
	}
	require.NotNil(t, pool.Choose(Demand{}, now))
}

// TestDrainingGetsNothing is the pattern of a scale-in.
func TestDrainingGetsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(false, 2, 6, now)
	pool.Update([]Upstream{
		{ID: "u-0", Address: "127.0.0.1:1", Slots: 6, Draining: true}, {ID: "u-1", Address: "127.0.0.1:2", Slots: 6},
	}, now)
	for range 50 {
		require.Equal(t, "u-1", pool.Choose(Demand{}, now).Upstream.ID)
	}
	require.Nil(t, pool.Choose(Demand{ExcludedIDs: []string{"u-1"}}, now))
}

// TestRestartUnderTheSameID is the pattern of an upstream that starts anew: what
// was known of its cache and failures is gone.
func TestRestartUnderTheSameID(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newTestPool(true, 1, 64, now)
	now = now.Add(time.Minute)
	ticket := pool.Choose(prompt(2, 1000), now)
	ticket.End(Success, now)
	require.Less(t, pool.Choose(prompt(2, 1000), now).UncachedTokens(), int64(1500))
	pool.Update([]Upstream{{ID: "u-0", Address: "127.0.0.1:1", Slots: 64, StartedAt: 7}}, now)
	require.Equal(t, int64(7300), pool.Choose(prompt(2, 1000), now).UncachedTokens())
}
