package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

// TestDecisions checks the tables of decisions against testdata/decisions.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, data *datadriven.TestData) string {
		t.Helper()
		if data.Cmd == "recovery" {
			reason := "closed"
			data.MaybeScanArgs(t, "reason", &reason)
			return fmt.Sprintln(recoveryFor(breakage{
				Reason: exchange.Reason(reason), Model: data.HasArg("model"), Started: data.HasArg("started"),
				CallerGone: data.HasArg("caller_gone"), Delivered: data.HasArg("delivered"), Unseen: data.HasArg("unseen"),
				Silent: data.HasArg("silent"), Exhausted: data.HasArg("exhausted"),
			}))
		}
		return fmt.Sprintln(verdictFor(situation{
			Started: data.HasArg("started"), Settled: data.HasArg("settled"), Idempotent: data.HasArg("idempotent"),
			CallerGone: data.HasArg("caller_gone"), Delivered: data.HasArg("delivered"),
			Affordable: data.HasArg("affordable"), Exhausted: data.HasArg("exhausted"),
		}))
	})
}

// Whatever attempts use within what the account allows them, all together stay
// within the reservation and what was added to it.
func TestAttemptsStayWithinTheReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Int64Range(1, 100).Draw(t, "prompt bound")
		completion := rapid.Int64Range(1, 100).Draw(t, "completion")
		prompt := rapid.Int64Range(1, bound).Draw(t, "prompt")
		grants := rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(t, "grants")
		account := &account{work: Work{PromptTokens: bound, MaxTokens: bound + completion}}
		account.work.Extend = func(context.Context, int64) error {
			granted := grants[0]
			grants = grants[1:]
			if granted {
				return nil
			}
			return errors.New("budget is exhausted")
		}
		var used int64
		for range 4 {
			tokens := Usage{PromptTokens: prompt, CompletionTokens: rapid.Int64Range(0, completion).Draw(t, "completion tokens")}
			tokens.Known = rapid.Bool().Draw(t, "known")
			used += tokens.Tokens()
			require.LessOrEqual(t, used, account.work.MaxTokens+account.extended)
			account.settle(tokens)
			if !account.afford(t.Context()) {
				return
			}
		}
	})
}

func TestRetriesAreAShareOfRequests(t *testing.T) {
	budget := newRetryBudget(RetryConfig{Share: 0.1, Burst: 2})
	retries := 0
	for range 1000 {
		budget.deposit()
		if budget.withdraw() {
			retries++
		}
	}
	require.InDelta(t, 102, retries, 1)
}
