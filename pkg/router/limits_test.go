package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

// exchangeOn sends a request and returns its answer's status and body.
func exchangeOn(connection net.Conn, reader *bufio.Reader, request string) (*http.Response, string, error) {
	if _, err := io.WriteString(connection, request); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestIdleTimeoutSparesRequests guards against a request that gets no answer because its
// connection had been idle for most of the idle timeout, which passes while the request
// is read or runs.
func TestIdleTimeoutSparesRequests(t *testing.T) {
	const idleRest, runTime = 100 * time.Millisecond, 300 * time.Millisecond
	opened := make(chan net.Conn, 1)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/run" {
			time.Sleep(runTime)
		} else {
			opened <- connectionBehind(writer)
		}
		_, _ = io.WriteString(writer, "answer")
	})
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", Handler: handler, MaxConnections: 10, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10, MaxRequests: 10,
		MaxDeadline: time.Minute,
	})
	require.NoError(t, err)
	defer server.Abort()
	control, err := newControlServer("test", "127.0.0.1:0", handler)
	require.NoError(t, err)
	defer control.close(t.Context())
	for name, address := range map[string]string{"callers": server.Address(), "control": control.httpEngine.Addrs[0]} {
		for part, pieces := range map[string][]string{
			"runs":    {"GET /run HTTP/1.1\r\nHost: a\r\n\r\n"},
			"is read": {"POST /run HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx", "x"},
		} {
			t.Run(name+" "+part, func(t *testing.T) {
				connection, err := net.Dial("tcp", address)
				require.NoError(t, err)
				defer connection.Close()
				reader := bufio.NewReader(connection)
				_, _, err = exchangeOn(connection, reader, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond) // nbhttp sets the timeout after the answer
				require.NoError(t, (<-opened).SetReadDeadline(time.Now().Add(idleRest)))
				for _, piece := range pieces[1:] {
					_, err = io.WriteString(connection, pieces[0])
					require.NoError(t, err)
					time.Sleep(2 * idleRest)
					pieces[0] = piece
				}
				_, body, err := exchangeOn(connection, reader, pieces[0])
				require.NoError(t, err)
				require.Equal(t, "answer", body)
			})
		}
	}
}

func connectionBehind(writer http.ResponseWriter) net.Conn {
	if flushingWriter, ok := writer.(*flushingWriter); ok {
		writer = flushingWriter.ResponseWriter
	}
	response, ok := writer.(*nbhttp.Response)
	if !ok {
		return nil
	}
	return response.Parser.Conn
}

// TestControlServerAnswersBesideManyRequests guards against requests of peers and
// operators, and health checks, that wait without an answer while others run.
func TestControlServerAnswersBesideManyRequests(t *testing.T) {
	const held = 200
	release := make(chan struct{})
	var running sync.WaitGroup
	running.Add(held)
	server, err := newControlServer("test", "127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/hold" {
			running.Done()
			<-release
		}
		_, _ = io.WriteString(writer, "answer")
	}))
	require.NoError(t, err)
	defer server.close(t.Context())
	defer close(release)
	for range held {
		connection, err := net.Dial("tcp", server.httpEngine.Addrs[0])
		require.NoError(t, err)
		defer connection.Close()
		_, err = io.WriteString(connection, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
	}
	requireEnds(t, running.Wait)
	connection, err := net.Dial("tcp", server.httpEngine.Addrs[0])
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, body, err := exchangeOn(connection, bufio.NewReader(connection), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, "answer", body)
}

// TestSurplusConnectionsAreRefused guards against callers whose connection is closed
// without an answer to their request because the server has as many as it may: they must
// be refused, and served once there is room.
func TestSurplusConnectionsAreRefused(t *testing.T) {
	const maxConnections, surplus = 4, 100
	var runs atomic.Int32
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", MaxConnections: maxConnections, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10, MaxRequests: 1 << 10,
		MaxDeadline: time.Minute,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			_, _ = io.WriteString(writer, "answer")
		}),
	})
	require.NoError(t, err)
	defer server.Abort()
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	open := func() (net.Conn, *bufio.Reader) {
		connection, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		return connection, bufio.NewReader(connection)
	}
	var kept []net.Conn
	for range maxConnections {
		connection, reader := open()
		_, body, err := exchangeOn(connection, reader, request)
		require.NoError(t, err)
		require.Equal(t, "answer", body)
		kept = append(kept, connection)
	}
	for i := range surplus {
		connection, reader := open()
		response, _, err := exchangeOn(connection, reader, request)
		require.NoError(t, err, "connection %d", i)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, string(fault.NotRun), response.Header.Get(headerOutcome))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.True(t, response.Close)
	}
	require.EqualValues(t, maxConnections, runs.Load())
	waiting, reader := open()
	require.NoError(t, kept[0].Close())
	require.NoError(t, kept[1].Close())
	require.Eventually(t, func() bool {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return server.regularConnections < maxConnections
	}, 5*time.Second, time.Millisecond, "refused connections don't count")
	_, body, err := exchangeOn(waiting, reader, request)
	require.NoError(t, err)
	require.Equal(t, "answer", body)
}

// TestDroppedRequestsAreRefused guards against callers that get neither an answer nor a
// refusal because their incomplete request is dropped to make room: they must be told
// that it wasn't run, while they still send and when they have paused.
func TestDroppedRequestsAreRefused(t *testing.T) {
	const unfinished, bodyBytes = 8, testMaxBodyBytes
	reports := make(chan Unanswered, 1<<10)
	server := newReadServer(t, http.HandlerFunc(readWhole), reports)
	responses := make(chan *http.Response, unfinished)
	for range unfinished {
		connection, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		defer connection.Close()
		go func() {
			_, _ = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			_, _ = connection.Write(make([]byte, bodyBytes-1))
		}()
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if err != nil {
				response = nil
			}
			responses <- response
		}()
	}
	for range unfinished - memory.NewPlan(smallestVM).Requests/bodyBytes { // the others fit
		select {
		case response := <-responses:
			require.NotNil(t, response, "the connection is closed without an answer")
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, string(fault.NotRun), response.Header.Get(headerOutcome))
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
		case <-time.After(10 * time.Second):
			require.Fail(t, "no answer")
		}
		report := <-reports
		require.Equal(t, UnansweredUnread, report.Reason)
		require.Equal(t, EndedByLimit, report.Connection.By)
	}
	time.Sleep(2 * time.Second) // the connections are closed
	require.Empty(t, reports, "each is reported once")
	requireAllAnswered(t, server, 5, 1<<20)
}

// TestBodiesThatAreTooLargeAreRefused guards against a connection that is closed without
// an answer because a request's body is larger than the server reads.
func TestBodiesThatAreTooLargeAreRefused(t *testing.T) {
	const maxBodyBytes = 1 << 10
	for name, head := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", 100*maxBodyBytes),
		"chunks":        "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			server, err := NewServer(ServerConfig{
				Address: "127.0.0.1:0", MaxConnections: 10, MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: 1 << 10, MaxRequests: 10,
				MaxDeadline: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }),
			})
			require.NoError(t, err)
			defer server.Abort()
			connection, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			defer connection.Close()
			go func() {
				_, _ = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: a\r\n"+head)
				piece := []byte("400\r\n" + strings.Repeat("x", 0x400) + "\r\n") // of a body of either kind
				for range 95 {
					if _, err := connection.Write(piece); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}()
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
			require.Equal(t, string(fault.NotRun), response.Header.Get(headerOutcome))
			require.True(t, response.Close)
			require.Zero(t, runs.Load())
		})
	}
}
