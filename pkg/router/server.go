package router

// The HTTP server for callers, based on nbhttp.
//
// An nbio poller reads and parses a request, and a goroutine of its connection runs
// Server.ServeHTTP. It registers the request, so that the sweeper can cancel it when
// its caller disconnects and a shutdown can wait for it. nbio's own pool of handlers
// isn't used: it lets requests wait when it is full, and has fewer handlers after
// that. Writes of a handler wait while its caller reads more slowly than it writes
// (callerConnection).

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// sweepInterval is the interval between checks for closed connections.
	sweepInterval = 50 * time.Millisecond
	// flushDelay is how long a shutdown waits for further requests.
	flushDelay = 200 * time.Millisecond
	// arrivalCheckInterval is the interval between checks of a shutdown for answers that
	// have not arrived.
	arrivalCheckInterval = 20 * time.Millisecond
	// defaultCancelTimeout leaves time for the cancelled requests to cancel their
	// attempts at the engines.
	defaultCancelTimeout = 5 * time.Second
	// bodyReadFactor is the multiple of MaxBodyBytes up to which a body is read
	// before nbhttp closes the connection, so that a caller whose body is too large
	// gets an error answer.
	bodyReadFactor = 8
	// MaxSurplusConnections is how many connections above MaxConnections are open at a time
	// to refuse their requests.
	MaxSurplusConnections = 256
	// overloadRetryAfter is the Retry-After value while the server runs as many requests
	// as it may.
	overloadRetryAfter = 500 * time.Millisecond
	// idleTimeoutMargin is added to MaxDeadline to get the idle timeout, so that a
	// connection is not closed as idle while its request is running.
	idleTimeoutMargin = time.Minute
)

// ServerConfig describes a Server.
type ServerConfig struct {
	// Address is the IP address and port to listen on.
	Address string
	Handler http.Handler
	// MaxConnections limits the open connections. Requests on further ones are refused.
	MaxConnections int
	// Connections limits the open connections of several servers together; nil doesn't.
	Connections *ConnectionBudget
	// MaxBodyBytes limits a request's body.
	MaxBodyBytes int64
	// MaxHeaderBytes limits a request's header.
	MaxHeaderBytes int
	// MaxUnsentBytes is the answer data that all connections together may hold unsent
	// before each is limited to a minimum.
	MaxUnsentBytes int64
	// MaxRequestBytes limits what is read of the requests of all connections; zero means
	// no limit.
	MaxRequestBytes int64
	// MaxRequests limits the concurrent requests. A further request is refused at once.
	MaxRequests int
	// MaxReadAhead limits the requests that a connection has read whole behind the one that
	// runs; zero means DefaultReadAhead. The connection is closed at a further one.
	MaxReadAhead int
	// Refuse answers a request that the server itself refuses; nil means an answer in
	// the callers' protocol.
	Refuse func(writer http.ResponseWriter, request *http.Request, err error)
	// MaxDeadline is the maximum time that a request may take. Handlers set an earlier
	// deadline for the writing of an answer with http.ResponseController.
	MaxDeadline time.Duration
	// Overloaded reports whether callers should use other routers: the server then
	// pauses accepting connections, and closes open ones after their next answer. Nil
	// means never.
	Overloaded func() bool
	// CancelTimeout is how long a shutdown waits for the answers of requests that
	// it cancelled; zero means 5 s.
	CancelTimeout time.Duration
	// OnAnswered receives requests that got a complete answer; nil ignores them. It must
	// not block.
	OnAnswered func(Answered)
	// OnUnanswered receives requests that got no complete answer; nil ignores them. It
	// must not block.
	OnUnanswered func(Unanswered)
	// OnEnded receives each connection that has ended; nil ignores them. It must not
	// block.
	OnEnded func(ConnectionEnd)
	// OnEvicted receives each connection that is closed because its caller is outside the
	// limits; nil ignores them. It must not block.
	OnEvicted func(Eviction)
}

// Server is an HTTP server for callers.
type Server struct {
	config     ServerConfig
	httpEngine *httpEngine
	mutex      sync.Mutex
	requests   map[*activeRequest]struct{}
	// connections are the open connections.
	connections map[*callerConnection]struct{}
	// regularConnections counts those that aren't above MaxConnections.
	regularConnections int
	// descriptors are the last uses of the connections' descriptors.
	descriptors descriptorUses
	closer      *connectionCloser
	// unsent is the number of bytes that all connections hold unsent.
	unsent atomic.Int64
	// requestBytes is the size of the requests that all connections hold.
	requestBytes atomic.Int64
	// closingBytes is the part of requestBytes that is held by connections which evict closed.
	closingBytes atomic.Int64
	// idle is closed when the last request ends; nil while nothing waits for that.
	idle     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	sweeper  sync.WaitGroup
}

