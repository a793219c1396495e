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
	"gitlab.com/wisterialb/wisterialb/pkg/message"
	"gitlab.com/wisterialb/wisterialb/pkg/peer/peerpb"
)

// Limits of the client.
const (
	// callTimeout is the time limit that callPeer sets for one router.
	callTimeout = time.Second
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is short for two reasons: a connection that broke while idle is
	// seldom reused, and in a large fleet, where each router calls a different
	// peer each time, few connections stay open.
	idleTimeout = 10 * time.Second
	// maxPeersPerCall is the number of routers that callPeers tries in turn.
	maxPeersPerCall = 3
	// backupsPerSettlement is the number of routers that store a backup copy of a
	// settlement, so that it survives the loss of its owner and one of them.
	backupsPerSettlement = 2
	// maxLargeResponses is how many large responses are read at once. Few are large, those
	// with configuration records, and slow routers must not hold back the others.
	maxLargeResponses = 8
	// maxSettlementsPerMessage keeps a message of settlements below
	// maxMessageBytes.
	maxSettlementsPerMessage = 500
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Key is the secret shared by all routers, which signs every message.
	Key []byte
	// Members returns the routers of the fleet; nil means that there are none.
	Members func() []fleet.Member
	// Incarnation is that of this router, which the client never calls.
	Incarnation string
	// Dial opens connections; nil means a net.Dialer with a timeout of 500 ms.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other routers. Its methods are safe for concurrent use.
type Client struct {
	config ClientConfig
	http   *http.Client
}

var (
	_ budget.LoanClient        = (*Client)(nil)
	_ budget.BackupStore       = (*Client)(nil)
	_ configuration.PeerReader = (*Client)(nil)
	_ configuration.Adopter    = (*Client)(nil)
	_ fleet.Prober             = (*Client)(nil)
)

// NewClient returns a client. Call Close to release its idle connections.
func NewClient(config ClientConfig) *Client {
	if config.Members == nil {
		config.Members = func() []fleet.Member { return nil }
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	base := &message.Transport{
		Next: &http.Transport{
			DialContext:            config.Dial,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: message.MaxHeaderBytes,
		},
		Limiter: message.NewLimiter(message.Config{MaxBytes: maxMessageBytes, MaxLarge: maxLargeResponses}),
	}
	return &Client{
		config: config,
		http:   &http.Client{Transport: &signingTransport{key: config.Key, base: base}},
	}
}

// Close closes idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

func (client *Client) rpcClient(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address, client.http)
}

// Probe exchanges membership messages with the router at an address (host and
// port).
func (client *Client) Probe(ctx context.Context, address string, message fleet.Message) (fleet.Message, error) {
	response, err := client.rpcClient(address).Probe(ctx, &peerpb.ProbeRequest{Message: messageToWire(message)})
	if err != nil {
		return fleet.Message{}, errorFromWire(err)
	}
	return messageFromWire(response.GetMessage()), nil
}

// Records asks up to 3 routers in turn for configuration records after a revision:
// first routers known to have a newer revision, then others. It returns no
// records and no error if a router answered but none had newer ones. If none
// answered, the error is that of a call, usually fault.Unavailable.
func (client *Client) Records(ctx context.Context, after uint64) ([]configuration.Record, error) {
	peers := client.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b fleet.Member) int {
		return boolToInt(b.Revision > after) - boolToInt(a.Revision > after)
	})
	var records []configuration.Record
	result := client.callPeers(ctx, peers, func(ctx context.Context, peer fleet.Member) (bool, error) {
		response, err := client.rpcClient(peer.PeerAddress).Relay(ctx, &peerpb.RelayRequest{After: after})
		if err != nil {
			return false, errorFromWire(err)
		}
		records = convertAll(response.GetRecords(), recordFromWire)
		return len(records) > 0, nil
	})
	return records, result.readError()
}

// Profile asks up to 3 routers, those most likely to have a profile cached, in
// turn. It returns nil and no error if a router answered but none has it cached.
// If none answered, the error is that of a call, usually fault.Unavailable.
func (client *Client) Profile(ctx context.Context, name string) (*configuration.ProfileCopy, error) {
	var profileCopy *configuration.ProfileCopy
	result := client.callPeers(ctx, entry.Best(name, client.peers(), maxPeersPerCall), func(ctx context.Context, peer fleet.Member) (bool, error) {
		response, err := client.rpcClient(peer.PeerAddress).Profile(ctx, &peerpb.ProfileRequest{Name: name})
		if err != nil {
			return false, errorFromWire(err)
		}
		if !response.GetHeld() {
			return false, nil
		}
		profileCopy = &configuration.ProfileCopy{
			Body:                  response.GetBody(),
			DocumentRevision:      response.GetRevision(),
			ConfigurationRevision: response.GetAsOf(),
		}
		return true, nil
	})
	return profileCopy, result.readError()
}

