package claim_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

func newRegistry(t *testing.T, table *standin.Table, incarnation string) *claim.Registry {
	t.Helper()
	registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: incarnation})
	t.Cleanup(func() { _ = registry.Close(context.Background()) })
	return registry
}

// Guards against a request that runs twice or loses its result when a retry
// reaches a second router while the first one runs it.
func TestClaimedRequestRunsOnce(t *testing.T) {
	table := standin.NewTable()
	registryA := newRegistry(t, table, "a")
	registryB := newRegistry(t, table, "b")
	request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID(), Deadline: time.Now().Add(time.Minute)}

	decision, err := registryA.Claim(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Owned, decision.State)
	decision, err = registryB.Claim(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Running, decision.State)
	require.Equal(t, "a", decision.Owner)
	require.Error(t, registryB.Withdraw(t.Context(), request))

	require.NoError(t, registryA.Finish(t.Context(), request, claim.Result{Status: 201, Body: []byte("booked")}))
	decision, err = registryB.Wait(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Finished, decision.State)
	require.Equal(t, "booked", string(decision.Result.Body))
}

// Guards against a caller that gets the result of another request because it
// reused a request id for different content.
func TestRequestIDReuseWithOtherContentIsRefused(t *testing.T) {
	table := standin.NewTable()
	registryA := newRegistry(t, table, "a")
	registryB := newRegistry(t, table, "b")
	ringRequest := claim.Request{Scope: "desk", RequestID: claim.NewRequestID(), Fingerprint: "ring"}
	gasketRequest := ringRequest
	gasketRequest.Fingerprint = "gasket"
	decision, err := registryA.Claim(t.Context(), ringRequest)
	require.NoError(t, err)
	require.Equal(t, claim.Owned, decision.State)

	for _, prepare := range []func(){
		func() {},
		func() {
			require.NoError(t, registryA.Finish(t.Context(), ringRequest, claim.Result{Body: []byte("a ring")}))
		},
	} {
		prepare()
		_, err = registryB.Claim(t.Context(), gasketRequest)
		require.True(t, fault.Is(err, fault.Conflict), err)
		require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	}
	decision, err = registryB.Claim(t.Context(), ringRequest)
	require.NoError(t, err)
	require.Equal(t, "a ring", string(decision.Result.Body))
}

// Guards against reporting a request as not run while the table is unreachable:
// an earlier run may exist, or a delayed write may still create the claim.
func TestClaimOutcomeIsUnknownWhileTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sharedTable := standin.NewTable()
		faultyTable := standin.NewFaultyTable(standin.FaultyTableConfig{Table: sharedTable})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: faultyTable, Incarnation: "a"})
		otherRegistry := claim.NewRegistry(claim.RegistryConfig{Table: sharedTable, Incarnation: "b"})
		request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}

		// The row cannot be read, so an earlier run cannot be ruled out.
		faultyTable.SetFaults(standin.TableFaults{Down: true})
		_, err := registry.Claim(t.Context(), request)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))

		// The write may still be applied. It is fenced once the table is reachable.
		faultyTable.SetFaults(standin.TableFaults{DelayNextTransactions: 1, DownAfterDelay: true})
		_, err = registry.Claim(t.Context(), request)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
		faultyTable.SetFaults(standin.TableFaults{})
		time.Sleep(3 * time.Second)
		faultyTable.DeliverPending(t.Context())
		decision, err := otherRegistry.Claim(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, claim.Withdrawn, decision.State)
		require.NoError(t, registry.Close(t.Context()))
		require.NoError(t, otherRegistry.Close(t.Context()))
	})
}

// Guards against a lost result when the table is down while a request finishes.
func TestFailedFinishIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sharedTable := standin.NewTable()
		faultyTable := standin.NewFaultyTable(standin.FaultyTableConfig{Table: sharedTable})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: faultyTable, Incarnation: "a"})
		request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}
		_, err := registry.Claim(t.Context(), request)
		require.NoError(t, err)
		faultyTable.SetFaults(standin.TableFaults{Down: true})
		require.Error(t, registry.Finish(t.Context(), request, claim.Result{Status: 200}))
		faultyTable.SetFaults(standin.TableFaults{})
		decision, err := registry.Wait(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, claim.Finished, decision.State)
		require.NoError(t, registry.Close(t.Context()))
	})
}

// Guards against a second run of a request whose claim has expired and was
// removed, when the router that gets the retry has a slow clock. A long
// retention makes its registry treat the request as recent.
func TestRetryAfterRetentionIsUnknownDespiteSlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a"})
		slowClockRegistry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "b", Retention: 1000 * time.Hour})
		time.Sleep(time.Hour)
		var requests []claim.Request
		for range 250 {
			request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}
			_, err := registry.Claim(t.Context(), request)
			require.NoError(t, err)
			require.NoError(t, registry.Finish(t.Context(), request, claim.Result{Status: 200}))
			requests = append(requests, request)
		}
		time.Sleep(40 * time.Hour)
		for _, request := range []claim.Request{requests[0], requests[249]} {
			for _, retryRegistry := range []*claim.Registry{registry, slowClockRegistry} {
				decision, err := retryRegistry.Claim(t.Context(), request)
				require.NoError(t, err)
				require.Equal(t, claim.Unknown, decision.State)
				require.NotEmpty(t, decision.Reason)
			}
		}
		firstRequestTime, err := claim.TimeOf(requests[0].RequestID)
		require.NoError(t, err)
		items, err := table.Query(t.Context(), platform.Query{Partition: "claims/" + firstRequestTime.UTC().Format("2006010215")})
		require.NoError(t, err)
		require.Empty(t, items)
		require.NoError(t, registry.Close(t.Context()))
		require.NoError(t, slowClockRegistry.Close(t.Context()))
	})
}

