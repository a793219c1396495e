package router

// Connections of callers.
//
// nbio sends what it can at once and keeps the rest of a write, so a caller that
// doesn't read would fill the VM's memory with what its upstream sends. A
// callerConnection lies between nbhttp and nbio: before it hands over more, it waits
// until most of what it handed over has been sent. The handler waits with it, and so
// does the upstream.

import (
	"cmp"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxUnsentPerConnection limits what a connection hands over to nbio and is not yet
	// sent. minUnsentPerConnection is the limit while all connections together hold more
	// than ServerConfig.MaxUnsentBytes.
	maxUnsentPerConnection = 64 << 10
	minUnsentPerConnection = 8 << 10
)

// callerConnection is a connection of a caller, as nbhttp sees it: the parser of its
// requests and the connection to which answers are written. It runs one request at a
// time.
type callerConnection struct {
	*nbio.Conn
	parser *nbhttp.Parser
	server *Server
	// unsent is the number of bytes that were handed over to nbio and not yet sent.
	unsent atomic.Int64
	// wakeBelow is the number of unsent bytes below which wake gets a value; zero while
	// nothing waits for that.
	wakeBelow atomic.Int64
	wake      chan struct{}
	// closed is closed when the server has noticed that the connection is closed.
	closed    chan struct{}
	closeOnce sync.Once
	// active, writeDeadline and writeErr, the error of the first write that failed, belong
	// to the request that runs. They are used by the goroutine that runs it.
	active        *activeRequest
	writeDeadline time.Time
	writeErr      error
	// status is what the handler set, or zero, and sentStatus that of the status line which
	// was written, or zero before that. They belong to the request that runs, too.
	status, sentStatus int
	// headOnly is whether the request that runs is a HEAD, and headSent whether the head of
	// its answer was sent.
	headOnly, headSent bool
	// bodyFits is whether the memory for requests had room for the request.
	bodyFits bool

	// incomplete is the number of bytes read of a request that isn't complete.
	incomplete atomic.Int64
	// held are the complete requests that run or wait.
	held heldRequests
	// parts, lastRead, the size of the last read, completed, whether it completed a request,
	// completedBytes, the size of the last complete request, and refusedHead, whether a
	// header was too large, are used by the poller.
	parts                    *requestParts
	lastRead, completedBytes int64
	completed, refusedHead   bool
	// lastReadAt is the time of the last read, begunAt of the first of an incomplete request,
	// and answeredAt of the end of the last answer, in nanoseconds since 1970.
	lastReadAt, begunAt, answeredAt atomic.Int64
	// dropped is whether an incomplete request was dropped. What follows it is ignored.
	dropped atomic.Bool

	// parsed is the request that was completed last; it is used by the poller.
	parsed *http.Request
	// openedAt, use and previousUse, the use of the descriptor before this connection, or
	// nil, don't change.
	openedAt         time.Time
	use, previousUse *descriptorUse
	// surplus is whether the connection is above MaxConnections. It is guarded by the
	// server's mutex.
	surplus bool
	// bytesRead, wholeRequests, the number of requests that were read whole, answered,
	// those with a complete answer, unanswered, those without, and readState, which is a
	// ReadState, describe the connection when it ends.
	bytesRead, wholeRequests, answered, unanswered atomic.Int64
	readState                                      atomic.Value
	// deferred are reports that wait until it is known what closed the connection, and
	// ended is whether it is.
	deferredMutex sync.Mutex
	deferred      []Unanswered
	ended         bool
}

var (
	_ nbhttp.ParserCloser = (*callerConnection)(nil)
	_ net.Conn            = (*callerConnection)(nil)
)

