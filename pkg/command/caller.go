package command

import (
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// CallerCommand holds the commands about calling services.
type CallerCommand struct {
	Publish CallerPublishCommand `cmd:"" help:"Publish a calling service with its team and token."`
	Remove  CallerRemoveCommand  `cmd:"" help:"Remove a calling service; its token is refused from then on."`
	List    CallerListCommand    `cmd:"" help:"List calling services."`
}

// CallerPublishCommand publishes calling services.
type CallerPublishCommand struct {
	Change
	Name            string  `arg:"" optional:"" help:"Name of the calling service."`
	File            string  `short:"f" help:"YAML file with one or more callers, in place of the name and the flags below." placeholder:"FILE"`
	Team            string  `help:"Team of the calling service."`
	Weight          float64 `help:"The team's share in fair queuing." default:"1"`
	TokenHash       string  `help:"Hexadecimal SHA-256 of the caller's bearer token." placeholder:"HASH"`
	CallerTokenFile string  `help:"File with the caller's bearer token, in place of its hash; only the hash is sent." placeholder:"FILE"`
}

// Run runs the command.
func (callerPublishCommand CallerPublishCommand) Run(environment Environment) error {
	hash, err := callerPublishCommand.hash()
	if err != nil {
		return usageError{cause: err}
	}
	described := configuration.Caller{Name: callerPublishCommand.Name, Team: callerPublishCommand.Team, Weight: callerPublishCommand.Weight, TokenHash: hash}
	callers, err := callerKind.choose(callerPublishCommand.File, described)
	if err != nil {
		return err
	}
	return publishNew(environment, callerPublishCommand.Change, callerKind, callers)
}

func (callerPublishCommand CallerPublishCommand) hash() (string, error) {
	if callerPublishCommand.CallerTokenFile == "" {
		return callerPublishCommand.TokenHash, nil
	}
	token, err := callerToken.read(callerPublishCommand.CallerTokenFile)
	return operator.HashToken(token), err
}

// CallerRemoveCommand removes a calling service.
type CallerRemoveCommand struct {
	Change
	Name string `arg:"" help:"Name of the calling service."`
}

// Run runs the command.
func (callerRemoveCommand CallerRemoveCommand) Run(environment Environment) error {
	return removeDocument(environment, callerRemoveCommand.Change, callerKind, callerRemoveCommand.Name)
}

// CallerListCommand lists calling services.
type CallerListCommand struct {
	List
}

// Run runs the command.
func (callerListCommand CallerListCommand) Run(environment Environment) error {
	return listDocuments(environment, callerListCommand.List, callerKind)
}
