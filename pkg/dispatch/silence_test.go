package dispatch

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
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

// TestOnlyUpstreamIsWaitedForWhileSilent guards against an idempotent request that ends
// with an error, or runs twice at the only upstream, because that is silent for over
// half of the time, though it would answer.
func TestOnlyUpstreamIsWaitedForWhileSilent(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/" {
			requests.Add(1)
		}
		writer.Header().Set(exchange.HeaderAttempt, request.Header.Get(exchange.HeaderAttempt))
		select {
		case <-time.After(900 * time.Millisecond):
		case <-request.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	dispatcher := startDispatcher(t, Config{}, upstreamAt(server.Listener.Addr().String()))
	work := Work{RequestID: "one", Service: "advice", Team: "team", Weight: 1, Method: http.MethodGet, Path: "/", Idempotent: true, Deadline: time.Now().Add(1500 * time.Millisecond)}
	_, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.NoError(t, err)
	require.EqualValues(t, 1, requests.Load())
}
