package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// recovery is the action taken at the same upstream after an answer was interrupted.
type recovery string

const (
	// recoverNone abandons the attempt.
	recoverNone recovery = "none"
	// recoverResume reopens the attempt's stream after the last delivered position.
	recoverResume recovery = "resume"
	// recoverResend sends the same attempt again. This is safe because the engine
	// runs an attempt at most once.
	recoverResend recovery = "resend"
)

// recoveryConditions are the inputs of chooseRecovery.
type recoveryConditions struct {
	Reason exchange.Reason
	// ModelEngine is set if the upstream is a model engine.
	ModelEngine bool
	// MayHaveStarted is set when the attempt may have run.
	MayHaveStarted bool
	// CallerGone is set when the answer is no longer wanted: the caller has
	// disconnected, the request has ended or the stream exceeds its reservation.
	CallerGone bool
	// Delivered is set when the caller has received a part of the answer.
	Delivered bool
	// UnknownToEngine is set when the engine reports that it has no record of the
	// attempt.
	UnknownToEngine bool
	// SentOnStalledConnection is set when the attempt was sent on a connection that
	// stalled, so that the engine may not have received it.
	SentOnStalledConnection bool
	// Exhausted is set when the maximum number of recoveries is reached.
	Exhausted bool
}

// chooseRecovery returns the action at the same upstream.
func chooseRecovery(recoveryConditions recoveryConditions) recovery {
	switch {
	case !recoveryConditions.ModelEngine, !recoveryConditions.MayHaveStarted, recoveryConditions.CallerGone, recoveryConditions.Exhausted:
		return recoverNone
	case recoveryConditions.Reason == reasonRefused, recoveryConditions.Reason == exchange.ReasonOversized,
		recoveryConditions.Reason == exchange.ReasonGivenUp:
		return recoverNone
	case !recoveryConditions.UnknownToEngine:
		return recoverResume
	case recoveryConditions.SentOnStalledConnection && !recoveryConditions.Delivered:
		return recoverResend
	default:
		return recoverNone
	}
}

// retryDecision is the next step of a request after a failed attempt. The decisions
// that end the request have the value of the outcome reported to the caller.
type retryDecision string

const (
	// retryElsewhere makes a new attempt, if possible at another upstream.
	retryElsewhere retryDecision = "retry"
	// endNotRun ends the request, which certainly did not run.
	endNotRun = retryDecision(fault.NotRun)
	// endUnknown ends the request, which may have run.
	endOutcomeUnknown = retryDecision(fault.OutcomeUnknown)
)

// retryConditions are the inputs of decideRetry.
type retryConditions struct {
	// MayHaveStarted is set when this or an earlier attempt may have run.
	MayHaveStarted bool
	// UsageCovered is set when the tokens that the failed attempt uses are certain to
	// be covered by the reservation. This holds in three cases: its usage is known,
	// since it never started, was refused or was cancelled; it ran at a plain service,
	// where closing the connection ended it; or the reservation can be extended by
	// its worst-case usage.
	UsageCovered bool
	Idempotent   bool
	// CallerGone is set when the caller has disconnected or the request has ended.
	CallerGone bool
	// Delivered is set when the caller has received a part of the answer.
	Delivered bool
	// Affordable is set when the reservation covers one more attempt. The first
	// decision on a failed attempt assumes that it does.
	Affordable bool
	// Exhausted is set when the maximum number of attempts is reached, the retry
	// budget is empty, or the prompt is suspected of crashing engines.
	Exhausted bool
}

// decideRetry returns the next step of the request.
func decideRetry(retryConditions retryConditions) retryDecision {
	switch {
	case !retryConditions.MayHaveStarted && (retryConditions.CallerGone || retryConditions.Exhausted):
		return endNotRun
	case !retryConditions.MayHaveStarted:
		return retryElsewhere
	case retryConditions.CallerGone, retryConditions.Delivered, retryConditions.Exhausted:
		return endOutcomeUnknown
	case !retryConditions.Idempotent, !retryConditions.UsageCovered, !retryConditions.Affordable:
		return endOutcomeUnknown
	default:
		return retryElsewhere
	}
}

// retryBudget is a token bucket that limits the retries of a service to a fraction
// of its requests.
type retryBudget struct {
	config    RetryConfig
	mutex     sync.Mutex
	available float64
}

func newRetryBudget(config RetryConfig) *retryBudget {
	return &retryBudget{config: config, available: config.Burst}
}

// deposit adds the retries allowed per request.
func (retryBudget *retryBudget) deposit() {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.available = min(retryBudget.available+retryBudget.config.Ratio, retryBudget.config.Burst)
}

// withdraw takes one retry. It reports false if none is available.
func (retryBudget *retryBudget) withdraw() bool {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	if retryBudget.available < 1 {
		return false
	}
	retryBudget.available--
	return true
}

func newBackoff(config RetryConfig) *backoff.ExponentialBackOff {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = config.InitialBackoff
	backOff.MaxInterval = config.MaxBackoff
	return backOff
}

// sleep waits until the delay has passed or the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
