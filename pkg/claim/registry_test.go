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

func TestClaimRunsOnce(t *testing.T) {
	table := standin.NewTable()
	first := newRegistry(t, table, "a")
	second := newRegistry(t, table, "b")
	request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID(), Deadline: time.Now().Add(time.Minute)}

	decision, err := first.Claim(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Owned, decision.State)
	decision, err = second.Claim(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Running, decision.State)
	require.Equal(t, "a", decision.Owner)
	require.Error(t, second.Withdraw(t.Context(), request))

	require.NoError(t, first.Finish(t.Context(), request, claim.Result{Status: 201, Body: []byte("booked")}))
	decision, err = second.Wait(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, claim.Finished, decision.State)
	require.Equal(t, "booked", string(decision.Result.Body))
}

func TestARequestIDIsNotSharedByRequestsOfOtherContent(t *testing.T) {
	table := standin.NewTable()
	first := newRegistry(t, table, "a")
	second := newRegistry(t, table, "b")
	ring := claim.Request{Scope: "desk", RequestID: claim.NewRequestID(), Fingerprint: "ring"}
	gasket := ring
	gasket.Fingerprint = "gasket"
	decision, err := first.Claim(t.Context(), ring)
	require.NoError(t, err)
	require.Equal(t, claim.Owned, decision.State)

	for _, end := range []func(){
		func() {},
		func() { require.NoError(t, first.Finish(t.Context(), ring, claim.Result{Body: []byte("a ring")})) },
	} {
		end()
		_, err = second.Claim(t.Context(), gasket)
		require.True(t, fault.Is(err, fault.Conflict), err)
		require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	}
	decision, err = second.Claim(t.Context(), ring)
	require.NoError(t, err)
	require.Equal(t, "a ring", string(decision.Result.Body))
}

func TestOutcomeOfAClaimWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := standin.NewTable()
		table := standin.NewFaultyTable(standin.FaultyTableConfig{Table: inner})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a"})
		other := claim.NewRegistry(claim.RegistryConfig{Table: inner, Incarnation: "b"})
		request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}

		// A read is not possible, so an earlier run cannot be ruled out.
		table.SetFaults(standin.TableFaults{Down: true})
		_, err := registry.Claim(t.Context(), request)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))

		// The write may be in transit; it is fenced off once the table is back.
		table.SetFaults(standin.TableFaults{Delays: 1, DownAfterDelay: true})
		_, err = registry.Claim(t.Context(), request)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
		table.SetFaults(standin.TableFaults{})
		time.Sleep(3 * time.Second)
		table.Deliver(t.Context())
		decision, err := other.Claim(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, claim.Withdrawn, decision.State)
		require.NoError(t, registry.Close(t.Context()))
		require.NoError(t, other.Close(t.Context()))
	})
}

func TestAFinishThatWasLostIsWrittenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := standin.NewTable()
		table := standin.NewFaultyTable(standin.FaultyTableConfig{Table: inner})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a"})
		request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}
		_, err := registry.Claim(t.Context(), request)
		require.NoError(t, err)
		table.SetFaults(standin.TableFaults{Down: true})
		require.Error(t, registry.Finish(t.Context(), request, claim.Result{Status: 200}))
		table.SetFaults(standin.TableFaults{})
		decision, err := registry.Wait(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, claim.Finished, decision.State)
		require.NoError(t, registry.Close(t.Context()))
	})
}

func TestLateRetryIsUnknownAlsoWithASlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a"})
		slow := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "b", Retention: 1000 * time.Hour})
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
			for _, each := range []*claim.Registry{registry, slow} {
				decision, err := each.Claim(t.Context(), request)
				require.NoError(t, err)
				require.Equal(t, claim.Unknown, decision.State)
				require.NotEmpty(t, decision.Reason)
			}
		}
		start, err := claim.TimeOf(requests[0].RequestID)
		require.NoError(t, err)
		items, err := table.Query(t.Context(), platform.Query{Partition: "claims/" + start.UTC().Format("2006010215")})
		require.NoError(t, err)
		require.Empty(t, items)
		require.NoError(t, registry.Close(t.Context()))
		require.NoError(t, slow.Close(t.Context()))
	})
}

func TestClaimsShareATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewFaultyTable(standin.FaultyTableConfig{Table: standin.NewTable()})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a", GroupInterval: 50 * time.Millisecond})
		var claims sync.WaitGroup
		for range 200 {
			claims.Go(func() {
				_, err := registry.Claim(context.Background(), claim.Request{Scope: "desk", RequestID: claim.NewRequestID()})
				require.NoError(t, err)
			})
		}
		claims.Wait()
		require.LessOrEqual(t, table.Counts().Transactions, 8)
		require.NoError(t, registry.Close(t.Context()))
	})
}

func TestResultsAndDeadlines(t *testing.T) {
	table := standin.NewTable()
	registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a", MaxResultBytes: 4})
	defer func() { require.NoError(t, registry.Close(context.Background())) }()

	large := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}
	_, err := registry.Claim(t.Context(), large)
	require.NoError(t, err)
	require.NoError(t, registry.Finish(t.Context(), large, claim.Result{Body: []byte("booked")}))
	decision, err := registry.Claim(t.Context(), large)
	require.NoError(t, err)
	require.Equal(t, claim.Unknown, decision.State)
	require.Contains(t, decision.Reason, "too large")

	late := claim.Request{Scope: "desk", RequestID: claim.NewRequestID(), Deadline: time.Now().Add(-time.Second)}
	_, err = registry.Claim(t.Context(), late)
	require.True(t, fault.Is(err, fault.DeadlineExceeded))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	decision, err = registry.Claim(t.Context(), late)
	require.NoError(t, err)
	require.Equal(t, claim.Withdrawn, decision.State)
}

// TestTimeOf reads request ids from testdata/request_ids.
func TestTimeOf(t *testing.T) {
	datadriven.RunTest(t, "testdata/request_ids", func(_ *testing.T, data *datadriven.TestData) string {
		var output strings.Builder
		for line := range strings.Lines(data.Input) {
			at, err := claim.TimeOf(strings.TrimSpace(line))
			if err != nil {
				output.WriteString(fault.MessageOf(err) + "\n")
				continue
			}
			output.WriteString(at.UTC().Format(time.RFC3339) + "\n")
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

func TestCloseAnswersWaitingCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewFaultyTable(standin.FaultyTableConfig{Table: standin.NewTable()})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a"})
		table.SetFaults(standin.TableFaults{Down: true})
		answered := make(chan error)
		go func() {
			_, err := registry.Claim(context.Background(), claim.Request{Scope: "desk", RequestID: claim.NewRequestID()})
			answered <- err
		}()
		time.Sleep(1500 * time.Millisecond)
		require.NoError(t, registry.Close(t.Context()))
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(<-answered))
	})
}

func TestAClaimWhoseCallerLeftIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := standin.NewTable()
		slow := standin.NewFaultyTable(standin.FaultyTableConfig{Table: inner, Pause: func() { time.Sleep(300 * time.Millisecond) }})
		registry := claim.NewRegistry(claim.RegistryConfig{Table: slow, Incarnation: "a"})
		other := claim.NewRegistry(claim.RegistryConfig{Table: inner, Incarnation: "b"})
		request := claim.Request{Scope: "desk", RequestID: claim.NewRequestID()}
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := registry.Claim(ctx, request)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
		time.Sleep(3 * time.Second)
		decision, err := other.Wait(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, claim.Withdrawn, decision.State)
		require.NoError(t, registry.Close(t.Context()))
		require.NoError(t, other.Close(t.Context()))
	})
}
