package standin_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// TestDialer guards against a frozen dialer that closes its connections instead of
// blackholing them, a killed one that leaves them open, and either one opening new
// connections.
func TestDialer(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{})
	dialer := &standin.Dialer{}
	conn, err := dialer.DialContext(t.Context(), "tcp", engine.Address())
	require.NoError(t, err)
	dialer.Freeze()
	_, err = conn.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	var timeout interface{ Timeout() bool }
	require.ErrorAs(t, err, &timeout)
	assert.True(t, timeout.Timeout(), "the read times out on a blackholed connection")
	_, err = dialer.DialContext(t.Context(), "tcp", engine.Address())
	require.Error(t, err)
	dialer.Kill()
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err, "a frozen connection discards writes without an error")
	require.Error(t, conn.SetReadDeadline(time.Time{}), "a killed connection is closed")
}

// TestWeightStore guards against engines that load at the full bandwidth at the same
// time: the second load must wait for the first.
func TestWeightStore(t *testing.T) {
	weights := standin.NewWeightStore(1)
	config := standin.EngineConfig{WeightStore: weights, ModelWeightBytes: 3600}
	first, second := newEngine(t, config), newEngine(t, config)
	for _, engine := range []*standin.Engine{first, second} {
		state, err := engine.Order(standin.Order{Fence: 1, Model: "m"})
		require.NoError(t, err)
		assert.True(t, state.Loading)
	}
	waits := make([]string, 0, 2)
	for _, engine := range []*standin.Engine{first, second} {
		response := postCompletion(t, engine, "a", standin.CompletionRequest{Model: "m", Messages: completionRequest("p", true).Messages})
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		waits = append(waits, retryAfter(t, response))
	}
	assert.Equal(t, []string{"59m0s", "1h59m0s"}, waits, "the second load waits for the first")
}

// TestVMListDelay guards against changes that readers see before the delay is over,
// and against changes that they miss without a delay.
func TestVMListDelay(t *testing.T) {
	delayed := standin.NewVMList(time.Hour)
	delayed.Add(platform.VM{Address: "127.0.0.1"})
	vms, err := delayed.List(context.Background())
	require.NoError(t, err)
	assert.Empty(t, vms)
	current := standin.NewVMList(0)
	current.Add(platform.VM{Address: "127.0.0.1"})
	current.Add(platform.VM{Address: "127.0.0.1", Leaving: true})
	current.Add(platform.VM{Address: "127.0.0.2"})
	current.Remove("127.0.0.2")
	vms, err = current.List(context.Background())
	require.NoError(t, err)
	assert.Equal(t, []platform.VM{{Address: "127.0.0.1", Leaving: true}}, vms)
}

// retryAfter returns the retry delay in an error response, in whole minutes.
func retryAfter(t *testing.T, response *http.Response) string {
	t.Helper()
	var body fault.Body
	require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	return (time.Duration(body.Error.RetryAfterMS) * time.Millisecond).Truncate(time.Minute).String()
}
