package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// tokensToCharge returns the tokens that a router charges for a result.
func tokensToCharge(work Work, result Result) int64 {
	reservation := work.ReservedTokens + result.ExtendedTokens
	if !result.Usage.Known || result.WasteUnknown {
		return reservation
	}
	return result.Usage.Tokens() + result.WasteTokens
}

// TestChargesCoverWhatEnginesUsed guards against undercharging, wrong answers and
// wrong outcomes after failures. The engines inject every stream fault, while
// connections stall and callers disconnect. Complete answers must have the expected text, no request that ran may
// be reported as not run, and the charges must cover the token usage that the engines
// recorded.
func TestChargesCoverWhatEnginesUsed(t *testing.T) {
	const engineCount, requestCount, faultRate = 3, 300, 0.08
	faults := make(map[standin.StreamFault]standin.FaultFrequency)
	for _, kind := range standin.StreamFaults() {
		faults[kind] = standin.FaultFrequency{Rate: faultRate}
	}
	var engines []*standin.Engine
	var upstreams []configuration.Upstream
	for index := range engineCount {
		engine := startEngine(t, standin.EngineConfig{Seed: uint64(index), TokenInterval: 2 * time.Millisecond})
		require.NoError(t, engine.SetFaults(standin.EngineFaults{Streams: faults}))
		engines = append(engines, engine)
		upstreams = append(upstreams, upstreamAt(engine.Address()))
	}
	dispatcher := startDispatcher(t, Config{Exchange: exchange.ClientConfig{
		FirstPartTimeout: time.Second, GapTimeout: time.Second, SuspectTimeout: 20 * time.Millisecond,
	}}, upstreams...)
	random := rand.New(rand.NewPCG(1, 1))
	var chargedTokens, answered atomic.Int64
	var notRun sync.Map
	var group sync.WaitGroup
	for index := range requestCount {
		sink := &recordingSink{}
		if random.IntN(10) == 0 {
			sink.disconnectAfter = 1 + random.IntN(maxTokens)
		}
		if index%50 == 49 {
			engines[random.IntN(engineCount)].BlackholeConnections()
		}
		group.Go(func() {
			work := modelWork(fmt.Sprint("request-", index))
			result, err := dispatcher.Dispatch(t.Context(), work, sink)
			chargedTokens.Add(tokensToCharge(work, result))
			assert.LessOrEqual(t, tokensToCharge(work, result), work.ReservedTokens)
			switch result.Outcome {
			case fault.Answered:
				answered.Add(1)
				if err != nil {
					t.Errorf("answered with an error: %v", err)
				}
				assert.Equal(t, expectedText(), sink.text())
			case fault.NotRun:
				notRun.Store(work.RequestID, true)
			case fault.OutcomeUnknown:
				assert.True(t, strings.HasPrefix(expectedText(), sink.text()))
			}
		})
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	var usedTokens int64
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			usedTokens += int64(run.PromptTokens + run.CompletionTokens)
			_, reportedNotRun := notRun.Load(run.RequestID)
			assert.False(t, reportedNotRun, "%s ran but was reported as not run", run.RequestID)
			assert.NotEqual(t, standin.AttemptRunning, run.State, "an attempt was left running")
		}
	}
	t.Logf("%d of %d answered, %d tokens used, %d charged", answered.Load(), requestCount, usedTokens, chargedTokens.Load())
	require.GreaterOrEqual(t, chargedTokens.Load(), usedTokens)
	require.Greater(t, answered.Load(), int64(requestCount/2))
}

// TestBookingsRunAtMostOnce guards against running a non-idempotent request twice
// or reporting a wrong outcome for it. The service loses or stalls answers and
// connections stall; the outcomes must match the runs that the service recorded.
func TestBookingsRunAtMostOnce(t *testing.T) {
	const bookingCount = 120
	service, err := standin.NewService(standin.ServiceConfig{Delay: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, service.Close()) })
	dispatcher := startDispatcher(t, Config{}, upstreamAt(service.Address()))
	outcomes := make([]fault.Outcome, bookingCount)
	var group sync.WaitGroup
	for index := range bookingCount {
		switch index % 20 {
		case 5:
			require.NoError(t, service.SetFaults(standin.ServiceFaults{DropNext: 2}))
		case 10:
			require.NoError(t, service.SetFaults(standin.ServiceFaults{StallNext: 2}))
		case 15:
			service.BlackholeConnections()
		}
		group.Go(func() {
			work := Work{
				RequestID: fmt.Sprint("booking-", index), Service: "desk", Method: http.MethodPost, Path: "/orders",
				Deadline: time.Now().Add(time.Minute),
			}
			result, _ := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
			outcomes[index] = result.Outcome
		})
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	counts := service.Runs().Counts
	answered := 0
	for index, outcome := range outcomes {
		runs := counts[fmt.Sprint("booking-", index)]
		require.LessOrEqual(t, runs, 1)
		switch outcome {
		case fault.Answered:
			answered++
			require.Equal(t, 1, runs)
		case fault.NotRun:
			require.Zero(t, runs)
		case fault.OutcomeUnknown:
		}
	}
	t.Logf("%d of %d answered", answered, bookingCount)
	require.Positive(t, answered)
}

// FuzzResumeToken checks that the dispatcher makes no attempt at an upstream unless
// the resume token belongs to the request itself.
func FuzzResumeToken(f *testing.F) {
	f.Add("127.0.0.1:1", "attempt", int64(3))
	f.Add("127.0.0.1:1", newAttemptID(modelWork("another")), int64(0))
	f.Add("127.0.0.2:1", newAttemptID(modelWork("one")), int64(-1))
	f.Fuzz(func(t *testing.T, address, attempt string, position int64) {
		work := modelWork("one")
		work.Resume = ResumeToken{UpstreamAddress: address, AttemptID: attempt, Position: position}
		dispatcher := NewDispatcher(Config{Upstreams: func(string) []configuration.Upstream { return nil }})
		result, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
		require.Error(t, err)
		require.Empty(t, result.Attempts)
		require.NoError(t, dispatcher.Close(t.Context()))
	})
}

// TestOddUsageChargesTheReservation guards against tokens that a team uses and isn't
// charged for, because an engine reports a usage below zero, or one whose sum overflows.
func TestOddUsageChargesTheReservation(t *testing.T) {
	work := modelWork("request")
	work.ReservedTokens = 500
	for _, odd := range []string{
		`{"prompt_tokens":-400,"completion_tokens":10}`, `{"prompt_tokens":10,"completion_tokens":-1}`,
		`{"prompt_tokens":9223372036854775807,"completion_tokens":1}`, `{"prompt_tokens":9223372036854775807,"completion_tokens":9223372036854775807}`,
		`{"prompt_tokens":1e300}`, `{"prompt_tokens":"4"}`, `{"prompt_tokens":1.5}`, `[]`, `null`, strings.Repeat("[", 20_000),
	} {
		delivery := &delivery{work: work}
		delivery.parseUsage([]byte(`{"usage":` + odd + `}`))
		require.EqualValues(t, 500, tokensToCharge(work, Result{Usage: delivery.usage}), odd)
	}
	record := exchange.Record{State: exchange.StateFinished, PromptTokens: -400, CompletionTokens: 10}
	require.EqualValues(t, 500, tokensToCharge(work, Result{Usage: usageOf(record, nil)}))
}
