package router

// The callers' HTTP server on nbhttp.
//
// The flow: a poller of nbio reads and parses a request; a goroutine of the
// handler pool runs Server.ServeHTTP, which registers the exchange so that the
// sweeper notices a caller that has gone, and so that a shutdown can wait for
// running exchanges. The write buffer of a connection is bounded: nbio closes
// a connection whose caller reads too slowly, and the next write tells so.

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// sweepInterval is how often closed connections are looked for.
	sweepInterval = 50 * time.Millisecond
	// flushWait is how long a shutdown waits for written answers to leave.
	flushWait = 200 * time.Millisecond
	// defaultCutOffWait is for requests that each cancel their attempt at the
	// engine.
	defaultCutOffWait = 5 * time.Second
	// bodySlack is how many times the body bound is read before the
	// connection is closed, so that a body over the bound gets an answer.
	bodySlack = 8
	// keepaliveMargin is added to the longest deadline of a request, so that
	// an idle connection outlives a running request.
	keepaliveMargin = time.Minute
)

// ServerConfig describes a Server.
type ServerConfig struct {
	// Address is the IP number and port to listen on.
	Address string
	Handler http.Handler
	// MaxConnections bounds open connections.
	MaxConnections int
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// MaxWriteBytes bounds the unsent answer of one connection.
	MaxWriteBytes int
	// MaxRequests bounds requests that run at once.
	MaxRequests int
	// LongestDeadline is the longest that a request may take.
	MaxDeadline time.Duration
	// CutOffWait is how long a shutdown waits for the answers of requests that
	// it had to end; zero means 5 s.
	CancelTimeout time.Duration
}

// Server is an HTTP server for callers.
type Server struct {
	config    ServerConfig
	engine    *httpEngine
	mutex     sync.Mutex
	exchanges map[*inFlight]struct{}
	closings  *closings
	idle      chan struct{}
	stop      chan struct{}
	stopOnce  sync.Once
	swept     sync.WaitGroup
}

// inFlight is one running request and the connection it came on.
type inFlight struct {
	connection *nbio.Conn
	cancel     context.CancelCauseFunc
}

// closeAfterPanic closes the connection of a handler that panicked: no answer
// follows. nbio recovers from the panic and logs it with its stack, which is of
// no use when the handler ended an answer on purpose.
func (current *inFlight) closeAfterPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if current.connection != nil {
		_ = current.connection.Close()
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
}

// errCallerGone is the cause of the context of a request whose caller closed
// the connection.
var errCallerGone = fault.New(fault.Config{
	Kind:    fault.DeadlineExceeded,
	Message: "the caller closed the connection",
	Remedy:  "retry with the same Idempotency-Key",
	Outcome: fault.OutcomeUnknown,
})

// errCutOff is the cause of the context of a request that a shutdown ended.
var errCutOff = fault.New(fault.Config{
	Kind:    fault.Draining,
	Message: "the router's drain timeout has passed",
	Remedy:  "retry at another address with the same Idempotency-Key",
	Outcome: fault.OutcomeUnknown,
})

// NewServer starts a server.
func NewServer(config ServerConfig) (*Server, error) {
	if config.CancelTimeout <= 0 {
		config.CancelTimeout = defaultCutOffWait
	}
	server := &Server{
		config:    config,
		exchanges: make(map[*inFlight]struct{}),
		closings:  newClosings(),
		stop:      make(chan struct{}),
	}
	engine, err := startEngine(nbhttp.Config{
		Name:                    "callers",
		Network:                 "tcp",
		Addrs:                   []string{config.Address},
		Handler:                 server,
		MaxLoad:                 config.MaxConnections,
		MaxHTTPBodySize:         int(config.MaxBodyBytes) * bodySlack,
		ReadLimit:               config.MaxHeaderBytes + int(config.MaxBodyBytes)*bodySlack,
		MaxWriteBufferSize:      config.MaxWriteBytes,
		MessageHandlerPoolSize:  config.MaxRequests,
		KeepaliveTime:           config.MaxDeadline + keepaliveMargin,
		ReleaseWebsocketPayload: true,
	})
	if err != nil {
		return nil, err
	}
	server.engine = engine
	server.swept.Go(func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-server.stop:
				return
			case now := <-ticker.C:
				server.sweep()
				server.closings.sweep(now)
			}
		}
	})
	return server, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string {
	return server.engine.Addrs[0]
}

