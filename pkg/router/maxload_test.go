package router

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/stretchr/testify/require"
)

// TestHeldConnectionsStayWithinTheLimit guards against connections without a limit while
// a poller is slow: those that wait for its round count as open.
func TestHeldConnectionsStayWithinTheLimit(t *testing.T) {
	const limit, callers = 4, 100
	held, released := make(chan struct{}), make(chan struct{})
	server, err := startHTTPEngine(nbhttp.Config{
		Name: "test", Network: "tcp", Addrs: []string{"127.0.0.1:0"}, NPoller: 1, MaxLoad: limit,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") }),
		OnRequest: func(http.ResponseWriter, *http.Request) {
			close(held)
			<-released
		},
	}, neverOverloaded, engineCallbacks{})
	require.NoError(t, err)
	t.Cleanup(server.stop)
	first, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Addrs[0])
	require.NoError(t, err)
	defer first.Close()
	get(t, first, "/hold")
	<-held
	defer close(released)
	before := openDescriptors(t)
	for range callers {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Addrs[0])
		require.NoError(t, err)
		defer connection.Close()
	}
	require.Eventually(t, func() bool { return openDescriptors(t)-before <= callers+limit }, 5*time.Second, 10*time.Millisecond,
		"%d descriptors for %d callers", openDescriptors(t)-before, callers)
}

func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(entries)
}
