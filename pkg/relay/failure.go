package relay

// What follows a failed attempt: whether there is another one, and what the caller is
// told if there is none.

import (
	"cmp"
	"context"
	"errors"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

var errEvacuated = errors.New("the zones of all upstreams are evacuated")

// IsEvacuated reports whether an error of Serve is a refusal because the zones of all
// upstreams are evacuated.
func IsEvacuated(err error) bool { return errors.Is(fault.CauseOf(err), errEvacuated) }

// mayRetry reports whether the request may be sent to another upstream.
func (call *call) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || errors.Is(result.err, errCallerDisconnected) || !call.delivery.mayResume() {
		return false
	}
	if result.crashed && !call.relay.config.Quarantine.MayRetry(partIDs(call.request.PromptParts)) {
		return false
	}
	switch {
	case call.takeover != nil:
		return true
	case !result.mayHaveRun:
		return call.attemptsNotRun <= maxNotRunRetries && (!call.mayHaveRun() || call.request.Route.Repeatable())
	default:
		return call.request.Route.Repeatable() && call.mayRunElsewhere()
	}
}

// awaitRetry reports whether the retry budget allows another attempt. A begun stream
// waits for that if an upstream was given up that would have gone on with it. Other
// callers are better off if they learn at once that there is no more.
func (call *call) awaitRetry(ctx context.Context) bool {
	for !call.relay.config.RetryBudget.AllowRetry(call.request.Service.Name, time.Now()) {
		if !call.returns || !call.delivery.headerSent.Load() {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryBudgetInterval):
		}
	}
	return true
}

// noUpstreamError returns the error of a request for which no further upstream
// may be tried.
func (call *call) noUpstreamError(cause error) error {
	if call.mayHaveRun() {
		return responseLostError(cause)
	}
	message, retryAfter := "no upstream of the service accepts the request", unavailableRetryAfter
	now := time.Now()
	if until, paused := call.pool.PausedUntil(now); paused {
		message, retryAfter = "all upstreams of the service have asked for a pause", until.Sub(now)
	} else if call.pool.IsEvacuated() {
		message, retryAfter, cause = "all upstreams of the service are in evacuated zones", evacuatedRetryAfter, errEvacuated
	} else if until, cold := call.pool.RefuseCold(call.criteria(), now); cold {
		message, retryAfter = "all upstreams of the service are cold and have got what they can take", until.Sub(now)
	}
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    message,
		Remedy:     "retry the request after the stated time",
		RetryAfter: cmp.Or(retryAfter, unavailableRetryAfter),
		Cause:      cause,
	})
}

// quarantineError returns the error of a request whose prompt is in quarantine. The
// refusal promises that the request has not run.
func (call *call) quarantineError(refusal error) error {
	if call.mayHaveRun() {
		return responseLostError(refusal)
	}
	return refusal
}

// finalError returns the error of a request whose last attempt failed.
func (call *call) finalError(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return fault.New(fault.Config{
			Kind:    fault.DeadlineExceeded,
			Message: "the deadline passed before the answer was complete",
			Remedy:  "send the request with a later deadline",
			Outcome: call.outcome(),
			Cause:   err,
		})
	case ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
		return fault.New(fault.Config{
			Kind:    fault.ResponseLost,
			Message: "the caller disconnected or the router stopped before the answer was complete",
			Remedy:  "resume the stream after its last event at another router, or check whether the request took effect",
			Outcome: call.outcome(),
			Cause:   err,
		})
	case call.mayHaveRun():
		return responseLostError(err)
	default:
		return call.noUpstreamError(err)
	}
}

func (call *call) outcome() fault.Outcome {
	if call.mayHaveRun() {
		return fault.OutcomeUnknown
	}
	return fault.NotRun
}

func responseLostError(err error) error {
	return fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "the upstream's answer was interrupted and the request may have run",
		Remedy:  "check whether the request took effect before sending it again",
		Cause:   err,
	})
}
