package command

import (
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// CallerCommand groups the commands that manage callers.
type CallerCommand struct {
	Publish CallerPublishCommand `cmd:"" help:"Publish a caller with its team and token."`
	Remove  CallerRemoveCommand  `cmd:"" help:"Remove a caller; its token is refused from then on."`
	List    CallerListCommand    `cmd:"" help:"List callers."`
}

// CallerPublishCommand publishes one or more callers.
type CallerPublishCommand struct {
	ChangeFlags
	Name            string  `arg:"" optional:"" help:"Name of the caller."`
	File            string  `short:"f" help:"YAML file with one or more callers, instead of the name and the flags below." placeholder:"FILE"`
	Team            string  `help:"Team of the caller."`
	Weight          float64 `help:"Weight of the team in fair queuing." default:"1"`
	TokenHash       string  `help:"Hexadecimal SHA-256 of the caller's bearer token." placeholder:"HASH"`
	CallerTokenFile string  `help:"File with the caller's bearer token, instead of its hash; only the hash is sent." placeholder:"FILE"`
}

// Run publishes the callers of the file, or the one that the flags describe.
func (callerPublishCommand CallerPublishCommand) Run(environment Environment) error {
	tokenHash, err := callerPublishCommand.tokenHash()
	if err != nil {
		return usageError{cause: err}
	}
	flagCaller := configuration.Caller{Name: callerPublishCommand.Name, Team: callerPublishCommand.Team, Weight: callerPublishCommand.Weight, TokenHash: tokenHash}
	callers, err := callerKind.fromFileOrFlags(callerPublishCommand.File, flagCaller)
	if err != nil {
		return err
	}
	return publishNew(environment, callerPublishCommand.ChangeFlags, callerKind, callers)
}

// tokenHash returns the hash of the token in --caller-token-file, or the value
// of --token-hash without that flag.
func (callerPublishCommand CallerPublishCommand) tokenHash() (string, error) {
	if callerPublishCommand.CallerTokenFile == "" {
		return callerPublishCommand.TokenHash, nil
	}
	token, err := callerToken.readFile(callerPublishCommand.CallerTokenFile)
	return operator.HashToken(token), err
}

// CallerRemoveCommand removes a caller.
type CallerRemoveCommand struct {
	ChangeFlags
	Name string `arg:"" help:"Name of the caller."`
}

// Run removes the caller.
func (callerRemoveCommand CallerRemoveCommand) Run(environment Environment) error {
	return removeDocument(environment, callerRemoveCommand.ChangeFlags, callerKind, callerRemoveCommand.Name)
}

// CallerListCommand prints one page of callers.
type CallerListCommand struct {
	ListFlags
}

// Run prints one page of callers.
func (callerListCommand CallerListCommand) Run(environment Environment) error {
	return listDocuments(environment, callerListCommand.ListFlags, callerKind)
}
