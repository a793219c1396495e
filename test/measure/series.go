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

const slowFactor = 4

// policies are the ones compared.
var policies = []string{"round_robin", "least_in_flight", "better_of_two", "prefix_affinity"}

// series is the one table of measurements; a new one is one row.
var series = map[string]func() []trial{
	"policies": policyTrials,
	"engines":  engineTrials,
	"lag":      lagTrials,
	"cost": func() []trial {
		return []trial{
			{name: "direct", policy: "-", share: 0.3, noPrefill: true, direct: true},
			{name: "router", policy: "prefix_affinity", share: 0.3, noPrefill: true},
		}
	},
}

func policyTrials() []trial {
	var trials []trial
	for _, share := range []float64{0.5, 0.9, 1.5, 3} {
		for _, policy := range policies {
			trials = append(trials, trial{name: "all well", policy: policy, share: share})
		}
	}
	return trials
}

// engineTrials switch a fault of the first engine on before the load begins.
func engineTrials() []trial {
	conditions := []struct {
		name    string
		disturb func(engine *standin.Engine) error
	}{
		{"one slow", func(engine *standin.Engine) error {
			return engine.SetFaults(standin.EngineFaults{SlowFactor: slowFactor})
		}},
		{"one dead", (*standin.Engine).Close},
		{"one silent", func(engine *standin.Engine) error {
			return engine.SetFaults(standin.EngineFaults{Hold: true})
		}},
	}
	var trials []trial
	for _, condition := range conditions {
		for _, policy := range policies {
			trials = append(trials, trial{
				name:    condition.name,
				policy:  policy,
				share:   0.5,
				disturb: func(bed *testbed.Testbed) error { return condition.disturb(bed.Fleet.Engines[0]) },
			})
		}
	}
	return trials
}

func lagTrials() []trial {
	var trials []trial
	for _, lag := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
		for _, policy := range []string{"better_of_two", "prefix_affinity"} {
			trials = append(trials, trial{name: "reports " + lag.String() + " old", policy: policy, share: 0.9, loadLag: lag})
		}
	}
	return trials
}

// The load of the series promises.
const (
	provedRequests = 5000
	provedRate     = 200
	provedInterval = time.Second
)

// prove runs the fleet with all disturbances and fails on a broken promise.
func prove(ctx context.Context, arguments arguments, out io.Writer) error {
	proof, err := testbed.Prove(ctx, testbed.ProofConfig{
		Seed:     arguments.Seed,
		Requests: provedRequests,
		Rate:     provedRate,
		Interval: provedInterval,
		Kinds:    testbed.AllDisturbances(),
	}, out)
	proof.Write(out)
	return errors.Join(err, proof.Err())
}

// measure runs a series.
func measure(ctx context.Context, arguments arguments, out io.Writer) error {
	if arguments.Series == "promises" {
		return prove(ctx, arguments, out)
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
