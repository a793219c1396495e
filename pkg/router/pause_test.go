package router

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// pausingServer is a server that is overloaded when a test says so.
type pausingServer struct {
	*Server
	overloaded atomic.Bool
	ran        atomic.Int64
}

func newPausingServer(t *testing.T) *pausingServer {
	t.Helper()
	pausingServer := &pausingServer{}
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", MaxConnections: 1 << 12, MaxBodyBytes: testMaxBodyBytes, MaxHeaderBytes: 64 << 10,
		MaxRequests: 1 << 12, MaxDeadline: time.Minute, MaxUnsentBytes: 1 << 20, Overloaded: pausingServer.overloaded.Load,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			pausingServer.ran.Add(1)
			readWhole(writer, request)
		}),
	})
	require.NoError(t, err)
	t.Cleanup(server.Abort)
	pausingServer.Server = server
	return pausingServer
}

// pause makes the server overloaded and waits until it refuses new callers, which it
// then does for a second.
func (pausingServer *pausingServer) pause(t *testing.T) {
	t.Helper()
	pausingServer.overloaded.Store(true)
	require.Eventually(t, func() bool {
		status, _, err := post(pausingServer.Address(), 0)
		return err != nil || status == http.StatusServiceUnavailable
	}, 2*time.Second, 5*time.Millisecond, "the server doesn't pause")
}

func (pausingServer *pausingServer) dial(t *testing.T) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", pausingServer.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	return connection
}

func requireRefused(t *testing.T, connection net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.NoError(t, checkRefusal(response))
}

// checkRefusal returns an error if an answer isn't the refusal of a paused server.
func checkRefusal(response *http.Response) error {
	header := response.Header
	if response.StatusCode != http.StatusServiceUnavailable || header.Get(headerRetryAfter) == "" ||
		header.Get(headerOutcome) != string(fault.NotRun) || !response.Close {
		return fmt.Errorf("not the refusal of a paused server: status %d, header %v, closes %v", response.StatusCode, header, response.Close)
	}
	return nil
}

const headOfPost = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"

// TestPausedServerRefusesNewCallers guards against callers that connect to an overloaded
// router, send a whole request, and get neither an answer nor a refusal.
func TestPausedServerRefusesNewCallers(t *testing.T) {
	const callers = 20
	server := newPausingServer(t)
	server.pause(t)
	ran := server.ran.Load()
	for range callers {
		connection := server.dial(t)
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		requireRefused(t, connection)
	}
	require.Equal(t, ran, server.ran.Load(), "refused requests ran")
}

// TestPauseKeepsWaitingConnections guards against whole requests that get neither an
// answer nor a refusal because a router pauses: connections that the kernel has opened
// and the router has not accepted must not be reset.
func TestPauseKeepsWaitingConnections(t *testing.T) {
	const waiting = 5
	server := newPausingServer(t)
	server.mutex.Lock() // holds up the first connection, and those behind it
	var connections []net.Conn
	for range waiting {
		connection := server.dial(t)
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		connections = append(connections, connection)
	}
	server.overloaded.Store(true)
	time.Sleep(3 * sweepInterval) // the pause begins
	server.mutex.Unlock()
	for _, connection := range connections {
		requireRefused(t, connection)
	}
}

// TestCallersAroundAPauseGetAnAnswer guards against connections that are reset when a
// pause begins, while they are opened, wait to be accepted or carry a request that is
// still on its way.
func TestCallersAroundAPauseGetAnAnswer(t *testing.T) {
	const callers, rounds, spread = 400, 4, 600 * time.Millisecond
	server := newPausingServer(t)
	var answered, refused atomic.Int64
	for range rounds {
		var group errgroup.Group
		for range callers {
			delay, bodyDelay := rand.N(spread), rand.N(100*time.Millisecond)
			group.Go(func() error {
				time.Sleep(delay)
				return server.sendSlowly(bodyDelay, &answered, &refused)
			})
		}
		time.Sleep(spread / 3)
		server.overloaded.Store(true)
		time.Sleep(spread / 3)
		server.overloaded.Store(false)
		require.NoError(t, group.Wait())
	}
	require.Positive(t, answered.Load())
	require.Positive(t, refused.Load())
	require.Equal(t, int64(callers*rounds), answered.Load()+refused.Load())
}

