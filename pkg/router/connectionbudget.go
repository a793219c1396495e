package router

// Connections that make no progress.
//
// All servers of a process share its descriptors. While they have more connections than
// the budget allows, those that make no progress are closed, the longest without progress
// first. A connection is never closed because of the size of its request.

import (
	"net"
	"slices"
	"sync/atomic"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// headTimeout is the time in which a request's header must arrive, from the opening of
	// the connection or the first byte, and the time in which a body must go on. Callers
	// send a header within 3 s; the rest is for retransmissions.
	headTimeout = 5 * time.Second
	// reuseTimeout is how long a connection may be idle after an answer. Callers reuse
	// connections that were idle for up to 12 s.
	reuseTimeout = 15 * time.Second
	// surplusAcceptPause is the pause before each accept while there are more connections
	// than the budget allows. It limits those that are accepted between two sweeps; the
	// others wait in the kernel, where they need no descriptors.
	surplusAcceptPause = time.Millisecond
)

// EvictedIdle means that the connection made no progress while descriptors were short.
const EvictedIdle EvictionReason = "idle"

// ConnectionBudget limits the connections of several servers together.
type ConnectionBudget struct {
	max  int64
	open atomic.Int64
}

// NewConnectionBudget returns a budget of max connections.
func NewConnectionBudget(max int) *ConnectionBudget { return &ConnectionBudget{max: int64(max)} }

// excess returns how many connections are open above the budget; negative if there is
// room, and without a budget.
func (connectionBudget *ConnectionBudget) excess() int64 {
	if connectionBudget == nil {
		return -1
	}
	return connectionBudget.open.Load() - connectionBudget.max
}

func (connectionBudget *ConnectionBudget) add(count int64) {
	if connectionBudget != nil {
		connectionBudget.open.Add(count)
	}
}

// pacedListener calls beforeAccept, unless it is nil, before each accept.
type pacedListener struct {
	net.Listener
	beforeAccept func()
}

// Accept returns the next connection.
func (pacedListener pacedListener) Accept() (net.Conn, error) {
	if pacedListener.beforeAccept != nil {
		pacedListener.beforeAccept()
	}
	return pacedListener.Listener.Accept()
}

// paceAccept delays an accept while connections are above the budget.
func (connectionBudget *ConnectionBudget) paceAccept() {
	switch excess := connectionBudget.excess(); {
	case excess > MaxSurplusConnections:
		time.Sleep(sweepInterval)
	case excess > 0:
		time.Sleep(surplusAcceptPause)
	}
}

// errNoProgress is why a connection without progress is closed.
var errNoProgress = fault.New(fault.Config{
	Kind:    fault.Unavailable,
	Message: "the connection made no progress while descriptors were short",
	Remedy:  "send requests at once, and close connections that are idle",
})

// idleConnection is a connection that may be closed.
type idleConnection struct {
	connection *callerConnection
	// since is when it last made progress.
	since time.Time
}

// evictIdle closes connections without progress while there are more than the budget or
// MaxConnections allow.
func (server *Server) evictIdle(now time.Time) {
	excess := max(server.config.Connections.excess(), int64(server.Connections()-server.config.MaxConnections))
	if excess < 0 {
		return
	}
	idle, closing := server.idleConnections(now, excess > MaxSurplusConnections)
	for _, idleConnection := range idle[:max(0, min(len(idle), int(excess)+1-closing))] {
		idleConnection.connection.evict(EvictedIdle, errNoProgress)
	}
}

// Connections returns the number of open connections.
func (server *Server) Connections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.connections)
}

// idleConnections returns the connections that may be closed, longest without progress
// first, and how many are closing already. If there are too many, those above the limit
// that have sent nothing are among them, however old they are.
func (server *Server) idleConnections(now time.Time, tooMany bool) (idle []idleConnection, closing int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.connections {
		if connection.isEvicted() {
			closing++
			continue
		}
		since, timeout := connection.progress()
		unused := tooMany && connection.surplus && connection.bytesRead.Load() == 0
		if !connection.holdsRequests() && (unused || now.Sub(since) > timeout) {
			idle = append(idle, idleConnection{connection: connection, since: since})
		}
	}
	slices.SortFunc(idle, func(left, right idleConnection) int { return left.since.Compare(right.since) })
	return idle, closing
}

// progress returns when a connection without a running request last made progress, and
// how long it may make none.
func (callerConnection *callerConnection) progress() (since time.Time, timeout time.Duration) {
	lastRead, answered := callerConnection.lastReadAt.Load(), callerConnection.answeredAt.Load()
	state, _ := callerConnection.readState.Load().(ReadState)
	switch state {
	case ReadHeader:
		return time.Unix(0, callerConnection.begunAt.Load()), headTimeout
	case ReadBody:
		return time.Unix(0, lastRead), headTimeout
	case ReadWhole:
		return time.Unix(0, max(lastRead, answered)), reuseTimeout
	default:
		return callerConnection.openedAt, headTimeout
	}
}
