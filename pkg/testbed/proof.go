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

// The fleet of a proof.
const (
	proofEngines      = 4
	proofSlots        = 64
	proofToken        = 2 * time.Millisecond
	proofMaxTokens    = 32
	proofDeadline     = 20 * time.Second
	proofCloseTimeout = 60 * time.Second
	proofLimitTokens  = 100_000_000
	proofWrites       = 500
	proofReads        = 2000
	shownLosses       = 5
)

// ProofConfig configures Prove.
type ProofConfig struct {
	// Seed decides the load and the order of the disturbances.
	Seed     uint64
	Requests int
	// Rate is the mean of arrivals in requests per second.
	Rate float64
	// Interval is the time between two disturbances.
	Interval time.Duration
	Kinds    []DisturbanceKind
}

// Proof is what a disturbed run gave.
type Proof struct {
	Report       load.Report
	Disturbances []Disturbance
	Audits       []Audit
	// Lost are the requests without an answer.
	Lost []load.Result
	// closing is the error of settling and closing the fleet.
	closing error
}

// ProofFleet returns the fleet of a proof: four routers in three zones, with time
// limits short enough for failures to be noticed within a run.
func ProofFleet() Config {
	config := Config{
		Zones:       []string{"varnamo", "gislaved", "jonkoping", "varnamo"},
		Services:    2,
		Platform:    standin.PlatformConfig{WritesPerSecond: proofWrites, ReadsPerSecond: proofReads},
		LimitTokens: proofLimitTokens,
		Teams: []load.Team{
			{Name: "warranty", Weight: 3, Share: 5},
			{Name: "shops", Weight: 1, Share: 3},
			{Name: "cooks", Weight: 1, Share: 2},
		},
		Adjust: func(router settings.Settings) settings.Settings {
			router.Stall = settings.Stall{FirstTokenTimeout: 2 * time.Second, GapTimeout: time.Second}
			router.Entry.ResponseLifetime = time.Second
			router.LeaseDuration = 2 * time.Second
			router.SettleInterval = 200 * time.Millisecond
			return router
		},
	}
	for range proofEngines {
		config.Engines = append(config.Engines, standin.EngineConfig{Slots: proofSlots, TokenInterval: proofToken})
	}
	return config
}

// Prove sends load through a fleet while it is disturbed, and audits the ledger
// behind it. Broken promises are in the proof; the error is of a run that could
// not be made.
func Prove(ctx context.Context, config ProofConfig, out io.Writer) (Proof, error) {
	bed, err := Start(ctx, ProofFleet())
	if err != nil {
		return Proof{}, err
	}
	report, disturbErr, err := bed.runDisturbed(ctx, config, out)
	proof := Proof{Report: report, Disturbances: bed.Disturbances()}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), proofCloseTimeout)
	defer cancel()
	proof.closing = errors.Join(bed.WaitSettled(closing), bed.Close(closing))
	for _, result := range bed.Results() {
		if result.Outcome != fault.Answered {
			proof.Lost = append(proof.Lost, result)
		}
	}
	audits, auditErr := bed.Audit(closing)
	proof.Audits = audits
	return proof, errors.Join(err, disturbErr, auditErr)
}

// runDisturbed runs the load and the disturbances side by side.
func (testbed *Testbed) runDisturbed(ctx context.Context, config ProofConfig, out io.Writer) (report load.Report, disturbErr, err error) {
	disturbing, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if len(config.Kinds) > 0 {
			disturbErr = testbed.Disturb(disturbing, config.Seed, config.Interval, config.Kinds...)
		}
	}()
	report, err = testbed.Run(ctx, load.Config{
		Seed:      config.Seed,
		Requests:  config.Requests,
		Rate:      config.Rate,
		MaxTokens: proofMaxTokens,
		Deadline:  proofDeadline,
	}, out)
	stop()
	<-stopped
	return report, disturbErr, err
}

// Err returns every broken promise, or nil.
func (proof Proof) Err() error {
	errs := []error{proof.closing}
	if proof.Report.Broken() {
		errs = append(errs, broken(fmt.Sprintf("violations %v", proof.Report.Violations)))
	}
	for _, audit := range proof.Audits {
		errs = append(errs, audit.Err())
	}
	return errors.Join(errs...)
}

// Write shows the disturbances, the accounts, and the first losses.
func (proof Proof) Write(out io.Writer) {
	counts := make(map[DisturbanceKind]int)
	for _, disturbance := range proof.Disturbances {
		counts[disturbance.Kind]++
		if disturbance.Kind == KillRouter {
			_, _ = fmt.Fprintln(out, "router killed at", disturbance.At.UTC().Format(time.TimeOnly))
		}
	}
	_, _ = fmt.Fprintln(out, "disturbances", counts)
	for _, audit := range proof.Audits {
		_, _ = fmt.Fprintf(out, "%s: limit %d, charged %d, of which bills %d, waste %d and unattributed %d; used %d; %d answered, %d not billed, %d billed twice\n",
			audit.Profile, audit.Statement.LimitTokens, audit.ChargedTokens(), audit.Statement.BillTokens, audit.Statement.WasteTokens,
			audit.Statement.UnattributedTokens, audit.UsedTokens, audit.Answered, len(audit.Unbilled), len(audit.Doubled))
		for _, unbilled := range audit.Unbilled[:min(len(audit.Unbilled), shownLosses)] {
			_, _ = fmt.Fprintf(out, "not billed: %+v\n", unbilled)
		}
	}
	for _, result := range proof.Lost[:min(len(proof.Lost), shownLosses)] {
		_, _ = fmt.Fprintf(out, "not answered: %s %s after %d tries and %d stalls: %s\n",
			result.Request.Kind, result.Outcome, result.Tries, result.Stalls, strings.Join(result.History, "; "))
	}
}