// NewServer creates and starts a server. It returns fault.Unavailable if the server
// cannot listen on the address.
func NewServer(config ServerConfig) (*Server, error) {
	if config.CancelTimeout <= 0 {
		config.CancelTimeout = defaultCancelTimeout
	}
	server := &Server{
		config:   config,
		requests: make(map[*activeRequest]struct{}), connections: make(map[*callerConnection]struct{}),
		descriptors: descriptorUses{uses: make(map[int]*descriptorUse)},
		closer:      newConnectionCloser(),
		stop:        make(chan struct{}),
	}
	if server.config.Overloaded == nil {
		server.config.Overloaded = neverOverloaded
	}
	if server.config.MaxRequestBytes <= 0 {
		server.config.MaxRequestBytes = math.MaxInt64
	}
	if server.config.Refuse == nil {
		server.config.Refuse = func(writer http.ResponseWriter, _ *http.Request, err error) { respondError(writer, err) }
	}
	if server.config.OnAnswered == nil {
		server.config.OnAnswered = ignoreAnswered
	}
	if server.config.OnUnanswered == nil {
		server.config.OnUnanswered = ignoreUnanswered
	}
	if server.config.OnEnded == nil {
		server.config.OnEnded = ignoreEnded
	}
	if server.config.OnEvicted == nil {
		server.config.OnEvicted = ignoreEvicted
	}
	if server.config.MaxReadAhead <= 0 {
		server.config.MaxReadAhead = DefaultReadAhead
	}
	httpEngine, err := startHTTPEngine(nbhttp.Config{
		Name:                    "callers",
		Network:                 "tcp",
		Addrs:                   []string{config.Address},
		Handler:                 server,
		OnRequest:               noteParsed,
		MaxLoad:                 config.MaxConnections + MaxSurplusConnections,
		MaxHTTPBodySize:         int(config.MaxBodyBytes) * bodyReadFactor,
		ReadLimit:               config.MaxHeaderBytes + int(config.MaxBodyBytes)*bodyReadFactor,
		MaxWriteBufferSize:      2 * maxUnsentPerConnection,    // not reached, as writes wait before
		ServerExecutor:          func(run func()) { go run() }, // nbio recovers from panics of run
		KeepaliveTime:           config.MaxDeadline + idleTimeoutMargin,
		ReleaseWebsocketPayload: true,
	}, server.config.Overloaded, engineCallbacks{
		onOpen: server.addConnection, onSent: recordSent, onClose: server.reportClosed, beforeAccept: config.Connections.paceAccept,
	})
	if err != nil {
		return nil, err
	}
	server.httpEngine = httpEngine
	server.sweeper.Go(func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-server.stop:
				return
			case now := <-ticker.C:
				server.cancelDisconnected()
				server.closer.sweep(now)
				server.evictIdle(now)
			}
		}
	})
	return server, nil
}

// noteParsed records a request before it runs.
func noteParsed(writer http.ResponseWriter, request *http.Request) {
	if connection := callerConnectionOf(writer); connection != nil {
		connection.parsed = request
	}
}

func neverOverloaded() bool { return false }

// Address returns the address that the server listens on.
func (server *Server) Address() string {
	return server.httpEngine.Addrs[0]
}

// ServeHTTP runs the handler with a context that is cancelled when the caller
// disconnects.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	connection := callerConnectionOf(writer)
	activeRequest := &activeRequest{
		connection: connection, request: request.WithContext(ctx), cancel: cancel, report: server.config.OnUnanswered,
	}
	if connection.noticeClosed() { // what waited behind an answer that wasn't read
		activeRequest.reportUnanswered(UnansweredCallerLeft)
		return
	}
	ambiguous := hasAmbiguousLength(request)
	surplus := server.isSurplus(connection)
	request.Close = request.Close || ambiguous || surplus || server.config.Overloaded()
	if !server.closer.beginRequest(connection.Conn, writer, request) {
		activeRequest.reportUnanswered(UnansweredClosing)
		return
	}
	fits := connection.beginRequest(activeRequest)
	defer activeRequest.closeAfterPanic(ctx)
	err := server.check(request, ambiguous, fits, connection.bodyFits)
	if surplus {
		err = errTooManyConnections
	}
	answer := &flushingWriter{ResponseWriter: writer, connection: connection, withoutChunks: !request.ProtoAtLeast(1, 1)}
	if err != nil {
		server.config.Refuse(answer, request, err)
		return
	}
	server.config.Handler.ServeHTTP(answer, activeRequest.request)
}

// isSurplus reports whether a connection is above MaxConnections. One that was is not if
// there is room by now.
func (server *Server) isSurplus(connection *callerConnection) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if connection.surplus && server.hasRoom() {
		connection.surplus = false
		server.regularConnections++
	}
	return connection.surplus
}

