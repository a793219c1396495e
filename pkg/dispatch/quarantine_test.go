package dispatch

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// maxCrashes is the users' bound for the crashes after which a deadly prompt is
// known.
const maxCrashes = 5

// TestPromptThatCrashesEnginesIsRefused guards against a prompt whose start crashes
// one engine after the other, also by retries, and against refusing other prompts
// then.
func TestPromptThatCrashesEnginesIsRefused(t *testing.T) {
	const deadlyPrefix, soundPrefix = 11, 12
	var engines []*standin.Engine
	var upstreams []configuration.Upstream
	for range 10 {
		engine := startEngine(t, standin.EngineConfig{})
		require.NoError(t, engine.SetFaults(standin.EngineFaults{CrashText: "deadly"}))
		engines = append(engines, engine)
		upstreams = append(upstreams, upstreamAt(engine.Address()))
	}
	dispatcher := startDispatcher(t, Config{}, upstreams...)
	send := func(number int, content string, prefix uint64) error {
		work := modelWork(fmt.Sprintf("request-%d-%s", number, content))
		work.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, content)
		work.PrefixHash = prefix
		_, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
		return err
	}
	var lastErr error
	for number := range 20 {
		lastErr = send(number, "deadly", deadlyPrefix)
		require.Error(t, lastErr)
		require.NoError(t, send(number, "sound", soundPrefix))
		time.Sleep(150 * time.Millisecond)
	}
	crashes := 0
	for _, engine := range engines {
		connection, err := net.Dial("tcp", engine.Address())
		if err != nil {
			crashes++
			continue
		}
		require.NoError(t, connection.Close())
	}
	require.LessOrEqual(t, crashes, maxCrashes)
	require.Equal(t, fault.Unavailable, fault.KindOf(lastErr))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(lastErr))
	require.Positive(t, fault.RetryAfterOf(lastErr))
}
