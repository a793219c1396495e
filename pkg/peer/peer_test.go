package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

// lenderFunc lends by a function.
type lenderFunc func(ctx context.Context, request budget.LoanRequest) (budget.Loan, error)

func (lenderFunc lenderFunc) Lend(ctx context.Context, request budget.LoanRequest) (budget.Loan, error) {
	return lenderFunc(ctx, request)
}

// startServer serves a configuration and returns its member.
func startServer(t *testing.T, name string, config ServerConfig) fleet.Member {
	t.Helper()
	server := httptest.NewServer(NewServer(config))
	t.Cleanup(server.Close)
	return fleet.Member{Incarnation: name, PeerAddress: strings.TrimPrefix(server.URL, "http://"), State: fleet.Live}
}

func clientOf(t *testing.T, key string, members ...fleet.Member) *Client {
	t.Helper()
	client := NewClient(ClientConfig{Key: []byte(key), Members: func() []fleet.Member { return members }, Self: "self"})
	t.Cleanup(client.Close)
	return client
}

func TestBorrowAsksTheNextRouterAndKeepsTheKind(t *testing.T) {
	key := []byte("key")
	refuse := lenderFunc(func(context.Context, budget.LoanRequest) (budget.Loan, error) {
		return budget.Loan{}, fault.New(fault.Config{Kind: fault.BudgetExhausted, Message: "nothing to lend", Remedy: "top up"})
	})
	lend := lenderFunc(func(_ context.Context, request budget.LoanRequest) (budget.Loan, error) {
		return budget.Loan{TransferID: request.TransferID, Profile: request.Profile, Tokens: request.Tokens, Lender: "rich"}, nil
	})
	poor := startServer(t, "poor", ServerConfig{Key: key, Lender: refuse})
	rich := startServer(t, "rich", ServerConfig{Key: key, Lender: lend})
	request := budget.LoanRequest{TransferID: "t", Profile: "p", Tokens: 7, Borrower: "self"}

	loan, err := clientOf(t, "key", poor, rich).Borrow(context.Background(), request)
	require.NoError(t, err)
	require.Equal(t, budget.Loan{TransferID: "t", Profile: "p", Tokens: 7, Lender: "rich"}, loan)

	_, err = clientOf(t, "key", poor).Borrow(context.Background(), request)
	require.True(t, fault.Is(err, fault.BudgetExhausted))
	require.Equal(t, "top up", fault.RemedyOf(err))
}

func TestCallsWithAnotherKeyAreRefused(t *testing.T) {
	called := false
	member := startServer(t, "a", ServerConfig{Key: []byte("key"), Lender: lenderFunc(
		func(context.Context, budget.LoanRequest) (budget.Loan, error) {
			called = true
			return budget.Loan{}, nil
		},
	)})
	for _, key := range []string{"other", ""} {
		_, err := clientOf(t, key, member).Borrow(context.Background(), budget.LoanRequest{})
		require.Error(t, err)
	}
	require.False(t, called)
}
