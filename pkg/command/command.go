// Package command implements the command line of wisterialb.
//
// Main parses the arguments with kong into the commands struct, calls the Run
// method of the selected command with an Environment, and prints an error and
// maps it to an exit code (exit.go).
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"gitlab.com/wisterialb/wisterialb/platform"
)

const (
	programName        = "wisterialb"
	programDescription = "A router fleet for prepaid token budgets."
)

// Environment holds the context, outputs and environment variables of a command.
type Environment struct {
	// Context ends on SIGINT and SIGTERM, and on SIGHUP for commands that don't use
	// Hangups.
	Context context.Context
	// Hangups gets the SIGHUPs of the process; nil if there are none. Only routers use it.
	Hangups <-chan os.Signal
	Out     io.Writer
	ErrOut  io.Writer
	// Getenv returns the value of an environment variable, as os.Getenv does.
	Getenv func(name string) string
}

// commands holds all top-level commands, one field each.
type commands struct {
	Router   RouterCommand   `cmd:"" help:"Run one router of the fleet."`
	Demo     DemoCommand     `cmd:"" help:"Run a small fleet with stand-ins on 127.0.0.0/8 and print what it does."`
	Config   ConfigCommand   `cmd:"" help:"Check a settings file, or show the configuration revision of each router."`
	Profile  ProfileCommand  `cmd:"" help:"Publish, change, retire, top up, list and show profiles."`
	Service  ServiceCommand  `cmd:"" help:"Publish, remove and list services."`
	Caller   CallerCommand   `cmd:"" help:"Publish, remove and list callers."`
	Upstream UpstreamCommand `cmd:"" help:"Add, drain, remove and list upstreams."`
	Budget   BudgetCommand   `cmd:"" help:"Show the tokens of a budget."`
	Bill     BillCommand     `cmd:"" help:"List and show ledger lines of a profile."`
	Audit    AuditCommand    `cmd:"" help:"List accepted configuration changes."`
	Load     LoadCommand     `cmd:"" help:"Send load to a fleet and check each answer."`
	Standin  StandinCommand  `cmd:"" help:"Run a stand-in for the platform, a model engine or a plain service."`
	Edge     EdgeCommand     `cmd:"" help:"Run one router on the users' platform."`
	Platform PlatformCommand `cmd:"" help:"Check the files that a router on the users' platform reads."`
	Explain  ExplainCommand  `cmd:"" help:"Show what happened to a request, from collected logs."`
	Version  VersionCommand  `cmd:"" help:"Print the version."`
}

// Main runs the command line in the environment of the process until it ends or
// the process gets SIGINT or SIGTERM. It returns the exit code. The signals are handled
// from the start, as a SIGHUP that isn't handled ends a router with all its requests.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return Run(Environment{Context: ctx, Hangups: hangups, Out: out, ErrOut: errOut, Getenv: os.Getenv}, args)
}

// Run runs the command line in the environment and returns the exit code.
func Run(environment Environment, args []string) (exitCode int) {
	defer func() {
		recovered := recover()
		if request, ok := recovered.(exitRequest); ok {
			exitCode = int(request)
			return
		}
		if recovered != nil {
			panic(recovered)
		}
	}()
	parser, err := newParser(environment, &commands{})
	if err != nil {
		return printError(environment, err)
	}
	kongContext, err := parser.Parse(args)
	if err != nil {
		return printError(environment, usageError{cause: err})
	}
	if !usesHangups(kongContext.Command()) {
		ctx, cancel := contextUntilHangup(environment)
		defer cancel()
		environment.Context = ctx
	}
	if err := kongContext.Run(environment); err != nil {
		return printError(environment, err)
	}
	return exitSuccess
}

// usesHangups reports whether a command uses Environment.Hangups.
func usesHangups(command string) bool { return command == "edge" || command == "router" }

// contextUntilHangup returns a context that also ends on SIGHUP, with which a terminal
// that is closed ends its commands.
func contextUntilHangup(environment Environment) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(environment.Context)
	go func() {
		defer cancel()
		select {
		case <-environment.Hangups:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func newParser(environment Environment, commands *commands) (*kong.Kong, error) {
	return kong.New(
		commands,
		kong.Name(programName),
		kong.Description(programDescription),
		kong.Vars{"settings_variable": platform.SettingsVariable},
		kong.Writers(environment.Out, environment.ErrOut),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}
