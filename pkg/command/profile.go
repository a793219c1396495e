package command

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// ProfileCommand groups the commands that manage profiles.
type ProfileCommand struct {
	Publish ProfilePublishCommand `cmd:"" help:"Publish a new profile and open its budget."`
	Change  ProfileChangeCommand  `cmd:"" help:"Change the priority, callers or services of a profile."`
	Retire  ProfileRetireCommand  `cmd:"" help:"Retire a profile, which then accepts no more requests."`
	TopUp   ProfileTopUpCommand   `cmd:"" help:"Raise the limit of a profile."`
	Lower   ProfileLowerCommand   `cmd:"" help:"Lower the limit of a profile, but not below the spent and granted tokens."`
	List    ProfileListCommand    `cmd:"" help:"List profiles."`
	Show    ProfileShowCommand    `cmd:"" help:"Show a profile and its budget."`
}

// ProfilePublishCommand publishes one or more new profiles.
type ProfilePublishCommand struct {
	ChangeFlags
	Name        string   `arg:"" optional:"" help:"Name of the profile."`
	File        string   `short:"f" help:"YAML file with one or more profiles, instead of the name and the flags below." placeholder:"FILE"`
	LimitTokens int64    `help:"Prepaid limit in tokens."`
	Priority    int      `help:"Priority of the profile's requests, 0 to 9; higher ones go first."`
	Caller      []string `help:"Caller that may use the profile; may be repeated."`
	Service     []string `help:"Service that the profile may be spent on; may be repeated."`
}

// Run publishes the profiles of the file, or the one that the flags describe.
func (profilePublishCommand ProfilePublishCommand) Run(environment Environment) error {
	profiles, err := profileKind.fromFileOrFlags(profilePublishCommand.File, configuration.Profile{
		Name:        profilePublishCommand.Name,
		LimitTokens: profilePublishCommand.LimitTokens,
		Priority:    profilePublishCommand.Priority,
		Callers:     profilePublishCommand.Caller,
		Services:    profilePublishCommand.Service,
	})
	if err != nil {
		return err
	}
	return publishNew(environment, profilePublishCommand.ChangeFlags, profileKind, profiles)
}

// ProfileChangeCommand changes the priority, callers or services of a profile.
type ProfileChangeCommand struct {
	ChangeFlags
	Name     string   `arg:"" help:"Name of the profile."`
	Priority *int     `help:"Priority of the profile's requests, 0 to 9." placeholder:"N"`
	Caller   []string `help:"Callers that may use the profile; replaces the current ones."`
	Service  []string `help:"Services that the profile may be spent on; replaces the current ones."`
}

// Run changes the profile. Without a flag to change something it is a usage error.
func (profileChangeCommand ProfileChangeCommand) Run(environment Environment) error {
	if profileChangeCommand.Priority == nil && len(profileChangeCommand.Caller) == 0 && len(profileChangeCommand.Service) == 0 {
		return usageError{cause: fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "nothing to change",
			Remedy:  "give --priority, --caller or --service; a limit changes by `profile top-up`",
		})}
	}
	return replaceDocument(environment, profileChangeCommand.ChangeFlags, profileKind, profileChangeCommand.Name, profileChangeCommand.applyTo)
}

// applyTo returns the profile with the values of the flags that are set.
func (profileChangeCommand ProfileChangeCommand) applyTo(profile configuration.Profile) configuration.Profile {
	if profileChangeCommand.Priority != nil {
		profile.Priority = *profileChangeCommand.Priority
	}
	if len(profileChangeCommand.Caller) > 0 {
		profile.Callers = profileChangeCommand.Caller
	}
	if len(profileChangeCommand.Service) > 0 {
		profile.Services = profileChangeCommand.Service
	}
	return profile
}

// ProfileRetireCommand makes a profile accept no more requests.
type ProfileRetireCommand struct {
	ChangeFlags
	Name string `arg:"" help:"Name of the profile."`
}

// Run retires the profile.
func (profileRetireCommand ProfileRetireCommand) Run(environment Environment) error {
	return replaceDocument(environment, profileRetireCommand.ChangeFlags, profileKind, profileRetireCommand.Name, func(profile configuration.Profile) configuration.Profile {
		profile.Retired = true
		return profile
	})
}

// ProfileTopUpCommand raises the limit of a profile.
type ProfileTopUpCommand struct {
	ChangeFlags
	Name   string `arg:"" help:"Name of the profile."`
	Tokens int64  `arg:"" help:"Tokens to add to the limit."`
}

// Run raises the limit. A number of tokens below 1 is a usage error.
func (profileTopUpCommand ProfileTopUpCommand) Run(environment Environment) error {
	if err := checkPositive(profileTopUpCommand.Tokens); err != nil {
		return err
	}
	return profileTopUpCommand.changeLimit(environment, profileTopUpCommand.Name, profileTopUpCommand.Tokens)
}

// ProfileLowerCommand lowers the limit of a profile.
type ProfileLowerCommand struct {
	ChangeFlags
	Name   string `arg:"" help:"Name of the profile."`
	Tokens int64  `arg:"" help:"Tokens to subtract from the limit."`
}

// Run lowers the limit. A number of tokens below 1 is a usage error.
func (profileLowerCommand ProfileLowerCommand) Run(environment Environment) error {
	if err := checkPositive(profileLowerCommand.Tokens); err != nil {
		return err
	}
	return profileLowerCommand.changeLimit(environment, profileLowerCommand.Name, -profileLowerCommand.Tokens)
}

func checkPositive(tokens int64) error {
	if tokens > 0 {
		return nil
	}
	return usageError{cause: fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "the number of tokens is not positive",
		Remedy:  "give a positive number; `profile lower` takes tokens off a limit",
	})}
}

// ProfileListCommand prints one page of profiles.
type ProfileListCommand struct {
	ListFlags
}

// Run prints one page of profiles.
func (profileListCommand ProfileListCommand) Run(environment Environment) error {
	return listDocuments(environment, profileListCommand.ListFlags, profileKind)
}

// ProfileShowCommand prints a profile and its budget.
type ProfileShowCommand struct {
	ConnectionFlags
	Name string `arg:"" help:"Name of the profile."`
	JSON bool   `help:"Print JSON."`
}

// profileOutput is the JSON output for a profile and its budget.
type profileOutput struct {
	documentOutput[configuration.Profile]
	Budget budget.Statement `json:"budget"`
}

// Run prints the profile and its budget.
func (profileShowCommand ProfileShowCommand) Run(environment Environment) error {
	client, err := profileShowCommand.newClient(environment)
	if err != nil {
		return err
	}
	document, err := client.Document(environment.Context, configuration.KindProfile, profileShowCommand.Name)
	if err != nil {
		return err
	}
	output := profileOutput{}
	if output.documentOutput, err = documentOutputOf[configuration.Profile](document); err != nil {
		return err
	}
	if output.Budget, err = client.Budget(environment.Context, profileShowCommand.Name); err != nil {
		return err
	}
	if profileShowCommand.JSON {
		return printJSON(environment, output)
	}
	table := table{
		columns: append([]string{"NAME", "REVISION"}, profileKind.columns...),
		rows:    [][]string{append([]string{output.Name, formatRevision(output.Revision)}, profileKind.row(output.Document)...)},
	}
	if err := table.print(environment.Out); err != nil {
		return err
	}
	fmt.Fprintln(environment.Out)
	return printStatement(environment, output.Budget)
}