// Guards against one transaction per claim: claims that are queued during
// GroupInterval must be committed together.
func TestConcurrentClaimsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewFaultyTable(standin.FaultyTableConfig{Table: standin.NewTable()})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a", GroupInterval: 50 * time.Millisecond})
		var callers sync.WaitGroup
		for range 200 {
			callers.Go(func() {
				_, err := registry.Claim(context.Background(), claim.Request{Scope: "desk", RequestID: claim.NewRequestID()})
				require.NoError(t, err)
			})
		}
		callers.Wait()
		require.LessOrEqual(t, table.Counts().Transactions, 8)
		require.NoError(t, registry.Close(t.Context()))
	})
}

// Guards against a result above MaxResultBytes that is stored or silently lost,
// and against a claim that is written after the deadline and stays running.
func TestOversizedResultAndPassedDeadline(t *testing.T) {
	table := standin.NewTable()
	registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a", MaxResultBytes: 4})
	defer func() { require.NoError(t, registry.Close(context.Background())) }()

	largeResult := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}
	_, err := registry.Claim(t.Context(), largeResult)
	require.NoError(t, err)
	require.NoError(t, registry.Finish(t.Context(), largeResult, claim.Result{Body: []byte("booked")}))
	decision, err := registry.Claim(t.Context(), largeResult)
	require.NoError(t, err)
	require.Equal(t, claim.Unknown, decision.State)
	require.Contains(t, decision.Reason, "too large")

	passedDeadline := claim.Request{Scope: "desk", RequestID: claim.NewRequestID(), Deadline: time.Now().Add(-time.Second)}
	_, err = registry.Claim(t.Context(), passedDeadline)
	require.True(t, fault.Is(err, fault.DeadlineExceeded))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	decision, err = registry.Claim(t.Context(), passedDeadline)
	require.NoError(t, err)
	require.Equal(t, claim.Withdrawn, decision.State)
}

// Checks the times of the request ids in testdata/request_ids.
func TestTimeOf(t *testing.T) {
	datadriven.RunTest(t, "testdata/request_ids", func(_ *testing.T, data *datadriven.TestData) string {
		var output strings.Builder
		for line := range strings.Lines(data.Input) {
			requestTime, err := claim.TimeOf(strings.TrimSpace(line))
			if err != nil {
				output.WriteString(fault.MessageOf(err) + "\n")
				continue
			}
			output.WriteString(requestTime.UTC().Format(time.RFC3339) + "\n")
		}
		return output.String()
	})
}

func Example() {
	registry := claim.NewRegistry(claim.RegistryConfig{Table: standin.NewTable(), Incarnation: "router-1"})
	defer func() { _ = registry.Close(context.Background()) }()
	request := claim.Request{Scope: "order-desk", RequestID: claim.NewRequestID()}
	for range 2 {
		decision, _ := registry.Claim(context.Background(), request)
		fmt.Println(decision.State)
		if decision.State == claim.Owned {
			_ = registry.Finish(context.Background(), request, claim.Result{Status: 201})
		}
	}
	// Output:
	// owned
	// finished
}

// Guards against a caller that waits forever when the registry is closed while
// the table is down.
func TestCloseReturnsUnknownToWaitingCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewFaultyTable(standin.FaultyTableConfig{Table: standin.NewTable()})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a"})
		table.SetFaults(standin.TableFaults{Down: true})
		claimError := make(chan error)
		go func() {
			_, err := registry.Claim(context.Background(), claim.Request{Scope: "desk", RequestID: claim.NewRequestID()})
			claimError <- err
		}()
		time.Sleep(1500 * time.Millisecond)
		require.NoError(t, registry.Close(t.Context()))
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(<-claimError))
	})
}

// Guards against a claim that stays running although no router runs the request,
// because its caller stopped waiting before the claim was written.
func TestClaimOfCancelledCallerIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sharedTable := standin.NewTable()
		slowTable := standin.NewFaultyTable(standin.FaultyTableConfig{Table: sharedTable, BeforeCall: func() { time.Sleep(300 * time.Millisecond) }})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: slowTable, Incarnation: "a"})
		otherRegistry := claim.NewRegistry(claim.RegistryConfig{Table: sharedTable, Incarnation: "b"})
		request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := registry.Claim(ctx, request)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
		time.Sleep(3 * time.Second)
		decision, err := otherRegistry.Wait(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, claim.Withdrawn, decision.State)
		require.NoError(t, registry.Close(t.Context()))
		require.NoError(t, otherRegistry.Close(t.Context()))
	})
}
