package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Guards against new work at an engine that says only in its answers that it is
// leaving.
func TestEngineThatSaysItIsLeavingGetsNoNewWork(t *testing.T) {
	engines := []*standin.Engine{startEngine(t, standin.EngineConfig{}), startEngine(t, standin.EngineConfig{})}
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engines[0].Address()), upstreamAt(engines[1].Address()))
	require.NoError(t, engines[0].SetFaults(standin.EngineFaults{Leaving: true}))
	for index := range 10 {
		_, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint(index)), &recordingSink{})
		require.NoError(t, err)
	}
	require.LessOrEqual(t, len(engines[0].Runs()), 1)
}

// Guards against requests that are kept waiting, or refused without a time, while
// all engines have asked for a pause that is too long for them.
func TestLongPauseRefusesAtOnce(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	require.NoError(t, engine.SetFaults(standin.EngineFaults{Refuse: true, RetryAfter: "50"}))
	for index := range 3 {
		result, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint(index)), &recordingSink{})
		require.Equal(t, fault.Unavailable, fault.KindOf(err))
		require.Equal(t, fault.NotRun, result.Outcome)
		require.InDelta(t, 50, fault.RetryAfterOf(err).Seconds(), 10)
		require.NoError(t, engine.SetFaults(standin.EngineFaults{}))
	}
	require.Empty(t, engine.Runs())
}

// Guards against refusals while the engine's pause ends long before the deadline.
func TestShortPauseIsWaitedFor(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	require.NoError(t, engine.SetFaults(standin.EngineFaults{Refuse: true, RetryAfter: "0.5"}))
	work := modelWork("refused")
	work.Deadline = time.Now().Add(800 * time.Millisecond)
	_, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.Equal(t, fault.Unavailable, fault.KindOf(err), "it ends too late for this request")
	refusedAt := time.Now()
	require.NoError(t, engine.SetFaults(standin.EngineFaults{}))
	sink := &recordingSink{}
	_, err = dispatcher.Dispatch(t.Context(), modelWork("later"), sink)
	require.NoError(t, err)
	require.Equal(t, expectedText(), sink.text())
	require.GreaterOrEqual(t, time.Since(refusedAt), 300*time.Millisecond)
}

// Guards against retries at a plain service that has asked for a pause: its refusal
// is an answer, after which the router sends it nothing.
func TestPlainServicePauses(t *testing.T) {
	service, err := standin.NewService(standin.ServiceConfig{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, service.Close()) })
	dispatcher := startDispatcher(t, Config{}, upstreamAt(service.Address()))
	require.NoError(t, service.SetFaults(standin.ServiceFaults{Refuse: true, RetryAfter: "40"}))
	work := Work{RequestID: "one", Service: "desk", Method: http.MethodPost, Path: "/orders", Body: []byte("{}")}
	sink := &recordingSink{}
	_, err = dispatcher.Dispatch(t.Context(), work, sink)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, sink.head.Status)
	require.NoError(t, service.SetFaults(standin.ServiceFaults{}))
	work.RequestID = "two"
	_, err = dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	require.Empty(t, service.Runs().Runs)
}

// pauseEngine makes the router hear that the engine wants nothing for the time.
func pauseEngine(t *testing.T, dispatcher *UpstreamDispatcher, engine *standin.Engine, pause string) {
	t.Helper()
	require.NoError(t, engine.SetFaults(standin.EngineFaults{Refuse: true, RetryAfter: pause}))
	work := modelWork("refused")
	work.Deadline = time.Now().Add(300 * time.Millisecond)
	_, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	require.NoError(t, engine.SetFaults(standin.EngineFaults{}))
}

// Guards against a stream that is resumed at an engine during its pause, and against one
// that is lost for the pause: it waits, or the caller may resume it later.
func TestResumeWaitsForThePause(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	member := dispatcher.serviceFor("advice").pool.AcquireAddress(engine.Address())
	answer, err := member.Client().Send(t.Context(), exchange.Request{
		AttemptID: newAttemptID(modelWork("one")), Method: http.MethodPost, Path: "/v1/chat/completions", Body: modelWork("one").Body, ModelEngine: true,
	})
	require.NoError(t, err)
	answer.Close()
	work := modelWork("one")
	work.Resume = ResumeToken{UpstreamAddress: engine.Address(), AttemptID: engine.Runs()[0].AttemptID}
	pauseEngine(t, dispatcher, engine, "1.5")
	pausedAt := time.Now()
	work.Deadline = pausedAt.Add(500 * time.Millisecond)
	result, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.Equal(t, fault.Unavailable, fault.KindOf(err), "the pause ends after the deadline")
	require.Equal(t, fault.OutcomeUnknown, result.Outcome)
	require.Positive(t, fault.RetryAfterOf(err))
	work.Deadline = pausedAt.Add(time.Minute)
	sink := &recordingSink{}
	_, err = dispatcher.Dispatch(t.Context(), work, sink)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(pausedAt), time.Second)
	require.Equal(t, expectedText(), sink.text(), "the attempt was not cancelled")
	require.Len(t, engine.Runs(), 1)
}

// Guards against a stream that breaks off and is resumed during the engine's pause.
func TestInterruptedStreamIsResumedAfterThePause(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 20 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	require.NoError(t, engine.SetFaults(standin.EngineFaults{
		Streams: map[standin.StreamFault]standin.FaultFrequency{standin.StreamFault("cut"): {NextCount: 1}},
	}))
	done := make(chan error, 1)
	sink := &recordingSink{}
	go func() {
		_, err := dispatcher.Dispatch(context.Background(), modelWork("one"), sink)
		done <- err
	}()
	require.Eventually(t, func() bool { return len(engine.Runs()) == 1 }, time.Minute, time.Millisecond)
	pauseEngine(t, dispatcher, engine, "1")
	pausedAt := time.Now()
	require.NoError(t, <-done)
	require.GreaterOrEqual(t, time.Since(pausedAt), 600*time.Millisecond)
	require.Equal(t, expectedText(), sink.text())
	require.Len(t, engine.Runs(), 1)
}
