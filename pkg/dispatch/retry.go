package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// recovery is what to do at the same upstream after an answer broke off.
type recovery string

const (
	// recoverNone gives the attempt up.
	recoverNone recovery = "none"
	// recoverResume reopens the attempt's stream behind the last position.
	recoverResume recovery = "resume"
	// recoverResend sends the same attempt again; the engine runs an attempt at
	// most once.
	recoverResend recovery = "resend"
)

// breakage is what is known when an answer breaks off.
type breakage struct {
	Reason exchange.Reason
	// Model and Started are those of the work and of the attempt.
	Model   bool
	Started bool
	// CallerGone is set when nobody waits for the answer.
	CallerGone bool
	// Delivered is set when the caller has a part of the answer.
	Delivered bool
	// Unseen is set when the engine says that it never saw the attempt.
	Unseen bool
	// Silent is set when the attempt was sent on a connection that stalled.
	Silent bool
	// Exhausted is set when no more recoveries are allowed.
	Exhausted bool
}

// recoveryFor decides what is done at the same upstream.
func recoveryFor(breakage breakage) recovery {
	switch {
	case !breakage.Model, !breakage.Started, breakage.CallerGone, breakage.Exhausted:
		return recoverNone
	case breakage.Reason == reasonRefused, breakage.Reason == exchange.ReasonOversized:
		return recoverNone
	case !breakage.Unseen:
		return recoverResume
	case breakage.Silent && !breakage.Delivered:
		return recoverResend
	default:
		return recoverNone
	}
}

// verdict is how a request goes on after an attempt was given up. One that ends
// the request is the outcome that its caller is told.
type verdict string

const (
	// retryElsewhere makes a new attempt.
	retryElsewhere verdict = "retry"
	// endNotRun ends the request, which provably did not run.
	endNotRun = verdict(fault.NotRun)
	// endUnknown ends the request, which may have run.
	endUnknown = verdict(fault.OutcomeUnknown)
)

// situation is what is known when an attempt was given up.
type situation struct {
	// Started is set when this or an earlier attempt may have run.
	Started bool
	// Settled is set when this attempt can't run on: it never started, or the
	// engine refused or cancelled it, or a closed connection ended it.
	Settled    bool
	Idempotent bool
	CallerGone bool
	Delivered  bool
	// Affordable is set when the reservation covers one more attempt.
	Affordable bool
	// Exhausted is set when attempts, the retry budget or time have run out.
	Exhausted bool
}

// verdictFor decides how the request goes on.
func verdictFor(situation situation) verdict {
	switch {
	case !situation.Started && (situation.CallerGone || situation.Exhausted):
		return endNotRun
	case !situation.Started:
		return retryElsewhere
	case situation.CallerGone, situation.Delivered, situation.Exhausted:
		return endUnknown
	case !situation.Idempotent, !situation.Settled, !situation.Affordable:
		return endUnknown
	default:
		return retryElsewhere
	}
}

// retryBudget bounds the retries of a service to a share of its requests.
type retryBudget struct {
	config RetryConfig
	mutex  sync.Mutex
	tokens float64
}

func newRetryBudget(config RetryConfig) *retryBudget {
	return &retryBudget{config: config, tokens: config.Burst}
}

// deposit adds the share of one request.
func (retryBudget *retryBudget) deposit() {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.tokens = min(retryBudget.tokens+retryBudget.config.Share, retryBudget.config.Burst)
}

// withdraw takes one retry if there is one.
func (retryBudget *retryBudget) withdraw() bool {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	if retryBudget.tokens < 1 {
		return false
	}
	retryBudget.tokens--
	return true
}

func newBackoff(config RetryConfig) *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = config.InitialBackoff
	delays.MaxInterval = config.MaxBackoff
	return delays
}

// pause waits for the delay or until the context ends.
func pause(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
