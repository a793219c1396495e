package dispatch

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// TestLastAttemptWaitsForSilentService guards against an idempotent request that ends
// without an answer because its service is silent, when no other attempt is allowed.
func TestLastAttemptWaitsForSilentService(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(800 * time.Millisecond)
		writer.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	dispatcher := startDispatcher(t, Config{Retry: RetryConfig{MaxAttempts: 1}}, upstreamAt(server.Listener.Addr().String()))
	work := Work{
		RequestID: "read", Profile: "homes", Team: "team", Weight: 1, Service: "advice", Idempotent: true,
		Deadline: time.Now().Add(1500 * time.Millisecond), Method: http.MethodGet, Path: "/",
	}
	result, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.NoError(t, err)
	require.Equal(t, fault.Answered, result.Outcome)
}
