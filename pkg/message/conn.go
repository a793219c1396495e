package message

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// outcomeTimeout limits how long the end of a connection waits for the outcome of what
	// was written, and outcomeInterval is the time between two looks at it.
	outcomeTimeout  = 50 * time.Millisecond
	outcomeInterval = time.Millisecond
)

// Conn is a client's connection whose end can be relied on to be that of a response. The
// kernel reports a reset to one system call only. If that is a write, the reads behind it
// see a connection that ends in good order, and a response without a length seems whole.
// The same holds if the peer's socket is closed before the rest of the request arrives.
// Conn returns the error of the write in place of that end.
type Conn struct {
	net.Conn
	// writes is the number of writes that are running.
	writes atomic.Int64
	// unwritten is set while more of a request is to be written.
	unwritten atomic.Bool
	// requestEndedAt is when unwritten was last cleared, as a time.Duration since openedAt:
	// the clock of the day may jump.
	requestEndedAt atomic.Int64
	openedAt       time.Time
	// answered is set once data has been read since the request began.
	answered atomic.Bool
	// writeErr is the error of the first write that failed.
	writeErr atomic.Pointer[error]
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, openedAt: time.Now()}
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// DialConn returns a function that opens a Conn with dial.
func DialConn(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// traceRequest returns a context in which net/http tells a Conn when a request begins and
// when it has been written.
func traceRequest(ctx context.Context) context.Context {
	var assigned atomic.Pointer[Conn]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				conn.BeginRequest()
				assigned.Store(conn)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if conn := assigned.Load(); conn != nil {
				conn.EndRequest()
			}
		},
	})
}

// BeginRequest states that a request is to be written.
func (conn *Conn) BeginRequest() {
	conn.answered.Store(false)
	conn.unwritten.Store(true)
}

// EndRequest states that the request has been written, except for what net/http still
// has in its buffer and writes next.
func (conn *Conn) EndRequest() {
	conn.requestEndedAt.Store(int64(time.Since(conn.openedAt)))
	conn.unwritten.Store(false)
}

// Write writes data.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writes.Add(1)
	defer conn.writes.Add(-1)
	count, err := conn.Conn.Write(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.writeErr.CompareAndSwap(nil, &err)
	}
	return count, err
}

// Read reads data. At the end of the connection, it returns the error of a failed write
// instead of io.EOF. It doesn't wait for that if no response has begun.
func (conn *Conn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	if count > 0 {
		conn.answered.Store(true)
	}
	if errors.Is(err, io.EOF) && conn.answered.Load() {
		if writeErr := conn.awaitWrites(); writeErr != nil {
			err = fmt.Errorf("the connection broke while the request was being sent: %w", writeErr)
		}
	}
	return count, err
}

// awaitWrites waits until the peer has acknowledged the request, or has reset the
// connection: a peer that closes its socket ends the connection, and resets it when more of
// the request arrives. If neither has happened after outcomeTimeout, the peer has ended
// its response in good order, and a write that it doesn't read is cut off. A reset behind
// the end of a response whose request has arrived takes nothing from it.
func (conn *Conn) awaitWrites() error {
	for deadline := time.Now().Add(outcomeTimeout); time.Now().Before(deadline); time.Sleep(outcomeInterval) {
		if err := conn.writeError(); err != nil {
			return err
		}
		if conn.unacknowledgedBytes() > 0 {
			if err := conn.resetError(); err != nil {
				return err
			}
		} else if !conn.isWriting() {
			break
		}
	}
	for conn.writes.Load() > 0 {
		_ = conn.SetWriteDeadline(time.Now())
		time.Sleep(outcomeInterval)
	}
	return conn.writeError()
}

// isWriting reports whether a write of the request is running or may follow, which fails
// if the connection was reset. After EndRequest, net/http may be about to write its
// buffer.
func (conn *Conn) isWriting() bool {
	return conn.unwritten.Load() || conn.writes.Load() > 0 ||
		time.Since(conn.openedAt)-time.Duration(conn.requestEndedAt.Load()) < outcomeInterval
}

// writeError returns the error of the first write that failed, or nil.
func (conn *Conn) writeError() error {
	if err := conn.writeErr.Load(); err != nil {
		return *err
	}
	return nil
}

// resetError returns the error that the kernel has not reported yet, or nil.
func (conn *Conn) resetError() error {
	code, err := conn.control(func(descriptor int) (int, error) {
		return unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_ERROR)
	})
	if err == nil && code != 0 {
		return syscall.Errno(code)
	}
	return nil
}

// unacknowledgedBytes returns how much of what was written the peer has not acknowledged,
// or zero if that isn't known.
func (conn *Conn) unacknowledgedBytes() int {
	bytes, err := conn.control(func(descriptor int) (int, error) { return unix.IoctlGetInt(descriptor, unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return bytes
}

// control calls a function with the descriptor of the socket.
func (conn *Conn) control(call func(descriptor int) (int, error)) (int, error) {
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var result int
	var callErr error
	err = rawConn.Control(func(descriptor uintptr) { result, callErr = call(int(descriptor)) })
	return result, errors.Join(err, callErr)
}

// SetLinger sets what closing the connection does with data that was not sent, like
// net.TCPConn.SetLinger. It has no effect on other connections than those of TCP.
func (conn *Conn) SetLinger(seconds int) error {
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(seconds)
}
