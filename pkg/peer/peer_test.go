package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

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
	require.Contains(t, fault.MessageOf(err), "routers asked: 1")
	_, err = clientOf(t, "key").Borrow(context.Background(), request)
	require.True(t, fault.Is(err, fault.BudgetExhausted))
}

// A loan that may have been debited is not taken for a refusal.
func TestBorrowWithALostAnswerIsUnavailable(t *testing.T) {
	poor := startServer(t, "poor", ServerConfig{Key: []byte("key"), Lender: lenderFunc(
		func(context.Context, budget.LoanRequest) (budget.Loan, error) {
			return budget.Loan{}, fault.New(fault.Config{Kind: fault.BudgetExhausted, Message: "nothing to lend"})
		},
	)})
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	silent := fleet.Member{Incarnation: "silent", PeerAddress: strings.TrimPrefix(cut.URL, "http://"), State: fleet.Live}
	_, err := clientOf(t, "key", poor, silent).Borrow(context.Background(), budget.LoanRequest{TransferID: "t", Profile: "p", Tokens: 7})
	require.True(t, fault.Is(err, fault.Unavailable))
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
}

// keeperFunc keeps by a function.
type keeperFunc func(ctx context.Context, owner string, settlements []budget.Settlement) error

func (keeperFunc keeperFunc) Keep(ctx context.Context, owner string, settlements []budget.Settlement) error {
	return keeperFunc(ctx, owner, settlements)
}

func TestKeepCarriesSettlementsAndErrorsWhole(t *testing.T) {
	line := budget.Line{
		Kind: budget.LineBill, Profile: "p", RequestID: "r", Caller: "c", Team: "t", Service: "s", PromptTokens: 1,
		CompletionTokens: 2, Tokens: 3, Estimated: true, Router: "self", At: time.Unix(1, 5).UTC(),
	}
	settlements := []budget.Settlement{
		{Reservation: budget.Reservation{Profile: "p", RequestID: "r", Tokens: 9}, Lines: []budget.Line{line}},
		{Reservation: budget.Reservation{Profile: "p", RequestID: "r2", Tokens: 4}},
	}
	var kept []budget.Settlement
	full := fault.New(fault.Config{Kind: fault.Overloaded, Message: "full", Remedy: "ask another", RetryAfter: 2 * time.Second})
	key := []byte("key")
	member := startServer(t, "a", ServerConfig{Key: key, Keeper: keeperFunc(func(_ context.Context, owner string, given []budget.Settlement) error {
		if owner != "self" {
			return full
		}
		kept = given
		return nil
	})})
	client := clientOf(t, "key", member)
	require.NoError(t, client.Keep(context.Background(), "self", settlements))
	require.Equal(t, settlements, kept)
	require.Equal(t, fault.BodyOf(full), fault.BodyOf(client.Keep(context.Background(), "other", settlements)))
	require.True(t, fault.Is(clientOf(t, "key").Keep(context.Background(), "self", settlements), fault.Unavailable))
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

// TestKeepHandsSettlementsToTwoRouters checks that two routers hold a settlement,
// and that one is enough when no other can be reached.
func TestKeepHandsSettlementsToTwoRouters(t *testing.T) {
	var mutex sync.Mutex
	holders := make(map[string]int)
	keeper := func(name string) budget.Keeper {
		return keeperFunc(func(context.Context, string, []budget.Settlement) error {
			mutex.Lock()
			defer mutex.Unlock()
			holders[name]++
			return nil
		})
	}
	var members []fleet.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, startServer(t, name, ServerConfig{Key: []byte("key"), Keeper: keeper(name)}))
	}
	settlements := []budget.Settlement{{Number: 1}}
	require.NoError(t, clientOf(t, "key", members...).Keep(t.Context(), "self", settlements))
	require.Len(t, holders, 2)
	unreachable := fleet.Member{Incarnation: "d", PeerAddress: "127.0.0.1:1", State: fleet.Live}
	require.NoError(t, clientOf(t, "key", members[0], unreachable).Keep(t.Context(), "self", settlements))
}
