package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRetryStorm guards against a retry storm: when every request of a service
// fails, each router retries as often as it may. All routers together must stay
// within the fleet's limit in every window.
func TestRetryStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := RetryLimits{Ratio: 0.2, FixedRetries: 56, Window: 10 * time.Second}
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		fleet := make([]*RetryBudget, routers)
		for i := range fleet {
			fleet[i] = NewRetryBudget(limits, func() int { return routers })
		}
		now := time.Unix(0, 0)
		requests, retries := &slidingWindow{}, &slidingWindow{}
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			router := fleet[rapid.IntRange(0, routers-1).Draw(t, "router")]
			router.CountRequest("desk", now)
			requests.add(now)
			for router.AllowRetry("desk", now) {
				retries.add(now)
			}
			limit := limits.Ratio*float64(requests.count(now, limits.Window)) + limits.FixedRetries
			require.LessOrEqual(t, float64(retries.count(now, limits.Window)), limit)
		}
	})
}
