package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// defaultTimeout bounds one try. It is longer than the time that a publication
// waits for the routers.
const defaultTimeout = 10 * time.Second

// ClientConfig describes a client.
type ClientConfig struct {
	// Addresses are the operator addresses of routers, tried in turn.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// Timeout bounds each try; zero means 10 s.
	AttemptTimeout time.Duration
	// Tries bounds the tries of a call; zero means 6.
	MaxAttempts int
	// HTTP makes the requests; nil means a client of its own.
	HTTPClient operatorpb.HTTPClient
}

// Client asks routers on behalf of an operator. Its methods return faults. An
// outcome of not_run means that nothing was changed.
type Client struct {
	config ClientConfig
	stubs  []operatorpb.Operator
}

// NewClient returns a client.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "no router is named",
			Remedy:  "name the operator address of a router with --address or WISTERIALB_ADDRESS",
		})
	}
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = defaultTimeout
	}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = defaultTries
	}
	if config.HTTPClient == nil {
		config.HTTPClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	client := &Client{config: config}
	for _, address := range config.Addresses {
		client.stubs = append(client.stubs, operatorpb.NewOperatorProtobufClient(
			"http://"+address,
			config.HTTPClient,
			twirp.WithClientInterceptors(faultsOf),
		))
	}
	return client, nil
}

// faultsOf turns twirp errors into faults.
func faultsOf(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		if err != nil {
			return nil, fromTwirp(err)
		}
		return response, nil
	}
}

// withToken adds the operator's token to the calls under the context.
func (client *Client) withToken(ctx context.Context) (context.Context, error) {
	header := make(http.Header)
	header.Set(authorizationHeader, bearerPrefix+client.config.Token)
	return twirp.WithHTTPRequestHeaders(ctx, header)
}

// Publish puts or deletes one document. The operator of the change is the one
// whose token the client has.
func (client *Client) Publish(ctx context.Context, change configuration.Change) (Publication, error) {
	response, err := call(ctx, client, operatorpb.Operator.Publish, &operatorpb.PublishRequest{
		OperationId: change.OperationID,
		Reason:      change.Reason,
		Kind:        string(change.Kind),
		Name:        change.Name,
		Expected:    change.ExpectedRevision,
		Body:        change.Body,
	})
	return publicationOf(response), err
}

// LimitChange raises or lowers the limit of a profile.
type LimitChange struct {
	OperationID string
	Reason      string
	Profile     string
	// AddTokens lowers the limit when it is negative.
	AddTokens int64
}

// ChangeLimit raises or lowers the limit of a profile, once for each operation id.
func (client *Client) ChangeLimit(ctx context.Context, change LimitChange) (Publication, error) {
	response, err := call(ctx, client, operatorpb.Operator.ChangeLimit, &operatorpb.ChangeLimitRequest{
		OperationId: change.OperationID,
		Reason:      change.Reason,
		Profile:     change.Profile,
		AddTokens:   change.AddTokens,
	})
	return publicationOf(response), err
}

// Status tells which revision each live router is on.
func (client *Client) Status(ctx context.Context) (Status, error) {
	response, err := read(ctx, client, operatorpb.Operator.GetStatus, &operatorpb.GetStatusRequest{})
	return statusOf(response), err
}

// Page says which part of a list is asked for.
type Page struct {
	// After is the entry behind which the page begins; empty means the first.
	After string
	// Limit is the greatest number of entries; zero means 100.
	Limit int
}

// Documents returns a page of documents of the kind and the after of the next
// page, which is empty on the last one.
func (client *Client) Documents(ctx context.Context, kind configuration.Kind, page Page) ([]configuration.StoredDocument, string, error) {
	response, err := read(ctx, client, operatorpb.Operator.ListDocuments, &operatorpb.ListDocumentsRequest{
		Kind:  string(kind),
		After: page.After,
		Limit: int32(page.Limit),
	})
	return convert(response.GetDocuments(), documentOf), response.GetNext(), err
}

// Document returns one document.
func (client *Client) Document(ctx context.Context, kind configuration.Kind, name string) (configuration.StoredDocument, error) {
	response, err := read(ctx, client, operatorpb.Operator.GetDocument, &operatorpb.GetDocumentRequest{
		Kind: string(kind),
		Name: name,
	})
	return documentOf(response.GetDocument()), err
}

// Budget returns the statement of a profile's budget.
func (client *Client) Budget(ctx context.Context, profile string) (budget.Statement, error) {
	response, err := read(ctx, client, operatorpb.Operator.GetBudget, &operatorpb.GetBudgetRequest{Profile: profile})
	return statementOf(response), err
}

// Bills returns a page of a profile's ledger and the after of the next page,
// which is empty on the last one.
func (client *Client) Bills(ctx context.Context, profile string, page Page) ([]budget.Line, string, error) {
	response, err := read(ctx, client, operatorpb.Operator.ListBills, &operatorpb.ListBillsRequest{
		Profile: profile,
		After:   page.After,
		Limit:   int32(page.Limit),
	})
	return convert(response.GetLines(), lineOf), response.GetNext(), err
}

// Audit returns a page of accepted changes behind the revision and the after of
// the next page, which is zero on the last one.
func (client *Client) Audit(ctx context.Context, after uint64, limit int) ([]configuration.Record, uint64, error) {
	response, err := read(ctx, client, operatorpb.Operator.ListAudit, &operatorpb.ListAuditRequest{
		After: after,
		Limit: int32(limit),
	})
	return convert(response.GetRecords(), recordOf), response.GetNext(), err
}

// UpstreamStates sets what upstreams should have loaded beside what they have.
func (client *Client) UpstreamStates(ctx context.Context) ([]UpstreamState, error) {
	response, err := read(ctx, client, operatorpb.Operator.ListUpstreamStates, &operatorpb.ListUpstreamStatesRequest{})
	return convert(response.GetStates(), stateOf), err
}
