package command

import (
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// UpstreamCommand groups the commands that manage upstreams.
type UpstreamCommand struct {
	Add    UpstreamAddCommand    `cmd:"" help:"Add an upstream to a service."`
	Drain  UpstreamDrainCommand  `cmd:"" help:"Send no new requests to an upstream; running requests finish."`
	Remove UpstreamRemoveCommand `cmd:"" help:"Remove an upstream."`
	List   UpstreamListCommand   `cmd:"" help:"List upstreams."`
	States UpstreamStatesCommand `cmd:"" help:"Show the wanted and the actually loaded model of each model engine."`
}

// UpstreamAddCommand publishes one or more upstreams.
type UpstreamAddCommand struct {
	ChangeFlags
	Name            string `arg:"" optional:"" help:"Name of the upstream."`
	File            string `short:"f" help:"YAML file with one or more upstreams, instead of the name and the flags below." placeholder:"FILE"`
	Service         string `help:"Service that the upstream belongs to."`
	UpstreamAddress string `help:"IP number and port of the upstream." placeholder:"IP:PORT"`
	Zone            string `help:"Availability zone of the upstream."`
	ChecksFencing   bool   `help:"The engine refuses orders with an outdated fencing number."`
	Model           string `help:"Model that the engine should have loaded."`
	Adapter         string `help:"Adapter that the engine should have loaded."`
	Version         string `help:"Version that the engine should have loaded."`
	Role            string `help:"Role that the engine should have."`
}

// Run publishes the upstreams of the file, or the one that the flags describe.
func (upstreamAddCommand UpstreamAddCommand) Run(environment Environment) error {
	upstreams, err := upstreamKind.fromFileOrFlags(upstreamAddCommand.File, configuration.Upstream{
		Name:          upstreamAddCommand.Name,
		Service:       upstreamAddCommand.Service,
		Address:       upstreamAddCommand.UpstreamAddress,
		Zone:          upstreamAddCommand.Zone,
		ChecksFencing: upstreamAddCommand.ChecksFencing,
		Model:         upstreamAddCommand.Model,
		Adapter:       upstreamAddCommand.Adapter,
		Version:       upstreamAddCommand.Version,
		Role:          upstreamAddCommand.Role,
	})
	if err != nil {
		return err
	}
	return publishNew(environment, upstreamAddCommand.ChangeFlags, upstreamKind, upstreams)
}

// UpstreamDrainCommand stops or resumes new requests to an upstream.
type UpstreamDrainCommand struct {
	ChangeFlags
	Name string `arg:"" help:"Name of the upstream."`
	Undo bool   `help:"Send new requests to the upstream again."`
}

// Run sets or, with --undo, clears the draining mark of the upstream.
func (upstreamDrainCommand UpstreamDrainCommand) Run(environment Environment) error {
	return replaceDocument(environment, upstreamDrainCommand.ChangeFlags, upstreamKind, upstreamDrainCommand.Name, func(upstream configuration.Upstream) configuration.Upstream {
		upstream.Draining = !upstreamDrainCommand.Undo
		return upstream
	})
}

// UpstreamRemoveCommand removes an upstream.
type UpstreamRemoveCommand struct {
	ChangeFlags
	Name string `arg:"" help:"Name of the upstream."`
}

// Run removes the upstream.
func (upstreamRemoveCommand UpstreamRemoveCommand) Run(environment Environment) error {
	return removeDocument(environment, upstreamRemoveCommand.ChangeFlags, upstreamKind, upstreamRemoveCommand.Name)
}

// UpstreamListCommand prints one page of upstreams.
type UpstreamListCommand struct {
	ListFlags
}

// Run prints one page of upstreams.
func (upstreamListCommand UpstreamListCommand) Run(environment Environment) error {
	return listDocuments(environment, upstreamListCommand.ListFlags, upstreamKind)
}

// UpstreamStatesCommand prints the wanted and the loaded model of model engines.
type UpstreamStatesCommand struct {
	ConnectionFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the wanted and the loaded model of each model engine.
func (upstreamStatesCommand UpstreamStatesCommand) Run(environment Environment) error {
	client, err := upstreamStatesCommand.newClient(environment)
	if err != nil {
		return err
	}
	entries, err := client.UpstreamStates(environment.Context)
	if err != nil {
		return err
	}
	columns := []string{"NAME", "SERVICE", "WANTED", "ACTUAL", "REASON"}
	output := listOutput[operator.UpstreamState]{Entries: entries}
	return printList(environment, upstreamStatesCommand.JSON, output, columns, func(state operator.UpstreamState) []string {
		return []string{state.Name, state.Service, formatModel(state.Wanted), formatModel(state.Actual), state.Reason}
	})
}

// formatModel joins model, adapter, version and role with slashes, without the
// empty ones. It returns "-" if all are empty.
func formatModel(model operator.LoadedModel) string {
	var parts []string
	for _, part := range []string{model.Model, model.Adapter, model.Version, model.Role} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, "/")
}
