package router

// Execution of an admitted request: reserve, claim, dispatch, settle, answer.
//
// The maximum number of tokens that the request can use is reserved from the
// budget before anything runs. A non-idempotent request then needs a claim. The
// dispatcher runs the request and writes the answer to the sink. Then the claim
// is concluded and the used tokens are settled, and only after that the end of
// the answer is sent to the caller.

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

// claimTimeout limits the calls that withdraw or abandon a claim after a failed
// run. They are made even if the caller has disconnected.
const claimTimeout = 10 * time.Second

// answerEndMargin is the time before the deadline that is left for the end of an
// answer to reach the caller.
const answerEndMargin = 100 * time.Millisecond

// run executes the work of an admitted request and answers it through the sink.
// It returns the error that was sent to the caller, or nil if the answer was
// complete.
func (router *Router) run(ctx context.Context, admitted admittedRequest, work dispatch.Work, sink answerSink) error {
	router.tracker.Begin(admitted.profile.Name)
	defer router.tracker.End(admitted.profile.Name)
	ctx, cancel := context.WithDeadline(ctx, admitted.deadline)
	defer cancel()
	reservation, err := router.escrow.Reserve(ctx, budget.Demand{
		Profile:   admitted.profile.Name,
		RequestID: admitted.id,
		Tokens:    work.ReservedTokens,
		Deadline:  admitted.deadline,
	})
	if err != nil {
		if !admitted.idempotent {
			err = router.withEarlierOutcome(ctx, newClaimRequest(admitted, work), err)
		}
		return router.finishAnswer(sink, err)
	}
	if !admitted.idempotent {
		return router.runClaimed(ctx, admitted, reservation, work, sink)
	}
	work.Extend = func(ctx context.Context, tokens int64) error {
		added, err := router.escrow.Reserve(ctx, budget.Demand{
			Profile:   admitted.profile.Name,
			RequestID: admitted.id,
			Tokens:    tokens,
			Deadline:  admitted.deadline,
		})
		reservation.Tokens += added.Tokens
		return err
	}
	result, err := router.dispatcher.Dispatch(ctx, work, sink)
	defer result.Held.Release()
	lines := router.settlementLines(admitted, reservation, result, err, callerDisconnected(ctx, err))
	err = router.settle(ctx, admitted, budget.Settlement{Reservation: reservation, Lines: lines}, err)
	return router.finishAnswer(sink, err)
}

// runClaimed executes a non-idempotent request, which must run at most once. If
// another run has claimed the request, it answers from that claim instead.
func (router *Router) runClaimed(ctx context.Context, admitted admittedRequest, reservation budget.Reservation, work dispatch.Work, sink answerSink) error {
	plainSink, ok := sink.(*plainSink)
	if !ok {
		router.releaseReservation(reservation)
		return router.finishAnswer(sink, errModelNotIdempotent)
	}
	request := newClaimRequest(admitted, work)
	decision, err := router.claims.Claim(ctx, request)
	if err != nil || decision.State != claim.Owned {
		err = router.answerFromClaim(ctx, admitted, reservation, request, decision, err, plainSink)
		return router.finishAnswer(sink, err)
	}
	result, err := router.dispatcher.Dispatch(ctx, work, sink)
	defer result.Held.Release()
	settlement := budget.Settlement{
		Reservation: reservation, Lines: router.settlementLines(admitted, reservation, result, err, callerDisconnected(ctx, err)),
	}
	settleCtx, cancel := router.settleContext(ctx, admitted)
	defer cancel()
	err = router.concludeClaim(settleCtx, request, plainSink, settlement.Lines, err)
	err = router.settle(ctx, admitted, settlement, err)
	return router.finishAnswer(sink, err)
}

func newClaimRequest(admitted admittedRequest, work dispatch.Work) claim.Request {
	return claim.Request{
		Scope:       admitted.caller.Name,
		RequestID:   admitted.idempotencyKey,
		Fingerprint: workFingerprint(work),
		Deadline:    admitted.deadline,
	}
}

