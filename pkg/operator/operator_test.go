package operator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

const token = "token-of-elin"

// fakePublisher accepts every change once for each operation id, or fails.
type fakePublisher struct {
	mutex   sync.Mutex
	records []configuration.Record
	err     error
}

func (fakePublisher *fakePublisher) Publish(_ context.Context, change configuration.Change) (configuration.Record, error) {
	fakePublisher.mutex.Lock()
	defer fakePublisher.mutex.Unlock()
	if fakePublisher.err != nil {
		return configuration.Record{}, fakePublisher.err
	}
	for _, record := range fakePublisher.records {
		if record.Change.OperationID == change.OperationID {
			return record, nil
		}
	}
	record := configuration.Record{Revision: uint64(len(fakePublisher.records) + 1), Change: change, PublishedAt: time.UnixMilli(1000).UTC()}
	fakePublisher.records = append(fakePublisher.records, record)
	return record, nil
}

func (fakePublisher *fakePublisher) Audit(_ context.Context, after uint64, limit int) ([]configuration.Record, error) {
	fakePublisher.mutex.Lock()
	defer fakePublisher.mutex.Unlock()
	rest := fakePublisher.records[min(after, uint64(len(fakePublisher.records))):]
	return rest[:min(limit, len(rest))], nil
}

type fakeLedger struct{}

func (fakeLedger) Statement(_ context.Context, profile string) (budget.Statement, error) {
	return budget.Statement{Profile: profile, LimitTokens: 9, FreeTokens: 4, SettledTokens: 5, BillTokens: 5, Holders: []budget.Holder{}}, nil
}

func (fakeLedger) Lines(_ context.Context, profile, after string, _ int) ([]budget.Line, string, error) {
	line := budget.Line{Kind: budget.LineBill, Profile: profile, RequestID: after + "x", Tokens: 5, At: time.UnixMilli(2000).UTC()}
	return []budget.Line{line}, "next", nil
}

// fakeFollower is on revision 7 and adopts what it is offered.
type fakeFollower struct{}

func (fakeFollower) Revision() uint64                              { return 7 }
func (fakeFollower) Offer(context.Context, []configuration.Record) {}
func (fakeFollower) Hint(uint64)                                   {}

func (fakePublisher *fakePublisher) Head(context.Context) (uint64, error) { return 7, nil }

func (fakePublisher *fakePublisher) Document(_ context.Context, kind configuration.Kind, name string) (configuration.StoredDocument, error) {
	return configuration.StoredDocument{Kind: kind, Name: name, Revision: 3, Body: []byte("{}")}, nil
}

func (fakePublisher *fakePublisher) Documents(_ context.Context, kind configuration.Kind, after string, limit int) ([]configuration.StoredDocument, string, error) {
	stored := []configuration.StoredDocument{{Kind: kind, Name: after + "a", Revision: uint64(limit), Body: []byte("{}")}}
	if after != "" {
		return stored, "", nil
	}
	return stored, "a", nil
}

func newConfig(publisher operator.Publisher) operator.ServerConfig {
	return operator.ServerConfig{
		Tokens:    []operator.Token{{Name: "nils", Hash: operator.HashToken("other")}, {Name: "elin", Hash: operator.HashToken(token)}},
		Publisher: publisher,
		Ledger:    fakeLedger{},
		Follower:  fakeFollower{},
		Members: func() []fleet.Member {
			return []fleet.Member{{Incarnation: "self", State: fleet.Live}, {Incarnation: "peer", Zone: "gislaved", State: fleet.Live, Revision: 1}}
		},
		Incarnation:        "self",
		PropagationTimeout: time.Millisecond,
	}
}

