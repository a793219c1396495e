package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

func TestSettlementLinesChargeEachAttemptOnce(t *testing.T) {
	const worstCase = 100
	unknownAttempt := dispatch.AttemptRecord{Attempt: "lost", Started: true}
	knownUsage := dispatch.Usage{PromptTokens: 10, CompletionTokens: 20, Known: true}
	finishedAttempt := dispatch.AttemptRecord{Attempt: "whole", Started: true, Usage: knownUsage}
	unsentAttempt := dispatch.AttemptRecord{Attempt: "unsent", Usage: dispatch.Usage{Known: true}}
	plainService := configuration.Service{Protocol: configuration.ProtocolPlain}
	errLost := fault.New(fault.Config{Kind: fault.ResponseLost, Outcome: fault.OutcomeUnknown})
	for _, testCase := range []struct {
		name        string
		service     configuration.Service
		result      dispatch.Result
		err         error
		bill, waste int64
	}{
		{name: "whole", result: dispatch.Result{Usage: knownUsage, Attempts: []dispatch.AttemptRecord{finishedAttempt}}, bill: 30},
		{
			name:   "whole after known waste",
			result: dispatch.Result{Usage: knownUsage, WasteTokens: 12, Attempts: []dispatch.AttemptRecord{finishedAttempt, finishedAttempt}},
			bill:   30, waste: 12,
		},
		{
			name: "whole after an attempt of unknown usage",
			result: dispatch.Result{
				Usage: knownUsage, WasteUnknown: true, ExtendedTokens: worstCase, Attempts: []dispatch.AttemptRecord{unknownAttempt, finishedAttempt},
			},
			bill: 30, waste: worstCase,
		},
		{
			name: "unknown twice",
			result: dispatch.Result{
				WasteUnknown: true, ExtendedTokens: worstCase, Attempts: []dispatch.AttemptRecord{unknownAttempt, unknownAttempt},
			},
			err: errLost, waste: 2 * worstCase,
		},
		{
			name: "unknown, and the retry got no upstream",
			result: dispatch.Result{
				Usage: dispatch.Usage{Known: true}, WasteUnknown: true, ExtendedTokens: worstCase,
				Attempts: []dispatch.AttemptRecord{unknownAttempt},
			},
			err: errLost, waste: worstCase,
		},
		{
			name: "unknown, and the retry was not sent",
			result: dispatch.Result{
				Usage: unsentAttempt.Usage, WasteUnknown: true, ExtendedTokens: worstCase,
				Attempts: []dispatch.AttemptRecord{unknownAttempt, unsentAttempt},
			},
			err: errLost, waste: worstCase,
		},
		{name: "not sent", result: dispatch.Result{Usage: unsentAttempt.Usage, Attempts: []dispatch.AttemptRecord{unsentAttempt}}, err: errLost},
		{name: "plain", service: plainService, result: dispatch.Result{Attempts: []dispatch.AttemptRecord{unknownAttempt}}, bill: worstCase},
		{
			name: "plain and retried", service: plainService,
			result: dispatch.Result{
				WasteUnknown: true, ExtendedTokens: worstCase, Attempts: []dispatch.AttemptRecord{unknownAttempt, unknownAttempt},
			},
			bill: worstCase, waste: worstCase,
		},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			reservation := budget.Reservation{Tokens: worstCase + testCase.result.ExtendedTokens}
			charged := make(map[budget.LineKind]int64)
			for _, line := range (&Router{}).settlementLines(admittedRequest{service: testCase.service}, reservation, testCase.result, testCase.err, false) {
				charged[line.Kind] += line.Tokens
			}
			require.Equal(t, testCase.bill, charged[budget.LineBill])
			require.Equal(t, testCase.waste, charged[budget.LineWaste])
			require.LessOrEqual(t, testCase.bill+testCase.waste, reservation.Tokens)
		})
	}
}
