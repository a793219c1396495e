package command

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// ConfigCommand groups the commands that check settings and configuration.
type ConfigCommand struct {
	Check  ConfigCheckCommand  `cmd:"" help:"Check a settings file and list all errors in it."`
	Status ConfigStatusCommand `cmd:"" help:"Show the configuration revision of each router and why it is behind the newest."`
}

// ConfigCheckCommand checks a settings file.
type ConfigCheckCommand struct {
	File string `arg:"" help:"Settings file of a router."`
}

// Run validates the settings file. Its error lists all invalid settings.
func (configCheckCommand ConfigCheckCommand) Run(environment Environment) error {
	routerSettings, err := settings.Load(configCheckCommand.File)
	if err != nil {
		return usageError{cause: err}
	}
	_, err = fmt.Fprintf(environment.Out, "%s is valid: zone %s, callers %s, peers %s, operators %s\n",
		configCheckCommand.File, routerSettings.Zone, routerSettings.CallerAddress, routerSettings.PeerAddress, routerSettings.OperatorAddress)
	return err
}

// ConfigStatusCommand prints the configuration revision of each router.
type ConfigStatusCommand struct {
	ConnectionFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the state and the configuration revision of each router.
func (configStatusCommand ConfigStatusCommand) Run(environment Environment) error {
	client, err := configStatusCommand.newClient(environment)
	if err != nil {
		return err
	}
	status, err := client.Status(environment.Context)
	if err != nil {
		return err
	}
	if configStatusCommand.JSON {
		return printJSON(environment, status)
	}
	if _, err := fmt.Fprintf(environment.Out, "newest revision: %d, as router %s knows\n", status.NewestRevision, status.RespondingRouter); err != nil {
		return err
	}
	table := table{columns: []string{"ROUTER", "ZONE", "STATE", "REVISION", "LOAD", "CALLERS", "OPERATORS", "REASON"}}
	for _, member := range status.Members {
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
