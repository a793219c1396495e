package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/standin"
	"gitlab.com/wisterialb/wisterialb/pkg/testbed"
)

const slowEngineFactor = 4

// policies are the routing policies that the series compare.
var policies = []string{"round_robin", "least_in_flight", "better_of_two", "prefix_affinity"}

// series maps the name of each series to its trials; "promises" runs verify
// instead.
var series = map[string]func() []trial{
	"policies": policyTrials,
	"engines":  engineTrials,
	"lag":      lagTrials,
	"cost": func() []trial {
		return []trial{
			{name: "direct", policy: "-", loadRatio: 0.3, noPrefill: true, direct: true},
			{name: "router", policy: "prefix_affinity", loadRatio: 0.3, noPrefill: true},
		}
	},
}

func policyTrials() []trial {
	var trials []trial
	for _, loadRatio := range []float64{0.5, 0.9, 1.5, 3} {
		for _, policy := range policies {
			trials = append(trials, trial{name: "no faults", policy: policy, loadRatio: loadRatio})
		}
	}
	return trials
}

// engineTrials inject a fault into the first engine before the load starts.
func engineTrials() []trial {
	conditions := []struct {
		name        string
		injectFault func(engine *standin.Engine) error
	}{
		{"one slow", func(engine *standin.Engine) error {
			return engine.SetFaults(standin.EngineFaults{SlowFactor: slowEngineFactor})
		}},
		{"one stopped", (*standin.Engine).Close},
		{"one unresponsive", func(engine *standin.Engine) error {
			return engine.SetFaults(standin.EngineFaults{Hold: true})
		}},
	}
	var trials []trial
	for _, condition := range conditions {
		for _, policy := range policies {
			trials = append(trials, trial{
				name:        condition.name,
				policy:      policy,
				loadRatio:   0.5,
				injectFault: func(bed *testbed.Testbed) error { return condition.injectFault(bed.Fleet.Engines[0]) },
			})
		}
	}
	return trials
}

func lagTrials() []trial {
	var trials []trial
	for _, delay := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
		for _, policy := range []string{"better_of_two", "prefix_affinity"} {
			trials = append(trials, trial{name: "reports " + delay.String() + " old", policy: policy, loadRatio: 0.9, loadReportDelay: delay})
		}
	}
	return trials
}

// The load and the interval between disturbances of the series promises.
const (
	verifyRequests      = 5000
	verifyRatePerSecond = 200
	disturbanceInterval = time.Second
)

// verify runs a fleet under load and all kinds of disturbances. It returns an error
// if a guarantee was broken.
func verify(ctx context.Context, arguments arguments, out io.Writer) error {
	verification, err := testbed.Verify(ctx, testbed.VerificationConfig{
		Seed:     arguments.Seed,
		Requests: verifyRequests,
		Rate:     verifyRatePerSecond,
		Interval: disturbanceInterval,
		Kinds:    testbed.AllDisturbances(),
	}, out)
	verification.Write(out)
	return errors.Join(err, verification.Err())
}

// measure runs the series named by the arguments.
func measure(ctx context.Context, arguments arguments, out io.Writer) error {
	if arguments.Series == "promises" {
		return verify(ctx, arguments, out)
	}
	trials, ok := series[arguments.Series]
	if !ok {
		return fmt.Errorf("unknown series %q; use promises or one of %s", arguments.Series, strings.Join(slices.Sorted(maps.Keys(series)), ", "))
	}
	_, _ = fmt.Fprintf(out, "capacity %.1f requests/s, %g s for each trial, seed %d\n\n%s", capacityPerSecond(), arguments.Seconds, arguments.Seed, header)
	var rows []row
	for _, trial := range trials() {
		row, err := trial.run(ctx, arguments)
		if err != nil {
			return err
		}
		row.write(out)
		rows = append(rows, row)
	}
	if arguments.Plots == "" {
		return nil
	}
	return draw(arguments, rows)
}
