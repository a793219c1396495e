package command

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// ProfileCommand holds the commands about profiles.
type ProfileCommand struct {
	Publish ProfilePublishCommand `cmd:"" help:"Publish a new profile and open its budget."`
	Change  ProfileChangeCommand  `cmd:"" help:"Change the priority, callers or services of a profile."`
	Retire  ProfileRetireCommand  `cmd:"" help:"Let a profile accept no more requests."`
	TopUp   ProfileTopUpCommand   `cmd:"" help:"Raise the limit of a profile."`
	Lower   ProfileLowerCommand   `cmd:"" help:"Lower the limit of a profile; refused below what is spent or granted."`
	List    ProfileListCommand    `cmd:"" help:"List profiles."`
	Show    ProfileShowCommand    `cmd:"" help:"Show a profile and its budget."`
}

// ProfilePublishCommand publishes new profiles.
type ProfilePublishCommand struct {
	Change
	Name        string   `arg:"" optional:"" help:"Name of the profile."`
	File        string   `short:"f" help:"YAML file with one or more profiles, in place of the name and the flags below." placeholder:"FILE"`
	LimitTokens int64    `help:"Prepaid limit in tokens."`
	Priority    int      `help:"Priority of its requests, 0 to 9; a higher one goes first."`
	Caller      []string `help:"Calling service that may use the profile; may be repeated."`
	Service     []string `help:"Service that the profile may be spent on; may be repeated."`
}

// Run runs the command.
func (profilePublishCommand ProfilePublishCommand) Run(environment Environment) error {
	profiles, err := profileKind.choose(profilePublishCommand.File, configuration.Profile{
		Name:        profilePublishCommand.Name,
		LimitTokens: profilePublishCommand.LimitTokens,
		Priority:    profilePublishCommand.Priority,
		Callers:     profilePublishCommand.Caller,
		Services:    profilePublishCommand.Service,
	})
	if err != nil {
		return err
	}
	return publishNew(environment, profilePublishCommand.Change, profileKind, profiles)
}

// ProfileChangeCommand changes a profile.
type ProfileChangeCommand struct {
	Change
	Name     string   `arg:"" help:"Name of the profile."`
	Priority *int     `help:"Priority of its requests, 0 to 9." placeholder:"N"`
	Caller   []string `help:"Calling services that may use the profile, in place of the present ones."`
	Service  []string `help:"Services that the profile may be spent on, in place of the present ones."`
}

// Run runs the command.
func (profileChangeCommand ProfileChangeCommand) Run(environment Environment) error {
	if profileChangeCommand.Priority == nil && len(profileChangeCommand.Caller) == 0 && len(profileChangeCommand.Service) == 0 {
		return usageError{cause: fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "nothing to change",
			Remedy:  "give --priority, --caller or --service; a limit changes by `profile top-up`",
		})}
	}
	return replaceDocument(environment, profileChangeCommand.Change, profileKind, profileChangeCommand.Name, profileChangeCommand.edit)
}

func (profileChangeCommand ProfileChangeCommand) edit(profile configuration.Profile) configuration.Profile {
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

// ProfileRetireCommand retires a profile.
type ProfileRetireCommand struct {
	Change
	Name string `arg:"" help:"Name of the profile."`
}

// Run runs the command.
func (profileRetireCommand ProfileRetireCommand) Run(environment Environment) error {
	return replaceDocument(environment, profileRetireCommand.Change, profileKind, profileRetireCommand.Name, func(profile configuration.Profile) configuration.Profile {
		profile.Retired = true
		return profile
	})
}

// ProfileTopUpCommand raises a limit.
type ProfileTopUpCommand struct {
	Change
	Name   string `arg:"" help:"Name of the profile."`
	Tokens int64  `arg:"" help:"Tokens to add to the limit."`
}

// Run runs the command.
func (profileTopUpCommand ProfileTopUpCommand) Run(environment Environment) error {
	if err := checkTokens(profileTopUpCommand.Tokens); err != nil {
		return err
	}
	return profileTopUpCommand.limit(environment, profileTopUpCommand.Name, profileTopUpCommand.Tokens)
}

// ProfileLowerCommand lowers a limit.
type ProfileLowerCommand struct {
	Change
	Name   string `arg:"" help:"Name of the profile."`
	Tokens int64  `arg:"" help:"Tokens to take off the limit."`
}

// Run runs the command.
func (profileLowerCommand ProfileLowerCommand) Run(environment Environment) error {
	if err := checkTokens(profileLowerCommand.Tokens); err != nil {
		return err
	}
	return profileLowerCommand.limit(environment, profileLowerCommand.Name, -profileLowerCommand.Tokens)
}

func checkTokens(tokens int64) error {
	if tokens > 0 {
		return nil
	}
	return usageError{cause: fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "the number of tokens is not positive",
		Remedy:  "give a positive number; `profile lower` takes tokens off a limit",
	})}
}

// ProfileListCommand lists profiles.
type ProfileListCommand struct {
	List
}

// Run runs the command.
func (profileListCommand ProfileListCommand) Run(environment Environment) error {
	return listDocuments(environment, profileListCommand.List, profileKind)
}

// ProfileShowCommand shows a profile with its budget.
type ProfileShowCommand struct {
	Connection
	Name string `arg:"" help:"Name of the profile."`
	JSON bool   `help:"Print JSON."`
}

// profileOutput is the JSON of a profile with its budget.
type profileOutput struct {
	documentOutput[configuration.Profile]
	Budget budget.Statement `json:"budget"`
}

// Run runs the command.
func (profileShowCommand ProfileShowCommand) Run(environment Environment) error {
	client, err := profileShowCommand.client(environment)
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
