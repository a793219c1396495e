package router

// Starting and stopping of HTTP engines of nbio (HTTP servers, not model engines),
// and their logging.

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// httpEngine is an nbio HTTP engine with its listener.
type httpEngine struct {
	*nbhttp.Engine
	listener     *stoppableListener
	engineRounds []*pollerRounds
}

// stop stops the engine and closes its connections. Engine.Stop closes only the
// connections that are open when it is called, but waits for all connections to
// close. The listener must therefore stop accepting first.
func (engine *httpEngine) stop() {
	engine.listener.stopAccepting()
	engine.Stop()
	closeRounds(engine.engineRounds)
}

// stoppableListener is a listener that can stop accepting before its engine
// stops.
type stoppableListener struct {
	net.Listener
	// stopping is closed when the listener is to stop accepting connections, drained
	// when the engine has received the last accepted connection, and engineStopped
	// when the engine stops.
	stopping, drained, engineStopped chan struct{}
	engineStoppedOnce                sync.Once
	drainedOnce                      sync.Once
}

func newStoppableListener(listener net.Listener) *stoppableListener {
	return &stoppableListener{
		Listener: listener, stopping: make(chan struct{}), drained: make(chan struct{}), engineStopped: make(chan struct{}),
	}
}

// Accept returns the next connection. After stopAccepting it blocks until the
// engine stops, as the engine would otherwise retry in a busy loop.
func (stoppableListener *stoppableListener) Accept() (net.Conn, error) {
	connection, err := stoppableListener.Listener.Accept()
	if err == nil {
		return connection, nil
	}
	select {
	case <-stoppableListener.stopping:
		stoppableListener.drainedOnce.Do(func() { close(stoppableListener.drained) })
		<-stoppableListener.engineStopped
	default:
	}
	return nil, err
}

// stopAccepting closes the listener and waits until the engine has received all
// accepted connections. It must be called at most once.
func (stoppableListener *stoppableListener) stopAccepting() {
	close(stoppableListener.stopping)
	_ = stoppableListener.Listener.Close() // fails only if the engine has closed it already
	<-stoppableListener.drained
}

// Close closes the listener; the engine calls it when it stops. Closing a closed
// listener is not an error.
func (stoppableListener *stoppableListener) Close() error {
	stoppableListener.engineStoppedOnce.Do(func() { close(stoppableListener.engineStopped) })
	if err := stoppableListener.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// engineCallbacks are called by an HTTP engine. Nil ones are not.
type engineCallbacks struct {
	// onOpen gets each accepted connection before anything is read from it.
	onOpen func(*nbio.Conn)
	// onSent gets the bytes that the kernel took, with the connection's lock held.
	onSent func(connection *nbio.Conn, data []byte, count int)
	// onClose gets each closed connection, with the error that closed it.
	onClose func(net.Conn, error)
	// beforeAccept is called before each connection is accepted.
	beforeAccept func()
}

// startHTTPEngine starts an HTTP engine. It pauses accepting connections while
// overloaded returns true. It returns fault.Unavailable if the engine cannot listen on
// its address, or cannot start.
func startHTTPEngine(config nbhttp.Config, overloaded func() bool, callbacks engineCallbacks) (*httpEngine, error) {
	setAllocator()
	listener, err := listen(config.Network, config.Addrs[0], overloaded)
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "cannot listen on " + config.Addrs[0] + " for " + config.Name + ": " + err.Error(),
			Remedy:  "free the address or change it in the settings",
			Cause:   err,
		})
	}
	maxHeld := maxHeldConnections
	if config.MaxLoad > 0 {
		maxHeld = min(maxHeld, config.MaxLoad)
	}
	roundListener := newRoundListener(pacedListener{Listener: listener, beforeAccept: callbacks.beforeAccept}, maxHeld)
	stoppable := newStoppableListener(roundListener)
	config.Listen = func(string, string) (net.Listener, error) { return stoppable, nil }
	engine := nbhttp.NewEngine(config)
	synchronizeAcceptAndRead(engine, callbacks.onOpen)
	if callbacks.onSent != nil {
		engine.OnWrittenSize(callbacks.onSent)
	}
	if callbacks.onClose != nil {
		engine.OnClose(callbacks.onClose)
	}
	if err := engine.Start(); err != nil {
		roundListener.start(nil)
		_ = stoppable.Close() // nothing was handed over
		return nil, notStarted(config.Name, err)
	}
	engineRounds, err := newEngineRounds(engine.Engine)
	roundListener.start(engineRounds)
	if err != nil {
		stoppable.stopAccepting() // stopping the engine, too, could block
		return nil, notStarted(config.Name, err)
	}
	return &httpEngine{Engine: engine, listener: stoppable, engineRounds: engineRounds}, nil
}

func notStarted(name string, err error) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "cannot start the server for " + name + ": " + err.Error(),
		Remedy:  "raise the limit of open files, or end other processes",
		Cause:   err,
	})
}

// synchronizeAcceptAndRead orders the accepting of a connection before its first
// read, in the sense of the Go memory model. nbio passes a connection between the two
// goroutines only through the kernel, which the memory model does not cover. onOpen is
// called first; nil is not called.
func synchronizeAcceptAndRead(engine *nbhttp.Engine, onOpen func(*nbio.Conn)) {
	var accepted atomic.Uint64
	engine.Engine.OnOpen(func(connection *nbio.Conn) {
		if onOpen != nil {
			onOpen(connection)
		}
		accepted.Add(1)
	})
	engine.OnReadBufferAlloc(func(connection *nbio.Conn) *[]byte {
		_ = accepted.Load()
		return engine.PollerBufferPtr(connection)
	})
}

// nbioLogger forwards the log messages of nbio to the router's logger.
type nbioLogger struct {
	logger log.Logger
}

var nbioLoggerOnce sync.Once

// setNbioLogger sets the logger of nbio. nbio has a single logger per process, so only
// the first call has an effect.
func setNbioLogger(logger log.Logger) {
	nbioLoggerOnce.Do(func() {
		logging.SetLogger(nbioLogger{logger: log.With(logger, "event", "nbio")})
	})
}

// Debug discards the message.
func (nbioLogger) Debug(string, ...any) {}

// Info logs the message at level debug.
func (nbioLogger nbioLogger) Info(format string, values ...any) {
	_ = level.Debug(nbioLogger.logger).Log("msg", fmt.Sprintf(format, values...))
}

// Warn logs the message at level warn.
func (nbioLogger nbioLogger) Warn(format string, values ...any) {
	_ = level.Warn(nbioLogger.logger).Log("msg", fmt.Sprintf(format, values...))
}

// Error logs the message at level error.
func (nbioLogger nbioLogger) Error(format string, values ...any) {
	_ = level.Error(nbioLogger.logger).Log("msg", fmt.Sprintf(format, values...))
}
