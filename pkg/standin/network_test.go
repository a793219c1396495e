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

// TestDialer checks that a frozen dialer's connections go silent without an end,
// that a killed one's break, and that neither opens new ones.
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
	assert.True(t, timeout.Timeout(), "silent, not closed")
	_, err = dialer.DialContext(t.Context(), "tcp", engine.Address())
	require.Error(t, err)
	dialer.Kill()
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err, "a frozen connection still swallows")
	require.Error(t, conn.SetReadDeadline(time.Time{}), "a killed connection is closed")
}

// TestWeightStore checks that loads share the rate of the store.
func TestWeightStore(t *testing.T) {
	weights := standin.NewWeightStore(1)
	config := standin.EngineConfig{Weights: weights, WeightBytes: 3600}
	first, second := newEngine(t, config), newEngine(t, config)
	for _, engine := range []*standin.Engine{first, second} {
		state, err := engine.Order(standin.Order{Fence: 1, Model: "m"})
		require.NoError(t, err)
		assert.True(t, state.Loading)
	}
	waits := make([]string, 0, 2)
	for _, engine := range []*standin.Engine{first, second} {
		response := complete(t, engine, "a", standin.CompletionRequest{Model: "m", Messages: body("p", true).Messages})
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		waits = append(waits, retryAfter(t, response))
	}
	assert.Equal(t, []string{"59m0s", "1h59m0s"}, waits, "the second load waits for the first")
}

// TestVMListLags checks that readers see the list as it was.
func TestVMListLags(t *testing.T) {
	late := standin.NewVMList(time.Hour)
	late.Add(platform.VM{Address: "127.0.0.1"})
	vms, err := late.List(context.Background())
	require.NoError(t, err)
	assert.Empty(t, vms)
	prompt := standin.NewVMList(0)
	prompt.Add(platform.VM{Address: "127.0.0.1"})
	prompt.Add(platform.VM{Address: "127.0.0.1", Leaving: true})
	prompt.Add(platform.VM{Address: "127.0.0.2"})
	prompt.Remove("127.0.0.2")
	vms, err = prompt.List(context.Background())
	require.NoError(t, err)
	assert.Equal(t, []platform.VM{{Address: "127.0.0.1", Leaving: true}}, vms)
}

// retryAfter returns the time to retry of an error answer.
func retryAfter(t *testing.T, response *http.Response) string {
	t.Helper()
	var told fault.Body
	require.NoError(t, json.NewDecoder(response.Body).Decode(&told))
	return (time.Duration(told.Error.RetryAfterMS) * time.Millisecond).Truncate(time.Minute).String()
}