// sendSlowly sends a request whose body follows its header after a delay, before it reads
// the answer.
func (pausingServer *pausingServer) sendSlowly(bodyDelay time.Duration, answered, refused *atomic.Int64) error {
	connection, err := net.Dial("tcp", pausingServer.Address())
	if err != nil {
		return err
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	const bodyBytes = 8 << 10
	if _, err := fmt.Fprintf(connection, headOfPost, bodyBytes); err != nil {
		return err
	}
	time.Sleep(bodyDelay)
	if _, err := io.WriteString(connection, strings.Repeat("x", bodyBytes)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		answered.Add(1)
		return nil
	}
	refused.Add(1)
	return checkRefusal(response)
}

// TestPausedServerRefusesBeforeTheBody guards against refusals that come only once the
// whole request has crossed the overloaded link.
func TestPausedServerRefusesBeforeTheBody(t *testing.T) {
	server := newPausingServer(t)
	opened := server.dial(t) // before the pause
	server.pause(t)
	_, err := fmt.Fprintf(opened, headOfPost, 1<<20)
	require.NoError(t, err)
	requireRefused(t, opened)
}

// TestRefusalSurvivesTheRestOfTheRequest guards against refusals that are lost to callers
// that send their whole request before they read, because the router closes the
// connection with a part of the request unread.
func TestRefusalSurvivesTheRestOfTheRequest(t *testing.T) {
	const parts, partBytes = 20, 64 << 10
	server := newPausingServer(t)
	server.pause(t)
	connection := server.dial(t)
	_, err := fmt.Fprintf(connection, headOfPost, parts*partBytes)
	require.NoError(t, err)
	for range parts {
		time.Sleep(callerCloseTimeout / 3)
		_, err := io.WriteString(connection, strings.Repeat("x", partBytes))
		require.NoError(t, err)
	}
	requireRefused(t, connection)
}

// TestPauseHoldsBackRequests guards against a link that stays full because callers send
// whole requests that are refused: while an overloaded server has not read what it got,
// little more may come.
func TestPauseHoldsBackRequests(t *testing.T) {
	const bodyBytes, maxSent = 64 << 10, 4 << 10
	server := newPausingServer(t)
	server.pause(t)
	server.mutex.Lock() // holds up the accepting
	defer server.mutex.Unlock()
	for range 3 {
		connection := server.dial(t)
		_, err := fmt.Fprintf(connection, headOfPost+strings.Repeat("x", bodyBytes), bodyBytes)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond) // it is sent, if the window allows it
		rawConnection, err := connection.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		unsent, ioctlErr := 0, error(nil)
		require.NoError(t, rawConnection.Control(func(descriptor uintptr) {
			unsent, ioctlErr = unix.IoctlGetInt(int(descriptor), syscall.TIOCOUTQ)
		}))
		require.NoError(t, ioctlErr)
		require.Greater(t, unsent, bodyBytes-maxSent)
	}
}

// TestRequestsAreFastAfterAPause guards against requests that come slowly for as long as
// their connection is open because it was opened during a pause.
func TestRequestsAreFastAfterAPause(t *testing.T) {
	server := newPausingServer(t)
	server.pause(t)
	connection := server.dial(t)
	server.overloaded.Store(false)
	time.Sleep(3 * sweepInterval) // the pause ends
	startedAt := time.Now()
	_, err := fmt.Fprintf(connection, headOfPost+strings.Repeat("x", testMaxBodyBytes), testMaxBodyBytes)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Less(t, time.Since(startedAt), 2*time.Second)
}

// TestRequestThatBeganBeforeAPauseIsServed guards against requests that are lost or
// refused although the router had accepted them before a pause.
func TestRequestThatBeganBeforeAPauseIsServed(t *testing.T) {
	const bodyBytes = 1 << 20
	server := newPausingServer(t)
	connection := server.dial(t)
	_, err := fmt.Fprintf(connection, headOfPost, bodyBytes)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // the header arrives
	server.pause(t)
	_, err = io.WriteString(connection, strings.Repeat("x", bodyBytes))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
