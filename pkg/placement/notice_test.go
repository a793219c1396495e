package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

// deskUpstreams are two upstreams of the same service.
var deskUpstreams = []Upstream{
	{ID: "u-0", Address: "127.0.0.1:1", StartedAt: 3}, {ID: "u-1", Address: "127.0.0.1:2", StartedAt: 3},
}

func newNoticePool(now time.Time) *Pool {
	pool := NewPool(PoolConfig{Service: "s", Random: rand.New(rand.NewPCG(1, 2)), LeavingPeriod: 2 * time.Second})
	pool.Update(deskUpstreams, now)
	return pool
}

// record records a notice of the upstream with the ID.
func record(t *testing.T, pool *Pool, id string, request notice.Request, now time.Time) {
	t.Helper()
	excluded := "u-0"
	if id == excluded {
		excluded = "u-1"
	}
	ticket := pool.Choose(Criteria{ExcludedIDs: []string{excluded}}, now)
	require.Equal(t, id, ticket.Upstream.ID)
	ticket.RecordNotice(request, now)
	ticket.End(Neutral, now)
}

// chosenIDs returns the IDs of the upstreams that get requests at the time.
func chosenIDs(pool *Pool, now time.Time) map[string]bool {
	ids := make(map[string]bool)
	for range 50 {
		if ticket := pool.Choose(Criteria{}, now); ticket != nil {
			ids[ticket.Upstream.ID] = true
			ticket.End(Neutral, now)
		}
	}
	return ids
}

// Guards against requests at an upstream that has said it is leaving, which the list
// of upstreams brings back: a late entry, one that was removed for a while, or a pool
// for the same service that is built anew.
func TestListOfUpstreamsDoesNotBringLeavingProcessBack(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newNoticePool(now)
	record(t, pool, "u-0", notice.Request{Leaving: true}, now)
	onlyOther := map[string]bool{"u-1": true}
	require.Equal(t, onlyOther, chosenIDs(pool, now))
	pool.Update(deskUpstreams[1:], now)
	pool.Update(deskUpstreams, now)
	require.Equal(t, onlyOther, chosenIDs(pool, now.Add(time.Hour)))
	rebuilt := NewPool(pool.config)
	rebuilt.Update(deskUpstreams, now)
	require.Equal(t, onlyOther, chosenIDs(rebuilt, now))
	moved := deskUpstreams[0]
	moved.Address = "127.0.0.1:3"
	pool.Update([]Upstream{moved, deskUpstreams[1]}, now)
	require.Equal(t, onlyOther, chosenIDs(pool, now))
	moved.StartedAt = 4
	pool.Update([]Upstream{moved, deskUpstreams[1]}, now)
	require.Len(t, chosenIDs(pool, now), 2, "a later process starts clean")
}

// Guards against an older copy of the list that has the start time of a process before
// the one that is leaving: the requests would reach the latter, as its ID is the same.
func TestOlderStartTimeDoesNotBringLeavingProcessBack(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newNoticePool(now)
	record(t, pool, "u-0", notice.Request{Leaving: true, Pause: time.Minute}, now)
	older := deskUpstreams[0]
	older.StartedAt = 2
	pool.Update([]Upstream{older, deskUpstreams[1]}, now)
	require.Equal(t, map[string]bool{"u-1": true}, chosenIDs(pool, now))
	pool.Update(deskUpstreams, now)
	require.Equal(t, map[string]bool{"u-1": true}, chosenIDs(pool, now))
}

// Guards against refusals while the only upstream that is left still serves, and
// against requests there after its drain period.
func TestLeavingUpstreamIsTheLastResort(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newNoticePool(now)
	record(t, pool, "u-0", notice.Request{Leaving: true}, now)
	record(t, pool, "u-1", notice.Request{Pause: 10 * time.Second}, now)
	_, paused := pool.PausedUntil(now)
	require.True(t, paused)
	require.Equal(t, map[string]bool{"u-0": true}, chosenIDs(pool, now.Add(2*time.Second-1)))
	require.Empty(t, chosenIDs(pool, now.Add(2*time.Second)))
}

// Guards against requests at an upstream that has asked for a pause, also when all
// upstreams have, and against a pause that outlasts the process.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	pool := newNoticePool(now)
	record(t, pool, "u-0", notice.Request{Pause: 3 * time.Second}, now)
	_, paused := pool.PausedUntil(now)
	require.False(t, paused, "another upstream takes requests")
	require.Equal(t, map[string]bool{"u-1": true}, chosenIDs(pool, now))
	require.False(t, pool.CanServe(Criteria{ExcludedIDs: []string{"u-1"}}, now))
	record(t, pool, "u-1", notice.Request{Pause: time.Second}, now)
	require.Empty(t, chosenIDs(pool, now))
	until, paused := pool.PausedUntil(now)
	require.True(t, paused)
	require.Equal(t, now.Add(time.Second), until)
	require.Equal(t, map[string]bool{"u-1": true}, chosenIDs(pool, now.Add(time.Second)))
	require.Len(t, chosenIDs(pool, now.Add(3*time.Second)), 2)
	restarted := deskUpstreams[0]
	restarted.StartedAt = 4
	pool.Update([]Upstream{restarted, deskUpstreams[1]}, now)
	require.Equal(t, map[string]bool{"u-0": true}, chosenIDs(pool, now))
}
