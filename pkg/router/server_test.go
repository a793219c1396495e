package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// newTestServer returns a server that is shut down at the end of the test.
func newTestServer(t *testing.T, handler http.Handler) *Server {
	t.Helper()
	server, err := NewServer(ServerConfig{
		Address:        "127.0.0.1:0",
		Handler:        handler,
		MaxConnections: 1 << 10,
		MaxBodyBytes:   1 << 10,
		MaxHeaderBytes: 1 << 10,
		MaxUnsentBytes: 1 << 20,
		MaxRequests:    1 << 8,
		MaxDeadline:    time.Minute,
	})
	require.NoError(t, err)
	t.Cleanup(func() { server.Shutdown(context.Background()) })
	return server
}

// Guards against a caller that waits for its deadline because the handler panicked
// and its connection stayed open without an answer.
func TestPanicClosesConnection(t *testing.T) {
	server := newTestServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test") }))
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

// Guards against request smuggling: if the end of a request is ambiguous, neither
// this request nor data after it on the connection may be run.
func TestServerRefusesAmbiguousLength(t *testing.T) {
	var runs atomic.Int32
	server := newTestServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	secondRequest := "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, request := range map[string]string{
		"both":        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths": "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
		"no chunk":    "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"two codings": "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
		"negative":    "Content-Length: -1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address())
			require.NoError(t, err)
			t.Cleanup(func() { _ = connection.Close() })
			require.NoError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(connection, "POST /1 HTTP/1.1\r\nHost: a\r\n"+request+secondRequest)
			require.NoError(t, err)
			answer, err := io.ReadAll(connection)
			if err != nil {
				require.ErrorIs(t, err, syscall.ECONNRESET)
			}
			require.LessOrEqual(t, strings.Count(string(answer), "HTTP/1.1"), 1)
			require.NotContains(t, string(answer), "HTTP/1.1 200")
			require.Zero(t, runs.Load())
		})
	}
}

// Guards against truncated answers on connections with "Connection: close": the
// server must not close before a large answer has been read, even if the caller
// starts reading after callerCloseTimeout. Requests after the last one must not run.
func TestServerClosesAfterLastAnswer(t *testing.T) {
	const answerBytes = 8 << 20
	var runs atomic.Int32
	server := newTestServer(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = writer.Write(make([]byte, answerBytes))
	}))
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(15*time.Second)))
	_, err = io.WriteString(connection, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(2 * callerCloseTimeout)
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	require.True(t, response.Close)
	bodyBytes, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, answerBytes, bodyBytes)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against nbhttp overwriting unsent data of large answers without a
