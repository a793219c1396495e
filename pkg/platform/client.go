package platform

// The flow of the client: each call is turned into a message of platformpb, sent
// with the client's timeout, and its answer is turned back. classify turns an
// error into the kind that package documentation promises. A call that timed out
// drops the idle connections, because they may have gone silent too.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform/platformpb"
)

// ClientHeader names the client of a call to the platform.
const ClientHeader = "Wisterialb-Client"

const (
	defaultTimeout      = 2 * time.Second
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConns        = 16
	intermediaryMetaKey = "http_error_from_intermediary"
)

// ClientConfig configures Dial.
type ClientConfig struct {
	// Address is an IP number and port of the platform.
	Address string
	// Timeout bounds each call; zero means two seconds.
	Timeout time.Duration
	// Name is sent with each call to tell clients apart; it may be empty.
	Name string
	// Dial opens connections; nil means the usual way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTPClient sends the calls; nil means one of the client's own.
	HTTPClient *http.Client
}

// Client speaks to the platform over twirp.
type Client struct {
	table   *tableClient
	objects *objectsClient
	vms     *vmsClient
	link    *link
}

var _ Platform = (*Client)(nil)

// Dial returns a client. It opens no connection before the first call.
func Dial(config ClientConfig) *Client {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.HTTPClient == nil {
		config.HTTPClient = newHTTPClient(config.Dial)
	}
	link := &link{httpClient: config.HTTPClient, timeout: config.Timeout}
	base := "http://" + config.Address
	named := twirp.WithClientHooks(&twirp.ClientHooks{RequestPrepared: nameRequest(config.Name)})
	return &Client{
		table:   &tableClient{link: link, stub: platformpb.NewTableProtobufClient(base, config.HTTPClient, named)},
		objects: &objectsClient{link: link, stub: platformpb.NewObjectsProtobufClient(base, config.HTTPClient, named)},
		vms:     &vmsClient{link: link, stub: platformpb.NewVMsProtobufClient(base, config.HTTPClient, named)},
		link:    link,
	}
}

// Table returns the table service.
func (client *Client) Table() Table { return client.table }

// Objects returns the object store.
func (client *Client) Objects() Objects { return client.objects }

// VMs returns the list of VMs.
func (client *Client) VMs() VMList { return client.vms }

// Close closes the idle connections.
func (client *Client) Close() { client.link.httpClient.CloseIdleConnections() }

func newHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
	}}
}

func nameRequest(name string) func(context.Context, *http.Request) (context.Context, error) {
	return func(ctx context.Context, request *http.Request) (context.Context, error) {
		if name != "" {
			request.Header.Set(ClientHeader, name)
		}
		return ctx, nil
	}
}

// link is what the three services share.
type link struct {
	httpClient *http.Client
	timeout    time.Duration
}

// exchange sends one call within the timeout and classifies its error.
func exchange[Request, Response any](
	ctx context.Context,
	link *link,
	call func(context.Context, *Request) (*Response, error),
	request *Request,
) (*Response, error) {
	bounded, cancel := context.WithTimeout(ctx, link.timeout)
	defer cancel()
	response, err := call(bounded, request)
	if err == nil {
		return response, nil
	}
	if bounded.Err() != nil {
		link.httpClient.CloseIdleConnections()
	}
	return nil, classify(err)
}

// refusals are the twirp codes with which the platform states that it applied
// nothing. Every other error may have been applied.
var refusals = map[twirp.ErrorCode]fault.Config{
	twirp.FailedPrecondition: {Kind: fault.Conflict, Remedy: "read the items again and decide anew"},
	twirp.ResourceExhausted:  {Kind: fault.Overloaded, Remedy: "retry after a delay"},
	twirp.InvalidArgument:    {Kind: fault.Invalid, Remedy: "correct the call"},
	twirp.NotFound:           {Kind: fault.NotFound, Remedy: "check the name of the object"},
}

// classify turns an error of a call into a typed one.
func classify(err error) error {
	var twirpError twirp.Error
	if errors.As(err, &twirpError) && twirpError.Meta(intermediaryMetaKey) == "" {
		if config, ok := refusals[twirpError.Code()]; ok {
			config.Message = "platform refused the call: " + twirpError.Msg()
			config.Cause = err
			return fault.New(config)
		}
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "call to the platform failed and may have been applied: " + err.Error(),
		Remedy:  "read back before relying on either result",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}
