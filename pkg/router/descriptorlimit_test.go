package router

import (
	"bufio"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// leaveDescriptors limits the process to what it has open and count descriptors more.
func leaveDescriptors(t *testing.T, count int) {
	t.Helper()
	const margin = 256
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	lowered := limit
	lowered.Cur = margin
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &lowered))
	var held []*os.File
	t.Cleanup(func() {
		require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit))
		for _, file := range held {
			_ = file.Close()
		}
	})
	for {
		file, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		held = append(held, file)
	}
	for _, file := range held[:count] {
		require.NoError(t, file.Close())
	}
	held = held[count:]
}

// TestBurstAtTheDescriptorLimitIsAnswered guards against whole requests that get neither an
// answer nor a refusal because all connections of a burst are accepted, with the last
// descriptors, before one of them is duplicated: those that fit must be answered.
func TestBurstAtTheDescriptorLimitIsAnswered(t *testing.T) {
	const left = 20
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	server := newHeldPollerServer(t)
	var sockets []int
	for range left {
		sockets = append(sockets, unconnectedSocket(t))
	}
	leaveDescriptors(t, left)
	addrPort := netip.MustParseAddrPort(server.Addrs[0])
	address := &unix.SockaddrInet4{Port: int(addrPort.Port()), Addr: addrPort.Addr().As4()}
	for _, socket := range sockets {
		require.NoError(t, unix.Connect(socket, address))
	}
	var connections []*os.File
	for _, socket := range sockets {
		_, _ = unix.Write(socket, []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		require.NoError(t, unix.SetNonblock(socket, true))
		connection := os.NewFile(uintptr(socket), "connection")
		defer connection.Close()
		connections = append(connections, connection)
	}
	answered := 0
	for _, connection := range connections {
		require.NoError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
		if response, err := http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
			answered++
			_ = response.Body.Close()
		}
	}
	require.GreaterOrEqual(t, answered, left-1, "of %d", left) // the last one finds no descriptor for its duplicate
}
