package router

// Closing of connections after their last answer ("Connection: close").
//
// nbhttp would close such a connection from the handler's goroutine. The poller
// may then still have a pending event for the same file descriptor. If a new
// connection is accepted in between and reuses the descriptor's number, the
// poller closes or reads that connection, and its caller gets no answer.
// Therefore the server sends "Connection: close" and waits for the caller to
// close; the poller then closes the server's side. If the caller does not close,
// connectionCloser.sweep closes the connection once the answer has been sent.

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"
)

const (
	// callerCloseTimeout is how long the caller may take to close a connection after
	// the last answer. It leaves time for several round trips between distant regions.
	callerCloseTimeout = 300 * time.Millisecond
	// unsentTimeout is how long the caller may take to read the last answer. After it
	// the connection is closed, which discards data that is still unsent.
	unsentTimeout = 10 * time.Second
	// minDrainedSweeps is how many consecutive sweeps must find the kernel's send
	// buffer empty before the connection is closed. One is not enough, as nbio may
	// still hold data in its own buffer; its poller writes that data to the kernel
	// well within this number of sweeps.
	minDrainedSweeps = 10
)

// closeState tracks a connection that is closed after its current answer.
type closeState struct {
	// answeredAt is the time when the answer was written, or zero while its
	// request is running.
	answeredAt time.Time
	// drainedSweeps is the number of consecutive sweeps that found no unsent
	// data.
	drainedSweeps int
	// dropped is set once a further request was read, which gets no answer. Its caller
	// learns that from the end of the connection.
	dropped bool
}

// connectionCloser closes the connections of a server after their last answers.
type connectionCloser struct {
	mutex       sync.Mutex
	closeStates map[*nbio.Conn]*closeState
}

func newConnectionCloser() *connectionCloser {
	return &connectionCloser{closeStates: make(map[*nbio.Conn]*closeState)}
}

// beginRequest must be called before a request is handled. If the connection is
// to be closed after this request, it sets "Connection: close" in the answer and
// prevents nbhttp from closing the connection itself. It returns false if an
// earlier answer was the connection's last; this request must not be answered.
func (closer *connectionCloser) beginRequest(connection *nbio.Conn, writer http.ResponseWriter, request *http.Request) bool {
	if connection == nil {
		return true
	}
	closer.mutex.Lock()
	defer closer.mutex.Unlock()
	if state, closing := closer.closeStates[connection]; closing {
		state.dropped = true
		if response, ok := writer.(*nbhttp.Response); ok {
			_, _, _ = response.Hijack() // prevents nbhttp from sending an answer
		}
		return false
	}
	if request.Close {
		request.Close = false
		writer.Header().Set("Connection", "close")
		closer.closeStates[connection] = &closeState{}
	}
	return true
}

// endRequest must be called when the answer to a request has been written.
func (closer *connectionCloser) endRequest(connection *nbio.Conn, now time.Time) {
	closer.mutex.Lock()
	defer closer.mutex.Unlock()
	if state, closing := closer.closeStates[connection]; closing {
		state.answeredAt = now
	}
}

// sweep closes the connections whose callers have not closed them within
// callerCloseTimeout, or have sent another request, once the last answer has been sent
// or unsentTimeout has passed.
func (closer *connectionCloser) sweep(now time.Time) {
	closer.mutex.Lock()
	defer closer.mutex.Unlock()
	for connection, state := range closer.closeStates {
		if closed, _ := connection.IsClosed(); closed {
			delete(closer.closeStates, connection)
			continue
		}
		if state.isDue(connection, now) {
			_ = connection.Close() // an error means that it is closed already
			delete(closer.closeStates, connection)
		}
	}
}

// isDue reports whether the connection is to be closed now.
func (closeState *closeState) isDue(connection *nbio.Conn, now time.Time) bool {
	sinceAnswer := now.Sub(closeState.answeredAt)
	switch {
	case closeState.answeredAt.IsZero():
		return false
	case closeState.dropped:
		return sinceAnswer >= unsentTimeout || !hasUnsentBytes(connection)
	case sinceAnswer < callerCloseTimeout:
		return false
	}
	closeState.drainedSweeps++
	if hasUnsentBytes(connection) {
		closeState.drainedSweeps = 0
	}
	return sinceAnswer >= unsentTimeout || closeState.drainedSweeps >= minDrainedSweeps
}

// hasUnsentBytes reports whether the kernel's send buffer holds bytes that the
// peer has not acknowledged. It returns true if the socket cannot be queried;
// unsentTimeout still limits the wait.
func hasUnsentBytes(connection *nbio.Conn) bool {
	rawConnection, err := connection.SyscallConn()
	if err != nil {
		return true
	}
	unsentBytes, ioctlErr := 0, error(nil)
	err = rawConnection.Control(func(descriptor uintptr) {
		unsentBytes, ioctlErr = unix.IoctlGetInt(int(descriptor), syscall.TIOCOUTQ)
	})
	return err != nil || ioctlErr != nil || unsentBytes > 0
}
