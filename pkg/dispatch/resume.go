package dispatch

import (
	"context"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// newAttemptID returns an id that can't be guessed and that names the request,
// so that a resume token is of use for its own request only.
func newAttemptID(work Work) string {
	return attemptPrefix(work) + uuid.NewString()
}

func attemptPrefix(work Work) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(work.Profile)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(work.RequestID)
	return fmt.Sprintf("%016x-", digest.Sum64())
}

// resume continues the attempt that the work's resume token names. It reports
// false when nothing of that attempt can be had and the work may run anew.
func (run *run) resume(ctx context.Context) (bool, error) {
	token := run.work.Resume
	if token.Position < 0 || !strings.HasPrefix(token.Attempt, attemptPrefix(run.work)) {
		return true, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "the resume token belongs to another request",
			Remedy:  "send the resume token of this request id, or none",
		})
	}
	member := run.service.pool.AcquireAddress(token.Upstream)
	if member == nil {
		return run.unresumable(nil)
	}
	run.service.gate.AddInUse()
	attempt := newAttempt(run, member, token.Attempt)
	attempt.record.Started = true
	run.started = true
	err := attempt.reopen(ctx)
	if attempt.unseen && !run.delivery.head {
		run.finish(ctx, attempt, err)
		run.result.Attempts = nil
		return run.unresumable(err)
	}
	if err == nil {
		run.finish(ctx, attempt, nil)
		return true, nil
	}
	run.finish(ctx, attempt, err)
	return true, run.failure(ctx, endUnknown, err)
}

// unresumable decides on an attempt that its engine doesn't know. A caller that
// has nothing of its answer can get another one; the reservation under which the
// lost attempt ran stays with the router that took it.
func (run *run) unresumable(err error) (bool, error) {
	if run.work.Resume.Position == 0 && run.work.Idempotent {
		run.started = false
		return false, nil
	}
	return true, fault.New(fault.Config{
		Kind:    fault.ResponseLost,
		Message: "the engine does not know the attempt that was to be resumed",
		Remedy:  "send the request again with a new request id",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}

// reopen resumes the attempt that another router began.
func (attempt *attempt) reopen(ctx context.Context) error {
	answer, err := attempt.member.Client().Resume(ctx, attempt.record.Attempt, attempt.run.delivery.position)
	return attempt.follow(ctx, answer, err)
}