// addConnection puts a callerConnection between nbhttp and a connection that was
// accepted, before anything is read from it.
func (server *Server) addConnection(connection *nbio.Conn) {
	setIdleTimeout(connection, server.config.MaxDeadline+idleTimeoutMargin)
	parser, ok := connection.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	httpConnection, ok := parser.Conn.(*nbhttp.Conn)
	if !ok {
		return
	}
	callerConnection := &callerConnection{
		Conn: connection, parser: parser, server: server, wake: make(chan struct{}, 1), closed: make(chan struct{}),
		openedAt: time.Now(), use: &descriptorUse{},
	}
	httpConnection.Conn = callerConnection
	callerConnection.parts = &requestParts{Processor: parser.Processor, connection: callerConnection}
	parser.Processor = callerConnection.parts
	parser.Execute = callerConnection.runRequest
	connection.SetSession(callerConnection)
	callerConnection.previousUse = server.descriptors.begin(connection.Hash(), callerConnection.use)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.connections[callerConnection] = struct{}{}
	server.config.Connections.add(1)
	if callerConnection.surplus = !server.hasRoom(); !callerConnection.surplus {
		server.regularConnections++
	}
}

// hasRoom reports whether a connection is one of those whose requests are served. The
// mutex must be held.
func (server *Server) hasRoom() bool {
	return server.regularConnections < server.config.MaxConnections && server.config.Connections.excess() <= 0
}

func (server *Server) removeConnection(callerConnection *callerConnection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, open := server.connections[callerConnection]; open {
		server.config.Connections.add(-1)
		if !callerConnection.surplus {
			server.regularConnections--
		}
	}
	delete(server.connections, callerConnection)
}

// recordSent counts bytes that the kernel took from nbio. It is called with the
// connection's lock held.
func recordSent(connection *nbio.Conn, _ []byte, count int) {
	callerConnection, ok := connection.Session().(*callerConnection)
	if !ok {
		return
	}
	callerConnection.server.unsent.Add(-int64(count))
	unsent := callerConnection.unsent.Add(-int64(count))
	if unsent < callerConnection.wakeBelow.Load() {
		select {
		case callerConnection.wake <- struct{}{}:
		default:
		}
	}
}

// CloseAndClean releases what nbhttp holds of a closed connection.
func (callerConnection *callerConnection) CloseAndClean(err error) {
	callerConnection.server.removeConnection(callerConnection)
	callerConnection.server.unsent.Add(-callerConnection.unsent.Swap(0))
	callerConnection.parser.CloseAndClean(err) // no request is completed afterwards
	callerConnection.setIncomplete(0)
}

// UnderlayerConn returns the connection as nbhttp knows it.
func (callerConnection *callerConnection) UnderlayerConn() net.Conn {
	return callerConnection.parser.UnderlayerConn()
}

// Write sends data that nbhttp has encoded, with the status that the handler set, and
// without a body if the request is a HEAD.
func (callerConnection *callerConnection) Write(data []byte) (int, error) {
	encoded := data
	if callerConnection.sentStatus == 0 {
		encoded = callerConnection.withStatusLine(encoded)
	}
	if callerConnection.headOnly {
		encoded = callerConnection.withoutBody(encoded)
	}
	if err := callerConnection.send(encoded); err != nil {
		return 0, err
	}
	return len(data), nil
}

// send hands the data over to nbio in pieces, and waits before a piece until there is
// room for it. If the caller doesn't read until the write deadline, send closes the
// connection and returns os.ErrDeadlineExceeded.
func (callerConnection *callerConnection) send(data []byte) error {
	for len(data) > 0 {
		room, err := callerConnection.awaitRoom()
		if err != nil {
			callerConnection.abandon(err)
			return err
		}
		piece := data[:min(int64(len(data)), room)]
		callerConnection.server.unsent.Add(int64(len(piece)))
		callerConnection.unsent.Add(int64(len(piece)))
		if _, err := callerConnection.Conn.Write(piece); err != nil {
			callerConnection.writeErr = err
			return err
		}
		data = data[len(piece):]
	}
	return nil
}

// awaitRoom waits until at least half of what the connection may hold is free, so that
// pieces aren't small, and returns how many bytes may be handed over.
func (callerConnection *callerConnection) awaitRoom() (int64, error) {
	for {
		limit := callerConnection.server.unsentLimit()
		if unsent := callerConnection.unsent.Load(); unsent <= limit/2 {
			return limit - unsent, nil
		}
		if err := callerConnection.awaitSent(limit / 2); err != nil {
			return 0, err
		}
	}
}