// ServeHTTP runs the handler under a context that ends when the caller goes.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	current := &inFlight{connection: connectionOf(writer), cancel: cancel}
	ambiguous := hasTwoLengths(request)
	request.Close = request.Close || ambiguous
	if !server.closings.begin(current.connection, writer, request) {
		return
	}
	server.add(current)
	defer server.remove(current)
	defer func() { server.closings.end(current.connection, time.Now()) }()
	defer current.closeAfterPanic()
	if ambiguous {
		respondError(writer, errTwoLengths)
		return
	}
	if headerBytes(request.Header) > server.config.MaxHeaderBytes {
		respondError(writer, headerTooLarge(server.config.MaxHeaderBytes))
		return
	}
	server.config.Handler.ServeHTTP(&pieceWriter{ResponseWriter: writer}, request.WithContext(ctx))
}

// Running returns how many requests are running.
func (server *Server) Running() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.exchanges)
}

// Shutdown waits until no request is running, or until ctx ends, and closes
// all connections. Requests that still run are ended first, so that their callers
// are told the outcome. It returns how many requests were cut off.
func (server *Server) Shutdown(ctx context.Context) int {
	left := server.drain(ctx)
	if left > 0 {
		server.cutOff(ctx)
	}
	server.Abort()
	return left
}

// cutOff ends the running requests and waits a bounded time for their answers.
func (server *Server) cutOff(ctx context.Context) {
	server.cancelAll()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), server.config.CancelTimeout)
	defer cancel()
	server.drain(ctx)
}

func (server *Server) cancelAll() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for current := range server.exchanges {
		current.cancel(errCutOff)
	}
}

// Abort closes all connections at once.
func (server *Server) Abort() {
	server.stopOnce.Do(func() {
		close(server.stop)
		server.swept.Wait()
		server.engine.stop()
	})
}

func (server *Server) drain(ctx context.Context) int {
	for {
		idle := server.whenIdle()
		if idle == nil {
			pause(ctx, flushWait)
			return server.Running()
		}
		select {
		case <-ctx.Done():
			return server.Running()
		case <-idle:
			pause(ctx, flushWait)
			if server.Running() == 0 {
				return 0
			}
		}
	}
}

// whenIdle returns a channel that closes when the last exchange ends, or nil
// when none runs.
func (server *Server) whenIdle() <-chan struct{} {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.exchanges) == 0 {
		return nil
	}
	if server.idle == nil {
		server.idle = make(chan struct{})
	}
	return server.idle
}

func (server *Server) add(current *inFlight) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.exchanges[current] = struct{}{}
}

func (server *Server) remove(current *inFlight) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.exchanges, current)
	if len(server.exchanges) == 0 && server.idle != nil {
		close(server.idle)
		server.idle = nil
	}
}

// sweep cancels the exchanges whose connection is closed. nbio runs its own
// close callback behind the handler of the same connection, too late for this.
func (server *Server) sweep() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for current := range server.exchanges {
		if current.connection == nil {
			continue
		}
		if closed, _ := current.connection.IsClosed(); closed {
			current.cancel(errCallerGone)
		}
	}
}

func connectionOf(writer http.ResponseWriter) *nbio.Conn {
	response, ok := writer.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	switch connection := response.Parser.Conn.(type) {
	case *nbio.Conn:
		return connection
	case *nbhttp.Conn:
		inner, _ := connection.Conn.(*nbio.Conn)
		return inner
	default:
		return nil
	}
}

// hasTwoLengths reports whether the request states its body's length in ways
// that may differ. Another reader could see a second request in its body.
func hasTwoLengths(request *http.Request) bool {
	lengths := request.Header["Content-Length"]
	return len(lengths) > 1 || len(lengths) == 1 && len(request.TransferEncoding) > 0
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
