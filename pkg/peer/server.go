// Package peer is the internal protocol between routers: membership probes, relay
// of configuration records, loans of tokens, and backup copies of settlements. No
// guarantee to users depends on the delivery of one of its messages.
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

// Limits of a server for one call.
const (
	maxRelayRecords = 64
	maxRelayBytes   = 256 << 10
	maxAdoptWait    = 10 * time.Second
)

// Lender lends part of this router's grant of a profile. budget.Escrow implements
// it.
type Lender interface {
	// Lend debits a loan from the grant and returns it. A repeated request with
	// the same transfer id returns the same loan. The error is
	// fault.BudgetExhausted if nothing can be lent, or fault.Draining.
	Lend(ctx context.Context, request budget.LoanRequest) (budget.Loan, error)
}

// ServerConfig configures the handler of NewServer. A call that needs a component
// that is nil returns fault.Unavailable.
type ServerConfig struct {
	// Key is the secret shared by all routers. If it is empty, every call is
	// refused.
	Key         []byte
	Lender      Lender
	BackupStore budget.BackupStore
	Follower    *configuration.Follower
	Membership  *fleet.Membership
}

// NewServer returns the handler for PathPrefix.
func NewServer(config ServerConfig) http.Handler {
	return signedHandler(config.Key, peerpb.NewPeerServer(&server{config: config}))
}

// PathPrefix is the URL path prefix at which the handler must be mounted.
const PathPrefix = peerpb.PeerPathPrefix

// server implements peerpb.Peer.
type server struct {
	config ServerConfig
}

func notConfiguredError(component string) error {
	return errorToWire(fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "this router has no " + component,
		Remedy:  "ask another router",
	}))
}

// Probe applies a membership message and returns the response.
func (server *server) Probe(_ context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	if server.config.Membership == nil {
		return nil, notConfiguredError("membership")
	}
	response := server.config.Membership.Receive(messageFromWire(request.GetMessage()))
	return &peerpb.ProbeResponse{Message: messageToWire(response)}, nil
}

// Relay returns configuration records after a revision, up to the limits of one
// call.
func (server *server) Relay(_ context.Context, request *peerpb.RelayRequest) (*peerpb.RelayResponse, error) {
	follower := server.config.Follower
	if follower == nil {
		return nil, notConfiguredError("configuration")
	}
	limit := int(request.GetLimit())
	if limit <= 0 || limit > maxRelayRecords {
		limit = maxRelayRecords
	}
	records := limitRecordBytes(follower.RecentRecords(request.GetAfter(), limit))
	return &peerpb.RelayResponse{Records: convertAll(records, recordToWire), Revision: follower.Revision()}, nil
}

// limitRecordBytes returns the leading records that fit into maxRelayBytes, but at
// least one, so that a larger record still gets through.
func limitRecordBytes(records []configuration.Record) []configuration.Record {
	size := 0
	for i, record := range records {
		size += len(record.Change.Body) + len(record.PreviousBody) + len(record.Change.Reason)
		if size > maxRelayBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// Profile returns this router's copy of a profile. Held is false in the response
// if the router has none.
func (server *server) Profile(_ context.Context, request *peerpb.ProfileRequest) (*peerpb.ProfileResponse, error) {
	if server.config.Follower == nil {
		return nil, notConfiguredError("configuration")
	}
	profileCopy, err := server.config.Follower.CopyProfile(request.GetName())
	if err != nil {
		return nil, errorToWire(err)
	}
	if profileCopy == nil {
		return &peerpb.ProfileResponse{}, nil
	}
	return &peerpb.ProfileResponse{Held: true, Body: profileCopy.Body, Revision: profileCopy.DocumentRevision, AsOf: profileCopy.ConfigurationRevision}, nil
}

// Adopt offers records to the follower and waits until its view has reached the
// revision, for the requested time and at most 10 s.
func (server *server) Adopt(ctx context.Context, request *peerpb.AdoptRequest) (*peerpb.AdoptResponse, error) {
	follower := server.config.Follower
	if follower == nil {
		return nil, notConfiguredError("configuration")
	}
	follower.Offer(ctx, convertAll(request.GetRecords(), recordFromWire))
	follower.Hint(request.GetRevision())
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxAdoptWait)
	ctx, cancel := context.WithTimeout(ctx, max(wait, 0))
	defer cancel()
	follower.AwaitRevision(ctx, request.GetRevision())
	return &peerpb.AdoptResponse{Revision: follower.Revision(), Ready: follower.Ready()}, nil
}

// Borrow lends part of this router's grant to the calling router.
func (server *server) Borrow(ctx context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if server.config.Lender == nil {
		return nil, notConfiguredError("budget")
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

// Keep stores backup copies of another router's settlements.
func (server *server) Keep(ctx context.Context, request *peerpb.KeepRequest) (*peerpb.KeepResponse, error) {
	if server.config.BackupStore == nil {
		return nil, notConfiguredError("budget")
	}
	settlements := convertAll(request.GetSettlements(), settlementFromWire)
	if err := server.config.BackupStore.StoreBackups(ctx, request.GetOwner(), settlements); err != nil {
		return nil, errorToWire(err)
	}
	return &peerpb.KeepResponse{}, nil
}
