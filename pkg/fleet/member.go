// Package fleet knows which routers are live. Each router process is one
// incarnation: a row with a lease in the table, probed by a few peers a second.
package fleet

import "context"

// State is what a router believes of another.
type State string

// The states of a member.
const (
	// Live members take requests.
	Live State = "live"
	// Overloaded members are live and take no requests that can go elsewhere.
	Overloaded State = "overloaded"
	// Suspect members did not answer probes.
	Suspect State = "suspect"
	// Leaving members finish what they have and take nothing new.
	Leaving State = "leaving"
	// Dead members have lost their lease for good.
	Dead State = "dead"
)

// Member is one incarnation of a router.
type Member struct {
	Incarnation     string `json:"incarnation"`
	CallerAddress   string `json:"caller_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	Zone            string `json:"zone"`
	State           State  `json:"state"`
	// Revision is the configuration that the member has adopted.
	Revision uint64 `json:"revision"`
	// Load is the share of the member's capacity in use; 1 is full.
	Load float64 `json:"load"`
	// Sequence orders what the member says of itself; a higher one is newer.
	Sequence uint64 `json:"sequence"`
}

// WithState returns the member in another state.
func (member Member) WithState(state State) Member {
	member.State = state
	return member
}

// Takes reports whether new requests may be sent to the member.
func (member Member) Takes() bool { return member.State == Live }

// Answers reports whether the member can be expected to answer peers.
func (member Member) IsReachable() bool {
	return member.State == Live || member.State == Overloaded || member.State == Leaving
}

// Report is what a router says of itself.
type Report struct {
	Revision   uint64
	Load       float64
	Overloaded bool
}

// Message is what a probe and its answer carry.
type Message struct {
	// Sender is the member that speaks.
	Sender Member
	// Members are news of other members, a bounded number of them.
	Members []Member
	// LeavingVMs are addresses that the platform's list marks as leaving.
	LeavingVMs []string
	// Busy are profiles that need more routers than others do.
	Busy []BusyProfile
}

// Prober exchanges messages with another router.
type Prober interface {
	Probe(ctx context.Context, address string, message Message) (Message, error)
}
