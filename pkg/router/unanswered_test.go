package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnansweredRequestsAreReported guards against connections that are closed with a
// request that got no complete answer, and nothing that tells so: each must be
// reported once, with the reason, what closed the connection and how much was read.
func TestUnansweredRequestsAreReported(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	const lastRequest = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	answer := func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") }
	for name, test := range map[string]struct {
		handler  http.HandlerFunc
		sent     string
		leave    bool
		reset    bool
		reason   UnansweredReason
		unread   bool
		by       EndedBy
		read     ReadState
		requests int64
		answered int64
		others   int
	}{
		"aborted": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, sent: request, reason: UnansweredAborted,
			by: EndedByServer, read: ReadWhole, requests: 1,
		},
		"panic": {
			handler: func(http.ResponseWriter, *http.Request) { panic("test") }, sent: request, reason: UnansweredPanic,
			by: EndedByServer, read: ReadWhole, requests: 1,
		},
		"caller left": {
			handler: func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
			sent:    request, leave: true, reason: UnansweredCallerLeft, by: EndedByCaller, read: ReadWhole, requests: 1,
		},
		"caller reset": {
			handler: func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
			sent:    request, leave: true, reset: true, reason: UnansweredCallerLeft, by: EndedByReset, read: ReadWhole, requests: 1,
		},
		"caller left before the answer": {
			handler: func(writer http.ResponseWriter, request *http.Request) {
				for closed := false; !closed; closed, _ = connectionOfHandler(writer).IsClosed() {
					time.Sleep(time.Millisecond)
				}
				answer(writer, request)
			},
			sent: request, leave: true, reason: UnansweredCallerLeft, by: EndedByCaller, read: ReadWhole, requests: 1,
		},
		"after the last answer": {
			handler: answer, sent: lastRequest + request, reason: UnansweredClosing,
			by: EndedByServer, read: ReadWhole, requests: 2, answered: 1,
		},
		"begun after the last answer": {
			handler: answer, sent: lastRequest + "GET / HTTP/1.1\r\n", reason: UnansweredUnread, unread: true,
			by: EndedByServer, read: ReadHeader, requests: 1, answered: 1,
		},
		"read timeout": {
			handler: func(writer http.ResponseWriter, request *http.Request) {
				_ = connectionOfHandler(writer).SetReadDeadline(time.Now())
				<-request.Context().Done()
			},
			sent: request, reason: UnansweredClosed, by: EndedByTimeout, read: ReadWhole, requests: 1,
		},
		"closed before the next one runs": {
			handler: func(writer http.ResponseWriter, _ *http.Request) {
				connection := connectionOfHandler(writer)
				_ = connection.Close()
				connection.wholeRequests.Add(1) // as the poller does before it runs the request
				connection.runRequest(func() {})
			},
			sent: request, reason: UnansweredClosed, by: EndedByServer, read: ReadWhole, requests: 2, others: 1,
		},
		"unread": {
			handler: answer, sent: "not a request\r\n\r\n", reason: UnansweredUnread, unread: true, by: EndedByError, read: ReadHeader,
		},
	} {
		t.Run(name, func(t *testing.T) {
			reports, ends := make(chan Unanswered, 10), make(chan ConnectionEnd, 10)
			server, err := NewServer(ServerConfig{
				Address: "127.0.0.1:0", Handler: test.handler, MaxConnections: 10, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10,
				MaxRequests: 10, MaxDeadline: time.Minute,
				OnUnanswered: func(unanswered Unanswered) { reports <- unanswered },
				OnEnded:      func(end ConnectionEnd) { ends <- end },
			})
			require.NoError(t, err)
			connection, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			defer connection.Close()
			_, _ = io.WriteString(connection, test.sent) // the server may close the connection
			if test.leave {
				require.Eventually(t, func() bool { return server.Running() == 1 }, 10*time.Second, time.Millisecond)
				if test.reset {
					require.NoError(t, connection.(*net.TCPConn).SetLinger(0))
				}
				require.NoError(t, connection.Close())
			}
			for range test.others + 1 {
				report := <-reports
				require.Equal(t, test.reason, report.Reason)
				require.Equal(t, test.unread, report.Request == nil)
				require.Equal(t, test.by, report.Connection.By)
				require.Equal(t, test.read, report.Connection.Read)
				require.Equal(t, test.requests, report.Connection.Requests)
				require.Equal(t, test.answered, report.Connection.Answered)
				require.NotZero(t, report.Connection.BytesRead)
				require.NotZero(t, report.Connection.Age)
				require.Equal(t, connection.LocalAddr().String(), report.Connection.Caller)
			}
			server.Shutdown(context.Background())
			require.Empty(t, reports)
			require.Len(t, ends, 1)
		})
	}
}

func connectionOfHandler(writer http.ResponseWriter) *callerConnection {
	flushingWriter, ok := writer.(*flushingWriter)
	if !ok {
		return nil
	}
	return flushingWriter.connection
}

// TestConnectionsWithoutARequestAreReported guards against connections that end before
// anything is read of them, or in the middle of a request, and nothing that tells what
// closed them; and against reports of unanswered requests for connections without one.
func TestConnectionsWithoutARequestAreReported(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, test := range map[string]struct {
		sent string
		read ReadState
	}{
		"nothing": {read: ReadNothing},
		"header":  {sent: request + "GET / HTTP/1.1\r\nHost", read: ReadHeader},
		"body":    {sent: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n12345", read: ReadBody},
		"whole":   {sent: request, read: ReadWhole},
	} {
		t.Run(name, func(t *testing.T) {
			reports, ends := make(chan Unanswered, 10), make(chan ConnectionEnd, 10)
			server, err := NewServer(ServerConfig{
				Address: "127.0.0.1:0", Handler: http.HandlerFunc(readWhole), MaxConnections: 10, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10,
				MaxRequests: 10, MaxDeadline: time.Minute,
				OnUnanswered: func(unanswered Unanswered) { reports <- unanswered },
				OnEnded:      func(end ConnectionEnd) { ends <- end },
			})
			require.NoError(t, err)
			defer server.Abort()
			reused := false
			for range 10 {
				connection, err := net.Dial("tcp", server.Address())
				require.NoError(t, err)
				_, err = io.WriteString(connection, test.sent)
				require.NoError(t, err)
				if strings.HasPrefix(test.sent, request) {
					_, err = connection.Read(make([]byte, 1<<10))
					require.NoError(t, err)
				}
				time.Sleep(20 * time.Millisecond) // it is read
				require.NoError(t, connection.(*net.TCPConn).CloseWrite())
				end := <-ends
				require.NoError(t, connection.Close())
				require.Equal(t, EndedByCaller, end.By)
				require.Equal(t, test.read, end.Read)
				require.EqualValues(t, len(test.sent), end.BytesRead)
				require.Equal(t, connection.LocalAddr().String(), end.Caller)
				if reused = reused || end.Reused; end.Reused {
					require.Contains(t, []EndedBy{EndedByCaller, ""}, end.PreviousBy)
				}
			}
			require.True(t, reused, "the kernel assigns the lowest number that is free")
			require.Empty(t, reports)
		})
	}
}
