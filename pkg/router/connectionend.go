package router

// How callers' connections end.

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// reuseWindow is the time after the end of a connection during which a new one with its
// descriptor counts as reusing it.
const reuseWindow = 100 * time.Millisecond

// EndedBy is what closed a connection.
type EndedBy string

// What can close a connection.
const (
	// EndedByCaller means that a poller saw the end of what the caller sends. An event
	// that belonged to an earlier connection with the same descriptor looks the same: see
	// ConnectionEnd.Reused.
	EndedByCaller EndedBy = "caller"
	// EndedByReset means that the caller's VM reset the connection or can't be reached.
	EndedByReset EndedBy = "reset"
	// EndedByServer means that the server closed it without an error.
	EndedByServer EndedBy = "server"
	// EndedByTimeout means that nothing was read or written for too long.
	EndedByTimeout EndedBy = "timeout"
	// EndedByLimit means that a limit was exceeded.
	EndedByLimit EndedBy = "limit"
	// EndedByError means that what was read isn't HTTP, or another error.
	EndedByError EndedBy = "error"
)

// endedBy returns what closed a connection with the error that nbio states.
func endedBy(err error) EndedBy {
	switch {
	case err == nil:
		return EndedByServer
	case errors.Is(err, io.EOF):
		return EndedByCaller
	case errors.Is(err, nbio.ErrReadTimeout), errors.Is(err, nbio.ErrWriteTimeout):
		return EndedByTimeout
	case errors.Is(err, nbio.ErrOverflow), errors.Is(err, nbhttp.ErrTooLong), fault.KindOf(err) == fault.Unavailable:
		return EndedByLimit
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return EndedByReset
	}
	return EndedByError
}

// ReadState is how much was read of a connection's last request.
type ReadState string

// Parts of a request that were read.
const (
	// ReadNothing means that nothing was read from the connection.
	ReadNothing ReadState = "nothing"
	// ReadHeader means that the header is incomplete.
	ReadHeader ReadState = "header"
	// ReadBody means that the header is complete and the body isn't.
	ReadBody ReadState = "body"
	// ReadWhole means that all requests were read whole.
	ReadWhole ReadState = "whole"
)

// ConnectionEnd describes a connection that ended or is about to.
type ConnectionEnd struct {
	// Caller is the caller's address.
	Caller string
	By     EndedBy
	// Err is the error that closed the connection, or nil.
	Err error
	// Age is the time since the connection was accepted.
	Age       time.Duration
	BytesRead int64
	// Requests counts the requests that were read whole, Answered those with a complete
	// answer.
	Requests, Answered int64
	// Read is how much was read of the last request.
	Read ReadState
	// PreviousBy is what closed the connection that had the same descriptor before; empty
	// if there was none or its end isn't known yet. DescriptorFree is the time between the
	// two connections.
	PreviousBy     EndedBy
	DescriptorFree time.Duration
	// Reused is whether the descriptor was another connection's just before.
	Reused bool
}

// LogFields returns the names and values for a log line.
func (connectionEnd ConnectionEnd) LogFields() []any {
	return []any{
		"ended_by", connectionEnd.By, "age", connectionEnd.Age, "bytes_read", connectionEnd.BytesRead, "requests", connectionEnd.Requests,
		"answered", connectionEnd.Answered, "read", connectionEnd.Read, "reused", connectionEnd.Reused,
		"previous_ended_by", connectionEnd.PreviousBy, "descriptor_free", connectionEnd.DescriptorFree,
	}
}

// ConnectionEndLabels returns the names of MetricLabels.
func ConnectionEndLabels() []string { return []string{"by", "read", "reused"} }

// MetricLabels returns what closed the connection, how much was read of its last
// request, and whether it reused a descriptor.
func (connectionEnd ConnectionEnd) MetricLabels() []string {
	return []string{string(connectionEnd.By), string(connectionEnd.Read), strconv.FormatBool(connectionEnd.Reused)}
}

// Unfinished reports whether the connection ended with an incomplete request.
func (connectionEnd ConnectionEnd) Unfinished() bool {
	return connectionEnd.Read == ReadHeader || connectionEnd.Read == ReadBody
}

func ignoreEnded(ConnectionEnd) {}

// descriptorUse is the use of a descriptor by a connection.
type descriptorUse struct {
	endedAt time.Time
	by      EndedBy
}

// descriptorUses are the last uses of descriptors by the connections of a server.
type descriptorUses struct {
	mutex sync.Mutex
	uses  map[int]*descriptorUse
}

