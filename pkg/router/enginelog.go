package router

import (
	"fmt"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio/logging"
)

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