// Adopt sends records to the router at an address and waits for the router to
// reach the revision, until shortly before the context's deadline and for at most
// 10 s. The result has the router's revision when the wait ended.
func (client *Client) Adopt(ctx context.Context, address string, records []configuration.Record, revision uint64) (configuration.AdoptResult, error) {
	response, err := client.rpcClient(address).Adopt(ctx, &peerpb.AdoptRequest{
		Records:  convertAll(records, recordToWire),
		Revision: revision,
		WaitMs:   adoptWait(ctx).Milliseconds(),
	})
	if err != nil {
		return configuration.AdoptResult{}, errorFromWire(err)
	}
	return configuration.AdoptResult{Revision: response.GetRevision(), Ready: response.GetReady()}, nil
}

// adoptWait returns how long the other router may wait. It leaves a fifth of the
// remaining time for the response.
func adoptWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxAdoptWait
	}
	return max(time.Until(deadline)*4/5, 0)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Borrow asks up to 3 routers, those most likely to hold a grant of the profile,
// in turn until one lends. If the response to a call is lost, the lender may
// still have debited the loan; the next router is asked with the same transfer id.
//
// Errors: fault.BudgetExhausted if no router that was asked can lend. If the
// outcome of a call is unknown, its error is returned, usually fault.Unavailable.
func (client *Client) Borrow(ctx context.Context, request budget.LoanRequest) (budget.Loan, error) {
	var loan budget.Loan
	result := client.callPeers(ctx, entry.Best(request.Profile, client.peers(), maxPeersPerCall), func(ctx context.Context, peer fleet.Member) (bool, error) {
		response, err := client.rpcClient(peer.PeerAddress).Borrow(ctx, &peerpb.BorrowRequest{
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
	case result.succeeded:
		return loan, nil
	case result.unknownOutcomeErr != nil:
		return budget.Loan{}, result.unknownOutcomeErr
	default:
		return budget.Loan{}, noLoanError(request.Profile, result)
	}
}

func noLoanError(profile string, result callResult) error {
	return fault.New(fault.Config{
		Kind:    fault.BudgetExhausted,
		Message: "no other router can lend tokens of " + profile + "; routers asked: " + strconv.Itoa(result.peersAsked),
		Remedy:  "top up the profile, or retry when running requests have settled",
		Cause:   result.refusalErr,
	})
}

// StoreBackups copies settlements to other routers, in turn, until
// backupsPerSettlement of them have stored all the settlements. If none has, it
// returns the error of a call, or fault.Unavailable if there is no other router.
func (client *Client) StoreBackups(ctx context.Context, owner string, settlements []budget.Settlement) error {
	peers := client.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	backupCount := 0
	result := client.callPeers(ctx, peers, func(ctx context.Context, peer fleet.Member) (bool, error) {
		for batch := range slices.Chunk(settlements, maxSettlementsPerMessage) {
			request := &peerpb.KeepRequest{Owner: owner, Settlements: convertAll(batch, settlementToWire)}
			if _, err := client.rpcClient(peer.PeerAddress).Keep(ctx, request); err != nil {
				return false, errorFromWire(err)
			}
		}
		backupCount++
		return backupCount == backupsPerSettlement, nil
	})
	if backupCount > 0 {
		return nil
	}
	return cmp.Or(result.unknownOutcomeErr, result.refusalErr, noPeerError("holds the settlements"))
}

func noPeerError(action string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "no other router " + action,
		Remedy:  "wait until another router is live and reachable",
	})
}

// peers returns the other routers that are expected to answer.
func (client *Client) peers() []fleet.Member {
	var peers []fleet.Member
	for _, member := range client.config.Members() {
		if member.Incarnation != client.config.Incarnation && member.IsReachable() {
			peers = append(peers, member)
		}
	}
	return peers
}

// callResult is the result of calling routers in turn.
type callResult struct {
	// succeeded is set if a call returned what was asked for; no further router
	// is called then.
	succeeded  bool
	peersAsked int
	// anyAnswered is set if a router answered without an error.
	anyAnswered bool
	// refusalErr is the last error of a call with a known outcome: the router
	// refused the call or did not run it.
	refusalErr error
	// unknownOutcomeErr is the last error of a call that may have taken effect.
	unknownOutcomeErr error
}

// readError returns the error of a read-only call: nil if any router answered.
func (callResult callResult) readError() error {
	if callResult.anyAnswered {
		return nil
	}
	return cmp.Or(callResult.unknownOutcomeErr, callResult.refusalErr)
}

// callPeers calls up to maxPeersPerCall routers in turn, until a call returns true
// or the context ends.
func (client *Client) callPeers(ctx context.Context, peers []fleet.Member, call func(ctx context.Context, peer fleet.Member) (bool, error)) callResult {
	var result callResult
	for _, peer := range peers[:min(maxPeersPerCall, len(peers))] {
		succeeded, err := client.callPeer(ctx, peer, call)
		result.peersAsked++
		result.anyAnswered = result.anyAnswered || err == nil
		switch {
		case succeeded:
			result.succeeded = true
			return result
		case err != nil && fault.OutcomeOf(err) == fault.OutcomeUnknown:
			result.unknownOutcomeErr = err
		case err != nil:
			result.refusalErr = err
		}
		if ctx.Err() != nil {
			return result
		}
	}
	return result
}

func (client *Client) callPeer(ctx context.Context, peer fleet.Member, call func(ctx context.Context, peer fleet.Member) (bool, error)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, peer)
}
