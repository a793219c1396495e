package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

func TestLinesChargeEachAttemptOnce(t *testing.T) {
	const worst = 100
	unknown := dispatch.AttemptRecord{Attempt: "lost", Started: true}
	known := dispatch.Usage{PromptTokens: 10, CompletionTokens: 20, Known: true}
	whole := dispatch.AttemptRecord{Attempt: "whole", Started: true, Usage: known}
	unsent := dispatch.AttemptRecord{Attempt: "unsent", Usage: dispatch.Usage{Known: true}}
	plain := configuration.Service{Protocol: configuration.ProtocolPlain}
	lost := fault.New(fault.Config{Kind: fault.ResponseLost, Outcome: fault.OutcomeUnknown})
	for _, one := range []struct {
		name        string
		service     configuration.Service
		result      dispatch.Result
		err         error
		bill, waste int64
	}{
		{name: "whole", result: dispatch.Result{Usage: known, Attempts: []dispatch.AttemptRecord{whole}}, bill: 30},
		{
			name:   "whole behind known waste",
			result: dispatch.Result{Usage: known, WasteTokens: 12, Attempts: []dispatch.AttemptRecord{whole, whole}},
			bill:   30, waste: 12,
		},
		{
			name: "whole behind an attempt of unknown usage",
			result: dispatch.Result{
				Usage: known, WasteUnknown: true, ExtendedTokens: worst, Attempts: []dispatch.AttemptRecord{unknown, whole},
			},
			bill: 30, waste: worst,
		},
		{
			name: "unknown twice",
			result: dispatch.Result{
				WasteUnknown: true, ExtendedTokens: worst, Attempts: []dispatch.AttemptRecord{unknown, unknown},
			},
			err: lost, waste: 2 * worst,
		},
		{
			name: "unknown, and the retry got no upstream",
			result: dispatch.Result{
				Usage: dispatch.Usage{Known: true}, WasteUnknown: true, ExtendedTokens: worst,
				Attempts: []dispatch.AttemptRecord{unknown},
			},
			err: lost, waste: worst,
		},
		{
			name: "unknown, and the retry was not sent",
			result: dispatch.Result{
				Usage: unsent.Usage, WasteUnknown: true, ExtendedTokens: worst,
				Attempts: []dispatch.AttemptRecord{unknown, unsent},
			},
			err: lost, waste: worst,
		},
		{name: "not sent", result: dispatch.Result{Usage: unsent.Usage, Attempts: []dispatch.AttemptRecord{unsent}}, err: lost},
		{name: "plain", service: plain, result: dispatch.Result{Attempts: []dispatch.AttemptRecord{unknown}}, bill: worst},
		{
			name: "plain again", service: plain,
			result: dispatch.Result{
				WasteUnknown: true, ExtendedTokens: worst, Attempts: []dispatch.AttemptRecord{unknown, unknown},
			},
			bill: worst, waste: worst,
		},
	} {
		t.Run(one.name, func(t *testing.T) {
			reservation := budget.Reservation{Tokens: worst + one.result.ExtendedTokens}
			charged := make(map[budget.LineKind]int64)
			for _, line := range (&Router{}).linesOf(ticket{service: one.service}, reservation, one.result, one.err, false) {
				charged[line.Kind] += line.Tokens
			}
			require.Equal(t, one.bill, charged[budget.LineBill])
			require.Equal(t, one.waste, charged[budget.LineWaste])
			require.LessOrEqual(t, one.bill+one.waste, reservation.Tokens)
		})
	}
}
