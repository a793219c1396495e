package command

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// ConfigCommand holds the commands about settings and configuration.
type ConfigCommand struct {
	Check ConfigCheckCommand `cmd:"" help:"Check a settings file and name every fault in it."`
}

// ConfigCheckCommand checks a settings file.
type ConfigCheckCommand struct {
	File string `arg:"" help:"Settings file of a router."`
}

// Run runs the command.
func (check ConfigCheckCommand) Run(environment Environment) error {
	loaded, err := settings.Load(check.File)
	if err != nil {
		return usageError{cause: err}
	}
	_, err = fmt.Fprintf(environment.Out, "%s is valid: zone %s, callers %s, peers %s, operators %s\n",
		check.File, loaded.Zone, loaded.CallerAddress, loaded.PeerAddress, loaded.OperatorAddress)
	return err
}
