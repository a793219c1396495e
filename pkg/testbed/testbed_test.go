package testbed_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/load"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
	"gitlab.com/wisterialb/wisterialb/pkg/testbed"
)

const (
	closeTimeout = 60 * time.Second
	engines      = 4
	loggedLost   = 5
)

func config() testbed.Config {
	config := testbed.Config{
		Zones:       []string{"varnamo", "gislaved", "jonkoping", "varnamo"},
		Services:    2,
		Platform:    standin.PlatformConfig{WritesPerSecond: 500, ReadsPerSecond: 2000},
		LimitTokens: 100_000_000,
		Teams: []load.Team{
			{Name: "warranty", Weight: 3, Share: 5},
			{Name: "shops", Weight: 1, Share: 3},
			{Name: "cooks", Weight: 1, Share: 2},
		},
		Adjust: func(router settings.Settings) settings.Settings {
			router.Stall = settings.Stall{FirstToken: 2 * time.Second, BetweenTokens: time.Second}
			router.Entry.Lifetime = time.Second
			router.LeaseDuration = 2 * time.Second
			router.SettleInterval = 200 * time.Millisecond
			return router
		},
	}
	for range engines {
		config.Engines = append(config.Engines, standin.EngineConfig{Slots: 64, TokenInterval: 2 * time.Millisecond})
	}
	return config
}

// run sends the load while the fleet is disturbed, and audits the ledger.
func run(t *testing.T, requests int, rate float64, interval time.Duration, kinds ...testbed.DisturbanceKind) load.Report {
	t.Helper()
	bed, err := testbed.Start(t.Context(), config())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	disturbed := make(chan struct{})
	var disturbErr error
	go func() {
		defer close(disturbed)
		if len(kinds) > 0 {
			var counts map[testbed.DisturbanceKind]int
			counts, disturbErr = bed.Disturb(ctx, 1, interval, kinds...)
			t.Log("disturbances", counts)
		}
	}()
	var out bytes.Buffer
	report, err := bed.Run(t.Context(), load.Config{Seed: 1, Requests: requests, Rate: rate, MaxTokens: 32, Deadline: 20 * time.Second}, &out)
	stop()
	<-disturbed
	require.NoError(t, err)
	require.NoError(t, disturbErr)
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	assert.NoError(t, bed.WaitSettled(closing), "grants of dead routers are closed")
	assert.NoError(t, bed.Close(closing)) //nolint:testifylint // the audit below is wanted in any case
	t.Log("\n" + out.String())
	logLost(t, bed)
	for _, disturbance := range bed.Disturbances() {
		t.Log(disturbance.At.Format(time.StampMilli), disturbance.Kind)
	}
	assert.False(t, report.Broken(), "violations %v", report.Violations)
	audits, err := bed.Audit(closing)
	require.NoError(t, err)
	for _, audit := range audits {
		t.Logf("%s: limit %d, charged %d, settled %d, used %d, answered %d", audit.Profile, audit.Statement.LimitTokens, audit.ChargedTokens(), audit.Statement.SettledTokens, audit.UsedTokens, audit.Answered)
		assert.NoError(t, audit.Err())
		for _, unbilled := range audit.Unbilled[:min(len(audit.Unbilled), loggedLost)] {
			t.Logf("unbilled %+v", unbilled)
		}
	}
	return report
}

// logLost shows how the first requests without an answer ended.
func logLost(t *testing.T, bed *testbed.Testbed) {
	t.Helper()
	lost := 0
	for _, result := range bed.Results() {
		if result.Outcome == fault.Answered || lost == loggedLost {
			continue
		}
		lost++
		t.Logf("%s %s: %d tries, %d stalls, %s", result.Request.Kind, result.Outcome, result.Tries, result.Stalls, strings.Join(result.History, "; "))
	}
}

// TestCalm checks that a fleet without failures answers everything.
func TestCalm(t *testing.T) {
	report := run(t, 400, 100, time.Second)
	assert.Equal(t, report.Requests, report.Outcomes["answered"])
}

// TestPromisesUnderFailures sends 5,000 requests while routers are killed,
// connections go silent, streams break and writes lose their answers.
func TestPromisesUnderFailures(t *testing.T) {
	run(t, 5000, 200, time.Second, testbed.AllDisturbances()...)
}
