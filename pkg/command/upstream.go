package command

import (
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// UpstreamCommand holds the commands about upstreams.
type UpstreamCommand struct {
	Add    UpstreamAddCommand    `cmd:"" help:"Add an upstream to a service."`
	Drain  UpstreamDrainCommand  `cmd:"" help:"Give an upstream no new work; running work finishes."`
	Remove UpstreamRemoveCommand `cmd:"" help:"Remove an upstream."`
	List   UpstreamListCommand   `cmd:"" help:"List upstreams."`
	States UpstreamStatesCommand `cmd:"" help:"Set what model engines should have loaded beside what they have."`
}

// UpstreamAddCommand adds upstreams.
type UpstreamAddCommand struct {
	Change
	Name            string `arg:"" optional:"" help:"Name of the upstream."`
	File            string `short:"f" help:"YAML file with one or more upstreams, in place of the name and the flags below." placeholder:"FILE"`
	Service         string `help:"Service that the upstream belongs to."`
	UpstreamAddress string `help:"IP number and port of the upstream." placeholder:"IP:PORT"`
	Zone            string `help:"Availability zone of the upstream."`
	ChecksFencing   bool   `help:"The engine refuses an order with an old fencing number."`
	Model           string `help:"Model that the engine should have loaded."`
	Adapter         string `help:"Adapter that the engine should have loaded."`
	Version         string `help:"Version that the engine should have loaded."`
	Role            string `help:"Role that the engine should have."`
}

// Run runs the command.
func (upstreamAddCommand UpstreamAddCommand) Run(environment Environment) error {
	upstreams, err := upstreamKind.choose(upstreamAddCommand.File, configuration.Upstream{
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
	return publishNew(environment, upstreamAddCommand.Change, upstreamKind, upstreams)
}

// UpstreamDrainCommand drains an upstream.
type UpstreamDrainCommand struct {
	Change
	Name string `arg:"" help:"Name of the upstream."`
	Undo bool   `help:"Give the upstream new work again."`
}

// Run runs the command.
func (upstreamDrainCommand UpstreamDrainCommand) Run(environment Environment) error {
	return replaceDocument(environment, upstreamDrainCommand.Change, upstreamKind, upstreamDrainCommand.Name, func(upstream configuration.Upstream) configuration.Upstream {
		upstream.Draining = !upstreamDrainCommand.Undo
		return upstream
	})
}

// UpstreamRemoveCommand removes an upstream.
type UpstreamRemoveCommand struct {
	Change
	Name string `arg:"" help:"Name of the upstream."`
}

// Run runs the command.
func (upstreamRemoveCommand UpstreamRemoveCommand) Run(environment Environment) error {
	return removeDocument(environment, upstreamRemoveCommand.Change, upstreamKind, upstreamRemoveCommand.Name)
}

// UpstreamListCommand lists upstreams.
type UpstreamListCommand struct {
	List
}

// Run runs the command.
func (upstreamListCommand UpstreamListCommand) Run(environment Environment) error {
	return listDocuments(environment, upstreamListCommand.List, upstreamKind)
}

// UpstreamStatesCommand lists wanted and actual states.
type UpstreamStatesCommand struct {
	Connection
	JSON bool `help:"Print JSON."`
}

// Run runs the command.
func (upstreamStatesCommand UpstreamStatesCommand) Run(environment Environment) error {
	client, err := upstreamStatesCommand.client(environment)
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

// formatModel joins the parts that are set.
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
