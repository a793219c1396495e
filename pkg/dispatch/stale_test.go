package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Guards against taking a refusal that an engine repeats on a kept connection for one
// of the request that it runs: the request would run a second time, its tokens would
// not be charged, or its caller would be told that it has not run.
func TestRepeatedRefusalDoesNotMeanNotRun(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("before"), &recordingSink{})
	require.NoError(t, err) // and leaves a kept connection
	require.NoError(t, engine.SetFaults(standin.EngineFaults{RepeatRefusals: 1}))
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), &recordingSink{})
	require.NoError(t, err)
	require.Zero(t, engine.Faults().RepeatRefusals)
	require.Equal(t, fault.Answered, result.Outcome)
	require.Len(t, result.Attempts, 1)
	runs := engine.Runs()
	require.Len(t, runs, 2)
	require.EqualValues(t, runs[1].PromptTokens+runs[1].CompletionTokens, result.Usage.Tokens())
}
