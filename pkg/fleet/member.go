// Package fleet tracks the membership of the router fleet and detects dead
// routers. Each run of a router process is one incarnation, which holds a lease
// in the table and is probed by a few peers per second. Probes also carry gossip
// about other members.
package fleet

import "context"

// State is the state of a member as another router knows it.
type State string

// The states of a member.
const (
	// Live members accept requests.
	Live State = "live"
	// Overloaded members are live but get only requests that no other member can
	// take.
	Overloaded State = "overloaded"
	// Suspect members did not answer recent probes.
	Suspect State = "suspect"
	// Leaving members finish their running requests and accept no new ones.
	Leaving State = "leaving"
	// Dead members have shut down or were declared dead. They stay dead.
	Dead State = "dead"
)

// Member is one incarnation of a router, as stored in its lease row and sent in
// messages.
type Member struct {
	Incarnation     string `json:"incarnation"`
	CallerAddress   string `json:"caller_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	Zone            string `json:"zone"`
	State           State  `json:"state"`
	// Revision is the configuration revision that the member has adopted.
	Revision uint64 `json:"revision"`
	// Load is the fraction of the member's capacity in use; 1 is full.
	Load float64 `json:"load"`
	// Sequence orders the states that the member publishes; higher is newer.
	Sequence uint64 `json:"sequence"`
}

// WithState returns a copy of the member with the given state.
func (member Member) WithState(state State) Member {
	member.State = state
	return member
}

// AcceptsRequests reports whether new requests may be sent to the member.
func (member Member) AcceptsRequests() bool { return member.State == Live }

// IsReachable reports whether the member is expected to answer peers, that is,
// whether it is neither suspect nor dead.
func (member Member) IsReachable() bool {
	return member.State == Live || member.State == Overloaded || member.State == Leaving
}

// Report is the current status of a router, as it publishes it to the fleet.
type Report struct {
	// Revision is the adopted configuration revision.
	Revision uint64
	// Load is the fraction of the router's capacity in use; 1 is full.
	Load       float64
	Overloaded bool
}

// Message is the content of a probe and of its response.
type Message struct {
	// Sender is the sending member's own state.
	Sender Member
	// Members is gossip about a limited number of members.
	Members []Member
	// LeavingVMs are the addresses of VMs that the platform's VM list marks as
	// leaving.
	LeavingVMs []string
	// BusyProfiles are profiles whose load needs more routers than the default.
	BusyProfiles []BusyProfile
}

// Prober exchanges messages with other routers.
type Prober interface {
	// Probe sends a message to the router at an address (host and port) and
	// returns its response. Any error counts as a missed probe.
	Probe(ctx context.Context, address string, message Message) (Message, error)
}
