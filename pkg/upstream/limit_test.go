package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that grows too slowly after a start or too fast after
// an overload. The limiter goes through a start, a latency above the target, and
// the reset after an ejection.
func TestLimitDoublesUntilFirstDecrease(t *testing.T) {
	limiter := newLimiter(LimitConfig{Initial: 32}.withDefaults())
	now := time.Unix(1, 0)
	observe := func(latency time.Duration) {
		now = now.Add(latency)
		limiter.observe(latencySample{latency: latency, inFlight: int(limiter.limit), now: now, minLimit: defaultMinLimit})
	}
	for range 32 {
		observe(time.Millisecond)
	}
	require.InDelta(t, 64, limiter.limit, 0, "before the first decrease, each sample below the target raises the limit by one")
	observe(time.Second)
	limitAfterDecrease := limiter.limit
	require.Less(t, limitAfterDecrease, 64.0)
	for range 10 {
		observe(time.Millisecond)
	}
	require.Less(t, limiter.limit, limitAfterDecrease+1, "after a decrease, 10 samples raise the limit by less than one")
	limiter.reset()
	observe(time.Millisecond)
	require.InDelta(t, defaultMinLimit+1, limiter.limit, 0)
}
