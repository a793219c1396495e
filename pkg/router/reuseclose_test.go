package router

import (
	"bufio"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestNewConnectionOutlivesAnUnfinishedClose guards against whole requests that get neither
// an answer nor a refusal because the kernel gave away the number of a connection before
// it removed the connection from the poller's epoll.
func TestNewConnectionOutlivesAnUnfinishedClose(t *testing.T) {
	const newConnections = 16
	server := newHeldPollerServer(t)
	lower := descriptors(t, 4)
	leaving, closed := server.connect(t)
	sockets := make([]int, newConnections)
	for i := range sockets {
		sockets[i] = unconnectedSocket(t)
	}
	// The file outlives the close, as it does while the closing thread has released the
	// number and not yet the file.
	duplicate, err := unix.Dup(closed.Hash())
	require.NoError(t, err)
	defer unix.Close(duplicate)

	require.NoError(t, closed.Close())
	for _, file := range lower {
		require.NoError(t, file.Close())
	}
	get(t, leaving, "/") // is ready at the poller under the number of the closed connection

	var connections []*os.File
	for _, socket := range sockets {
		connection := connectSocket(t, socket, server.Addrs[0])
		defer connection.Close()
		connections = append(connections, connection)
	}
	require.Eventually(t, func() bool {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.opened) > newConnections
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, leaving.Close())
	for i, connection := range connections {
		require.NoError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
		get(t, connection, "/")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err, "connection %d", i)
		require.NoError(t, response.Body.Close())
	}
}
