package command

import (
	"errors"
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// StandinCommand holds the commands that run stand-ins.
type StandinCommand struct {
	Platform StandinPlatformCommand `cmd:"" help:"Run a table service, an object store and a VM list in memory."`
	Engine   StandinEngineCommand   `cmd:"" help:"Run a model engine that streams made-up answers."`
	Service  StandinServiceCommand  `cmd:"" help:"Run a plain service."`
}

// endpoint is a stand-in that listens.
type endpoint interface {
	Address() string
	Close() error
}

// serve prints the address and closes the stand-in when the process is told to
// stop.
func serve[Endpoint endpoint](environment Environment, name string, started Endpoint, err error) error {
	if err != nil {
		return err
	}
	_, printErr := fmt.Fprintf(environment.Out, "%s stand-in on %s\n", name, started.Address())
	if printErr == nil {
		<-environment.Context.Done()
	}
	return errors.Join(printErr, started.Close())
}

// StandinPlatformCommand runs the platform.
type StandinPlatformCommand struct {
	Address         string        `help:"Loopback IP number and port." default:"127.0.0.1:9000"`
	WritesPerSecond int           `help:"Limit on items and objects written, each; 0 means none."`
	ReadsPerSecond  int           `help:"Limit on items and objects read, each; 0 means none."`
	VMLag           time.Duration `help:"How late changes of the VM list are seen."`
	Seed            uint64        `help:"Seed of the choice of faults."`
}

// Run runs the command.
func (standinPlatformCommand StandinPlatformCommand) Run(environment Environment) error {
	started, err := standin.NewPlatform(standin.PlatformConfig{
		Address:         standinPlatformCommand.Address,
		WritesPerSecond: standinPlatformCommand.WritesPerSecond,
		ReadsPerSecond:  standinPlatformCommand.ReadsPerSecond,
		VMLag:           standinPlatformCommand.VMLag,
		Seed:            standinPlatformCommand.Seed,
	})
	return serve(environment, "platform", started, err)
}

// StandinEngineCommand runs a model engine.
type StandinEngineCommand struct {
	Address         string        `help:"Loopback IP number and port." default:"127.0.0.1:9100"`
	Name            string        `help:"Name of the engine." default:"engine"`
	Model           string        `help:"Model that is loaded; without it the engine answers for every model."`
	Slots           int           `help:"Attempts that run at once." default:"8"`
	TokenInterval   time.Duration `help:"Time between tokens of an attempt that runs alone." default:"10ms"`
	PrefillPerToken time.Duration `help:"Time that each uncached prompt token takes."`
	LoadLag         time.Duration `help:"Age of load reports."`
	IgnoresFencing  bool          `help:"Obey orders with an old fencing number too."`
	Seed            uint64        `help:"Seed of the choice of faults."`
}

// Run runs the command.
func (standinEngineCommand StandinEngineCommand) Run(environment Environment) error {
	started, err := standin.NewEngine(standin.EngineConfig{
		Name:            standinEngineCommand.Name,
		Address:         standinEngineCommand.Address,
		Model:           standinEngineCommand.Model,
		Slots:           standinEngineCommand.Slots,
		TokenInterval:   standinEngineCommand.TokenInterval,
		PrefillPerToken: standinEngineCommand.PrefillPerToken,
		LoadLag:         standinEngineCommand.LoadLag,
		IgnoresFencing:  standinEngineCommand.IgnoresFencing,
		Seed:            standinEngineCommand.Seed,
	})
	return serve(environment, "engine", started, err)
}

// StandinServiceCommand runs a plain service.
type StandinServiceCommand struct {
	Address  string        `help:"Loopback IP number and port." default:"127.0.0.1:9200"`
	Name     string        `help:"Name of the service." default:"service"`
	Delay    time.Duration `help:"Time that each call takes."`
	Capacity int           `help:"Calls that run at once." default:"8"`
}

// Run runs the command.
func (standinServiceCommand StandinServiceCommand) Run(environment Environment) error {
	started, err := standin.NewService(standin.ServiceConfig{
		Name:     standinServiceCommand.Name,
		Address:  standinServiceCommand.Address,
		Delay:    standinServiceCommand.Delay,
		Capacity: standinServiceCommand.Capacity,
	})
	return serve(environment, "service", started, err)
}
