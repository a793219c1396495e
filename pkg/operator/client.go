package operator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/message"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// defaultAttemptTimeout is longer than defaultPropagationTimeout, so that a
// publication that waits for slow routers still gets its response.
const defaultAttemptTimeout = 10 * time.Second

// maxResponseBytes limits one response. A page has 100 entries by default, and a document
// up to 1 MiB.
const maxResponseBytes = 128 << 20

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are the operator addresses of routers, used in turn.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// AttemptTimeout bounds each attempt of a call; zero means 10 s.
	AttemptTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of a call; zero means 6.
	MaxAttempts int
	// HTTPClient sends the requests; nil means a new client without keep-alive.
	HTTPClient operatorpb.HTTPClient
}

// Client calls the operator protocol of routers with an operator's token. The
// errors of its methods are faults of package fault. The outcome not_run means
// that nothing was changed.
type Client struct {
	config ClientConfig
	stubs  []operatorpb.Operator
}

// NewClient returns a client. It fails if the configuration has no address.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "no router is named",
			Remedy:  "name the operator address of a router with --address or WISTERIALB_ADDRESS",
		})
	}
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = defaultAttemptTimeout
	}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	if config.HTTPClient == nil {
		config.HTTPClient = newHTTPClient((&net.Dialer{}).DialContext)
	}
	httpClient := &message.Client{
		Next: config.HTTPClient, Limiter: message.NewLimiter(message.Config{MaxBytes: maxResponseBytes}),
	}
	client := &Client{config: config}
	for _, address := range config.Addresses {
		client.stubs = append(client.stubs, operatorpb.NewOperatorProtobufClient(
			"http://"+address,
			httpClient,
			twirp.WithClientInterceptors(convertErrors),
		))
	}
	return client, nil
}

// newHTTPClient returns a client that opens a connection for each request.
func newHTTPClient(dial message.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: message.DialConn(dial), DisableKeepAlives: true, MaxResponseHeaderBytes: message.MaxHeaderBytes,
	}}
}

// convertErrors is a client interceptor that converts twirp errors to faults.
func convertErrors(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		if err != nil {
			return nil, fromTwirpError(err)
		}
		return response, nil
	}
}

// withAuthorization returns a context whose calls carry the operator's token.
func (client *Client) withAuthorization(ctx context.Context) (context.Context, error) {
	header := make(http.Header)
	header.Set(authorizationHeader, bearerPrefix+client.config.Token)
	return twirp.WithHTTPRequestHeaders(ctx, header)
}

// Publish creates, replaces or deletes one document. The server records the
// operator whose token the client has, not change.Operator.
func (client *Client) Publish(ctx context.Context, change configuration.Change) (Publication, error) {
	response, err := callWithRetries(ctx, client, operatorpb.Operator.Publish, &operatorpb.PublishRequest{
		OperationId: change.OperationID,
		Reason:      change.Reason,
		Kind:        string(change.Kind),
		Name:        change.Name,
		Expected:    change.ExpectedRevision,
		Body:        change.Body,
	})
	return publicationFromMessage(response), err
}

// LimitChange is a change to the budget limit of a profile.
type LimitChange struct {
	OperationID string
	Reason      string
	Profile     string
	// AddTokens is added to the limit; a negative value lowers it.
	AddTokens int64
}

// ChangeLimit changes the limit of a profile, once for each operation id.
func (client *Client) ChangeLimit(ctx context.Context, change LimitChange) (Publication, error) {
	response, err := callWithRetries(ctx, client, operatorpb.Operator.ChangeLimit, &operatorpb.ChangeLimitRequest{
		OperationId: change.OperationID,
		Reason:      change.Reason,
		Profile:     change.Profile,
		AddTokens:   change.AddTokens,
	})
	return publicationFromMessage(response), err
}

// Status returns the configuration revision of each router.
func (client *Client) Status(ctx context.Context) (Status, error) {
	response, err := callReadOnly(ctx, client, operatorpb.Operator.GetStatus, &operatorpb.GetStatusRequest{})
	return statusFromMessage(response), err
}

// Page selects one page of a list.
type Page struct {
	// After is the cursor that the previous page returned; empty selects the
	// first page.
	After string
	// Limit is the maximum number of entries; zero means 100.
	Limit int
}

// Documents returns a page of documents of the kind and the cursor of the next
// page, which is empty on the last page.
func (client *Client) Documents(ctx context.Context, kind configuration.Kind, page Page) ([]configuration.StoredDocument, string, error) {
	response, err := callReadOnly(ctx, client, operatorpb.Operator.ListDocuments, &operatorpb.ListDocumentsRequest{
		Kind:  string(kind),
		After: page.After,
		Limit: int32(page.Limit),
	})
	return convertAll(response.GetDocuments(), documentFromMessage), response.GetNext(), err
}

// Document returns one document.
func (client *Client) Document(ctx context.Context, kind configuration.Kind, name string) (configuration.StoredDocument, error) {
	response, err := callReadOnly(ctx, client, operatorpb.Operator.GetDocument, &operatorpb.GetDocumentRequest{
		Kind: string(kind),
		Name: name,
	})
	return documentFromMessage(response.GetDocument()), err
}

// Budget returns the budget statement of a profile.
func (client *Client) Budget(ctx context.Context, profile string) (budget.Statement, error) {
	response, err := callReadOnly(ctx, client, operatorpb.Operator.GetBudget, &operatorpb.GetBudgetRequest{Profile: profile})
	return statementFromMessage(response), err
}

// Bills returns a page of a profile's ledger lines and the cursor of the next
// page, which is empty on the last page.
func (client *Client) Bills(ctx context.Context, profile string, page Page) ([]budget.Line, string, error) {
	response, err := callReadOnly(ctx, client, operatorpb.Operator.ListBills, &operatorpb.ListBillsRequest{
		Profile: profile,
		After:   page.After,
		Limit:   int32(page.Limit),
	})
	return convertAll(response.GetLines(), lineFromMessage), response.GetNext(), err
}

// Audit returns a page of the accepted changes with revisions above afterRevision,
// at most limit (zero means 100). It also returns the afterRevision of the next
// page, which is zero on the last page.
func (client *Client) Audit(ctx context.Context, afterRevision uint64, limit int) ([]configuration.Record, uint64, error) {
	response, err := callReadOnly(ctx, client, operatorpb.Operator.ListAudit, &operatorpb.ListAuditRequest{
		After: afterRevision,
		Limit: int32(limit),
	})
	return convertAll(response.GetRecords(), recordFromMessage), response.GetNext(), err
}

// UpstreamStates returns the wanted and the actual model of each upstream.
func (client *Client) UpstreamStates(ctx context.Context) ([]UpstreamState, error) {
	response, err := callReadOnly(ctx, client, operatorpb.Operator.ListUpstreamStates, &operatorpb.ListUpstreamStatesRequest{})
	return convertAll(response.GetStates(), upstreamStateFromMessage), err
}
