package command

import (
	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/demo"
)

// DemoCommand runs a small fleet with stand-ins in one process.
type DemoCommand struct {
	Keep bool `help:"Keep the fleet running until the process is told to stop."`
	Logs bool `help:"Print the routers' logs to the error output."`
}

// Run runs the command.
func (demoCommand DemoCommand) Run(environment Environment) error {
	config := demo.RunConfig{Keep: demoCommand.Keep, Out: environment.Out}
	if demoCommand.Logs {
		config.Fleet.Logger = log.NewLogfmtLogger(log.NewSyncWriter(environment.ErrOut))
	}
	return demo.Run(environment.Context, config)
}
