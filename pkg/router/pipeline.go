package router

// The path of an admitted request: reserve, claim, dispatch, settle, answer.
//
// The flow: the worst case is reserved out of the budget before anything runs.
// A non-idempotent request then needs a claim. The dispatcher runs the request
// and streams into the sink. What was used is settled, the claim is concluded,
// and only then is the end of the answer released.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// concludeTimeout bounds the calls that must follow a run even when the caller
// has gone.
const concludeTimeout = 10 * time.Second

// releaseMargin is kept of the caller's time for an answer's end to arrive.
const releaseMargin = 100 * time.Millisecond

// run takes work through the pipeline. It returns the error that the caller
// was told, or nil for a whole answer.
func (router *Router) run(ctx context.Context, current ticket, work dispatch.Work, sink answerSink) error {
	router.tracker.Begin(current.profile.Name)
	defer router.tracker.End(current.profile.Name)
	ctx, cancel := context.WithDeadline(ctx, current.deadline)
	defer cancel()
	reservation, err := router.escrow.Reserve(ctx, budget.Demand{
		Profile:   current.profile.Name,
		RequestID: current.id,
		Tokens:    work.MaxTokens,
		Deadline:  current.deadline,
	})
	if err != nil {
		sink.Fail(err)
		return err
	}
	if !current.idempotent {
		return router.runClaimed(ctx, current, reservation, work, sink)
	}
	work.Extend = func(ctx context.Context, tokens int64) error {
		added, err := router.escrow.Reserve(ctx, budget.Demand{
			Profile:   current.profile.Name,
			RequestID: current.id,
			Tokens:    tokens,
			Deadline:  current.deadline,
		})
		reservation.Tokens += added.Tokens
		return err
	}
	result, err := router.dispatcher.Dispatch(ctx, work, sink)
	err = router.settle(ctx, current, reservation, result, err)
	return router.conclude(sink, err)
}

// runClaimed runs a request that runs at most once.
func (router *Router) runClaimed(ctx context.Context, current ticket, reservation budget.Reservation, work dispatch.Work, sink answerSink) error {
	plain, ok := sink.(*plainSink)
	if !ok {
		router.release(reservation)
		return router.conclude(sink, errNotReplayable)
	}
	request := claim.Request{
		Scope:       current.caller.Name,
		RequestID:   current.key,
		Fingerprint: fingerprintOf(work),
		Deadline:    current.deadline,
	}
	decision, err := router.claims.Claim(ctx, request)
	if err != nil || decision.State != claim.Owned {
		router.release(reservation)
		return router.answerClaimed(ctx, request, decision, err, plain)
	}
	result, err := router.dispatcher.Dispatch(ctx, work, sink)
	release, cancel := router.releaseContext(ctx, current)
	defer cancel()
	err = router.concludeClaim(release, request, plain, err)
	err = router.settle(ctx, current, reservation, result, err)
	return router.conclude(sink, err)
}

// fingerprintOf identifies what a claimed request asks for, so that its key does
// not fetch the stored result of another request.
func fingerprintOf(work dispatch.Work) string {
	digest := sha256.New()
	for _, part := range []string{work.Service, work.Method, work.Path, string(work.Body)} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// answerClaimed answers a request whose claim is not this run's.
func (router *Router) answerClaimed(ctx context.Context, request claim.Request, decision claim.Decision, err error, sink *plainSink) error {
	if err == nil && decision.State == claim.Running {
		decision, err = router.claims.Wait(ctx, request)
	}
	if err != nil {
		return router.conclude(sink, err)
	}
	switch decision.State {
	case claim.Finished:
		sink.result = decision.Result
		return router.conclude(sink, nil)
	case claim.Withdrawn:
		return router.conclude(sink, errWithdrawn)
	default:
		return router.conclude(sink, errOutcomeUnknown)
	}
}

// releaseContext bounds the wait for the result and the bill of an answer whose
// end is held. What the table has not taken by then it is given later.
func (router *Router) releaseContext(ctx context.Context, current ticket) (context.Context, context.CancelFunc) {
	release := time.Now().Add(router.config.BillWait)
	latest := current.deadline.Add(-releaseMargin)
	if latest.Before(release) {
		release = latest
	}
	return context.WithDeadline(context.WithoutCancel(ctx), release)
}

// concludeClaim records how a claimed run ended and returns the error that the
// caller has to be told. It waits for a stored result until ctx ends.
func (router *Router) concludeClaim(ctx context.Context, request claim.Request, sink *plainSink, runErr error) error {
	if runErr == nil {
		if err := router.claims.Finish(ctx, request, sink.result); err != nil {
			router.logClaim("finish", request, err)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), concludeTimeout)
	defer cancel()
	switch {
	case fault.OutcomeOf(runErr) == fault.NotRun:
		if err := router.claims.Withdraw(ctx, request); err != nil {
			router.logClaim("withdraw", request, err)
			return fault.WithOutcome(runErr, fault.OutcomeUnknown)
		}
		return fault.WithRemedy(runErr, remedyNewKey)
	default:
		if err := router.claims.Abandon(ctx, request); err != nil {
			router.logClaim("abandon", request, err)
		}
		return runErr
	}
}

// settle charges what a run used and waits until the bill is safe, or until
// the bound on holding an answer's end. It returns the error that the caller has
// to be told: the run's, or that the connection or the server ended before the
// bill was safe, so that the end of the answer must not be released.
func (router *Router) settle(ctx context.Context, current ticket, reservation budget.Reservation, result dispatch.Result, runErr error) error {
	lines := router.linesOf(current, reservation, result, runErr, callerLeft(ctx))
	receipt := router.escrow.Settle(budget.Settlement{Reservation: reservation, Lines: lines})
	if runErr != nil {
		return runErr
	}
	release, cancel := router.releaseContext(ctx, current)
	defer cancel()
	select {
	case <-receipt.BackedUp():
	case <-release.Done():
		router.metrics.billsLate.Inc()
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return errCallerGone
		}
	}
	return nil
}

