// Command measure runs load measurements on an in-process fleet with stand-in
// engines and services, prints the results as Markdown tables and plots them.
//
// A series (series.go) is a list of trials. Each trial (trial.go) starts a
// testbed, sends seeded load and yields one table row, which is printed at once.
// At the end the rows are plotted (plot.go).
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

// arguments are the command-line arguments.
type arguments struct {
	Series  string  `arg:"" help:"Series to run: promises, policies, engines, lag or cost."`
	Seconds float64 `help:"Duration of the load of each trial in seconds." default:"8"`
	Seed    uint64  `help:"Seed of the load." default:"1"`
	Plots   string  `help:"Directory for plots; empty disables them."`
}

func main() {
	var arguments arguments
	parser := kong.Parse(&arguments, kong.Description("Measure a fleet of routers under load with stand-in engines and services."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser.FatalIfErrorf(measure(ctx, arguments, os.Stdout))
}
