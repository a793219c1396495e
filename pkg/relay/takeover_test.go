package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/catalog"
	"gitlab.com/wisterialb/wisterialb/pkg/placement"
)

// TestLongPromptIsWaitedFor guards against a prompt that is sent to a second upstream
// while the first still reads it, just as long as expected.
func TestLongPromptIsWaitedFor(t *testing.T) {
	now := time.Now()
	pool := placement.NewPool(placement.PoolConfig{Service: "llm", Engine: true})
	pool.Update([]placement.Upstream{{ID: "llm-1", Address: "127.0.0.1:1", Slots: 8}}, now)
	ticket := pool.Choose(placement.Criteria{Parts: []placement.PromptPart{{ID: 1, Tokens: 1_000_000}}}, now)
	call := &call{request: Request{
		Route:    catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, LatencyTarget: 100 * time.Millisecond},
		Deadline: now.Add(time.Hour),
	}}
	require.Greater(t, ticket.ExpectedTimeToFirstEvent(), time.Second)
	firstByte, _ := call.inactivityTimeouts(ticket)
	require.Greater(t, firstByte, ticket.ExpectedTimeToFirstEvent())
}

// TestOnlyRepeatableRequestsAreTakenOver guards against a request that may run once and
// is sent to a second upstream, as the wait for the first ends with the deadline.
func TestOnlyRepeatableRequestsAreTakenOver(t *testing.T) {
	for kind, may := range map[catalog.Kind]bool{catalog.Safe: true, catalog.Unsafe: false, catalog.Streaming: false} {
		call := &call{request: Request{Route: catalog.Route{Kind: kind, MaxAttempts: 2}}, delivery: &delivery{}, undecidedRuns: 1}
		require.Equal(t, may, call.mayTakeOver(t.Context()), kind)
	}
}

// TestUndecidedAttemptCountsAsRun guards against a request that runs at more upstreams
// than its route allows, as the silent one may still run it.
func TestUndecidedAttemptCountsAsRun(t *testing.T) {
	call := &call{request: Request{Route: catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}}, delivery: &delivery{}}
	call.setCurrent(&startedAttempt{})
	require.True(t, call.mayTakeOver(t.Context()))
	call.possibleRuns = 1
	require.False(t, call.mayTakeOver(t.Context()))
}
