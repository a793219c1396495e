package router_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// TestPromptThatCrashesEnginesIsRefusedByAllRouters guards against a prompt that
// crashes engines at one router after the other, as each learns alone.
func TestPromptThatCrashesEnginesIsRefusedByAllRouters(t *testing.T) {
	const engineCount, maxCrashes = 12, 5
	engines := make([]standin.EngineConfig, engineCount)
	for number := range engines {
		engines[number].Name = fmt.Sprintf("engine-%d", number)
	}
	fleet := startFleetWithEngines(t, 100_000, engines...)
	for _, engine := range fleet.Engines {
		require.NoError(t, engine.SetFaults(standin.EngineFaults{CrashText: "deadly"}))
	}
	complete := func(routerIndex int, prompt string) bool {
		stream := fleet.openStream(call{routerIndex: routerIndex}, prompt, 4)
		for {
			_, end, more := stream.next()
			if !more {
				return end == "[DONE]"
			}
		}
	}
	for range 5 {
		for routerIndex := range fleet.Routers {
			require.False(t, complete(routerIndex, "deadly prompt"))
			time.Sleep(200 * time.Millisecond)
		}
	}
	crashes := 0
	for _, engine := range fleet.Engines {
		connection, err := net.Dial("tcp", engine.Address())
		if err != nil {
			crashes++
			continue
		}
		require.NoError(t, connection.Close())
	}
	require.LessOrEqual(t, crashes, maxCrashes)
	for routerIndex := range fleet.Routers {
		require.Eventually(t, func() bool { return complete(routerIndex, "sound prompt") }, 5*time.Second, 50*time.Millisecond)
	}
}
