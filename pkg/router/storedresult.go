package router

// Answers from a claim that belongs to another run of the same request.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// answerFromClaim waits for the run that holds the claim, if it has not ended, and puts
// its result into the sink. It bills the run before it returns, as the router that ran
// the request may have died before it did. The error is the one to send to the caller.
func (router *Router) answerFromClaim(
	ctx context.Context, admitted admittedRequest, reservation budget.Reservation,
	request claim.Request, decision claim.Decision, err error, sink *plainSink,
) error {
	if err == nil && decision.State == claim.Running {
		decision, err = router.claims.Wait(ctx, request)
	}
	if err == nil && decision.State == claim.Finished {
		sink.result = decision.Result
		lines := router.decodeBill(request, decision.Result)
		router.info("event", "stored_result", "request_id", admitted.id, "owner", decision.Owner, "bill_lines", len(lines))
		return router.billStoredResult(ctx, admitted, reservation, lines)
	}
	router.releaseReservation(reservation)
	switch {
	case err != nil:
		return err
	case decision.State == claim.Withdrawn:
		return errClaimWithdrawn
	default:
		return errEarlierRunUnknown
	}
}

// claimLookupTimeout limits the lookup of a claim whose request is refused.
const claimLookupTimeout = time.Second

// withEarlierOutcome returns the error of a request that was refused before it was
// claimed. An earlier try of a non-idempotent request may have run, so that its outcome
// is unknown unless the table shows that there is no claim, or a withdrawn one.
func (router *Router) withEarlierOutcome(ctx context.Context, request claim.Request, refusal error) error {
	if fault.OutcomeOf(refusal) != fault.NotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimLookupTimeout)
	defer cancel()
	decision, err := router.claims.Lookup(ctx, request)
	if fault.Is(err, fault.Invalid) {
		return refusal // nothing was ever claimed under such a key
	}
	if err == nil && (decision.State == claim.Unclaimed || decision.State == claim.Withdrawn) {
		return refusal
	}
	return fault.WithOutcome(refusal, fault.OutcomeUnknown)
}

// withOutcomeOfKey returns the error of a request to a plain service that was not
// admitted, with the outcome of all tries under its key.
func (router *Router) withOutcomeOfKey(request *http.Request, refusal error) error {
	key := headerText(request, headerIdempotencyKey)
	isSafeMethod := request.Method == http.MethodGet || request.Method == http.MethodHead
	admitted, err := admittedRequest{}.withIdempotent(request, isSafeMethod)
	if key == "" || err != nil || admitted.idempotent {
		return refusal
	}
	caller, err := router.authenticate(request)
	switch {
	case err == nil:
		return router.withEarlierOutcome(request.Context(), claim.Request{Scope: caller.Name, RequestID: key}, refusal)
	case router.follower.Ready():
		return refusal // no caller has this token, so there is no claim
	default:
		return fault.WithOutcome(refusal, fault.OutcomeUnknown)
	}
}

// billStoredResult settles the bill that is stored with a result. A bill that the
// router of the run has settled charges nothing more, as both name the same attempt.
func (router *Router) billStoredResult(ctx context.Context, admitted admittedRequest, reservation budget.Reservation, lines []budget.Line) error {
	if len(lines) == 0 {
		router.releaseReservation(reservation)
		return nil
	}
	reservation, err := router.reserveForBill(ctx, admitted, reservation, lines)
	if err != nil {
		return fault.WithOutcome(err, fault.OutcomeUnknown)
	}
	return router.settle(ctx, admitted, budget.Settlement{Reservation: reservation, Lines: lines}, nil)
}

// reserveForBill returns a reservation of the profile that the run was charged to. The
// request that gets the stored result may name another profile.
func (router *Router) reserveForBill(
	ctx context.Context, admitted admittedRequest, reservation budget.Reservation, lines []budget.Line,
) (budget.Reservation, error) {
	profile, tokens := lines[0].Profile, int64(0)
	if profile == reservation.Profile {
		return reservation, nil
	}
	router.releaseReservation(reservation)
	for _, line := range lines {
		tokens += line.Tokens
	}
	return router.escrow.Reserve(ctx, budget.Demand{Profile: profile, RequestID: admitted.id, Tokens: tokens, Deadline: admitted.deadline})
}

// encodeBill returns the lines as they are stored with a result.
func (router *Router) encodeBill(request claim.Request, lines []budget.Line) json.RawMessage {
	bill, err := json.Marshal(lines)
	if err != nil {
		router.warnClaimFailed("encode_bill", request, err)
		return nil
	}
	return bill
}

// decodeBill returns the lines stored with a result, or none if there are none.
func (router *Router) decodeBill(request claim.Request, result claim.Result) []budget.Line {
	var lines []budget.Line
	if len(result.Bill) == 0 {
		return nil
	}
	if err := json.Unmarshal(result.Bill, &lines); err != nil {
		router.warnClaimFailed("decode_bill", request, err)
	}
	return lines
}
