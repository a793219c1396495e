package dispatch

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// quarantineRetryAfter is the time after which a request whose prompt crashes
	// engines may be sent again.
	quarantineRetryAfter = 30 * time.Second
	// maxSuspectEvents is the number of events up to which an answer that broke off
	// counts as just begun. With more, its prompt isn't the cause of a crash.
	maxSuspectEvents = 1
)

// promptParts returns the parts by which the quarantine tells prompts apart: the
// prefix that requests may share, and the rest, which is the request's own.
func (work Work) promptParts() []uint64 {
	if !work.ModelEngine || work.PrefixHash == 0 {
		return nil
	}
	return []uint64{work.PrefixHash, 0}
}

// checkPrompt returns an error if the work would crash the engine that runs it.
func (run *run) checkPrompt() error {
	if !run.dispatcher.quarantine.Blocks(run.work.promptParts()) {
		return nil
	}
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    "the start of the prompt has crashed several engines",
		Remedy:     "change the prompt, or send the request again after the stated time",
		RetryAfter: quarantineRetryAfter,
	})
}

// recordSuccess records that the prompt did not crash the engine.
func (run *run) recordSuccess() {
	if parts := run.work.promptParts(); parts != nil {
		run.dispatcher.quarantine.Succeeded(parts)
	}
}

// recordCrash records whether the engine crashed during a failed attempt. It
// reports whether the work may be sent to another engine.
func (attempt *attempt) recordCrash(ctx context.Context) (mayRetry bool) {
	run := attempt.run
	parts := run.work.promptParts()
	if parts == nil || !attempt.record.MayHaveStarted || run.delivery.callerGone || !attempt.member.Client().Refuses(ctx) {
		return true
	}
	if run.delivery.lastPosition-attempt.firstPosition <= maxSuspectEvents {
		run.dispatcher.quarantine.Crashed(attempt.record.UpstreamAddress, parts, attempt.status != 0)
	}
	return run.dispatcher.quarantine.MayRetry(parts)
}
