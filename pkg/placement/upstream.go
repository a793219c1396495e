// Package placement chooses the upstream for a request from the state that one
// router holds: its own running requests, the loads that upstreams report in
// their answers, which prompt parts were sent to which upstream, and the
// results of earlier attempts.
//
// The flow: Pool.Update sets the upstreams of a service; Choose estimates the
// time to the first event at each upstream (cost.go) and returns a Ticket; the
// ticket's methods record how the request went (ticket.go). Pools whose upstreams state
// the pace of their machines use other estimates (paced.go), which divide the requests
// by capacity and speed (balance.go, speed.go, pace.go, share.go). What the upstreams ask
// of the router in their answers (pkg/notice) outlasts the pool's list of upstreams.
package placement

import (
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// Upstream is one process that serves a service.
type Upstream struct {
	// ID identifies the process; another process may get the same address later.
	ID      string
	Address string
	Zone    string
	// StartedAt is the start time that the process registered. It distinguishes a
	// restarted process from its predecessor with the same ID.
	StartedAt int64
	// Slots is the maximum number of requests that run at once; zero means
	// unknown.
	Slots int
	// Draining is set when the upstream gets no new requests.
	Draining bool
}

// Process identifies the upstream's process.
func (upstream Upstream) Process() notice.Process {
	return notice.Process{ID: upstream.ID, StartedAt: upstream.StartedAt}
}

// PromptPart is a section of a prompt. Requests that share it send the same ID.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// Criteria describe the request for which an upstream is chosen.
type Criteria struct {
	// Parts are the prompt's parts in order; no other request shares the last.
	Parts []PromptPart
	// ExcludedIDs are the IDs of upstreams that already failed this request.
	ExcludedIDs []string
	// AllowedIDs are the IDs of the only upstreams that may get the request; nil allows
	// all.
	AllowedIDs []string
	// Zone is the router's own availability zone.
	Zone string
	// Bytes is the size of the request.
	Bytes int64
}

// lastSharedPart returns the last part that other requests may share.
func (criteria Criteria) lastSharedPart() (PromptPart, bool) {
	if len(criteria.Parts) < 2 {
		return PromptPart{}, false
	}
	return criteria.Parts[len(criteria.Parts)-2], true
}

func (criteria Criteria) excludes(id string) bool {
	return slices.Contains(criteria.ExcludedIDs, id) || criteria.AllowedIDs != nil && !slices.Contains(criteria.AllowedIDs, id)
}

// member is an upstream of a pool with its measured state.
type member struct {
	Upstream
	idHash uint64
	// addedAt is when the upstream was added to the pool.
	addedAt time.Time
	// ownRunning is the number of this router's requests at the upstream.
	ownRunning int
	// pendingTokens is the number of uncached prompt tokens of this router's
	// requests that still wait for their first event.
	pendingTokens float64
	// partSentAt maps the IDs of prompt parts to the times at which this router
	// last sent them to the upstream.
	partSentAt map[uint64]time.Time
	// load is what the upstream last reported.
	load Load
	// sentSinceLoad is the number of this router's requests sent since then.
	sentSinceLoad int
	// endedSinceLoad is the number of those that have ended.
	endedSinceLoad int
	// prefillTokensPerMs is the measured prefill rate; zero until there is one.
	prefillTokensPerMs float64
	// failureRate is the moving average share of failed requests.
	failureRate float64
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	ejectedUntil        time.Time
	// ejectionDuration is that of the last ejection; the next one lasts longer.
	ejectionDuration time.Duration
	// fullUntil is until when the upstream counts as full after a refusal.
	fullUntil time.Time
	// latencyRatio is the moving average of the measured time to the first event
	// divided by the expected one; at least 1.
	latencyRatio float64
	// speed and share are used only if the pool's upstreams state their pace.
	speed speedEstimate
	share arrivalShare
}

// Load is the load that an upstream reports: the numbers of running requests,
// of waiting requests and of slots, and the pace of its machine.
type Load struct {
	Running, Waiting, Slots int
	// PacePercent is how long work takes on the upstream's machine at present, in
	// percent of the usual; zero means not stated.
	PacePercent int
	// ReceivedAt is when the router received the report.
	ReceivedAt time.Time
}

func newMember(upstream Upstream, now time.Time) *member {
	return &member{
		Upstream:     upstream,
		idHash:       rendezvous.Hash(upstream.ID),
		addedAt:      now,
		partSentAt:   make(map[uint64]time.Time),
		latencyRatio: 1,
	}
}
