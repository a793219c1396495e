package command

import (
	"runtime/debug"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/logbook"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/platform"
)

// logFlushTimeout limits how long the shutdown waits for queued log lines.
const logFlushTimeout = 200 * time.Millisecond

// sampledEvents are logged for each request or attempt, so the logger limits
// their lines per second.
var sampledEvents = []string{
	"request_ended", "request_refused", "request_unanswered", "attempt_ended", "upstream_silent", "upstream_paused",
	"connection_ended", "budget_short", "routers_listed", "upstream_crashed", "answers_given_up", "upstream_cold",
	"upstream_warm", "client_evicted", "unusual_status",
}

// EdgeCommand runs one router on the users' platform until SIGINT or SIGTERM.
// SIGHUP reloads the settings file.
type EdgeCommand struct {
	Settings string `help:"Settings file of the platform. Default: the path in ${settings_variable}." placeholder:"FILE"`
}

// Run runs the router and shuts it down gracefully when the context ends. Missing
// or invalid settings are a usage error.
func (edgeCommand EdgeCommand) Run(environment Environment) error {
	startedAt := time.Now()
	path := edgeCommand.Settings
	if path == "" {
		path = environment.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usageError{cause: fault.New(fault.Config{
			Kind: fault.Invalid, Message: "no settings file is given",
			Remedy: "give --settings or set " + platform.SettingsVariable,
		})}
	}
	settings, err := platform.Load(path)
	if err != nil {
		return usageError{cause: err}
	}
	debug.SetMemoryLimit(memory.NewPlan(settings.MemoryBytes).Runtime)
	asyncLogger := logbook.New(logbook.Config{Writer: environment.Out, SampledEvents: sampledEvents})
	defer asyncLogger.Close(logFlushTimeout)
	logger := log.With(asyncLogger, "node", settings.Node)
	node, err := platform.Start(platform.Config{Settings: settings, Logger: logger, Started: startedAt})
	if err != nil {
		return err
	}
	for {
		select {
		case <-environment.Hangups:
			if err := node.Reload(path); err != nil {
				continue // the router has logged the error and keeps its current settings
			}
		case <-environment.Context.Done():
			node.Shutdown()
			return nil
		}
	}
}
