package command

import "gitlab.com/wisterialb/wisterialb/pkg/configuration"

// ServiceCommand groups the commands that manage services.
type ServiceCommand struct {
	Publish ServicePublishCommand `cmd:"" help:"Publish a service, which is a pool of interchangeable upstreams."`
	Remove  ServiceRemoveCommand  `cmd:"" help:"Remove a service."`
	List    ServiceListCommand    `cmd:"" help:"List services."`
}

// ServicePublishCommand publishes one or more services.
type ServicePublishCommand struct {
	ChangeFlags
	Name       string `arg:"" optional:"" help:"Name of the service."`
	File       string `short:"f" help:"YAML file with one or more services, instead of the name and the flags below." placeholder:"FILE"`
	Protocol   string `help:"Protocol of the service's upstreams: model or plain." enum:"model,plain" default:"model"`
	Model      string `help:"Model that callers ask for."`
	CallTokens int64  `help:"Cost of one call of a plain service, in tokens."`
}

// Run publishes the services of the file, or the one that the flags describe.
func (servicePublishCommand ServicePublishCommand) Run(environment Environment) error {
	services, err := serviceKind.fromFileOrFlags(servicePublishCommand.File, configuration.Service{
		Name:       servicePublishCommand.Name,
		Protocol:   configuration.Protocol(servicePublishCommand.Protocol),
		Model:      servicePublishCommand.Model,
		CallTokens: servicePublishCommand.CallTokens,
	})
	if err != nil {
		return err
	}
	return publishNew(environment, servicePublishCommand.ChangeFlags, serviceKind, services)
}

// ServiceRemoveCommand removes a service.
type ServiceRemoveCommand struct {
	ChangeFlags
	Name string `arg:"" help:"Name of the service."`
}

// Run removes the service.
func (serviceRemoveCommand ServiceRemoveCommand) Run(environment Environment) error {
	return removeDocument(environment, serviceRemoveCommand.ChangeFlags, serviceKind, serviceRemoveCommand.Name)
}

// ServiceListCommand prints one page of services.
type ServiceListCommand struct {
	ListFlags
}

// Run prints one page of services.
func (serviceListCommand ServiceListCommand) Run(environment Environment) error {
	return listDocuments(environment, serviceListCommand.ListFlags, serviceKind)
}
