package dispatch

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
