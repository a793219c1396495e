package command

import "gitlab.com/wisterialb/wisterialb/pkg/configuration"

// ServiceCommand holds the commands about services.
type ServiceCommand struct {
	Publish ServicePublishCommand `cmd:"" help:"Publish a service, which is a pool of equal upstreams."`
	Remove  ServiceRemoveCommand  `cmd:"" help:"Remove a service."`
	List    ServiceListCommand    `cmd:"" help:"List services."`
}

// ServicePublishCommand publishes services.
type ServicePublishCommand struct {
	Change
	Name       string `arg:"" optional:"" help:"Name of the service."`
	File       string `short:"f" help:"YAML file with one or more services, in place of the name and the flags below." placeholder:"FILE"`
	Protocol   string `help:"Protocol of its upstreams: model or plain." enum:"model,plain" default:"model"`
	Model      string `help:"Model that callers ask for."`
	CallTokens int64  `help:"What one call of a plain service costs, in tokens."`
}

// Run runs the command.
func (publish ServicePublishCommand) Run(environment Environment) error {
	services, err := serviceKind.choose(publish.File, configuration.Service{
		Name:       publish.Name,
		Protocol:   configuration.Protocol(publish.Protocol),
		Model:      publish.Model,
		CallTokens: publish.CallTokens,
	})
	if err != nil {
		return err
	}
	return publishNew(environment, publish.Change, serviceKind, services)
}

// ServiceRemoveCommand removes a service.
type ServiceRemoveCommand struct {
	Change
	Name string `arg:"" help:"Name of the service."`
}

// Run runs the command.
func (remove ServiceRemoveCommand) Run(environment Environment) error {
	return removeDocument(environment, remove.Change, serviceKind, remove.Name)
}

// ServiceListCommand lists services.
type ServiceListCommand struct {
	List
}

// Run runs the command.
func (list ServiceListCommand) Run(environment Environment) error {
	return listDocuments(environment, list.List, serviceKind)
}
