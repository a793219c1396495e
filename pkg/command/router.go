package command

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/router"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// RouterCommand runs one router until it is told to stop.
type RouterCommand struct {
	Config string `help:"Settings file of the router." required:"" placeholder:"FILE"`
}

// Run runs the command. It ends with the graceful shutdown of the router.
func (routerCommand RouterCommand) Run(environment Environment) error {
	loaded, err := settings.Load(routerCommand.Config)
	if err != nil {
		return usageError{cause: err}
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(environment.ErrOut))
	running, err := router.New(router.Config{
		Settings: loaded,
		Platform: platform.Dial(platform.ClientConfig{
			Address: loaded.Platform.Address,
			Timeout: loaded.Platform.Timeout,
			Name:    loaded.CallerAddress,
		}),
		Logger: logger,
	})
	if err != nil {
		return err
	}
	<-environment.Context.Done()
	cut, err := running.Shutdown(context.WithoutCancel(environment.Context))
	if err != nil {
		return err
	}
	if cut > 0 {
		_ = level.Error(logger).Log("event", "requests_cut_off", "requests", cut)
		return fault.New(fault.Config{
			Kind:    fault.DeadlineExceeded,
			Message: "the drain timeout ended before all requests did",
			Remedy:  "raise drain_timeout",
			Outcome: fault.OutcomeUnknown,
		})
	}
	return nil
}
