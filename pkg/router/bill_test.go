package router_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/demo"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// startFleetWithLateSettlements starts a fleet whose first router has written a bill and
// writes no other within a test.
func startFleetWithLateSettlements(t *testing.T) *testFleet {
	t.Helper()
	fleet := startFleetAdjusted(t, ampleTokens, func(index int, settings settings.Settings) settings.Settings {
		if index == 0 {
			settings.SettleInterval, settings.Horizon = testTimeout, 2*testTimeout
		}
		return settings
	}, standin.EngineConfig{Name: "engine-1"})
	outcome, body := fleet.sendBooking(call{key: claim.NewRequestID(), body: "ring"})
	require.Equal(t, fault.Answered, outcome, body)
	return fleet
}

// bookAtFirstRouter sends a booking to the first router and doesn't wait for its
// answer.
func (fleet *testFleet) bookAtFirstRouter(key string) {
	fleet.t.Helper()
	ctx, cancel := context.WithCancel(fleet.ctx)
	fleet.t.Cleanup(cancel)
	url := "http://" + fleet.Routers[0].CallerAddress() + "/v1/services/" + demo.OrderService + "/bookings"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("ring"))
	require.NoError(fleet.t, err)
	request.Header.Set("Authorization", "Bearer "+demo.CallerToken)
	request.Header.Set("Wisterialb-Profile", demo.ProfileName)
	request.Header.Set("Idempotency-Key", key)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	require.Eventually(fleet.t, func() bool { return fleet.Services[0].Runs().Counts[key] == 1 }, testTimeout, 5*time.Millisecond)
}

// bills returns the bills and the waste lines of a request.
func (fleet *testFleet) bills(key string) (bills, waste []budget.Line) {
	fleet.t.Helper()
	for _, line := range fleet.billLines() {
		if !strings.HasSuffix(line.RequestID, ":"+key) {
			continue
		}
		if line.Kind == budget.LineBill {
			bills = append(bills, line)
		} else {
			waste = append(waste, line)
		}
	}
	return bills, waste
}

// Guards against a booking that is answered and never billed: the router that ran it
// stored its result and died before its bill was written, and the caller got the
// stored result from another router.
func TestStoredResultIsBilledByTheRouterThatAnswersWithIt(t *testing.T) {
	fleet := startFleetWithLateSettlements(t)
	key := claim.NewRequestID()
	fleet.bookAtFirstRouter(key)
	outcome, body := fleet.sendBooking(call{routerIndex: 1, key: key, body: "ring"})
	require.Equal(t, fault.Answered, outcome, body)
	fleet.KillRouter(0)
	bills, waste := fleet.bills(key)
	require.Len(t, bills, 1)
	require.Empty(t, waste)
	require.Equal(t, 1, fleet.Services[0].Runs().Counts[key])
}

// Guards against charging a booking twice, by the router that ran it and by those that
// answered with its stored result.
func TestStoredResultIsChargedOnce(t *testing.T) {
	fleet := startFleet(t, ampleTokens, slowEngine())
	key := claim.NewRequestID()
	fleet.bookAtFirstRouter(key)
	for routerIndex := range fleet.Routers {
		outcome, body := fleet.sendBooking(call{routerIndex: routerIndex, key: key, body: "ring"})
		require.Equal(t, fault.Answered, outcome, body)
	}
	var statement budget.Statement
	require.Eventually(t, func() bool {
		statement = fleet.statement()
		return statement.BillTokens > 0
	}, testTimeout, 20*time.Millisecond)
	bills, waste := fleet.bills(key)
	require.Len(t, bills, 1)
	require.Empty(t, waste)
	require.Equal(t, bills[0].Tokens, statement.SettledTokens)
}

// Guards against telling a caller that a booking has not run because its retry is
// refused for want of budget, although the first try has run.
func TestRefusedRetryOfABookingIsNotReportedAsNotRun(t *testing.T) {
	const limit = 30 // covers one booking
	fleet := startFleet(t, limit, slowEngine())
	key := claim.NewRequestID()
	outcome, body := fleet.sendBooking(call{key: key, body: "ring"})
	require.Equal(t, fault.Answered, outcome, body)
	deadline := map[string]string{"Wisterialb-Deadline": "2000"}
	outcome, body = fleet.sendBooking(call{routerIndex: 1, key: claim.NewRequestID(), body: "ring", header: deadline})
	require.Equal(t, fault.NotRun, outcome, "a first try that is refused has not run: %s", body)
	outcome, body = fleet.sendBooking(call{routerIndex: 1, key: key, body: "ring", header: deadline})
	require.Equal(t, fault.OutcomeUnknown, outcome, body)
}

// Guards against telling a caller that a booking has not run because its retry reaches a
// router that shuts down, although the first try has run.
func TestBookingRefusedByALeavingRouterIsNotReportedAsNotRun(t *testing.T) {
	const longTokens = 400 // until the caller closes the stream
	fleet := startFleet(t, ampleTokens, standin.EngineConfig{Slots: 16, TokenInterval: 100 * time.Millisecond})
	key := claim.NewRequestID()
	outcome, body := fleet.sendBooking(call{key: key, body: "ring"})
	require.Equal(t, fault.Answered, outcome, body)
	stream := fleet.openStream(call{routerIndex: 1, key: "k1"}, prompt, longTokens)
	stream.readEvents(1) // holds the shutdown up
	shutDown := make(chan error, 1)
	go func() {
		_, err := fleet.Routers[1].Shutdown(fleet.ctx)
		shutDown <- err
	}()
	isRefused := func(key string) bool {
		outcome, body = fleet.sendBooking(call{routerIndex: 1, key: key, body: "ring"})
		return strings.Contains(body, string(fault.Draining))
	}
	// A try before the shutdown begins is served, so each one has its own key.
	require.Eventually(t, func() bool { return isRefused(claim.NewRequestID()) }, testTimeout, time.Millisecond)
	require.Equal(t, fault.NotRun, outcome, "a first try that is refused has not run: %s", body)
	require.True(t, isRefused(key))
	require.Equal(t, fault.OutcomeUnknown, outcome, body)
	require.NoError(t, stream.response.Body.Close())
	require.NoError(t, <-shutDown)
}
