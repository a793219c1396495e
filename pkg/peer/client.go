package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/entry"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/peer/peerpb"
)

// Bounds of the client.
const (
	// callTimeout bounds a call to one router.
	callTimeout = time.Second
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is short, so that a connection that went silent while idle
	// is seldom used again, and that a large fleet, in which each router speaks
	// to another one each time, holds few connections.
	idleTimeout = 10 * time.Second
	// peersPerCall is how many routers are asked in turn.
	peersPerCall = 3
	// keepers is how many routers hold a settlement besides its owner, so that
	// it outlives the owner and one of them.
	keepers = 2
	// settlementsPerMessage keeps a message of settlements within its bound.
	settlementsPerMessage = 500
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Key is shared by all routers.
	Key []byte
	// Members returns the routers of the fleet.
	Members func() []fleet.Member
	// Self is the incarnation of this router, which is never asked.
	Self string
	// Dial opens connections; nil means the usual way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client speaks to other routers.
type Client struct {
	config ClientConfig
	http   *http.Client
}

var (
	_ budget.Lender         = (*Client)(nil)
	_ budget.Keeper         = (*Client)(nil)
	_ configuration.Relay   = (*Client)(nil)
	_ configuration.Adopter = (*Client)(nil)
	_ fleet.Prober          = (*Client)(nil)
)

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	if config.Members == nil {
		config.Members = func() []fleet.Member { return nil }
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	base := &http.Transport{
		DialContext:         config.Dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		config: config,
		http:   &http.Client{Transport: &signingTransport{key: config.Key, base: base}},
	}
}

// Close closes idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

func (client *Client) stub(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address, client.http)
}

// Probe exchanges news with the router at an address.
func (client *Client) Probe(ctx context.Context, address string, message fleet.Message) (fleet.Message, error) {
	response, err := client.stub(address).Probe(ctx, &peerpb.ProbeRequest{Message: messageToWire(message)})
	if err != nil {
		return fleet.Message{}, errorFromWire(err)
	}
	return messageFromWire(response.GetMessage()), nil
}

// Records asks routers for records behind a revision: first those that are
// known to have newer ones, then any.
func (client *Client) Records(ctx context.Context, after uint64) ([]configuration.Record, error) {
	peers := client.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b fleet.Member) int {
		return boolOrder(b.Revision > after) - boolOrder(a.Revision > after)
	})
	var records []configuration.Record
	outcome := client.ask(ctx, peers, func(ctx context.Context, peer fleet.Member) (bool, error) {
		response, err := client.stub(peer.PeerAddress).Relay(ctx, &peerpb.RelayRequest{After: after})
		if err != nil {
			return false, errorFromWire(err)
		}
		records = convert(response.GetRecords(), recordFromWire)
		return len(records) > 0, nil
	})
	return records, outcome.err()
}

// Profile asks the routers that are most likely to hold a profile.
func (client *Client) Profile(ctx context.Context, name string) (*configuration.ProfileCopy, error) {
	var copied *configuration.ProfileCopy
	outcome := client.ask(ctx, entry.Best(name, client.peers(), peersPerCall), func(ctx context.Context, peer fleet.Member) (bool, error) {
		response, err := client.stub(peer.PeerAddress).Profile(ctx, &peerpb.ProfileRequest{Name: name})
		if err != nil {
			return false, errorFromWire(err)
		}
		if !response.GetHeld() {
			return false, nil
		}
		copied = &configuration.ProfileCopy{
			Body:                  response.GetBody(),
			DocumentRevision:      response.GetRevision(),
			ConfigurationRevision: response.GetAsOf(),
		}
		return true, nil
	})
	return copied, outcome.err()
}

// Adopt passes records to the router at an address and waits, until shortly
// before the context ends, for it to have the revision.
func (client *Client) Adopt(ctx context.Context, address string, records []configuration.Record, revision uint64) (configuration.AdoptResult, error) {
	response, err := client.stub(address).Adopt(ctx, &peerpb.AdoptRequest{
		Records:  convert(records, recordToWire),
		Revision: revision,
		WaitMs:   adoptWait(ctx).Milliseconds(),
	})
	if err != nil {
		return configuration.AdoptResult{}, errorFromWire(err)
	}
	return configuration.AdoptResult{Revision: response.GetRevision(), Ready: response.GetReady()}, nil
}

// adoptWait leaves a fifth of the remaining time for the answer.
func adoptWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxAdoptWait
	}
	return max(time.Until(deadline)*4/5, 0)
}

