package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller whose handler panicked must not wait for an answer that never comes.
func TestAPanicClosesTheCallersConnection(t *testing.T) {
	server, err := NewServer(ServerConfig{
		Address:         "127.0.0.1:0",
		Handler:         http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test") }),
		MaxConnections:  8,
		MaxBodyBytes:    1 << 10,
		MaxHeaderBytes:  1 << 10,
		MaxWriteBytes:   1 << 10,
		MaxRequests:     8,
		LongestDeadline: time.Minute,
	})
	require.NoError(t, err)
	t.Cleanup(func() { server.Shutdown(context.Background()) })
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+"/", http.NoBody)
	require.NoError(t, err)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	require.NoError(t, ctx.Err())
}
