// Package placement chooses the upstream for a request out of what one router
// knows: its own requests under way, loads that answers carried, which prompt
// parts were sent where, and how upstreams have answered.
//
// The flow: Pool.Update takes in who belongs to a service; Choose estimates
// the time to the first event at each upstream (cost.go) and returns a Ticket;
// the ticket's methods take in what became of the request (ticket.go).
package placement

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// Upstream is one process that serves a service.
type Upstream struct {
	// ID names the process, not the address.
	ID      string
	Address string
	Zone    string
	// Born tells a restart under the same ID.
	StartedAt int64
	Slots     int
	// Draining upstreams get no new requests.
	Draining bool
}

// Part is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// Demand is what a request asks of an upstream.
type Demand struct {
	// Parts are the prompt's parts in order; the last one is the request's own.
	Parts []PromptPart
	// Avoid are the IDs of upstreams that failed this request.
	ExcludedIDs []string
	// Zone is the router's own zone.
	Zone string
}

// shared returns the last part that other requests share.
func (demand Demand) shared() (PromptPart, bool) {
	if len(demand.Parts) < 2 {
		return PromptPart{}, false
	}
	return demand.Parts[len(demand.Parts)-2], true
}

func (demand Demand) avoids(id string) bool {
	for _, avoided := range demand.ExcludedIDs {
		if avoided == id {
			return true
		}
	}
	return false
}

// member is what is known of one upstream.
type member struct {
	Upstream
	hash uint64
	// since is when the upstream was first seen.
	since time.Time
	// running counts the router's own requests at the upstream.
	running int
	// unread is the sum of prompt tokens sent that no first event has answered.
	unread float64
	// cached maps the parts that were sent there to when.
	cached map[uint64]time.Time
	// load is what the upstream last said of itself.
	load Load
	// sent counts the own requests since the load was taken.
	sent int
	// speed is the learnt number of prompt tokens read in a millisecond.
	speed float64
	// failures is the recent share of failed requests.
	failures float64
	// consecutive counts failures without a success between them.
	consecutive int
	ejectedTill time.Time
	ejection    time.Duration
	fullTill    time.Time
	// lateness is the recent ratio of first events' times to the expected ones.
	lateness float64
}

// Load is what an upstream says of itself.
type Load struct {
	Running, Waiting, Slots int
	ReceivedAt              time.Time
}

func newMember(upstream Upstream, now time.Time) *member {
	return &member{
		Upstream: upstream,
		hash:     rendezvous.Hash(upstream.ID),
		since:    now,
		cached:   make(map[uint64]time.Time),
		lateness: 1,
	}
}
