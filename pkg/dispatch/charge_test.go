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

// charge returns what a router has to charge for a result.
func charge(work Work, result Result) int64 {
	reservation := work.MaxTokens + result.ExtendedTokens
	if !result.Usage.Known || result.WasteUnknown {
		return reservation
	}
	return result.Usage.Tokens() + result.WasteTokens
}

// TestChargesCoverWhatEnginesUsed sends requests through engines whose streams
// break in every way while connections go silent, engines refuse and callers
// leave. Whole answers must be the right ones, no request is said not to have
// run that has, and the charges cover what the engines used by their own record.
func TestChargesCoverWhatEnginesUsed(t *testing.T) {
	const engineCount, requests, rate = 3, 300, 0.08
	faults := make(map[standin.StreamFault]standin.Chance)
	for _, kind := range standin.StreamFaults() {
		faults[kind] = standin.Chance{Rate: rate}
	}
	var engines []*standin.Engine
	var list []configuration.Upstream
	for index := range engineCount {
		engine := startEngine(t, standin.EngineConfig{Seed: uint64(index), TokenInterval: 2 * time.Millisecond})
		require.NoError(t, engine.SetFaults(standin.EngineFaults{Streams: faults}))
		engines = append(engines, engine)
		list = append(list, upstreamAt(engine.Address()))
	}
	dispatcher := startDispatcher(t, Config{Exchange: exchange.ClientConfig{
		FirstPartTimeout: time.Second, GapTimeout: time.Second, SuspectTimeout: 20 * time.Millisecond,
	}}, list...)
	random := rand.New(rand.NewPCG(1, 1))
	var charged, answered atomic.Int64
	var notRun sync.Map
	var group sync.WaitGroup
	for index := range requests {
		sink := &collected{}
		if random.IntN(10) == 0 {
			sink.limit = 1 + random.IntN(maxTokens)
		}
		if index%50 == 49 {
			engines[random.IntN(engineCount)].Silence()
		}
		group.Go(func() {
			work := modelWork(fmt.Sprint("request-", index))
			result, err := dispatcher.Dispatch(t.Context(), work, sink)
			charged.Add(charge(work, result))
			assert.LessOrEqual(t, charge(work, result), work.MaxTokens)
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
	var used int64
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			used += int64(run.PromptTokens + run.CompletionTokens)
			_, refused := notRun.Load(run.RequestID)
			assert.False(t, refused, "%s ran though its caller was told that it did not", run.RequestID)
			assert.NotEqual(t, standin.AttemptRunning, run.State, "an attempt was left running")
		}
	}
	t.Logf("%d of %d answered, %d tokens used, %d charged", answered.Load(), requests, used, charged.Load())
	require.GreaterOrEqual(t, charged.Load(), used)
	require.Greater(t, answered.Load(), int64(requests/2))
}

// TestBookingsRunAtMostOnce books while answers are lost, bookings are held and
// connections go silent, and compares with the service's own record.
func TestBookingsRunAtMostOnce(t *testing.T) {
	const bookings = 120
	service, err := standin.NewService(standin.ServiceConfig{Delay: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, service.Close()) })
	dispatcher := startDispatcher(t, Config{}, upstreamAt(service.Address()))
	outcomes := make([]fault.Outcome, bookings)
	var group sync.WaitGroup
	for index := range bookings {
		switch index % 20 {
		case 5:
			require.NoError(t, service.SetFaults(standin.ServiceFaults{DropNext: 2}))
		case 10:
			require.NoError(t, service.SetFaults(standin.ServiceFaults{StallNext: 2}))
		case 15:
			service.Silence()
		}
		group.Go(func() {
			work := Work{
				RequestID: fmt.Sprint("booking-", index), Service: "desk", Method: http.MethodPost, Path: "/orders",
				Deadline: time.Now().Add(time.Minute),
			}
			result, _ := dispatcher.Dispatch(t.Context(), work, &collected{})
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
	t.Logf("%d of %d answered", answered, bookings)
	require.Positive(t, answered)
}

// FuzzResumeToken checks that no token but one for the request itself makes the
// dispatcher speak to an upstream.
func FuzzResumeToken(f *testing.F) {
	f.Add("127.0.0.1:1", "attempt", int64(3))
	f.Add("127.0.0.1:1", newAttemptID(modelWork("another")), int64(0))
	f.Add("127.0.0.2:1", newAttemptID(modelWork("one")), int64(-1))
	f.Fuzz(func(t *testing.T, address, attempt string, position int64) {
		work := modelWork("one")
		work.Resume = ResumeToken{Upstream: address, Attempt: attempt, Position: position}
		dispatcher := NewDispatcher(Config{Upstreams: func(string) []configuration.Upstream { return nil }})
		result, err := dispatcher.Dispatch(t.Context(), work, &collected{})
		require.Error(t, err)
		require.Empty(t, result.Attempts)
		require.NoError(t, dispatcher.Close(t.Context()))
	})
}
