package platform

// The flow of the client: each call is encoded as a message of platformpb and sent
// with the client's timeout, and its response is decoded. classify converts an
// error into the kind that the package comment specifies. A call that timed out
// closes the idle connections, because they may have stalled too.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/message"
	"gitlab.com/wisterialb/wisterialb/pkg/platform/platformpb"
)

// ClientHeader is the header with the name of the client of a call.
const ClientHeader = "Wisterialb-Client"

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxIdleConns   = 16
	// maxResponseBytes limits one response. The largest are reads of stored results: those
	// of 50 requests, with 128 KB each in base64 and their headers, have up to 12 MB.
	maxResponseBytes    = 16 << 20
	intermediaryMetaKey = "http_error_from_intermediary"
)

// ClientConfig configures Dial.
type ClientConfig struct {
	// Address is the IP number and port of the platform.
	Address string
	// Timeout bounds each call; zero means 2 seconds.
	Timeout time.Duration
	// Name is sent with each call to tell clients apart; it may be empty.
	Name string
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTPClient sends the calls; nil means a new one.
	HTTPClient *http.Client
}

// Client calls the platform over the twirp protocol.
type Client struct {
	table     *tableClient
	objects   *objectsClient
	vms       *vmsClient
	transport *transport
	eras      *eraTransport
}

var (
	_ Platform        = (*Client)(nil)
	_ RestoreObserver = (*Client)(nil)
)

// Dial returns a client. The first call opens the first connection.
func Dial(config ClientConfig) *Client {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.HTTPClient == nil {
		config.HTTPClient = newHTTPClient(config.Dial)
	}
	next := config.HTTPClient.Transport
	if next == nil {
		next = http.DefaultTransport
	}
	eras := &eraTransport{next: &message.Transport{
		Next: next, Limiter: message.NewLimiter(message.Config{MaxBytes: maxResponseBytes}),
	}}
	httpClient := *config.HTTPClient
	httpClient.Transport = eras
	transport := &transport{httpClient: &httpClient, timeout: config.Timeout}
	baseURL := "http://" + config.Address
	clientHeader := twirp.WithClientHooks(&twirp.ClientHooks{RequestPrepared: setClientHeader(config.Name)})
	return &Client{
		table:     &tableClient{transport: transport, stub: platformpb.NewTableProtobufClient(baseURL, transport.httpClient, clientHeader)},
		objects:   &objectsClient{transport: transport, stub: platformpb.NewObjectsProtobufClient(baseURL, transport.httpClient, clientHeader)},
		vms:       &vmsClient{transport: transport, stub: platformpb.NewVMsProtobufClient(baseURL, transport.httpClient, clientHeader)},
		transport: transport,
		eras:      eras,
	}
}

// OnRestore sets the function that is called when the platform has come back from an
// older copy.
func (client *Client) OnRestore(observe func(previous, era uint64)) {
	client.eras.mutex.Lock()
	defer client.eras.mutex.Unlock()
	client.eras.onRestore = observe
}

// Table returns the table service.
func (client *Client) Table() Table { return client.table }

// Objects returns the object store.
func (client *Client) Objects() Objects { return client.objects }

// VMs returns the list of VMs.
func (client *Client) VMs() VMList { return client.vms }

// Close closes the idle connections; calls in progress continue.
func (client *Client) Close() { client.transport.httpClient.CloseIdleConnections() }

func newHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:            message.DialConn(dial),
		IdleConnTimeout:        idleTimeout,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: message.MaxHeaderBytes,
	}}
}

func setClientHeader(name string) func(context.Context, *http.Request) (context.Context, error) {
	return func(ctx context.Context, request *http.Request) (context.Context, error) {
		if name != "" {
			request.Header.Set(ClientHeader, name)
		}
		return ctx, nil
	}
}

// transport is the HTTP client and the timeout that the three services share.
type transport struct {
	httpClient *http.Client
	timeout    time.Duration
}

// call sends one call within the timeout and classifies its error.
func call[Request, Response any](
	ctx context.Context,
	transport *transport,
	method func(context.Context, *Request) (*Response, error),
	request *Request,
) (*Response, error) {
	callCtx, cancel := context.WithTimeout(ctx, transport.timeout)
	defer cancel()
	response, err := method(callCtx, request)
	if err == nil {
		return response, nil
	}
	if callCtx.Err() != nil {
		transport.httpClient.CloseIdleConnections()
	}
	return nil, classify(err)
}

// refusalsByCode has the errors for the twirp codes that state that nothing was
// applied. A call with any other error may have been applied.
var refusalsByCode = map[twirp.ErrorCode]fault.Config{
	twirp.FailedPrecondition: {Kind: fault.Conflict, Remedy: "read the items again and repeat the decision"},
	twirp.ResourceExhausted:  {Kind: fault.Overloaded, Remedy: "retry after a delay"},
	twirp.InvalidArgument:    {Kind: fault.Invalid, Remedy: "correct the call"},
	twirp.NotFound:           {Kind: fault.NotFound, Remedy: "check the name of the object"},
}

// classify converts the error of a call into a fault with one of the kinds that
// the package comment specifies. An error that an HTTP intermediary caused is
// never a refusal by the platform.
func classify(err error) error {
	var twirpError twirp.Error
	if errors.As(err, &twirpError) && twirpError.Meta(intermediaryMetaKey) == "" {
		if config, ok := refusalsByCode[twirpError.Code()]; ok {
			config.Message = "platform refused the call: " + twirpError.Msg()
			config.Cause = err
			return fault.New(config)
		}
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "call to the platform failed and may have been applied: " + err.Error(),
		Remedy:  "read the stored state before relying on either result",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}