func boolOrder(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Borrow asks the routers that are most likely to hold a grant of the profile,
// in turn, until one lends. A loan whose answer is lost stays charged at the
// lender; the next router is asked under the same transfer id.
//
// Errors: fault.BudgetExhausted if no router that was asked can lend;
// fault.Unavailable if one may have lent and its answer was lost.
func (client *Client) Borrow(ctx context.Context, request budget.LoanRequest) (budget.Loan, error) {
	var loan budget.Loan
	outcome := client.ask(ctx, entry.Best(request.Profile, client.peers(), peersPerCall), func(ctx context.Context, peer fleet.Member) (bool, error) {
		response, err := client.stub(peer.PeerAddress).Borrow(ctx, &peerpb.BorrowRequest{
			TransferId: request.TransferID,
			Profile:    request.Profile,
			Tokens:     request.Tokens,
			Borrower:   request.Borrower,
		})
		if err != nil {
			return false, errorFromWire(err)
		}
		loan = budget.Loan{
			TransferID: response.GetTransferId(),
			Profile:    response.GetProfile(),
			Tokens:     response.GetTokens(),
			Lender:     response.GetLender(),
		}
		return loan.Tokens > 0, nil
	})
	switch {
	case outcome.satisfied:
		return loan, nil
	case outcome.lost != nil:
		return budget.Loan{}, outcome.lost
	default:
		return budget.Loan{}, noLoan(request.Profile, outcome)
	}
}

func noLoan(profile string, outcome askOutcome) error {
	return fault.New(fault.Config{
		Kind:    fault.BudgetExhausted,
		Message: "no other router can lend tokens of " + profile + "; routers asked: " + strconv.Itoa(outcome.asked),
		Remedy:  "top up the profile, or retry when running requests have settled",
		Cause:   outcome.refused,
	})
}

// Keep hands settlements to other routers and returns when as many as keepers
// hold them all, or all that were asked and at least one.
func (client *Client) Keep(ctx context.Context, owner string, settlements []budget.Settlement) error {
	peers := client.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	holding := 0
	outcome := client.ask(ctx, peers, func(ctx context.Context, peer fleet.Member) (bool, error) {
		for part := range slices.Chunk(settlements, settlementsPerMessage) {
			request := &peerpb.KeepRequest{Owner: owner, Settlements: convert(part, settlementToWire)}
			if _, err := client.stub(peer.PeerAddress).Keep(ctx, request); err != nil {
				return false, errorFromWire(err)
			}
		}
		holding++
		return holding == keepers, nil
	})
	if holding > 0 {
		return nil
	}
	return cmp.Or(outcome.lost, outcome.refused, nobody("kept settlements"))
}

func nobody(did string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "no other router " + did,
		Remedy:  "wait until another router is live and reachable",
	})
}

// peers returns the other routers that can be expected to answer.
func (client *Client) peers() []fleet.Member {
	var peers []fleet.Member
	for _, member := range client.config.Members() {
		if member.Incarnation != client.config.Self && member.IsReachable() {
			peers = append(peers, member)
		}
	}
	return peers
}

// askOutcome is what came of asking routers in turn.
type askOutcome struct {
	// satisfied is set when one router gave what was wanted.
	satisfied bool
	asked     int
	// answered is set when a router answered without an error.
	answered bool
	// refused is the last error of a router that answered.
	refused error
	// lost is the last error of a call that may have taken effect.
	lost error
}

// err is the outcome of a read: no error if any router answered it.
func (askOutcome askOutcome) err() error {
	if askOutcome.answered {
		return nil
	}
	return cmp.Or(askOutcome.lost, askOutcome.refused)
}

// ask calls routers in turn until one is satisfied.
func (client *Client) ask(ctx context.Context, peers []fleet.Member, call func(ctx context.Context, peer fleet.Member) (bool, error)) askOutcome {
	var outcome askOutcome
	for _, peer := range peers[:min(peersPerCall, len(peers))] {
		done, err := client.one(ctx, peer, call)
		outcome.asked++
		outcome.answered = outcome.answered || err == nil
		switch {
		case done:
			outcome.satisfied = true
			return outcome
		case err != nil && fault.OutcomeOf(err) == fault.OutcomeUnknown:
			outcome.lost = err
		case err != nil:
			outcome.refused = err
		}
		if ctx.Err() != nil {
			return outcome
		}
	}
	return outcome
}

func (client *Client) one(ctx context.Context, peer fleet.Member, call func(ctx context.Context, peer fleet.Member) (bool, error)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, peer)
}
