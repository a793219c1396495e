package budget_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// publish writes the budget rows of a configuration change.
func publish(tb testing.TB, table platform.Table, change configuration.Change, body any) error {
	tb.Helper()
	change.Body, _ = json.Marshal(body)
	writes, err := budget.NewLedger(budget.LedgerConfig{Table: table}).ChangeWrites(tb.Context(), change)
	if err != nil {
		return err
	}
	return table.Transact(tb.Context(), platform.Transaction{Writes: writes})
}

func openBudget(tb testing.TB, table platform.Table, profile string, limitTokens int64) {
	tb.Helper()
	change := configuration.Change{Kind: configuration.KindProfile, Name: profile}
	require.NoError(tb, publish(tb, table, change, configuration.Profile{Name: profile, LimitTokens: limitTokens}))
}

func bill(reservation budget.Reservation, tokens int64) budget.Settlement {
	return budget.Settlement{Reservation: reservation, Lines: []budget.Line{{Kind: budget.LineBill, Tokens: tokens}}}
}

func TestReserveSettleStatement(t *testing.T) {
	table := standin.NewTable()
	openBudget(t, table, "advice", 1000)
	escrow := budget.NewEscrow(budget.EscrowConfig{Table: table, Incarnation: "a", SettleInterval: 10 * time.Millisecond})

	reservation, err := escrow.Reserve(t.Context(), budget.Demand{Profile: "advice", RequestID: "r1", Tokens: 400})
	require.NoError(t, err)
	<-escrow.Settle(bill(reservation, 150)).Durable()
	_, err = escrow.Reserve(t.Context(), budget.Demand{Profile: "advice", RequestID: "r2", Tokens: 900})
	require.True(t, fault.Is(err, fault.BudgetExhausted), "%v", err)
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	require.Positive(t, fault.RetryAfterOf(err))
	require.NoError(t, escrow.Close(context.Background()))

	statement, err := budget.NewLedger(budget.LedgerConfig{Table: table}).Statement(t.Context(), "advice")
	require.NoError(t, err)
	require.Equal(t, budget.Statement{Profile: "advice", LimitTokens: 1000, FreeTokens: 850, SettledTokens: 150, BillTokens: 150}, statement)
}

// TestAttemptSettledTwiceIsChargedOnce guards against double charges when two
// routers settle the same request, as after a resume: the same attempt is
// charged once, and a different attempt is charged as waste.
func TestAttemptSettledTwiceIsChargedOnce(t *testing.T) {
	for _, test := range []struct {
		secondAttempt string
		wasteTokens   int64
	}{{"attempt-1", 0}, {"attempt-2", 150}} {
		table := standin.NewTable()
		openBudget(t, table, "advice", 1000)
		for _, step := range []struct{ router, attempt string }{{"a", "attempt-1"}, {"b", test.secondAttempt}} {
			escrow := budget.NewEscrow(budget.EscrowConfig{Table: table, Incarnation: step.router, SettleInterval: 10 * time.Millisecond})
			reservation, err := escrow.Reserve(t.Context(), budget.Demand{Profile: "advice", RequestID: "r1", Tokens: 200})
			require.NoError(t, err)
			settlement := bill(reservation, 150)
			settlement.Lines[0].Attempt = step.attempt
			<-escrow.Settle(settlement).Durable()
			require.NoError(t, escrow.Close(context.Background()))
		}
		statement, err := budget.NewLedger(budget.LedgerConfig{Table: table}).Statement(t.Context(), "advice")
		require.NoError(t, err)
		require.Equal(t, budget.Statement{
			Profile: "advice", LimitTokens: 1000, FreeTokens: 850 - test.wasteTokens,
			SettledTokens: 150 + test.wasteTokens, BillTokens: 150, WasteTokens: test.wasteTokens,
		}, statement)
	}
}

// TestRequestWithoutTokensIsBilled guards against a lost bill when a request of
// zero tokens is settled at a router that has no holder row because it never
// took a grant.
func TestRequestWithoutTokensIsBilled(t *testing.T) {
	table := standin.NewTable()
	openBudget(t, table, "advice", 1000)
	escrow := budget.NewEscrow(budget.EscrowConfig{Table: table, Incarnation: "a", SettleInterval: 10 * time.Millisecond})
	reservation, err := escrow.Reserve(t.Context(), budget.Demand{Profile: "advice", RequestID: "r1"})
	require.NoError(t, err)
	<-escrow.Settle(bill(reservation, 0)).Durable()
	require.NoError(t, escrow.Close(context.Background()))
	lines, _, err := budget.NewLedger(budget.LedgerConfig{Table: table}).Lines(t.Context(), "advice", "", 10)
	require.NoError(t, err)
	require.Len(t, lines, 1)
	require.Equal(t, budget.LineBill, lines[0].Kind)
}

func TestSettlementAfterIdleIntervalIsWrittenImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		openBudget(t, table, "advice", 1000)
		escrow := budget.NewEscrow(budget.EscrowConfig{Table: table, Incarnation: "a", SettleInterval: 10 * time.Second})
		time.Sleep(15 * time.Second)
		for _, expectedWait := range []time.Duration{0, 5 * time.Second} {
			reservation, err := escrow.Reserve(t.Context(), budget.Demand{Profile: "advice", RequestID: expectedWait.String(), Tokens: 10})
			require.NoError(t, err)
			start := time.Now()
			<-escrow.Settle(bill(reservation, 5)).Durable()
			require.Equal(t, expectedWait, time.Since(start))
			synctest.Wait() // a settlement queued while a batch completes is written with that batch
		}
		require.NoError(t, escrow.Close(context.Background()))
	})
}
