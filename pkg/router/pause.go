package router

// Pauses of a server while the router is overloaded.
//
// During a pause, the server refuses the first request of a connection as soon as its
// header is read, and drops the rest, so that its caller uses another router. It goes on
// accepting connections: closing the listening socket would reset those that are being
// opened or wait to be accepted, with the requests that they carry.

import (
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gitlab.com/wisterialb/wisterialb/pkg/congestion"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// pausedBufferBytes is below the smallest receive buffer, which the kernel then uses:
	// a window of about a kilobyte. servedBufferBytes is the buffer after the first pause.
	pausedBufferBytes = 1
	servedBufferBytes = 256 << 10
)

// pauseRetryAfter is the Retry-After value during a pause. The pause has ended then, and
// callers that know no other router come back as spread as they came.
const pauseRetryAfter = congestion.MaxPause

// errPaused refuses a request during a pause.
var errPaused = fault.New(fault.Config{
	Kind:       fault.Unavailable,
	Message:    "this router is overloaded",
	Remedy:     anotherRouterRemedy,
	RetryAfter: pauseRetryAfter,
})

// Pause is the begin or the end of a time in which a server refuses new callers.
type Pause struct {
	// Begins is false at the end.
	Begins bool
	// Refused is the number of requests that were refused in the pause that ends.
	Refused int64
}

// pauser decides when a server pauses.
type pauser struct {
	overloaded func() bool
	onChange   func(Pause)
	pauses     congestion.Pauses
	paused     atomic.Bool
	refused    atomic.Int64
	// hasPaused is set once there was a pause.
	hasPaused atomic.Bool
}

func newPauser(overloaded func() bool, onChange func(Pause)) *pauser {
	return &pauser{overloaded: overloaded, onChange: onChange}
}

// update begins or ends a pause. It must not be called concurrently.
func (pauser *pauser) update(now time.Time) {
	paused := pauser.pauses.Update(pauser.overloaded(), now)
	if pauser.paused.Swap(paused) != paused {
		pauser.hasPaused.Store(true)
		pauser.onChange(Pause{Begins: paused, Refused: pauser.refused.Swap(0)})
	}
}

// beginOrEndPause sets the receive buffer of the connections that are opened from now on.
func (server *Server) beginOrEndPause(pause Pause) {
	size := servedBufferBytes
	if pause.Begins {
		size = pausedBufferBytes
	}
	if listener, ok := server.httpEngine.listener.Listener.(syscall.Conn); ok {
		setReceiveBuffer(listener, size)
	}
	server.config.OnPause(pause)
}

// widenWindow lets the caller of a connection that may have been opened during a pause
// send its request as fast as others.
func (callerConnection *callerConnection) widenWindow() {
	if callerConnection.server.pauser.hasPaused.Load() {
		setReceiveBuffer(callerConnection.Conn, servedBufferBytes)
	}
}

// setReceiveBuffer sets the size of a socket's receive buffer, if the kernel allows it.
// It only affects how fast a caller sends.
func setReceiveBuffer(socket syscall.Conn, size int) {
	rawConnection, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConnection.Control(func(descriptor uintptr) { // fails only if the socket is closed
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
}
