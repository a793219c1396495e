package router

// Engines of nbio: how they are made, and where they log.

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

// httpEngine is an HTTP engine with its listener.
type httpEngine struct {
	*nbhttp.Engine
	gate *acceptGate
}

// stop ends the engine and closes its connections. nbio waits for all of them
// at its end but closes only those that it knows at the begin, so no more may be
// accepted before.
func (engine *httpEngine) stop() {
	engine.gate.shut()
	engine.Stop()
}

// acceptGate is a listener that can be shut before its engine stops.
type acceptGate struct {
	net.Listener
	// closing is closed when no more is to be accepted, idle once the last
	// connection is in the engine's hands, and closed when the engine stops.
	closing, idle, closed chan struct{}
	closeOnce             sync.Once
	idleOnce              sync.Once
}

func newAcceptGate(listener net.Listener) *acceptGate {
	return &acceptGate{
		Listener: listener, closing: make(chan struct{}), idle: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Accept returns the next connection. Once the gate is shut it returns only
// when the engine stops: the engine would call it again and again.
func (acceptGate *acceptGate) Accept() (net.Conn, error) {
	connection, err := acceptGate.Listener.Accept()
	if err == nil {
		return connection, nil
	}
	select {
	case <-acceptGate.closing:
		acceptGate.idleOnce.Do(func() { close(acceptGate.idle) })
		<-acceptGate.closed
	default:
	}
	return nil, err
}

func (acceptGate *acceptGate) shut() {
	close(acceptGate.closing)
	_ = acceptGate.Listener.Close() // it is listening, or was closed by the engine
	<-acceptGate.idle
}

// Close is what the engine calls when it stops.
func (acceptGate *acceptGate) Close() error {
	acceptGate.closeOnce.Do(func() { close(acceptGate.closed) })
	if err := acceptGate.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// startEngine starts an HTTP engine.
func startEngine(config nbhttp.Config) (*httpEngine, error) {
	var gate *acceptGate
	config.Listen = func(network, address string) (net.Listener, error) {
		listener, err := net.Listen(network, address)
		if err != nil {
			return nil, err
		}
		gate = newAcceptGate(listener)
		return gate, nil
	}
	engine := nbhttp.NewEngine(config)
	orderAcceptBeforeRead(engine)
	if err := engine.Start(); err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "cannot listen on " + config.Addrs[0] + " for " + config.Name + ": " + err.Error(),
			Remedy:  "free the address or change it in the settings",
			Cause:   err,
		})
	}
	return &httpEngine{Engine: engine, gate: gate}, nil
}

// orderAcceptBeforeRead makes the accepting of a connection happen before its
// first read in the sense of the memory model. nbio hands a connection from one
// goroutine to the other through the kernel only.
func orderAcceptBeforeRead(engine *nbhttp.Engine) {
	var accepted atomic.Uint64
	engine.OnOpen(func(net.Conn) { accepted.Add(1) })
	engine.OnReadBufferAlloc(func(connection *nbio.Conn) *[]byte {
		_ = accepted.Load()
		return engine.PollerBufferPtr(connection)
	})
}

// engineLogger passes what nbio has to say on to the process's log. nbio has
// one logger for the whole process.
type engineLogger struct {
	logger log.Logger
}

var setEngineLogger sync.Once

// logEngines makes nbio write to the logger, once for the process.
func logEngines(logger log.Logger) {
	setEngineLogger.Do(func() {
		logging.SetLogger(engineLogger{logger: log.With(logger, "event", "nbio")})
	})
}

// Debug drops the message.
func (engineLogger) Debug(string, ...any) {}

// Info passes the message on for debugging.
func (engine engineLogger) Info(format string, values ...any) {
	_ = level.Debug(engine.logger).Log("msg", fmt.Sprintf(format, values...))
}

// Warn passes the message on.
func (engine engineLogger) Warn(format string, values ...any) {
	_ = level.Warn(engine.logger).Log("msg", fmt.Sprintf(format, values...))
}

// Error passes the message on.
func (engine engineLogger) Error(format string, values ...any) {
	_ = level.Error(engine.logger).Log("msg", fmt.Sprintf(format, values...))
}
