// Package peer is the inner protocol between routers: probes, relay of the
// configuration, loans and held settlements. Nothing that the users are
// promised depends on a message arriving.
package peer

import (
	"context"
	"net/http"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/peer/peerpb"
)

// Bounds of what a server does for one call.
const (
	maxRelayRecords = 64
	maxRelayBytes   = 256 << 10
	maxAdoptWait    = 10 * time.Second
)

// Lending gives out part of a grant. The escrow does.
type Lending interface {
	Lend(ctx context.Context, request budget.LoanRequest) (budget.Loan, error)
}

// ServerConfig configures the handler. A part that is nil answers that it is
// not available.
type ServerConfig struct {
	// Key is shared by all routers. Without one every call is refused.
	Key        []byte
	Lender     Lending
	Keeper     budget.Keeper
	Follower   *configuration.Follower
	Membership *fleet.Membership
}

// NewServer returns the handler for PathPrefix.
func NewServer(config ServerConfig) http.Handler {
	return signedHandler(config.Key, peerpb.NewPeerServer(&server{config: config}))
}

// PathPrefix is where the handler has to be mounted.
const PathPrefix = peerpb.PeerPathPrefix

// server answers the calls of peers.
type server struct {
	config ServerConfig
}

func notServed(part string) error {
	return errorToWire(fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "this router has no " + part,
		Remedy:  "ask another router",
	}))
}

// Probe exchanges news of the fleet.
func (server *server) Probe(_ context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	if server.config.Membership == nil {
		return nil, notServed("membership")
	}
	answer := server.config.Membership.Receive(messageFromWire(request.GetMessage()))
	return &peerpb.ProbeResponse{Message: messageToWire(answer)}, nil
}

// Relay returns records behind a revision.
func (server *server) Relay(_ context.Context, request *peerpb.RelayRequest) (*peerpb.RelayResponse, error) {
	follower := server.config.Follower
	if follower == nil {
		return nil, notServed("configuration")
	}
	limit := int(request.GetLimit())
	if limit <= 0 || limit > maxRelayRecords {
		limit = maxRelayRecords
	}
	records := bounded(follower.RecentRecords(request.GetAfter(), limit))
	return &peerpb.RelayResponse{Records: convert(records, recordToWire), Revision: follower.Revision()}, nil
}

// bounded cuts a list of records to the bytes of one message.
func bounded(records []configuration.Record) []configuration.Record {
	size := 0
	for i, record := range records {
		size += len(record.Change.Body) + len(record.PreviousBody) + len(record.Change.Reason)
		if size > maxRelayBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// Profile returns a profile as this router holds it.
func (server *server) Profile(_ context.Context, request *peerpb.ProfileRequest) (*peerpb.ProfileResponse, error) {
	if server.config.Follower == nil {
		return nil, notServed("configuration")
	}
	copied, err := server.config.Follower.CopyProfile(request.GetName())
	if err != nil {
		return nil, errorToWire(err)
	}
	if copied == nil {
		return &peerpb.ProfileResponse{}, nil
	}
	return &peerpb.ProfileResponse{Held: true, Body: copied.Body, Revision: copied.DocumentRevision, AsOf: copied.ConfigurationRevision}, nil
}

// Adopt offers records and waits until the view has reached the revision.
func (server *server) Adopt(ctx context.Context, request *peerpb.AdoptRequest) (*peerpb.AdoptResponse, error) {
	follower := server.config.Follower
	if follower == nil {
		return nil, notServed("configuration")
	}
	follower.Offer(ctx, convert(request.GetRecords(), recordFromWire))
	follower.Hint(request.GetRevision())
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxAdoptWait)
	ctx, cancel := context.WithTimeout(ctx, max(wait, 0))
	defer cancel()
	follower.AwaitRevision(ctx, request.GetRevision())
	return &peerpb.AdoptResponse{Revision: follower.Revision(), Ready: follower.Ready()}, nil
}

// Borrow lends.
func (server *server) Borrow(ctx context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if server.config.Lender == nil {
		return nil, notServed("budget")
	}
	loan, err := server.config.Lender.Lend(ctx, budget.LoanRequest{
		TransferID: request.GetTransferId(),
		Profile:    request.GetProfile(),
		Tokens:     request.GetTokens(),
		Borrower:   request.GetBorrower(),
	})
	if err != nil {
		return nil, errorToWire(err)
	}
	return &peerpb.BorrowResponse{
		TransferId: loan.TransferID,
		Profile:    loan.Profile,
		Tokens:     loan.Tokens,
		Lender:     loan.Lender,
	}, nil
}

// Keep holds settlements of another router.
func (server *server) Keep(ctx context.Context, request *peerpb.KeepRequest) (*peerpb.KeepResponse, error) {
	if server.config.Keeper == nil {
		return nil, notServed("budget")
	}
	settlements := convert(request.GetSettlements(), settlementFromWire)
	if err := server.config.Keeper.Keep(ctx, request.GetOwner(), settlements); err != nil {
		return nil, errorToWire(err)
	}
	return &peerpb.KeepResponse{}, nil
}
