package dispatch

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/quarantine"
)

// promptParts returns the parts by which the quarantine tells prompts apart: the
// prefix that requests may share, and the rest, which is the request's own.
func (work Work) promptParts() []uint64 {
	if !work.ModelEngine || work.PrefixHash == 0 {
		return nil
	}
	return []uint64{work.PrefixHash, 0}
}

// recordSuccess records that the prompt did not crash the engine.
func (run *run) recordSuccess() {
	if parts := run.work.promptParts(); parts != nil {
		run.dispatcher.config.Quarantine.Succeeded(parts)
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
	if run.delivery.lastPosition-attempt.firstPosition <= quarantine.MaxSuspectEvents {
		run.dispatcher.config.Quarantine.Crashed(attempt.record.UpstreamAddress, parts, attempt.status != 0)
	}
	return run.dispatcher.config.Quarantine.MayRetry(parts)
}
