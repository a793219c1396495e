package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/load"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
	"gitlab.com/wisterialb/wisterialb/pkg/testbed"
)

// The fleet that is measured. All trials share it but for what they vary.
const (
	engines         = 6
	slots           = 8
	tokenInterval   = 5 * time.Millisecond
	fullGrowth      = 1.0
	prefillPerToken = 200 * time.Microsecond
	cacheBlocks     = 200
	maxTokens       = 64
	deadline        = 5 * time.Second
	limitTokens     = 1_000_000_000
	closeTimeout    = 20 * time.Second
	// meanAnswerTokens and meanPromptTokens are those of the load's plan.
	meanAnswerTokens = 34
	meanPromptTokens = 296
)

// capacityPerSecond is how many requests the engines can answer with full
// batches and no cached prefixes.
func capacityPerSecond() float64 {
	perToken := tokenInterval.Seconds() * (1 + fullGrowth)
	perRequest := meanAnswerTokens*perToken + meanPromptTokens*prefillPerToken.Seconds()
	return engines * slots / perRequest
}

// trial is one run.
type trial struct {
	name   string
	policy string
	// share is the load as a share of the capacity.
	share   float64
	loadLag time.Duration
	// noPrefill leaves out the time of prompts, which depends on the cache.
	noPrefill bool
	// direct sends the load straight to the engines.
	direct bool
	// disturb changes the fleet before the load begins; nil changes nothing.
	disturb func(bed *testbed.Testbed) error
}

// row is what a trial gave.
type row struct {
	trial  trial
	report load.Report
}

func (trial trial) run(ctx context.Context, arguments arguments) (row, error) {
	bed, err := testbed.Start(ctx, trial.config())
	if err != nil {
		return row{}, err
	}
	defer func() {
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		_ = bed.Close(closing)
	}()
	if trial.disturb != nil {
		if err := trial.disturb(bed); err != nil {
			return row{}, err
		}
	}
	rate := capacityPerSecond() * trial.share
	report, err := bed.Run(ctx, load.Config{
		Seed:      arguments.Seed,
		Mix:       "model",
		Rate:      rate,
		Requests:  int(rate * arguments.Seconds),
		MaxTokens: maxTokens,
		Deadline:  deadline,
		Direct:    trial.direct,
	}, io.Discard)
	return row{trial: trial, report: report}, err
}

func (trial trial) config() testbed.Config {
	config := testbed.Config{
		Zones:       []string{"varnamo", "gislaved", "jonkoping", "varnamo"},
		Services:    1,
		LimitTokens: limitTokens,
		Teams: []load.Team{
			{Name: "warranty", Weight: 3, Share: 5},
			{Name: "shops", Weight: 1, Share: 3},
			{Name: "cooks", Weight: 1, Share: 2},
		},
		Adjust: func(router settings.Settings) settings.Settings {
			router.Policy = trial.policy
			router.SettleInterval = 50 * time.Millisecond
			router.Stall = settings.Stall{FirstTokenTimeout: 3 * time.Second, GapTimeout: time.Second}
			return router
		},
	}
	prefill := prefillPerToken
	if trial.noPrefill {
		prefill = 0
	}
	for index := range engines {
		config.Engines = append(config.Engines, standin.EngineConfig{
			Name:            fmt.Sprintf("engine-%d", index+1),
			Slots:           slots,
			TokenInterval:   tokenInterval,
			FullGrowth:      fullGrowth,
			PrefillPerToken: prefill,
			CacheBlocks:     cacheBlocks,
			LoadLag:         trial.loadLag,
		})
	}
	return config
}

const header = `| trial | policy | load | offered/s | goodput/s | answered | not run | unknown | TTFT p50 ms | TTFT p95 ms | TTFT p99 ms | between p95 ms | prefix hits | fairness | violations |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

func (row row) write(out io.Writer) {
	report := row.report
	violations := 0
	for _, count := range report.Violations {
		violations += count
	}
	_, _ = fmt.Fprintf(out, "| %s | %s | %.1f | %.1f | %.1f | %d | %d | %d | %.1f | %.1f | %.1f | %.1f | %.3f | %.3f | %d |\n",
		row.trial.name, row.trial.policy, row.trial.share, report.OfferedPerSecond, report.GoodputPerSecond,
		report.Outcomes[fault.Answered], report.Outcomes[fault.NotRun], report.Outcomes[fault.OutcomeUnknown],
		report.FirstToken.P50MS, report.FirstToken.P95MS, report.FirstToken.P99MS, report.BetweenTokens.P95MS,
		report.PrefixHitRate, report.Fairness, violations)
}