// begin registers a use and returns the one before, or nil.
func (descriptorUses *descriptorUses) begin(descriptor int, use *descriptorUse) *descriptorUse {
	descriptorUses.mutex.Lock()
	defer descriptorUses.mutex.Unlock()
	previous := descriptorUses.uses[descriptor]
	descriptorUses.uses[descriptor] = use
	return previous
}

// finish records the end of a use.
func (descriptorUses *descriptorUses) finish(use *descriptorUse, by EndedBy) {
	descriptorUses.mutex.Lock()
	defer descriptorUses.mutex.Unlock()
	use.endedAt, use.by = time.Now(), by
}

// get returns a copy of a use.
func (descriptorUses *descriptorUses) get(use *descriptorUse) descriptorUse {
	descriptorUses.mutex.Lock()
	defer descriptorUses.mutex.Unlock()
	return *use
}

// end describes the connection's end.
func (callerConnection *callerConnection) end(by EndedBy, err error) ConnectionEnd {
	end := ConnectionEnd{
		Caller: callerConnection.RemoteAddr().String(), By: by, Err: err, Age: time.Since(callerConnection.openedAt),
		BytesRead: callerConnection.bytesRead.Load(), Requests: callerConnection.wholeRequests.Load(), Answered: callerConnection.answered.Load(),
		Read: ReadNothing,
	}
	if state, ok := callerConnection.readState.Load().(ReadState); ok {
		end.Read = state
	}
	if callerConnection.previousUse == nil {
		return end
	}
	previous := callerConnection.server.descriptors.get(callerConnection.previousUse)
	end.PreviousBy = previous.by
	if !previous.endedAt.IsZero() { // the end of a connection is recorded after its descriptor is free
		end.DescriptorFree = max(0, callerConnection.openedAt.Sub(previous.endedAt))
	}
	end.Reused = end.DescriptorFree < reuseWindow
	return end
}

// noteRead records how much was read of the last request.
func (callerConnection *callerConnection) noteRead() {
	state := ReadHeader
	switch {
	case callerConnection.refusedHead:
		state = ReadWhole // is answered without the rest
	case callerConnection.parts.headComplete:
		state = ReadBody
	case callerConnection.completed && !callerConnection.parts.begun:
		state = ReadWhole
	}
	callerConnection.readState.Store(state)
}

// deferReport keeps a report until it is known what closed the connection. It returns
// false if that is known already.
func (callerConnection *callerConnection) deferReport(unanswered Unanswered) bool {
	callerConnection.deferredMutex.Lock()
	defer callerConnection.deferredMutex.Unlock()
	if callerConnection.ended {
		return false
	}
	callerConnection.deferred = append(callerConnection.deferred, unanswered)
	return true
}

// takeDeferred returns the reports that waited for the end of the connection.
func (callerConnection *callerConnection) takeDeferred() []Unanswered {
	callerConnection.deferredMutex.Lock()
	defer callerConnection.deferredMutex.Unlock()
	callerConnection.ended = true
	deferred := callerConnection.deferred
	callerConnection.deferred = nil
	return deferred
}

// reportClosed reports a connection that was closed, and its requests without an
// answer. It is called after all requests of the connection have run.
func (server *Server) reportClosed(connection net.Conn, err error) {
	nbioConn, ok := connection.(*nbio.Conn)
	if !ok {
		return
	}
	callerConnection, ok := nbioConn.Session().(*callerConnection)
	if !ok {
		return
	}
	by := endedBy(err)
	server.descriptors.finish(callerConnection.use, by)
	end := callerConnection.end(by, err)
	for _, unanswered := range callerConnection.takeDeferred() {
		if by != EndedByCaller && by != EndedByReset {
			unanswered.Reason, unanswered.Err = UnansweredClosed, err
		}
		unanswered.Connection = end
		server.config.OnUnanswered(unanswered)
	}
	for range end.Requests - end.Answered - callerConnection.unanswered.Load() {
		server.config.OnUnanswered(Unanswered{Reason: UnansweredClosed, Caller: end.Caller, Err: err, Connection: end})
	}
	if by != EndedByCaller && by != EndedByReset && end.Unfinished() && !callerConnection.dropped.Load() {
		server.config.OnUnanswered(Unanswered{Reason: UnansweredUnread, Caller: end.Caller, Err: err, Connection: end})
	}
	server.config.OnEnded(end)
}
