package router

// How the callers' server ends a connection after its last answer.
//
// nbhttp closes such a connection from the handler's goroutine. The poller may
// at that moment hold an event of the same descriptor, and a connection that is
// accepted in between gets the descriptor's number: the poller then ends or
// reads the wrong connection, and its caller gets no answer. So the caller, who
// was told that the connection ends, closes first, and the poller closes after
// it. A connection whose caller doesn't is closed here once its answer has left.

import (
	"net/http"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"
)

const (
	// closeWait is how long a caller may take to close a connection after the
	// last answer: some round trips between distant regions.
	closeWait = 300 * time.Millisecond
	// unsentWait is how long a caller may take to read the last answer; nbio
	// drops what is unsent when it closes.
	unsentWait = 10 * time.Second
)

// leaveClosingToCaller makes the connection's last answer say so and keeps
// nbhttp from closing it. It reports false when an earlier answer was the last:
// what follows it is not to be answered.
func (server *Server) leaveClosingToCaller(connection *nbio.Conn, writer http.ResponseWriter, request *http.Request) bool {
	if connection == nil {
		return true
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, last := server.closing[connection]; last {
		if response, ok := writer.(*nbhttp.Response); ok {
			_, _, _ = response.Hijack()
		}
		return false
	}
	if request.Close {
		request.Close = false
		writer.Header().Set("Connection", "close")
		server.closing[connection] = time.Time{}
	}
	return true
}

// startClosing notes that the connection's last answer is written.
func (server *Server) startClosing(connection *nbio.Conn, now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, last := server.closing[connection]; last {
		server.closing[connection] = now
	}
}

// sweepClosing closes the connections whose callers had time enough.
func (server *Server) sweepClosing(now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection, since := range server.closing {
		if closed, _ := connection.IsClosed(); closed {
			delete(server.closing, connection)
			continue
		}
		if since.IsZero() || now.Sub(since) < closeWait {
			continue
		}
		if now.Sub(since) >= unsentWait || !hasUnsent(connection) {
			_ = connection.Close()
			delete(server.closing, connection)
		}
	}
}

// hasUnsent reports whether the kernel still holds bytes that the peer has not
// acknowledged.
func hasUnsent(connection *nbio.Conn) bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	unsent := 0
	if err := raw.Control(func(descriptor uintptr) {
		unsent, err = unix.IoctlGetInt(int(descriptor), syscall.TIOCOUTQ)
	}); err != nil {
		return false
	}
	return err == nil && unsent > 0
}
