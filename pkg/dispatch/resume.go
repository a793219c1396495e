package dispatch

import (
	"context"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// newAttemptID returns an unguessable attempt id with a prefix derived from the
// request, so that a resume token is valid only for its own request.
func newAttemptID(work Work) string {
	return attemptIDPrefix(work) + uuid.NewString()
}

func attemptIDPrefix(work Work) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(work.Profile)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(work.RequestID)
	return fmt.Sprintf("%016x-", digest.Sum64())
}

// resumeAttempt continues the attempt that the work's resume token names. It
// reports false if that attempt cannot be resumed and the work may run again from
// the start.
func (run *run) resumeAttempt(ctx context.Context) (bool, error) {
	token := run.work.Resume
	if token.Position < 0 || !strings.HasPrefix(token.AttemptID, attemptIDPrefix(run.work)) {
		return true, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "the resume token belongs to another request",
			Remedy:  "send the resume token of this request id, or none",
		})
	}
	member := run.service.pool.AcquireAddress(token.UpstreamAddress)
	if member == nil {
		return run.handleLostAttempt(nil)
	}
	run.service.gate.AddInUse()
	attempt := newAttempt(run, member, token.AttemptID)
	attempt.record.MayHaveStarted = true
	run.mayHaveRun = true
	if pause := run.service.pool.PauseOf(member); !attempt.waitForPause(ctx) {
		run.service.release(member, upstream.Neutral, 0) // the attempt runs on and can be resumed later
		return true, fault.WithOutcome(pausedError("the upstream of the attempt to resume has asked for a pause", pause), fault.OutcomeUnknown)
	}
	err := attempt.resume(ctx)
	if attempt.unknownToEngine && !run.delivery.headSent {
		run.finishAttempt(ctx, attempt, err)
		run.result.Attempts = nil
		return run.handleLostAttempt(err)
	}
	if err == nil {
		run.finishAttempt(ctx, attempt, nil)
		return true, nil
	}
	run.finishAttempt(ctx, attempt, err)
	return true, run.failureError(ctx, endOutcomeUnknown, err)
}

// handleLostAttempt handles an attempt that its engine no longer knows or whose
// upstream is not configured. It reports false if the work may run again: it is
// idempotent and the caller has received no part of the answer. The router that made
// the lost attempt settles the tokens of that attempt.
func (run *run) handleLostAttempt(err error) (bool, error) {
	if run.work.Resume.Position == 0 && run.work.Idempotent {
		run.mayHaveRun = false
		return false, nil
	}
	return true, fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "the engine does not know the attempt to resume",
		Remedy:  "send the request again with a new request id",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}

// resume reopens the answer of an attempt that another router may have started.
func (attempt *attempt) resume(ctx context.Context) error {
	answer, err := attempt.member.Client().Resume(ctx, attempt.record.AttemptID, attempt.run.delivery.lastPosition, attempt.share)
	return attempt.deliverWithRecovery(ctx, answer, err)
}
