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

// lenderFunc is a Lender that calls a function.
type lenderFunc func(ctx context.Context, request budget.LoanRequest) (budget.Loan, error)

func (lenderFunc lenderFunc) Lend(ctx context.Context, request budget.LoanRequest) (budget.Loan, error) {
	return lenderFunc(ctx, request)
}

// startServer starts a peer server and returns the fleet member for it.
func startServer(t *testing.T, name string, config ServerConfig) fleet.Member {
	t.Helper()
	server := httptest.NewServer(NewServer(config))
	t.Cleanup(server.Close)
	return fleet.Member{Incarnation: name, PeerAddress: strings.TrimPrefix(server.URL, "http://"), State: fleet.Live}
}

func newTestClient(t *testing.T, key string, members ...fleet.Member) *Client {
	t.Helper()
	client := NewClient(ClientConfig{Key: []byte(key), Members: func() []fleet.Member { return members }, Incarnation: "self"})
	t.Cleanup(client.Close)
	return client
}

// Guards against giving up a loan after one router refused it, and against an error
// kind that gets lost on the wire.
func TestBorrowAsksNextRouterAndKeepsErrorKind(t *testing.T) {
	key := []byte("key")
	refusingLender := lenderFunc(func(context.Context, budget.LoanRequest) (budget.Loan, error) {
		return budget.Loan{}, fault.New(fault.Config{Kind: fault.BudgetExhausted, Message: "nothing to lend", Remedy: "top up"})
	})
	willingLender := lenderFunc(func(_ context.Context, request budget.LoanRequest) (budget.Loan, error) {
		return budget.Loan{TransferID: request.TransferID, Profile: request.Profile, Tokens: request.Tokens, Lender: "rich"}, nil
	})
	refusingMember := startServer(t, "poor", ServerConfig{Key: key, Lender: refusingLender})
	lendingMember := startServer(t, "rich", ServerConfig{Key: key, Lender: willingLender})
	request := budget.LoanRequest{TransferID: "t", Profile: "p", Tokens: 7, Borrower: "self"}

	loan, err := newTestClient(t, "key", refusingMember, lendingMember).Borrow(context.Background(), request)
	require.NoError(t, err)
	require.Equal(t, budget.Loan{TransferID: "t", Profile: "p", Tokens: 7, Lender: "rich"}, loan)

	_, err = newTestClient(t, "key", refusingMember).Borrow(context.Background(), request)
	require.True(t, fault.Is(err, fault.BudgetExhausted))
	require.Contains(t, fault.MessageOf(err), "routers asked: 1")
	_, err = newTestClient(t, "key").Borrow(context.Background(), request)
	require.True(t, fault.Is(err, fault.BudgetExhausted))
}

// Guards against reporting an exhausted budget when a lender may have debited the
// loan: its connection breaks after the request was sent.
func TestBorrowWithLostResponseIsUnavailable(t *testing.T) {
	refusingMember := startServer(t, "poor", ServerConfig{Key: []byte("key"), Lender: lenderFunc(
		func(context.Context, budget.LoanRequest) (budget.Loan, error) {
			return budget.Loan{}, fault.New(fault.Config{Kind: fault.BudgetExhausted, Message: "nothing to lend"})
		},
	)})
	abortingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer abortingServer.Close()
	abortingMember := fleet.Member{Incarnation: "silent", PeerAddress: strings.TrimPrefix(abortingServer.URL, "http://"), State: fleet.Live}
	_, err := newTestClient(t, "key", refusingMember, abortingMember).Borrow(context.Background(), budget.LoanRequest{TransferID: "t", Profile: "p", Tokens: 7})
	require.True(t, fault.Is(err, fault.Unavailable))
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
}

// backupStoreFunc is a budget.BackupStore that calls a function.
type backupStoreFunc func(ctx context.Context, owner string, settlements []budget.Settlement) error

func (backupStoreFunc backupStoreFunc) StoreBackups(ctx context.Context, owner string, settlements []budget.Settlement) error {
	return backupStoreFunc(ctx, owner, settlements)
}

// Guards against settlement fields or error details that get lost on the wire, and
// against reporting success when there is no other router.
func TestStoreBackupsPreservesSettlementsAndErrors(t *testing.T) {
	line := budget.Line{
		Kind: budget.LineBill, Profile: "p", RequestID: "r", Caller: "c", Team: "t", Service: "s", PromptTokens: 1,
		CompletionTokens: 2, Tokens: 3, Estimated: true, Router: "self", At: time.Unix(1, 5).UTC(),
	}
	settlements := []budget.Settlement{
		{Reservation: budget.Reservation{Profile: "p", RequestID: "r", Tokens: 9}, Lines: []budget.Line{line}},
		{Reservation: budget.Reservation{Profile: "p", RequestID: "r2", Tokens: 4}},
	}
	var stored []budget.Settlement
	overloadedErr := fault.New(fault.Config{Kind: fault.Overloaded, Message: "full", Remedy: "ask another", RetryAfter: 2 * time.Second})
	key := []byte("key")
	member := startServer(t, "a", ServerConfig{Key: key, BackupStore: backupStoreFunc(func(_ context.Context, owner string, received []budget.Settlement) error {
		if owner != "self" {
			return overloadedErr
		}
		stored = received
		return nil
	})})
	client := newTestClient(t, "key", member)
	require.NoError(t, client.StoreBackups(context.Background(), "self", settlements))
	require.Equal(t, settlements, stored)
	require.Equal(t, fault.BodyOf(overloadedErr), fault.BodyOf(client.StoreBackups(context.Background(), "other", settlements)))
	require.True(t, fault.Is(newTestClient(t, "key").StoreBackups(context.Background(), "self", settlements), fault.Unavailable))
}

// Guards against executing a call that is signed with a wrong or empty key.
func TestCallsWithAnotherKeyAreRefused(t *testing.T) {
	called := false
	member := startServer(t, "a", ServerConfig{Key: []byte("key"), Lender: lenderFunc(
		func(context.Context, budget.LoanRequest) (budget.Loan, error) {
			called = true
			return budget.Loan{}, nil
		},
	)})
	for _, key := range []string{"other", ""} {
		_, err := newTestClient(t, key, member).Borrow(context.Background(), budget.LoanRequest{})
		require.Error(t, err)
	}
	require.False(t, called)
}

// Guards against settlements that fewer than two other routers store though two
// are reachable, and against an error when only one is.
func TestStoreBackupsReachesTwoRouters(t *testing.T) {
	var mutex sync.Mutex
	callsByRouter := make(map[string]int)
	backupStore := func(name string) budget.BackupStore {
		return backupStoreFunc(func(context.Context, string, []budget.Settlement) error {
			mutex.Lock()
			defer mutex.Unlock()
			callsByRouter[name]++
			return nil
		})
	}
	var members []fleet.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, startServer(t, name, ServerConfig{Key: []byte("key"), BackupStore: backupStore(name)}))
	}
	settlements := []budget.Settlement{{Number: 1}}
	require.NoError(t, newTestClient(t, "key", members...).StoreBackups(t.Context(), "self", settlements))
	require.Len(t, callsByRouter, 2)
	unreachable := fleet.Member{Incarnation: "d", PeerAddress: "127.0.0.1:1", State: fleet.Live}
	require.NoError(t, newTestClient(t, "key", members[0], unreachable).StoreBackups(t.Context(), "self", settlements))
}
