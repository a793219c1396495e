package command

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// ConfigCommand holds the commands about settings and configuration.
type ConfigCommand struct {
	Check  ConfigCheckCommand  `cmd:"" help:"Check a settings file and name every fault in it."`
	Status ConfigStatusCommand `cmd:"" help:"Show which revision each router is on, and why not on the newest."`
}

// ConfigCheckCommand checks a settings file.
type ConfigCheckCommand struct {
	File string `arg:"" help:"Settings file of a router."`
}

// Run runs the command.
func (configCheckCommand ConfigCheckCommand) Run(environment Environment) error {
	loaded, err := settings.Load(configCheckCommand.File)
	if err != nil {
		return usageError{cause: err}
	}
	_, err = fmt.Fprintf(environment.Out, "%s is valid: zone %s, callers %s, peers %s, operators %s\n",
		configCheckCommand.File, loaded.Zone, loaded.CallerAddress, loaded.PeerAddress, loaded.OperatorAddress)
	return err
}

// ConfigStatusCommand shows the revisions of the routers.
type ConfigStatusCommand struct {
	Connection
	JSON bool `help:"Print JSON."`
}

// Run runs the command.
func (configStatusCommand ConfigStatusCommand) Run(environment Environment) error {
	client, err := configStatusCommand.client(environment)
	if err != nil {
		return err
	}
	answer, err := client.Status(environment.Context)
	if err != nil {
		return err
	}
	if configStatusCommand.JSON {
		return printJSON(environment, answer)
	}
	if _, err := fmt.Fprintf(environment.Out, "newest revision: %d, as router %s knows\n", answer.NewestRevision, answer.RespondingRouter); err != nil {
		return err
	}
	table := table{columns: []string{"ROUTER", "ZONE", "STATE", "REVISION", "LOAD", "CALLERS", "OPERATORS", "REASON"}}
	for _, member := range answer.Members {
		table.rows = append(table.rows, memberRow(member))
	}
	return table.print(environment.Out)
}

func memberRow(member operator.Member) []string {
	return []string{
		member.Incarnation,
		member.Zone,
		string(member.State),
		formatRevision(member.Revision),
		fmt.Sprintf("%.2f", member.Load),
		member.CallerAddress,
		member.OperatorAddress,
		member.Reason,
	}
}
