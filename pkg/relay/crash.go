package relay

import (
	"context"
	"net/http"
	"strconv"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/placement"
	"gitlab.com/wisterialb/wisterialb/pkg/quarantine"
)

// CheckPrompt returns an error if the request would crash the engine that runs it.
func (relay *Relay) CheckPrompt(request Request) error {
	if request.Service.Engine == nil {
		return nil
	}
	return relay.config.Quarantine.Check(partIDs(request.PromptParts))
}

// hasCrashed reports whether the attempt failed because the upstream crashed: its
// connection broke off, and its host refuses new ones.
func (call *call) hasCrashed(ctx context.Context, upstream placement.Upstream, result attemptResult) bool {
	if result.err == nil || !result.mayHaveRun || ctx.Err() != nil {
		return false
	}
	reason := exchange.ErrorOf(result.err).Reason
	brokenOff := reason == exchange.ReasonClosed || reason == exchange.ReasonTruncated
	return brokenOff && call.relay.config.Client(upstream).Refuses(ctx)
}

// recordCrash records that the upstream crashed during an attempt.
func (call *call) recordCrash(upstream placement.Upstream, result attemptResult) {
	parts := partIDs(call.request.PromptParts)
	_ = call.relay.config.Logger.Log("event", "upstream_crashed", "request_id", call.request.ID, "upstream", upstream.ID,
		"started_at", upstream.StartedAt, "begun", result.begun, "events", result.events, "parts", quarantine.Names(parts))
	if call.request.Service.Engine != nil && result.events <= quarantine.MaxSuspectEvents {
		process := upstream.ID + "/" + strconv.FormatInt(upstream.StartedAt, 10)
		call.relay.config.Quarantine.Crashed(process, parts, result.begun)
	}
}

// recordSuccess records that the prompt's parts did not crash the engine. A stream
// that ends with its connection after hardly an event may have been a crash.
func (call *call) recordSuccess() {
	status := call.result.Status
	succeeded := status >= http.StatusOK && status < http.StatusMultipleChoices
	if call.request.Service.Engine != nil && succeeded && call.delivery.eventCount > quarantine.MaxSuspectEvents {
		call.relay.config.Quarantine.Succeeded(partIDs(call.request.PromptParts))
	}
}

func partIDs(parts []placement.PromptPart) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}