// workFingerprint returns a hash of the request's content, so that a reused
// idempotency key does not return the stored result of a different request.
func workFingerprint(work dispatch.Work) string {
	digest := sha256.New()
	for _, part := range []string{work.Service, work.Method, work.Path, string(work.Body)} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// settleContext returns a context that limits how long the end of an answer is held
// back until its result and bill are stored. It ends after BillTimeout or
// answerEndMargin before the deadline, whichever is earlier. What is not stored by
// then is stored later.
func (router *Router) settleContext(ctx context.Context, admitted admittedRequest) (context.Context, context.CancelFunc) {
	waitEnd := time.Now().Add(router.handlerConfig.BillTimeout)
	latestEnd := admitted.deadline.Add(-answerEndMargin)
	if latestEnd.Before(waitEnd) {
		waitEnd = latestEnd
	}
	return context.WithDeadline(context.WithoutCancel(ctx), waitEnd)
}

// concludeClaim records in the claim how the run ended and returns the error to
// send to the caller. It waits until ctx ends for the result to be stored.
func (router *Router) concludeClaim(ctx context.Context, request claim.Request, sink *plainSink, lines []budget.Line, runErr error) error {
	if runErr == nil {
		sink.joinBody()
		sink.result.Bill = router.encodeBill(request, lines)
		if err := router.claims.Finish(ctx, request, sink.result); err != nil {
			router.warnClaimFailed("finish", request, err)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	switch {
	case fault.OutcomeOf(runErr) == fault.NotRun:
		if err := router.claims.Withdraw(ctx, request); err != nil {
			router.warnClaimFailed("withdraw", request, err)
			return fault.WithOutcome(runErr, fault.OutcomeUnknown)
		}
		return fault.WithRemedy(runErr, remedyNewKey)
	default:
		if err := router.claims.Abandon(ctx, request); err != nil {
			router.warnClaimFailed("abandon", request, err)
		}
		return runErr
	}
}

// settle charges what a run used. After a successful run it waits until the bill is stored in the table or copied to a backup router, or until
// settleContext ends. It returns the error to send to the caller: that of the run, or
// errCallerDisconnected if the connection was closed or the server shut down during
// the wait. The end of the answer must not be sent then.
func (router *Router) settle(ctx context.Context, admitted admittedRequest, settlement budget.Settlement, runErr error) error {
	receipt := router.escrow.Settle(settlement)
	if runErr != nil {
		return runErr
	}
	settleCtx, cancel := router.settleContext(ctx, admitted)
	defer cancel()
	select {
	case <-receipt.BackedUp():
	case <-settleCtx.Done():
		router.metrics.lateBills.Inc()
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return errCallerDisconnected
		}
	}
	return nil
}

// callerDisconnected reports whether a run ended with runErr because the caller closed the
// connection. A write can fail before the server notices that and cancels ctx.
func callerDisconnected(ctx context.Context, runErr error) bool {
	return errors.Is(context.Cause(ctx), errCallerDisconnected) || fault.IsCausedBy(runErr, errCallerDisconnected)
}

func (router *Router) releaseReservation(reservation budget.Reservation) {
	router.escrow.Settle(budget.Settlement{Reservation: reservation})
}

// settlementLines returns the lines to charge. A complete answer is billed, and so
// is a run whose caller disconnected; all other used tokens are waste. If the
// usage is unknown, the remaining reservation is charged.
func (router *Router) settlementLines(admitted admittedRequest, reservation budget.Reservation, result dispatch.Result, runErr error, disconnected bool) []budget.Line {
	if runErr != nil && !anyMayHaveStarted(result.Attempts) {
		return nil
	}
	line := router.lastAttemptLine(admitted, result)
	if runErr == nil || disconnected {
		line.Kind = budget.LineBill
	}
	waste := min(wasteTokens(reservation, result), reservation.Tokens)
	remaining := reservation.Tokens - waste
	if !result.Usage.Known {
		line.Estimated = admitted.service.Protocol != configuration.ProtocolPlain
		line.Tokens = remaining
	}
	line.Tokens = min(line.Tokens, remaining)
	if waste == 0 {
		return []budget.Line{line}
	}
	wasteLine := line
	wasteLine.Kind = budget.LineWaste
	wasteLine.PromptTokens, wasteLine.CompletionTokens = 0, 0
	wasteLine.Tokens = waste
	wasteLine.Attempt = ""
	wasteLine.Estimated = result.WasteUnknown
	return []budget.Line{line, wasteLine}
}

// lastAttemptLine returns a line for the usage that the last attempt reported. Its
// kind is waste; the caller changes it if the usage is billed.
func (router *Router) lastAttemptLine(admitted admittedRequest, result dispatch.Result) budget.Line {
	line := budget.Line{
		Kind:             budget.LineWaste,
		Profile:          admitted.profile.Name,
		RequestID:        admitted.id,
		Caller:           admitted.caller.Name,
		Team:             admitted.caller.Team,
		Service:          admitted.service.Name,
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
		Tokens:           result.Usage.Tokens(),
		Router:           router.incarnation,
		At:               time.Now().UTC(),
	}
	if last := len(result.Attempts) - 1; last >= 0 {
		line.Attempt = result.Attempts[last].AttemptID
	}
	return line
}

// anyMayHaveStarted reports whether any of the attempts may have run.
func anyMayHaveStarted(attempts []dispatch.AttemptRecord) bool {
	return slices.ContainsFunc(attempts, func(attempt dispatch.AttemptRecord) bool { return attempt.MayHaveStarted })
}

// wasteTokens returns the number of tokens used by the attempts before the last one.
// An attempt of unknown usage counts with the original reservation, which is the
// maximum that it can have used.
func wasteTokens(reservation budget.Reservation, result dispatch.Result) int64 {
	if !result.WasteUnknown {
		return result.WasteTokens
	}
	earlierAttempts := result.Attempts
	if !result.Usage.Known {
		earlierAttempts = earlierAttempts[:len(earlierAttempts)-1]
	}
	waste := result.WasteTokens
	for _, attempt := range earlierAttempts {
		if attempt.MayHaveStarted && !attempt.Usage.Known {
			waste += reservation.Tokens - result.ExtendedTokens
		}
	}
	return waste
}

// finishAnswer sends the end of the answer if err is nil, and the error otherwise.
// It returns err.
func (router *Router) finishAnswer(sink answerSink, err error) error {
	if err != nil {
		sink.Fail(err)
		return err
	}
	sink.End()
	return nil
}

func (router *Router) warnClaimFailed(step string, request claim.Request, err error) {
	router.warn("event", "claim_"+step+"_failed", "request_id", request.RequestID, "scope", request.Scope, "err", err)
}

// remedyNewKey is the remedy for a request whose claim was withdrawn, as its
// idempotency key is refused from then on.
const remedyNewKey = "send it again under a new " + headerIdempotencyKey

var (
	errModelNotIdempotent = fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "a model request cannot be marked non-idempotent",
		Remedy:  "leave " + headerIdempotent + " out, or call a plain service",
	})
	errResumeNotStreamed = fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "an answer that is not streamed cannot be resumed after an event",
		Remedy:  "leave " + headerLastEventID + " out, or ask for a stream",
	})
	errNotEventStream = fault.New(fault.Config{
		Kind:    fault.UpstreamFailed,
		Message: "the engine's answer is not a stream of events",
		Remedy:  "check that the engine supports streaming",
		Outcome: fault.OutcomeUnknown,
	})
	errClaimWithdrawn = fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: "a request with this Idempotency-Key was refused earlier and will not run",
		Remedy:  remedyNewKey,
	})
	errEarlierRunUnknown = fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "the outcome of an earlier run of this request is unknown",
		Remedy:  "ask the service whether the request took effect before sending it under a new Idempotency-Key",
		Outcome: fault.OutcomeUnknown,
	})
)
