package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAColdLimitDoublesUntilItFalls takes a limiter through a cold start, a slow
// first part, and a return after an ejection.
func TestAColdLimitDoublesUntilItFalls(t *testing.T) {
	limiter := newLimiter(LimitConfig{Initial: 32}.withDefaults())
	now := time.Unix(1, 0)
	busy := func(latency time.Duration) {
		now = now.Add(latency)
		limiter.observe(sample{latency: latency, inFlight: int(limiter.limit), now: now, floor: defaultMinLimit})
	}
	for range 32 {
		busy(time.Millisecond)
	}
	require.InDelta(t, 64, limiter.limit, 0, "each fast first part raises a cold limit by one")
	busy(time.Second)
	fallen := limiter.limit
	require.Less(t, fallen, 64.0)
	for range 10 {
		busy(time.Millisecond)
	}
	require.Less(t, limiter.limit, fallen+1, "a limit that has fallen rises by one in each latency")
	limiter.restart()
	busy(time.Millisecond)
	require.InDelta(t, defaultMinLimit+1, limiter.limit, 0)
}