// check returns why the server refuses a request, or nil.
func (server *Server) check(request *http.Request, ambiguous, fits, bodyFits bool) error {
	switch {
	case ambiguous:
		return errAmbiguousLength
	case headerBytes(request.Header) > server.config.MaxHeaderBytes:
		return headerTooLarge(server.config.MaxHeaderBytes)
	case !bodyFits:
		return errRequestsTooLarge
	case !fits:
		return errTooManyRequests
	default:
		return nil
	}
}

// Running returns the number of running requests.
func (server *Server) Running() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.requests)
}

// Shutdown waits until no request is running or ctx ends, and closes all
// connections. Requests that are still running are cancelled first, so that their
// callers get an answer with the outcome. It returns the number of cancelled
// requests.
func (server *Server) Shutdown(ctx context.Context) int {
	remaining := server.drain(ctx)
	if remaining > 0 {
		server.cancelAndDrain(ctx)
	}
	server.Abort()
	return remaining
}

// cancelAndDrain cancels the running requests and waits up to CancelTimeout for
// their answers.
func (server *Server) cancelAndDrain(ctx context.Context) {
	server.cancelAll()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), server.config.CancelTimeout)
	defer cancel()
	server.drain(ctx)
}

// reportStopped reports the requests that run when the server stops.
func (server *Server) reportStopped() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for activeRequest := range server.requests {
		activeRequest.reportUnanswered(UnansweredStopped)
	}
}

func (server *Server) cancelAll() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for activeRequest := range server.requests {
		activeRequest.cancel(errDrainTimeout)
	}
}

// Abort closes all connections immediately.
func (server *Server) Abort() {
	server.stopOnce.Do(func() {
		server.reportStopped()
		close(server.stop)
		server.sweeper.Wait()
		server.httpEngine.stop()
	})
}

// drain waits until no request is running and all answers have arrived, or ctx ends, and
// returns the number of requests that are still running.
func (server *Server) drain(ctx context.Context) int {
	for {
		if idle := server.whenIdle(); idle != nil {
			select {
			case <-ctx.Done():
				return server.Running()
			case <-idle:
			}
		}
		sleep(ctx, flushDelay)
		server.awaitArrival(ctx)
		if running := server.Running(); running == 0 || ctx.Err() != nil {
			return running
		}
	}
}

// awaitArrival waits until the callers' VMs have received what was sent. If a connection
// is closed before that and the caller sends something, the rest is lost. It gives up
// after unsentTimeout.
func (server *Server) awaitArrival(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unsentTimeout)
	defer cancel()
	for ctx.Err() == nil && server.hasUnsentBytes() {
		sleep(ctx, arrivalCheckInterval)
	}
}

// hasUnsentBytes reports whether the kernel holds bytes that a caller's VM has not
// received.
func (server *Server) hasUnsentBytes() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.connections {
		if !connection.noticeClosed() && hasUnsentBytes(connection.Conn) {
			return true
		}
	}
	return false
}

// whenIdle returns a channel that is closed when the last request ends, or nil if
// none is running.
func (server *Server) whenIdle() <-chan struct{} {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.requests) == 0 {
		return nil
	}
	if server.idle == nil {
		server.idle = make(chan struct{})
	}
	return server.idle
}

// add registers a request. It reports whether the request may run; one that is refused
// counts as running until its answer is written.
func (server *Server) add(activeRequest *activeRequest) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	fits := len(server.requests) < server.config.MaxRequests
	server.requests[activeRequest] = struct{}{}
	return fits
}

func (server *Server) remove(activeRequest *activeRequest) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.requests, activeRequest)
	if len(server.requests) == 0 && server.idle != nil {
		close(server.idle)
		server.idle = nil
	}
}

// cancelDisconnected cancels the requests whose connection is closed. The close
// callback of nbio cannot be used, as it runs only after the connection's handler
// has returned.
func (server *Server) cancelDisconnected() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for activeRequest := range server.requests {
		if activeRequest.connection.noticeClosed() {
			activeRequest.cancel(errCallerDisconnected)
		}
	}
}

func nbioConnection(writer http.ResponseWriter) *nbio.Conn {
	response, ok := writer.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	switch connection := response.Parser.Conn.(type) {
	case *nbio.Conn:
		return connection
	case *nbhttp.Conn:
		nbioConn, _ := connection.Conn.(*nbio.Conn)
		return nbioConn
	default:
		return nil
	}
}

// hasAmbiguousLength reports whether the request states its body's length more than
// once. Another HTTP parser could read a second request from the body (request
// smuggling).
func hasAmbiguousLength(request *http.Request) bool {
	lengths := request.Header[headerContentLength]
	return len(lengths) > 1 || len(lengths) == 1 && len(request.TransferEncoding) > 0
}

func headerBytes(header http.Header) int {
	byteCount := 0
	for name, values := range header {
		for _, value := range values {
			byteCount += len(name) + len(value)
		}
	}
	return byteCount
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
