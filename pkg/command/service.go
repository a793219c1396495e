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
func (servicePublishCommand ServicePublishCommand) Run(environment Environment) error {
	services, err := serviceKind.choose(servicePublishCommand.File, configuration.Service{
		Name:       servicePublishCommand.Name,
		Protocol:   configuration.Protocol(servicePublishCommand.Protocol),
		Model:      servicePublishCommand.Model,
		CallTokens: servicePublishCommand.CallTokens,
	})
	if err != nil {
		return err
	}
	return publishNew(environment, servicePublishCommand.Change, serviceKind, services)
}

// ServiceRemoveCommand removes a service.
type ServiceRemoveCommand struct {
	Change
	Name string `arg:"" help:"Name of the service."`
}

// Run runs the command.
func (serviceRemoveCommand ServiceRemoveCommand) Run(environment Environment) error {
	return removeDocument(environment, serviceRemoveCommand.Change, serviceKind, serviceRemoveCommand.Name)
}

// ServiceListCommand lists services.
type ServiceListCommand struct {
	List
}

// Run runs the command.
func (serviceListCommand ServiceListCommand) Run(environment Environment) error {
	return listDocuments(environment, serviceListCommand.List, serviceKind)
}
