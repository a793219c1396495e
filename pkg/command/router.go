package command

import (
	"context"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/router"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// RouterCommand runs one router until SIGINT or SIGTERM. It goes on after a SIGHUP.
type RouterCommand struct {
	Config string `help:"Settings file of the router." required:"" placeholder:"FILE"`
}

// Run runs the router and shuts it down gracefully when the context ends. Its error
// is fault.DeadlineExceeded, with an unknown outcome, if the drain timeout cancelled
// requests.
func (routerCommand RouterCommand) Run(environment Environment) error {
	routerSettings, err := settings.Load(routerCommand.Config)
	if err != nil {
		return usageError{cause: err}
	}
	debug.SetMemoryLimit(memory.NewPlan(routerSettings.Bounds.MemoryBytes).Runtime)
	logger := log.NewLogfmtLogger(log.NewSyncWriter(environment.ErrOut))
	instance, err := router.New(router.Config{
		Settings: routerSettings,
		Platform: platform.Dial(platform.ClientConfig{
			Address: routerSettings.Platform.Address,
			Timeout: routerSettings.Platform.Timeout,
			Name:    routerSettings.CallerAddress,
		}),
		Logger: logger,
	})
	if err != nil {
		return err
	}
	awaitEnd(environment, logger)
	cancelledRequests, err := instance.Shutdown(context.WithoutCancel(environment.Context))
	if err != nil {
		return err
	}
	if cancelledRequests > 0 {
		_ = level.Error(logger).Log("event", "requests_cut_off", "requests", cancelledRequests)
		return fault.New(fault.Config{
			Kind:    fault.DeadlineExceeded,
			Message: "the drain timeout ended before all requests did",
			Remedy:  "raise drain_timeout",
			Outcome: fault.OutcomeUnknown,
		})
	}
	return nil
}

// awaitEnd waits until the context ends. It logs SIGHUPs, which other programs take as
// an order to read their settings again.
func awaitEnd(environment Environment, logger log.Logger) {
	for {
		select {
		case <-environment.Hangups:
			_ = level.Warn(logger).Log("event", "hangup_ignored", "remedy", "restart the router to use changed settings")
		case <-environment.Context.Done():
			return
		}
	}
}