// awaitSent waits until at most maxUnsent bytes are unsent. It returns net.ErrClosed if
// the connection or the server is closed, and os.ErrDeadlineExceeded at the write
// deadline.
func (callerConnection *callerConnection) awaitSent(maxUnsent int64) error {
	callerConnection.wakeBelow.Store(maxUnsent + 1)
	defer callerConnection.wakeBelow.Store(0)
	deadline := time.NewTimer(time.Until(callerConnection.writeDeadline))
	defer deadline.Stop()
	for callerConnection.unsent.Load() > maxUnsent {
		select {
		case <-callerConnection.wake:
		case <-callerConnection.closed:
			return net.ErrClosed
		case <-callerConnection.server.stop:
			return net.ErrClosed
		case <-deadline.C:
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// reportDropped reports a request that was read whole and can't run, as the connection
// is closed.
func (callerConnection *callerConnection) reportDropped() {
	request := callerConnection.parsed
	if request == nil {
		return
	}
	copied := *request // nbhttp uses it again
	dropped := &activeRequest{connection: callerConnection, request: &copied, report: callerConnection.server.config.OnUnanswered}
	dropped.reportUnanswered(UnansweredCallerLeft)
}

// abandon closes the connection, as the caller must not take the answer for complete.
func (callerConnection *callerConnection) abandon(err error) {
	reason := UnansweredUnsent
	if closed, _ := callerConnection.IsClosed(); closed {
		reason = UnansweredCallerLeft
	}
	callerConnection.cut(err, reason)
}

// cut closes the connection and reports the request that runs, with the reason.
func (callerConnection *callerConnection) cut(err error, reason UnansweredReason) {
	callerConnection.writeErr = err
	if request := callerConnection.active; request != nil {
		request.reportUnanswered(reason)
	}
	_ = callerConnection.Close() // an error means that it is closed already
}

// noticeClosed ends the wait of a write if the connection is closed, and reports
// whether it is.
func (callerConnection *callerConnection) noticeClosed() bool {
	closed, _ := callerConnection.IsClosed()
	if closed {
		callerConnection.closeOnce.Do(func() { close(callerConnection.closed) })
	}
	return closed
}

// beginRequest registers the request that the connection runs. It reports whether the
// request may run.
func (callerConnection *callerConnection) beginRequest(request *activeRequest) bool {
	callerConnection.active, callerConnection.writeErr = request, nil
	callerConnection.status, callerConnection.sentStatus = 0, 0
	callerConnection.headOnly, callerConnection.headSent = request.request.Method == http.MethodHead, false
	callerConnection.writeDeadline = time.Now().Add(callerConnection.server.config.MaxDeadline)
	return callerConnection.server.add(request)
}

// endRequest is called when nbhttp has written the end of an answer. It waits until the
// kernel has all of it, so that the request counts as running until then.
func (callerConnection *callerConnection) endRequest() {
	request := callerConnection.active
	if request == nil {
		return
	}
	callerConnection.noticeClosed()
	if callerConnection.writeErr == nil && callerConnection.unsent.Load() > 0 {
		if err := callerConnection.awaitSent(0); err != nil {
			callerConnection.abandon(err)
		}
	}
	if callerConnection.writeErr != nil {
		request.reportUnanswered(UnansweredCallerLeft)
	}
	if !request.reported.Load() {
		callerConnection.answered.Add(1)
		callerConnection.server.config.OnAnswered(Answered{
			Request: request.request, Status: cmp.Or(callerConnection.status, http.StatusOK), SentStatus: callerConnection.sentStatus,
		})
	}
	callerConnection.active, callerConnection.headOnly = nil, false
	callerConnection.answeredAt.Store(time.Now().UnixNano())
	callerConnection.server.closer.endRequest(callerConnection.Conn, time.Now())
	callerConnection.server.remove(request)
}

// unsentLimit returns how many unsent bytes a connection may hold at present.
func (server *Server) unsentLimit() int64 {
	if server.unsent.Load() > server.config.MaxUnsentBytes {
		return minUnsentPerConnection
	}
	return maxUnsentPerConnection
}

// callerConnectionOf returns the connection of an answer of a Server, or nil.
func callerConnectionOf(writer http.ResponseWriter) *callerConnection {
	response, ok := writer.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	httpConnection, ok := response.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return nil
	}
	callerConnection, _ := httpConnection.Conn.(*callerConnection)
	return callerConnection
}
