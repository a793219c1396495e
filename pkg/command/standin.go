package command

import (
	"errors"
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// StandinCommand groups the commands that run stand-ins: simulated platforms,
// model engines and services.
type StandinCommand struct {
	Platform StandinPlatformCommand `cmd:"" help:"Run a table service, an object store and a VM list in memory."`
	Engine   StandinEngineCommand   `cmd:"" help:"Run a model engine that streams synthetic answers."`
	Service  StandinServiceCommand  `cmd:"" help:"Run a plain service."`
}

// endpoint is a running stand-in.
type endpoint interface {
	Address() string
	Close() error
}

// serve prints the address of a started stand-in and closes it when the context
// ends. It returns err, the error of the start, if there is one.
func serve[Endpoint endpoint](environment Environment, kind string, standIn Endpoint, err error) error {
	if err != nil {
		return err
	}
	_, printErr := fmt.Fprintf(environment.Out, "%s stand-in on %s\n", kind, standIn.Address())
	if printErr == nil {
		<-environment.Context.Done()
	}
	return errors.Join(printErr, standIn.Close())
}

// StandinPlatformCommand runs the platform stand-in.
type StandinPlatformCommand struct {
	Address         string        `help:"Loopback IP number and port." default:"127.0.0.1:9000"`
	WritesPerSecond int           `help:"Maximum items written per second, and objects likewise; 0 means no limit."`
	ReadsPerSecond  int           `help:"Maximum items read per second, and objects likewise; 0 means no limit."`
	VMLag           time.Duration `help:"Delay until a change of the VM list is visible."`
	Seed            uint64        `help:"Seed of the random faults."`
}

// Run runs the platform until the context ends.
func (standinPlatformCommand StandinPlatformCommand) Run(environment Environment) error {
	standIn, err := standin.NewPlatform(standin.PlatformConfig{
		Address:         standinPlatformCommand.Address,
		WritesPerSecond: standinPlatformCommand.WritesPerSecond,
		ReadsPerSecond:  standinPlatformCommand.ReadsPerSecond,
		VMListDelay:     standinPlatformCommand.VMLag,
		Seed:            standinPlatformCommand.Seed,
	})
	return serve(environment, "platform", standIn, err)
}

// StandinEngineCommand runs the model engine stand-in.
type StandinEngineCommand struct {
	Address         string        `help:"Loopback IP number and port." default:"127.0.0.1:9100"`
	Name            string        `help:"Name of the engine." default:"engine"`
	Model           string        `help:"Loaded model; without it the engine accepts requests for every model."`
	Slots           int           `help:"Maximum number of concurrent attempts." default:"8"`
	TokenInterval   time.Duration `help:"Time between tokens while one attempt runs." default:"10ms"`
	PrefillPerToken time.Duration `help:"Prefill time per uncached prompt token."`
	LoadLag         time.Duration `help:"Age of the load that the engine reports."`
	IgnoresFencing  bool          `help:"Carry out orders with an outdated fencing number too."`
	Seed            uint64        `help:"Seed of the random faults."`
}

// Run runs the model engine until the context ends.
func (standinEngineCommand StandinEngineCommand) Run(environment Environment) error {
	standIn, err := standin.NewEngine(standin.EngineConfig{
		Name:            standinEngineCommand.Name,
		Address:         standinEngineCommand.Address,
		Model:           standinEngineCommand.Model,
		Slots:           standinEngineCommand.Slots,
		TokenInterval:   standinEngineCommand.TokenInterval,
		PrefillPerToken: standinEngineCommand.PrefillPerToken,
		LoadReportDelay: standinEngineCommand.LoadLag,
		IgnoresFencing:  standinEngineCommand.IgnoresFencing,
		Seed:            standinEngineCommand.Seed,
	})
	return serve(environment, "engine", standIn, err)
}

// StandinServiceCommand runs the plain service stand-in.
type StandinServiceCommand struct {
	Address  string        `help:"Loopback IP number and port." default:"127.0.0.1:9200"`
	Name     string        `help:"Name of the service." default:"service"`
	Delay    time.Duration `help:"Duration of each call."`
	Capacity int           `help:"Maximum number of concurrent calls." default:"8"`
}

// Run runs the plain service until the context ends.
func (standinServiceCommand StandinServiceCommand) Run(environment Environment) error {
	standIn, err := standin.NewService(standin.ServiceConfig{
		Name:     standinServiceCommand.Name,
		Address:  standinServiceCommand.Address,
		Delay:    standinServiceCommand.Delay,
		Capacity: standinServiceCommand.Capacity,
	})
	return serve(environment, "service", standIn, err)
}
