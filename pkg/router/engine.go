package router

// Engines of nbio: how they are made, and where they log.

import (
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

// startEngine starts an HTTP engine.
func startEngine(config nbhttp.Config) (*nbhttp.Engine, error) {
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
	return engine, nil
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
