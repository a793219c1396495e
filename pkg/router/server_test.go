package router

import (
	"bufio"
	"bytes"
	"context"
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

// newTestServer returns a server that ends with the test.
func newTestServer(t *testing.T, handler http.Handler, maxWriteBytes int) *Server {
	t.Helper()
	server, err := NewServer(ServerConfig{
		Address:        "127.0.0.1:0",
		Handler:        handler,
		MaxConnections: 1 << 10,
		MaxBodyBytes:   1 << 10,
		MaxHeaderBytes: 1 << 10,
		MaxWriteBytes:  maxWriteBytes,
		MaxRequests:    1 << 8,
		MaxDeadline:    time.Minute,
	})
	require.NoError(t, err)
	t.Cleanup(func() { server.Shutdown(context.Background()) })
	return server
}

// A caller whose handler panicked must not wait for an answer that never comes.
func TestAPanicClosesTheCallersConnection(t *testing.T) {
	server := newTestServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test") }), 1<<10)
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

// A request whose end is not certain is not run, and nothing behind it is.
func TestServerRefusesUncertainLengths(t *testing.T) {
	var runs atomic.Int32
	server := newTestServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }), 1<<10)
	second := "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
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
			_, err = io.WriteString(connection, "POST /1 HTTP/1.1\r\nHost: a\r\n"+request+second)
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

// A caller that asks for the connection's end and reads until then gets the
// whole answer, also a large one read late, and nothing behind it is run.
func TestServerClosesAfterTheLastAnswer(t *testing.T) {
	const size = 8 << 20
	var runs atomic.Int32
	server := newTestServer(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = writer.Write(make([]byte, size))
	}), 2*size)
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(15*time.Second)))
	_, err = io.WriteString(connection, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(2 * closeWait)
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	require.True(t, response.Close)
	body, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, body)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, runs.Load())
}

// Large answers without a stated length arrive whole and unmixed, also when
// their callers read late.
func TestLargeAnswersArriveWhole(t *testing.T) {
	const callers, size = 6, 8 << 20
	server := newTestServer(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for piece := range 2 * (size >> 16) { // of 64 KiB, and smaller ones that add up
			length := 1 << 16
			if piece%2 == 1 {
				length = 20_000
			}
			_, _ = writer.Write(bytes.Repeat([]byte(request.URL.Path[1:]), length))
		}
	}), 4*size)
	var group errgroup.Group
	for number := range callers {
		group.Go(func() error {
			letter := string(rune('a' + number))
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
				if want := (size >> 16) * (1<<16 + 20_000); len(body) != want || strings.Trim(string(body), letter) != "" {
					return fmt.Errorf("%d of %d bytes, or bytes of another answer", len(body), want)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

// Callers that connect at the moment of the end and stay don't hold it up.
func TestAbortEndsWhileCallersConnect(t *testing.T) {
	const rounds, callers = 20, 8
	for range rounds {
		server := newTestServer(t, http.NotFoundHandler(), 1<<10)
		stop := make(chan struct{})
		var group sync.WaitGroup
		for range callers {
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

// A caller that asks for the connection's end gets its answer, whatever
// connections come and go beside it.
func TestCallersThatCloseGetTheirAnswers(t *testing.T) {
	server := newTestServer(t, http.HandlerFunc(answer), 1<<10)
	closeAfterEach(t, server.Address())
}

// The same holds for operators and readers of metrics.
func TestOperatorsThatCloseGetTheirAnswers(t *testing.T) {
	control, err := newControlServer("test", "127.0.0.1:0", http.HandlerFunc(answer))
	require.NoError(t, err)
	t.Cleanup(func() { control.close(context.Background()) })
	closeAfterEach(t, control.engine.Addrs[0])
}

func answer(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("answer"))
}

// closeAfterEach lets many callers send requests and close after each.
func closeAfterEach(t *testing.T, address string) {
	t.Helper()
	const callers, requests = 16, 400
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			transport := &http.Transport{DisableKeepAlives: true}
			for range requests {
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