func start(t *testing.T, config operator.ServerConfig) string {
	t.Helper()
	server := httptest.NewServer(operator.NewServer(config))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func connect(t *testing.T, config operator.ClientConfig) *operator.Client {
	t.Helper()
	if config.Token == "" {
		config.Token = token
	}
	client, err := operator.NewClient(config)
	require.NoError(t, err)
	return client
}

func change(operationID string) configuration.Change {
	return configuration.Change{OperationID: operationID, Reason: "trial", Kind: configuration.KindProfile, Name: "a", Body: []byte("{}")}
}

func TestPublishNamesOperatorAndLaggingRouters(t *testing.T) {
	publisher := &fakePublisher{}
	client := connect(t, operator.ClientConfig{Addresses: []string{start(t, newConfig(publisher))}})
	publication, err := client.Publish(context.Background(), change("1"))
	require.NoError(t, err)
	require.Equal(t, 2, publication.RouterCount)
	require.Empty(t, publication.LaggingRouters)
	publication, err = client.ChangeLimit(context.Background(), operator.LimitChange{OperationID: "2", Reason: "paid", Profile: "a", AddTokens: -5})
	require.NoError(t, err)
	require.Equal(t, uint64(2), publication.Revision)
	require.Equal(t, []operator.Member{{Incarnation: "peer", Zone: "gislaved", Revision: 1, Reason: "it still reports revision 1"}}, publication.LaggingRouters)
	records, next, err := client.Audit(context.Background(), 0, 10)
	require.NoError(t, err)
	require.Zero(t, next)
	require.Equal(t, "elin", records[0].Change.Operator)
	require.JSONEq(t, `{"add_tokens":-5}`, string(records[1].Change.Body))
}

func TestTokens(t *testing.T) {
	publisher := &fakePublisher{}
	registry := prometheus.NewRegistry()
	config := newConfig(publisher)
	config.Registerer = registry
	address := start(t, config)
	for _, wrong := range []string{"token-of-eli", "token-of-elinn", "x", operator.HashToken(token)} {
		client := connect(t, operator.ClientConfig{Addresses: []string{address}, Token: wrong})
		_, err := client.Publish(context.Background(), change("1"))
		require.Equal(t, fault.Unauthenticated, fault.KindOf(err), wrong)
		require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
		require.NotEmpty(t, fault.RemedyOf(err))
	}
	require.Empty(t, publisher.records)
	require.NoError(t, testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP wisterialb_operator_requests_total Operators' requests by method and by kind of error, done when there was none.
# TYPE wisterialb_operator_requests_total counter
wisterialb_operator_requests_total{method="none",result="unauthenticated"} 4
`)))
}

func TestFaultsKeepTheirPropertiesOverTheWire(t *testing.T) {
	kinds := []fault.Kind{
		fault.Invalid, fault.Unauthenticated, fault.Forbidden, fault.NotFound, fault.Conflict, fault.TooLarge, fault.BudgetExhausted,
		fault.Overloaded, fault.Draining, fault.DeadlineExceeded, fault.Unavailable, fault.ResponseLost, fault.UpstreamFailed, fault.Internal,
	}
	for _, kind := range kinds {
		for _, outcome := range []fault.Outcome{fault.NotRun, fault.OutcomeUnknown} {
			made := fault.New(fault.Config{Kind: kind, Message: "what", Remedy: "how", Outcome: outcome, RetryAfter: 3 * time.Second})
			address := start(t, newConfig(&fakePublisher{err: made}))
			_, err := connect(t, operator.ClientConfig{Addresses: []string{address}, MaxAttempts: 1}).Publish(context.Background(), change("1"))
			require.Equal(t, fault.BodyOf(made), fault.BodyOf(err))
		}
	}
}

// lossyTransport loses the answers of the first calls, after they took effect.
type lossyTransport struct {
	lost int
}

func (lossyTransport *lossyTransport) Do(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultClient.Do(request)
	if lossyTransport.lost > 0 && err == nil {
		lossyTransport.lost--
		return nil, errors.Join(errors.New("connection reset"), response.Body.Close())
	}
	return response, err
}

func TestLostAnswerIsRetriedUnderOneOperationID(t *testing.T) {
	publisher := &fakePublisher{}
	address := start(t, newConfig(publisher))
	client := connect(t, operator.ClientConfig{Addresses: []string{address}, HTTPClient: &lossyTransport{lost: 2}})
	publication, err := client.Publish(context.Background(), change("1"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), publication.Revision)
	require.Len(t, publisher.records, 1)
}

func TestOutcomeOfTransportFailures(t *testing.T) {
	address := start(t, newConfig(&fakePublisher{}))
	lossy := connect(t, operator.ClientConfig{Addresses: []string{address}, HTTPClient: &lossyTransport{lost: 9}, MaxAttempts: 2})
	_, err := lossy.Publish(context.Background(), change("1"))
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	_, err = lossy.Status(context.Background())
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err), "a read changes nothing")

	closed := httptest.NewServer(nil)
	closed.Close()
	nobody := strings.TrimPrefix(closed.URL, "http://")
	_, err = connect(t, operator.ClientConfig{Addresses: []string{nobody}, MaxAttempts: 2}).Publish(context.Background(), change("1"))
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))

	_, err = connect(t, operator.ClientConfig{Addresses: []string{nobody, address}}).Publish(context.Background(), change("1"))
	require.NoError(t, err, "the second router answers")
}

func TestRefusalAfterLostAnswer(t *testing.T) {
	for kind, outcome := range map[fault.Kind]fault.Outcome{
		fault.Conflict:        fault.NotRun,
		fault.Unauthenticated: fault.OutcomeUnknown,
	} {
		refusing := start(t, newConfig(&fakePublisher{err: fault.New(fault.Config{Kind: kind, Message: "no"})}))
		accepting := start(t, newConfig(&fakePublisher{}))
		client := connect(t, operator.ClientConfig{Addresses: []string{accepting, refusing}, HTTPClient: &lossyTransport{lost: 1}})
		_, err := client.Publish(context.Background(), change("1"))
		require.Equal(t, kind, fault.KindOf(err))
		require.Equal(t, outcome, fault.OutcomeOf(err), kind)
	}
}

func TestPages(t *testing.T) {
	client := connect(t, operator.ClientConfig{Addresses: []string{start(t, newConfig(&fakePublisher{}))}})
	documents, next, err := client.Documents(context.Background(), configuration.KindProfile, operator.Page{Limit: 2})
	require.NoError(t, err)
	require.Equal(t, []configuration.StoredDocument{{Kind: configuration.KindProfile, Name: "a", Revision: 2, Body: []byte("{}")}}, documents)
	require.Equal(t, "a", next)
	documents, next, err = client.Documents(context.Background(), configuration.KindProfile, operator.Page{After: next})
	require.NoError(t, err)
	require.Equal(t, uint64(100), documents[0].Revision, "the limit of a page without one")
	require.Empty(t, next)
	document, err := client.Document(context.Background(), configuration.KindProfile, "z")
	require.NoError(t, err)
	require.Equal(t, uint64(3), document.Revision)
	_, _, err = client.Documents(context.Background(), "recipe", operator.Page{})
	require.Equal(t, fault.Invalid, fault.KindOf(err))
	status, err := client.Status(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(7), status.NewestRevision)
	require.Equal(t, []string{"", "it still reports revision 1"}, []string{status.Members[0].Reason, status.Members[1].Reason})
	statement, err := client.Budget(context.Background(), "a")
	require.NoError(t, err)
	expected, _ := fakeLedger{}.Statement(context.Background(), "a")
	require.Equal(t, expected, statement)
	lines, next, err := client.Bills(context.Background(), "a", operator.Page{After: "q"})
	require.NoError(t, err)
	require.Equal(t, "next", next)
	require.Equal(t, "qx", lines[0].RequestID)
}

func TestChangesThatAreIncomplete(t *testing.T) {
	publisher := &fakePublisher{}
	client := connect(t, operator.ClientConfig{Addresses: []string{start(t, newConfig(publisher))}})
	for _, mutate := range []func(*configuration.Change){
		func(change *configuration.Change) { change.OperationID = "" },
		func(change *configuration.Change) { change.Reason = "" },
		func(change *configuration.Change) { change.Name = "" },
		func(change *configuration.Change) { change.Kind = configuration.KindLimit },
	} {
		incomplete := change("1")
		mutate(&incomplete)
		_, err := client.Publish(context.Background(), incomplete)
		require.Equal(t, fault.Invalid, fault.KindOf(err))
		require.NotEmpty(t, fault.RemedyOf(err))
	}
	large := change("1")
	large.Body = bytes.Repeat([]byte("x"), 2<<20)
	_, err := client.Publish(context.Background(), large)
	require.Equal(t, fault.TooLarge, fault.KindOf(err))
	require.Empty(t, publisher.records)
}

// FuzzMessages sends arbitrary bodies to every method: none may crash the server
// or be answered without a twirp error.
func FuzzMessages(f *testing.F) {
	methods := []string{"Publish", "ChangeLimit", "GetStatus", "ListDocuments", "GetDocument", "GetBudget", "ListBills", "ListAudit", "ListUpstreamStates"}
	f.Add(uint8(0), true, []byte(`{"operation_id":"1","kind":"profile","name":"a","reason":"r","body":"e30="}`))
	f.Add(uint8(3), false, []byte("\x0a\x07profile\x18\x05"))
	f.Add(uint8(7), true, []byte(`{"after":"18446744073709551615"}`))
	f.Add(uint8(2), true, []byte(`[`))
	server := operator.NewServer(newConfig(&fakePublisher{}))
	f.Fuzz(func(t *testing.T, method uint8, isJSON bool, body []byte) {
		path := "/twirp/wisterialb.operator.Operator/" + methods[int(method)%len(methods)]
		request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Content-Type", "application/protobuf")
		if isJSON {
			request.Header.Set("Content-Type", "application/json")
		}
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			require.Contains(t, recorder.Body.String(), `"code":`)
		}
		require.Less(t, recorder.Code, http.StatusInternalServerError)
	})
}

func ExampleHashToken() {
	fmt.Println(operator.HashToken("test"))
	// Output: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
}