// Content-Length with data of other answers, which happens if callers read late.
func TestLargeAnswersArriveComplete(t *testing.T) {
	const callerCount, answerBytes = 6, 8 << 20
	server := newTestServer(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for blockIndex := range 2 * (answerBytes >> 16) { // blocks of 64 KiB, alternating with smaller ones
			length := 1 << 16
			if blockIndex%2 == 1 {
				length = 20_000
			}
			_, _ = writer.Write(bytes.Repeat([]byte(request.URL.Path[1:]), length))
		}
	}))
	var group errgroup.Group
	for index := range callerCount {
		group.Go(func() error {
			letter := string(rune('a' + index))
			connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address())
			if err != nil {
				return err
			}
			defer connection.Close()
			reader := bufio.NewReader(connection)
			for range 2 {
				if _, err := io.WriteString(connection, "GET /"+letter+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					return err
				}
				time.Sleep(50 * time.Millisecond)
				if err := connection.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
					return err
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					return err
				}
				body, err := io.ReadAll(response.Body)
				if err != nil {
					return err
				}
				if want := (answerBytes >> 16) * (1<<16 + 20_000); len(body) != want || strings.Trim(string(body), letter) != "" {
					return fmt.Errorf("%d of %d bytes, or bytes of another answer", len(body), want)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

// Guards against an Abort that never returns: the engine waits for all connections
// but does not close those that are accepted while it stops.
func TestAbortEndsWhileCallersConnect(t *testing.T) {
	const rounds, callerCount = 20, 8
	for range rounds {
		server := newTestServer(t, http.NotFoundHandler())
		stop := make(chan struct{})
		var group sync.WaitGroup
		for range callerCount {
			group.Go(func() {
				for {
					connection, err := net.Dial("tcp", server.Address())
					if err == nil {
						defer connection.Close()
					}
					select {
					case <-stop:
						return
					default:
					}
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			server.Abort()
		}()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Error("the server did not end")
		}
		close(stop)
		group.Wait()
	}
}

// Guards against a server that never ends and keeps a processor busy, because it is
// stopped before its pollers run.
func TestAbortEndsRightAfterStart(t *testing.T) {
	for range 300 {
		server, err := NewServer(ServerConfig{Address: "127.0.0.1:0", Handler: http.NotFoundHandler(), MaxRequests: 1})
		require.NoError(t, err)
		requireEnds(t, server.Abort)
	}
}

// Guards against a router that hangs instead of reporting that its address is taken.
func TestServerReportsTakenAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	for range 100 {
		requireEnds(t, func() {
			_, err = NewServer(ServerConfig{Address: taken.Addr().String(), Handler: http.NotFoundHandler(), MaxRequests: 1})
		})
		require.ErrorContains(t, err, "cannot listen on "+taken.Addr().String())
	}
}

func requireEnds(t *testing.T, run func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run()
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the call does not return")
	}
}

// Guards against lost answers on connections with "Connection: close": if the
// server closes a connection first, another one can reuse its file descriptor and
// get its pending poller events.
func TestCallersThatCloseGetAnswers(t *testing.T) {
	server := newTestServer(t, http.HandlerFunc(serveAnswer))
	sendAndCloseConcurrently(t, server.Address())
}

// Checks the same as TestCallersThatCloseGetAnswers for the server for operators and
// metrics.
func TestOperatorsThatCloseGetAnswers(t *testing.T) {
	control, err := newControlServer("test", "127.0.0.1:0", http.HandlerFunc(serveAnswer))
	require.NoError(t, err)
	t.Cleanup(func() { control.close(context.Background()) })
	sendAndCloseConcurrently(t, control.httpEngine.Addrs[0])
}

func serveAnswer(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("answer"))
}

// sendAndCloseConcurrently runs many callers at once, each of which closes its
// connection after every request.
func sendAndCloseConcurrently(t *testing.T, address string) {
	t.Helper()
	const callerCount, requestCount = 16, 400
	var group errgroup.Group
	for range callerCount {
		group.Go(func() error {
			transport := &http.Transport{DisableKeepAlives: true}
			for range requestCount {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
				if err != nil {
					return err
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					return err
				}
				_ = response.Body.Close()
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

// TestOverloadedServerSendsCallersElsewhere guards against an overloaded router that
// goes on taking requests, so that configurations and answers come late: it must
// refuse new connections, close open ones after an answer, and accept some all the
// same.
func TestOverloadedServerSendsCallersElsewhere(t *testing.T) {
	var overloaded atomic.Bool
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }),
		MaxConnections: 64, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10, MaxRequests: 64, MaxDeadline: time.Minute,
		Overloaded: overloaded.Load,
	})
	require.NoError(t, err)
	t.Cleanup(func() { server.Shutdown(context.Background()) })
	kept, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer kept.Close()
	send := func() *http.Response {
		_, err := fmt.Fprint(kept, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(kept), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response
	}
	require.False(t, send().Close)
	overloaded.Store(true)
	dial := func() error {
		connection, err := net.Dial("tcp", server.Address())
		if err != nil {
			return err
		}
		return connection.Close()
	}
	// waitFor dials until the result is the expected one. The kernel resets a
	// connection that it has not handed over when the listener closes, and refuses
	// those that follow.
	waitFor := func(expected error) {
		for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			err := dial()
			if errors.Is(err, syscall.ECONNRESET) && overloaded.Load() {
				err = dial()
				require.ErrorIs(t, err, syscall.ECONNREFUSED, "after a reset")
			}
			if errors.Is(err, expected) {
				return
			}
			require.True(t, err == nil || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET), "%v", err)
			require.True(t, time.Now().Before(deadline), "expected %v, got %v", expected, err)
		}
	}
	waitFor(syscall.ECONNREFUSED)
	response := send()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
	waitFor(nil) // some callers get through
	overloaded.Store(false)
	waitFor(nil)
}
