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

// Parameters of the measured fleet, common to all trials.
const (
	engineCount          = 6
	slotsPerEngine       = 8
	tokenInterval        = 5 * time.Millisecond
	fullBatchSlowdown    = 1.0
	prefillPerToken      = 200 * time.Microsecond
	cacheBlocksPerEngine = 200
	maxTokens            = 64
	deadline             = 5 * time.Second
	teamLimitTokens      = 1_000_000_000
	closeTimeout         = 20 * time.Second
	// Mean token counts of the requests that load.Plan draws.
	meanAnswerTokens = 34
	meanPromptTokens = 296
)

// capacityPerSecond returns the rate of requests that the engines can answer with
// full batches and no cached prefixes.
func capacityPerSecond() float64 {
	secondsPerToken := tokenInterval.Seconds() * (1 + fullBatchSlowdown)
	secondsPerRequest := meanAnswerTokens*secondsPerToken + meanPromptTokens*prefillPerToken.Seconds()
	return engineCount * slotsPerEngine / secondsPerRequest
}

// trial is one run of load on one configuration of the fleet.
type trial struct {
	name   string
	policy string
	// loadRatio is the offered load as a fraction of capacityPerSecond.
	loadRatio       float64
	loadReportDelay time.Duration
	// noPrefill sets the prefill time to zero, so that prefix cache hits do not
	// affect the latency.
	noPrefill bool
	// direct sends the load to the engines, bypassing the routers.
	direct bool
	// injectFault is called before the load starts; it may be nil.
	injectFault func(bed *testbed.Testbed) error
}

// row is the result of a trial, one line of the table.
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
		closeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		_ = bed.Close(closeContext)
	}()
	if trial.injectFault != nil {
		if err := trial.injectFault(bed); err != nil {
			return row{}, err
		}
	}
	ratePerSecond := capacityPerSecond() * trial.loadRatio
	report, err := bed.Run(ctx, load.Config{
		Seed:      arguments.Seed,
		Mix:       "model",
		Rate:      ratePerSecond,
		Requests:  int(ratePerSecond * arguments.Seconds),
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
		LimitTokens: teamLimitTokens,
		Teams: []load.Team{
			{Name: "warranty", Weight: 3, ArrivalShare: 5},
			{Name: "shops", Weight: 1, ArrivalShare: 3},
			{Name: "cooks", Weight: 1, ArrivalShare: 2},
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
	for index := range engineCount {
		config.Engines = append(config.Engines, standin.EngineConfig{
			Name:              fmt.Sprintf("engine-%d", index+1),
			Slots:             slotsPerEngine,
			TokenInterval:     tokenInterval,
			FullBatchSlowdown: fullBatchSlowdown,
			PrefillPerToken:   prefill,
			CacheBlocks:       cacheBlocksPerEngine,
			LoadReportDelay:   trial.loadReportDelay,
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
		row.trial.name, row.trial.policy, row.trial.loadRatio, report.OfferedPerSecond, report.GoodputPerSecond,
		report.Outcomes[fault.Answered], report.Outcomes[fault.NotRun], report.Outcomes[fault.OutcomeUnknown],
		report.TimeToFirstToken.P50MS, report.TimeToFirstToken.P95MS, report.TimeToFirstToken.P99MS, report.TokenGap.P95MS,
		report.PrefixHitRate, report.Fairness, violations)
}
