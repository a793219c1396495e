package testbed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/load"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// The fleet and the load of a verification run.
const (
	engineCount        = 4
	engineSlots        = 64
	tokenInterval      = 2 * time.Millisecond
	maxTokens          = 32
	requestDeadline    = 20 * time.Second
	closeTimeout       = 60 * time.Second
	profileLimitTokens = 100_000_000
	writesPerSecond    = 500
	readsPerSecond     = 2000
	maxListedRequests  = 5
)

// VerificationConfig configures Verify.
type VerificationConfig struct {
	// Seed determines the load and the order of the disturbances.
	Seed     uint64
	Requests int
	// Rate is the mean arrival rate in requests per second.
	Rate float64
	// Interval is the time between two disturbances.
	Interval time.Duration
	Kinds    []DisturbanceKind
}

// Verification is the result of a run with disturbances.
type Verification struct {
	Report       load.Report
	Disturbances []Disturbance
	Audits       []Audit
	// Unanswered are the requests whose outcome is not an answer.
	Unanswered []load.Result
	// closeErr is the error of settling and closing the fleet.
	closeErr error
}

// VerificationFleet returns the configuration of four routers in three zones,
// with timeouts short enough to detect failures within a run.
func VerificationFleet() Config {
	config := Config{
		Zones:       []string{"varnamo", "gislaved", "jonkoping", "varnamo"},
		Services:    2,
		Platform:    standin.PlatformConfig{WritesPerSecond: writesPerSecond, ReadsPerSecond: readsPerSecond},
		LimitTokens: profileLimitTokens,
		Teams: []load.Team{
			{Name: "warranty", Weight: 3, ArrivalShare: 5},
			{Name: "shops", Weight: 1, ArrivalShare: 3},
			{Name: "cooks", Weight: 1, ArrivalShare: 2},
		},
		Adjust: func(router settings.Settings) settings.Settings {
			router.Stall = settings.Stall{FirstTokenTimeout: 2 * time.Second, GapTimeout: time.Second}
			router.Entry.ResponseLifetime = time.Second
			router.LeaseDuration = 2 * time.Second
			router.SettleInterval = 200 * time.Millisecond
			return router
		},
	}
	for range engineCount {
		config.Engines = append(config.Engines, standin.EngineConfig{Slots: engineSlots, TokenInterval: tokenInterval})
	}
	return config
}

// Verify sends load through a fleet while disturbances are applied, then closes
// the fleet and audits the ledger. Violated guarantees are in the Verification;
// the error is that of a run that could not be completed.
func Verify(ctx context.Context, config VerificationConfig, out io.Writer) (Verification, error) {
	testbed, err := Start(ctx, VerificationFleet())
	if err != nil {
		return Verification{}, err
	}
	report, disturbErr, err := testbed.runWithDisturbances(ctx, config, out)
	verification := Verification{Report: report, Disturbances: testbed.Disturbances()}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	verification.closeErr = errors.Join(testbed.WaitSettled(closeCtx), testbed.Close(closeCtx))
	for _, result := range testbed.Results() {
		if result.Outcome != fault.Answered {
			verification.Unanswered = append(verification.Unanswered, result)
		}
	}
	audits, auditErr := testbed.Audit(closeCtx)
	verification.Audits = audits
	return verification, errors.Join(err, disturbErr, auditErr)
}

// runWithDisturbances runs the load and the disturbances concurrently.
func (testbed *Testbed) runWithDisturbances(ctx context.Context, config VerificationConfig, out io.Writer) (report load.Report, disturbErr, err error) {
	disturbCtx, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if len(config.Kinds) > 0 {
			disturbErr = testbed.Disturb(disturbCtx, config.Seed, config.Interval, config.Kinds...)
		}
	}()
	report, err = testbed.Run(ctx, load.Config{
		Seed:      config.Seed,
		Requests:  config.Requests,
		Rate:      config.Rate,
		MaxTokens: maxTokens,
		Deadline:  requestDeadline,
	}, out)
	stop()
	<-stopped
	return report, disturbErr, err
}

// Err returns all violated guarantees, or nil.
func (verification Verification) Err() error {
	errs := []error{verification.closeErr}
	if verification.Report.HasViolations() {
		errs = append(errs, violationError(fmt.Sprintf("violations %v", verification.Report.Violations)))
	}
	for _, audit := range verification.Audits {
		errs = append(errs, audit.Err())
	}
	return errors.Join(errs...)
}

// Write prints the disturbances, the audits and the first unanswered requests.
func (verification Verification) Write(out io.Writer) {
	counts := make(map[DisturbanceKind]int)
	for _, disturbance := range verification.Disturbances {
		counts[disturbance.Kind]++
		if disturbance.Kind == KillRouter {
			_, _ = fmt.Fprintln(out, "router killed at", disturbance.At.UTC().Format(time.TimeOnly))
		}
	}
	_, _ = fmt.Fprintln(out, "disturbances", counts)
	for _, audit := range verification.Audits {
		_, _ = fmt.Fprintf(out, "%s: limit %d, charged %d, of which bills %d, waste %d and unattributed %d; used %d; %d answered, %d not billed, %d billed twice\n",
			audit.Profile, audit.Statement.LimitTokens, audit.ChargedTokens(), audit.Statement.BillTokens, audit.Statement.WasteTokens,
			audit.Statement.UnattributedTokens, audit.UsedTokens, audit.Answered, len(audit.Unbilled), len(audit.BilledTwice))
		for _, unbilledRequest := range audit.Unbilled[:min(len(audit.Unbilled), maxListedRequests)] {
			_, _ = fmt.Fprintf(out, "not billed: %+v\n", unbilledRequest)
		}
	}
	for _, result := range verification.Unanswered[:min(len(verification.Unanswered), maxListedRequests)] {
		_, _ = fmt.Fprintf(out, "not answered: %s %s after %d tries and %d stalls: %s\n",
			result.Request.Kind, result.Outcome, result.Attempts, result.Stalls, strings.Join(result.History, "; "))
	}
}