// callerLeft reports whether the caller closed the connection.
func callerLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errCallerGone)
}

func (router *Router) release(reservation budget.Reservation) {
	router.escrow.Settle(budget.Settlement{Reservation: reservation})
}

// linesOf returns what has to be charged. A delivered answer is billed, and so
// is a run that its own caller gave up; all else that was used is waste. What
// is not known is charged up to the whole reservation.
func (router *Router) linesOf(current ticket, reservation budget.Reservation, result dispatch.Result, runErr error, left bool) []budget.Line {
	if runErr != nil && !anyStarted(result.Attempts) {
		return nil
	}
	line := router.lineOf(current, result)
	if runErr == nil || left {
		line.Kind = budget.LineBill
	}
	waste := min(wasteOf(reservation, result), reservation.Tokens)
	rest := reservation.Tokens - waste
	if !result.Usage.Known {
		line.Estimated = current.service.Protocol != configuration.ProtocolPlain
		line.Tokens = rest
	}
	line.Tokens = min(line.Tokens, rest)
	if waste == 0 {
		return []budget.Line{line}
	}
	wasted := line
	wasted.Kind = budget.LineWaste
	wasted.PromptTokens, wasted.CompletionTokens = 0, 0
	wasted.Tokens = waste
	wasted.Attempt = ""
	wasted.Estimated = result.WasteUnknown
	return []budget.Line{line, wasted}
}

// lineOf returns a waste line for what the last attempt reported.
func (router *Router) lineOf(current ticket, result dispatch.Result) budget.Line {
	line := budget.Line{
		Kind:             budget.LineWaste,
		Profile:          current.profile.Name,
		RequestID:        current.id,
		Caller:           current.caller.Name,
		Team:             current.caller.Team,
		Service:          current.service.Name,
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
		Tokens:           result.Usage.Tokens(),
		Router:           router.incarnation,
		At:               time.Now().UTC(),
	}
	if last := len(result.Attempts) - 1; last >= 0 {
		line.Attempt = result.Attempts[last].Attempt
	}
	return line
}

// anyStarted reports whether bytes of the request can have reached an upstream.
func anyStarted(attempts []dispatch.AttemptRecord) bool {
	return slices.ContainsFunc(attempts, func(attempt dispatch.AttemptRecord) bool { return attempt.Started })
}

// wasteOf returns what the attempts before the last one used. One whose usage
// is not known counts with its worst case.
func wasteOf(reservation budget.Reservation, result dispatch.Result) int64 {
	if !result.WasteUnknown {
		return result.WasteTokens
	}
	earlier := result.Attempts
	if !result.Usage.Known {
		earlier = earlier[:len(earlier)-1]
	}
	waste := result.WasteTokens
	for _, attempt := range earlier {
		if attempt.Started && !attempt.Usage.Known {
			waste += reservation.Tokens - result.ExtendedTokens
		}
	}
	return waste
}

// conclude releases the end of the answer or tells the error.
func (router *Router) conclude(sink answerSink, err error) error {
	if err != nil {
		sink.Fail(err)
		return err
	}
	sink.End()
	return nil
}

func (router *Router) logClaim(step string, request claim.Request, err error) {
	router.warn("event", "claim_"+step+"_failed", "request_id", request.RequestID, "scope", request.Scope, "err", err)
}

// remedyNewKey is the remedy of a request whose claim was withdrawn: its key is
// refused from then on.
const remedyNewKey = "send it again under a new " + headerIdempotencyKey

var (
	errNotReplayable = fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "a streamed model request cannot be marked non-idempotent",
		Remedy:  "leave " + headerIdempotent + " out, or call a plain service",
	})
	errCollectedPart = fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "an answer that is not streamed cannot begin behind an event",
		Remedy:  "leave " + headerLastEventID + " out, or ask for a stream",
	})
	errNoStream = fault.New(fault.Config{
		Kind:    fault.UpstreamFailed,
		Message: "the engine's answer is not a stream of events",
		Remedy:  "check that the engine heeds stream",
		Outcome: fault.OutcomeUnknown,
	})
	errWithdrawn = fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: "this request was refused before and will not run",
		Remedy:  remedyNewKey,
	})
	errOutcomeUnknown = fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "an earlier run of this request ended in a way that is not known",
		Remedy:  "ask the service whether the request took effect before sending it under a new Idempotency-Key",
		Outcome: fault.OutcomeUnknown,
	})
)
