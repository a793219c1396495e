package dispatch

import (
	"context"
	"errors"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// run is the state of one dispatched request.
type run struct {
	dispatcher  *UpstreamDispatcher
	service     *service
	work        Work
	delivery    *delivery
	reservation *reservation
	// mayHaveRun is set when an attempt of the request may have run.
	mayHaveRun bool
	// failedUpstreams holds the addresses of upstreams whose attempts failed.
	failedUpstreams []string
	result          Result
}

func newRun(dispatcher *UpstreamDispatcher, service *service, work Work, sink Sink) *run {
	return &run{
		dispatcher:  dispatcher,
		service:     service,
		work:        work,
		delivery:    newDelivery(work, sink),
		reservation: &reservation{work: work},
	}
}

// do runs the request and returns its result.
func (run *run) do(ctx context.Context) (Result, error) {
	run.service.retryBudget.deposit()
	err := run.resumeOrRun(ctx)
	run.result.ExtendedTokens = run.reservation.extendedTokens
	run.result.Outcome = fault.Answered
	if err != nil {
		run.result.Outcome = fault.OutcomeOf(err)
	}
	return run.result, err
}

func (run *run) resumeOrRun(ctx context.Context) error {
	if run.work.Resume.AttemptID == "" {
		return run.runAttempts(ctx)
	}
	handled, err := run.resumeAttempt(ctx)
	if handled {
		return err
	}
	return run.runAttempts(ctx)
}

// runAttempts makes attempts until one is delivered or no other is allowed.
func (run *run) runAttempts(ctx context.Context) error {
	backOff := newBackoff(run.dispatcher.config.Retry)
	for {
		if err := run.dispatcher.config.Quarantine.Check(run.work.promptParts()); err != nil {
			return run.acquireError(err)
		}
		member, err := run.acquire(ctx)
		if err != nil {
			return run.acquireError(err)
		}
		attempt := newAttempt(run, member, newAttemptID(run.work))
		err = attempt.execute(ctx)
		if err == nil {
			run.finishAttempt(ctx, attempt, nil)
			run.recordSuccess()
			return nil
		}
		decision := run.evaluateFailure(ctx, attempt, err)
		if decision != retryElsewhere {
			return run.failureError(ctx, decision, err)
		}
		sleep(ctx, backOff.NextBackOff())
	}
}

// acquire acquires a pool member and records the wait for it.
func (run *run) acquire(ctx context.Context) (*upstream.Member, error) {
	start := time.Now()
	member, err := run.service.acquire(ctx, run.work, run.failedUpstreams)
	run.dispatcher.metrics.observeWait(run.service.name, time.Since(start))
	return member, err
}

// acquireError returns the error of a request that acquired no upstream. If an
// earlier attempt may have run, the outcome is unknown.
func (run *run) acquireError(err error) error {
	if !run.mayHaveRun {
		return err
	}
	return fault.WithOutcome(err, fault.OutcomeUnknown)
}

// evaluateFailure settles a failed attempt and decides whether another one is
// made.
func (run *run) evaluateFailure(ctx context.Context, attempt *attempt, err error) retryDecision {
	mayRetry := attempt.recordCrash(ctx)
	run.finishAttempt(ctx, attempt, err)
	run.failedUpstreams = append(run.failedUpstreams, attempt.record.UpstreamAddress)
	record := attempt.record
	run.mayHaveRun = run.mayHaveRun || record.MayHaveStarted
	retryConditions := retryConditions{
		MayHaveStarted: run.mayHaveRun,
		UsageCovered:   !run.work.ModelEngine || record.Usage.Known || run.work.Extend != nil,
		Idempotent:     run.work.Idempotent,
		CallerGone:     run.delivery.callerGone || ctx.Err() != nil,
		Delivered:      run.delivery.headSent,
		Exhausted:      len(run.result.Attempts) >= run.dispatcher.config.Retry.MaxAttempts || !mayRetry,
		Affordable:     true,
	}
	decision := decideRetry(retryConditions)
	if decision == retryElsewhere {
		run.reservation.addUsage(record.Usage)
		retryConditions.Exhausted = !attempt.retryWithdrawn && !run.service.retryBudget.withdraw()
		retryConditions.Affordable = !retryConditions.Exhausted && run.reservation.reserveNextAttempt(ctx)
		decision = decideRetry(retryConditions)
		run.addWaste(record.Usage, decision)
	}
	run.dispatcher.metrics.retries.WithLabelValues(run.service.name, string(decision)).Inc()
	return decision
}

// addWaste counts the usage of a failed attempt as waste if a retry follows, and
// resets the result's usage to zero until the retry has one.
func (run *run) addWaste(usage Usage, decision retryDecision) {
	if decision != retryElsewhere {
		return
	}
	run.result.Usage = Usage{Known: true}
	run.result.WasteTokens += usage.Tokens()
	run.result.WasteUnknown = run.result.WasteUnknown || !usage.Known
}

// finishAttempt settles and records an ended attempt and releases its pool
// member.
func (run *run) finishAttempt(ctx context.Context, attempt *attempt, err error) {
	if err != nil {
		run.delivery.drop()
		attempt.share.Release()
	}
	attempt.settle(ctx, err)
	run.result.Attempts = append(run.result.Attempts, attempt.record)
	run.result.Usage = attempt.record.Usage
	if err == nil {
		run.result.Held = attempt.share
	}
	run.service.release(attempt.member, attempt.attemptResult(ctx, err), time.Since(attempt.startedAt))
	end := attempt.resultLabel(err)
	run.dispatcher.metrics.attempts.WithLabelValues(run.service.name, end).Inc()
	_ = run.dispatcher.config.Logger.Log(
		"event", "attempt_ended", "request_id", run.work.RequestID, "attempt", attempt.record.AttemptID,
		"profile", run.work.Profile, "upstream", attempt.record.UpstreamAddress, "end", end,
		"tokens", attempt.record.Usage.Tokens(), "usage_known", attempt.record.Usage.Known, "err", err)
}

// failureError returns the error that ends the request. If the sink returned a
// fault other than fault.Internal, that fault is returned with the outcome.
func (run *run) failureError(ctx context.Context, decision retryDecision, err error) error {
	if run.delivery.callerGone && fault.KindOf(err) != fault.Internal {
		return fault.WithOutcome(err, fault.Outcome(decision))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.Config{
			Kind:    fault.DeadlineExceeded,
			Message: "the deadline passed before the answer was complete",
			Remedy:  "send the request again with a later deadline",
			Outcome: fault.Outcome(decision),
			Cause:   err,
		})
	}
	if decision == endNotRun {
		return notRunError(err)
	}
	if errors.Is(err, errReservationExceeded) {
		return fault.New(fault.Config{
			Kind:    fault.UpstreamFailed,
			Message: "the engine sent more tokens than were reserved",
			Remedy:  "check that the engine respects max_tokens",
			Outcome: fault.OutcomeUnknown,
			Cause:   err,
		})
	}
	return fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "the answer was interrupted and could not be recovered",
		Remedy:  "send the request again with the same request id and its last resume token",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}

// notRunError returns the error of a request that certainly did not run.
func notRunError(err error) error {
	var refusal *refusalError
	if errors.As(err, &refusal) {
		return fault.New(fault.Config{
			Kind:       fault.Overloaded,
			Message:    "the upstreams refused the request",
			Remedy:     "send the request again after the stated time",
			RetryAfter: max(refusal.retryAfter, unavailableRetryAfter),
			Cause:      err,
		})
	}
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    "no upstream could be reached (" + string(exchange.ErrorOf(err).Reason) + ")",
		Remedy:     "send the request again",
		RetryAfter: unavailableRetryAfter,
		Cause:      err,
	})
}
