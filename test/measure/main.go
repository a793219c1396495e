// Command measure runs the measurements of traffic on an in-process fleet with
// stand-ins, prints them as Markdown tables, and draws them.
//
// The flow: a series (series.go) lists trials; each trial starts a testbed, sends
// seeded load and gives one row (trial.go); rows are printed as they come and
// drawn at the end (plot.go).
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

// arguments are the command line.
type arguments struct {
	Series  string  `arg:"" help:"promises, policies, engines, lag or cost."`
	Seconds float64 `help:"Length of the load of each trial in seconds." default:"8"`
	Seed    uint64  `help:"Seed of the load." default:"1"`
	Plots   string  `help:"Directory for plots; empty draws none."`
}

func main() {
	var arguments arguments
	parser := kong.Parse(&arguments, kong.Description("Measure the fleet's traffic on stand-ins."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser.FatalIfErrorf(measure(ctx, arguments, os.Stdout))
}
