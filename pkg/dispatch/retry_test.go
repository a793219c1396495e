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

// TestDecisions checks the recovery and retry decisions in testdata/decisions.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, data *datadriven.TestData) string {
		t.Helper()
		if data.Cmd == "recovery" {
			reason := "closed"
			data.MaybeScanArgs(t, "reason", &reason)
			return fmt.Sprintln(chooseRecovery(recoveryConditions{
				Reason: exchange.Reason(reason), ModelEngine: data.HasArg("model"), MayHaveStarted: data.HasArg("started"),
				CallerGone: data.HasArg("caller_gone"), Delivered: data.HasArg("delivered"), UnknownToEngine: data.HasArg("unseen"),
				SentOnStalledConnection: data.HasArg("silent"), Exhausted: data.HasArg("exhausted"),
			}))
		}
		return fmt.Sprintln(decideRetry(retryConditions{
			MayHaveStarted: data.HasArg("started"), UsageCovered: data.HasArg("settled"), Idempotent: data.HasArg("idempotent"),
			CallerGone: data.HasArg("caller_gone"), Delivered: data.HasArg("delivered"),
			Affordable: data.HasArg("affordable"), Exhausted: data.HasArg("exhausted"),
		}))
	})
}

// TestAttemptsStayWithinTheReservation guards against retries that use more tokens
// than are reserved. Each attempt uses up to its worst case, reports its usage or
// not, and the budget may refuse to extend the reservation.
func TestAttemptsStayWithinTheReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxPromptTokens := rapid.Int64Range(1, 100).Draw(t, "prompt bound")
		maxCompletionTokens := rapid.Int64Range(1, 100).Draw(t, "completion")
		promptTokens := rapid.Int64Range(1, maxPromptTokens).Draw(t, "prompt")
		extensionsGranted := rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(t, "grants")
		reservation := &reservation{work: Work{MaxPromptTokens: maxPromptTokens, ReservedTokens: maxPromptTokens + maxCompletionTokens}}
		reservation.work.Extend = func(context.Context, int64) error {
			granted := extensionsGranted[0]
			extensionsGranted = extensionsGranted[1:]
			if granted {
				return nil
			}
			return errors.New("budget is exhausted")
		}
		var usedTokens int64
		for range 4 {
			usage := Usage{PromptTokens: promptTokens, CompletionTokens: rapid.Int64Range(0, maxCompletionTokens).Draw(t, "completion tokens")}
			usage.Known = rapid.Bool().Draw(t, "known")
			usedTokens += usage.Tokens()
			require.LessOrEqual(t, usedTokens, reservation.work.ReservedTokens+reservation.extendedTokens)
			reservation.addUsage(usage)
			if !reservation.reserveNextAttempt(t.Context()) {
				return
			}
		}
	})
}

func TestRetriesAreLimitedToAShareOfRequests(t *testing.T) {
	budget := newRetryBudget(RetryConfig{Ratio: 0.1, Burst: 2})
	retries := 0
	for range 1000 {
		budget.deposit()
		if budget.withdraw() {
			retries++
		}
	}
	require.InDelta(t, 102, retries, 1)
}
