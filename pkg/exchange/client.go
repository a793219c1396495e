// Package exchange speaks to one upstream: it sends an attempt, reads its
// answer as a stream of events or body parts in bounded memory, resumes and
// cancels attempts, and reads load reports.
//
// The flow: Client.Send takes a connection from the pool and writes the
// request; Answer.Next returns one whole part after another and io.EOF after
// the end marker; any other end is an Error which says whether the request
// can have started. Answer.Close ends the exchange; the connection of an answer
// that was not read to its end is closed and never used again.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The headers of the engines' protocol.
const (
	HeaderAttempt  = "Wisterialb-Attempt"
	HeaderPriority = "Wisterialb-Priority"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is an IP number and port.
	Address string
	// ConnectTimeout bounds the setting up of a connection.
	ConnectTimeout time.Duration
	// FirstTimeout bounds the silence before the first part of an answer.
	FirstPartTimeout time.Duration
	// BetweenTimeout bounds the silence between two parts.
	GapTimeout time.Duration
	// SuspectTimeout is the silence after which a model engine is asked, on a
	// fresh connection, whether it has sent more than has arrived.
	SuspectTimeout time.Duration
	// ControlTimeout bounds cancelling, records, load reports and probes.
	ControlTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections.
	MaxIdleConnections int
	// Dial opens connections; nil means the usual way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults of ClientConfig.
const (
	defaultConnectTimeout = time.Second
	defaultFirstTimeout   = 5 * time.Second
	defaultBetweenTimeout = 2 * time.Second
	defaultSuspectTimeout = 500 * time.Millisecond
	defaultControlTimeout = time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxIdle        = 64
)

// The buffers of one connection; most events and request heads fit them.
const (
	connectionReadBytes  = 2 << 10
	connectionWriteBytes = 1 << 10
)

// Client speaks to one upstream. Its connections belong to a generation; Renew
// starts the next one and no connection of an older one is taken again.
type Client struct {
	config     ClientConfig
	generation atomic.Pointer[http.Transport]
	// single opens a connection for each request and keeps none.
	single *http.Transport
	// checks bounds the questions about suspected connections.
	checks *rate.Limiter
}

// NewClient returns a client without open connections.
func NewClient(config ClientConfig) *Client {
	client := &Client{config: config.withDefaults(), checks: rate.NewLimiter(suspectRate, suspectBurst)}
	client.single = client.newTransport()
	client.single.DisableKeepAlives = true
	client.generation.Store(client.newTransport())
	return client
}

func (clientConfig ClientConfig) withDefaults() ClientConfig {
	clientConfig.ConnectTimeout = positive(clientConfig.ConnectTimeout, defaultConnectTimeout)
	clientConfig.FirstPartTimeout = positive(clientConfig.FirstPartTimeout, defaultFirstTimeout)
	clientConfig.GapTimeout = positive(clientConfig.GapTimeout, defaultBetweenTimeout)
	clientConfig.SuspectTimeout = positive(clientConfig.SuspectTimeout, defaultSuspectTimeout)
	clientConfig.ControlTimeout = positive(clientConfig.ControlTimeout, defaultControlTimeout)
	clientConfig.IdleTimeout = positive(clientConfig.IdleTimeout, defaultIdleTimeout)
	clientConfig.MaxIdleConnections = positive(clientConfig.MaxIdleConnections, defaultMaxIdle)
	return clientConfig
}

// positive returns value, or fallback when value is not above zero.
func positive[T ~int | ~int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (client *Client) newTransport() *http.Transport {
	dial := client.config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: client.config.ConnectTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		DisableCompression:  true,
		IdleConnTimeout:     client.config.IdleTimeout,
		MaxIdleConnsPerHost: client.config.MaxIdleConnections,
		ReadBufferSize:      connectionReadBytes,
		WriteBufferSize:     connectionWriteBytes,
	}
}

// Renew starts a new generation: unused connections are closed, and those in
// use are closed when their answers end.
func (client *Client) ReplaceTransport() {
	old := client.generation.Swap(client.newTransport())
	old.CloseIdleConnections()
}

// Close closes the unused connections.
func (client *Client) Close() {
	client.generation.Load().CloseIdleConnections()
}

// Request is one attempt.
type Request struct {
	AttemptID string
	Priority  int
	Method    string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout takes the place of the client's bounds on silence unless it is zero.
	InactivityTimeout time.Duration
	// Between is the bound on silence behind the first part; zero means Timeout.
	GapTimeout time.Duration
	// After is the position behind which an opaque stream goes on.
	AfterPosition int64
	// Model is set when a stream has to name the attempt.
	ModelEngine bool
	// Fresh requests get a new connection, which is closed behind the answer.
	NewConnection bool
	// Opaque requests are sent with their own headers only, and events of their
	// answers are passed on as they are.
	PassThrough bool
	// Echo names the header in which the answer repeats the attempt; empty means
	// HeaderAttempt.
	EchoHeader string
}

// onceBody is a body that the transport can't rewind. Without it net/http
// repeats a request by itself when the connection breaks and the request has an
// Idempotency-Key header or a safe method.
type onceBody struct {
	io.Reader
}

// Close does nothing.
func (onceBody) Close() error {
	return nil
}

// Send sends the attempt and returns its answer when the head has arrived. The
// error is an Error.
func (client *Client) Send(ctx context.Context, request Request) (*Answer, error) {
	body := onceBody{bytes.NewReader(request.Body)}
	message, err := http.NewRequest(request.Method, "http://"+client.config.Address+request.Path, body)
	if err != nil {
		return nil, &Error{Reason: ReasonConnect, Err: err}
	}
	message.ContentLength = int64(len(request.Body))
	message.Header = forwarded(request.Header)
	if host := message.Header.Get("Host"); host != "" {
		message.Host = host
		message.Header.Del("Host")
	}
	if !request.PassThrough {
		message.Header.Set(HeaderAttempt, request.AttemptID)
		message.Header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	}
	return client.open(ctx, message, opening{
		attempt: request.AttemptID, timeout: request.InactivityTimeout, named: request.ModelEngine, fresh: request.NewConnection,
		opaque: request.PassThrough, echo: request.EchoHeader, between: request.GapTimeout, after: request.AfterPosition,
	})
}

// Resume reopens the stream of an attempt behind a position.
func (client *Client) Resume(ctx context.Context, attempt string, after int64) (*Answer, error) {
	path := attemptPath(attempt) + "/events?after=" + strconv.FormatInt(after, 10)
	message, err := http.NewRequest(http.MethodGet, "http://"+client.config.Address+path, onceBody{http.NoBody})
	if err != nil {
		return nil, &Error{Reason: ReasonConnect, Err: err}
	}
	return client.open(ctx, message, opening{attempt: attempt, after: after, named: true, resumed: true})
}

// opening says what is known of an answer before it arrives.
type opening struct {
	attempt string
	after   int64
	// timeout is zero when the client's bounds on silence apply.
	timeout time.Duration
	// between bounds the silence behind the first part; zero means timeout.
	between time.Duration
	// named is set when a stream has to name the attempt.
	named bool
	// fresh is set when no pooled connection is to be used.
	fresh bool
	// resumed is set when the attempt was sent before.
	resumed bool
	// opaque is set when events are passed on as they are.
	opaque bool
	// echo names the header in which the answer repeats the attempt.
	echo string
}

// open sends the message and waits for the answer's head.
func (client *Client) open(ctx context.Context, message *http.Request, opening opening) (*Answer, error) {
	answer := &Answer{client: client, opening: opening}
	answer.position.Store(opening.after)
	answer.start(ctx)
	trace := &httptrace.ClientTrace{GotConn: answer.gotConnection}
	message = message.WithContext(httptrace.WithClientTrace(answer.ctx, trace)) //nolint:contextcheck // answer.ctx is derived from ctx
	response, err := client.transport(opening.fresh).RoundTrip(message)         //nolint:bodyclose // Answer.Close closes it
	if err != nil {
		failure := answer.fail(err, ReasonClosed)
		answer.Close()
		return nil, failure
	}
	answer.accept(response)
	if !answer.own() {
		answer.Close()
		return nil, &Error{Reason: ReasonForeign, MayHaveStarted: true, Err: errForeign}
	}
	return answer, nil
}

func (client *Client) transport(fresh bool) *http.Transport {
	if fresh {
		return client.single
	}
	return client.generation.Load()
}

// hopHeaders concern one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding",
}

func forwarded(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, name := range hopHeaders {
		copied.Del(name)
	}
	return copied
}

// reasonOf names the reason of an error of the transport.
func reasonOf(ctx context.Context, err error, fallback Reason) Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStalled):
		return ReasonStalled
	case cause != nil:
		return ReasonCancelled
	case errors.Is(err, errDisorder):
		return ReasonDisorder
	case errors.Is(err, errOversized):
		return ReasonOversized
	default:
		return fallback
	}
}
