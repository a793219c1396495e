package router

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPauseKeepsWaitingConnections guards against whole requests that get neither an
// answer nor a refusal because a router pauses accepting: connections that the kernel
// has opened before must not be reset.
func TestPauseKeepsWaitingConnections(t *testing.T) {
	const waiting = 5
	listener, err := listen("tcp", "127.0.0.1:0", neverOverloaded)
	require.NoError(t, err)
	defer listener.Close()
	var connections []net.Conn
	for range waiting {
		connection, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer connection.Close()
		_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		connections = append(connections, connection)
	}
	listener.setPaused(true)
	reset := 0
	for _, connection := range connections {
		require.NoError(t, connection.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			reset++
		}
	}
	require.Zero(t, reset, "of %d connections", waiting)
	for range waiting {
		connection, err := listener.Accept()
		require.NoError(t, err)
		line, err := bufio.NewReader(connection).ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "GET / HTTP/1.1\r\n", line)
		require.NoError(t, connection.Close())
	}
}

// TestRequestBehindTheLastAnswerEndsSoon guards against a whole request that was sent
// behind another one, is never answered because the answer to that one closes the
// connection, and whose caller isn't told for longer than a request may be lost.
func TestRequestBehindTheLastAnswerEndsSoon(t *testing.T) {
	const lossSlack = 200 * time.Millisecond
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") })
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", Handler: handler, MaxConnections: 10, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10,
		MaxRequests: 10, MaxDeadline: time.Minute,
	})
	require.NoError(t, err)
	defer server.Abort()
	connection, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer connection.Close()
	sentAt := time.Now()
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close() // it was read to its end
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, time.Since(sentAt), lossSlack)
}
