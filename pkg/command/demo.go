package command

import (
	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/demo"
)

// DemoCommand runs a small fleet with stand-ins in this process.
type DemoCommand struct {
	Keep bool `help:"Keep the fleet running until SIGINT or SIGTERM."`
	Logs bool `help:"Print the routers' logs to standard error."`
}

// Run starts the fleet, sends requests through it and prints what happened.
func (demoCommand DemoCommand) Run(environment Environment) error {
	config := demo.RunConfig{Keep: demoCommand.Keep, Out: environment.Out}
	if demoCommand.Logs {
		config.Fleet.Logger = log.NewLogfmtLogger(log.NewSyncWriter(environment.ErrOut))
	}
	return demo.Run(environment.Context, config)
}
