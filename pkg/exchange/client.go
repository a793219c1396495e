// Package exchange is an HTTP client for one upstream. It sends attempts, reads
// their answers in bounded memory as events or body parts, resumes and cancels
// attempts, and reads load reports.
//
// Client.Send takes a connection from the pool and writes the request.
// Answer.Next returns the parts of the answer and then io.EOF; if the answer is
// incomplete, it returns an Error, which says whether the upstream may have
// received the request. Answer.Close ends the exchange. The connection of an
// answer that was not read to its end is closed and not reused, so that a late
// answer cannot reach another attempt.
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
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/message"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

// Headers of the protocol of model engines.
const (
	// HeaderAttempt carries the ID of the attempt, in requests and answers.
	HeaderAttempt = "Wisterialb-Attempt"
	// HeaderPriority carries the priority of the attempt, an integer.
	HeaderPriority = "Wisterialb-Priority"
)

// ClientConfig configures a Client. Zero values select the defaults.
type ClientConfig struct {
	// Address is the IP address and port of the upstream.
	Address string
	// ConnectTimeout limits the time to open a connection. It has no effect if Dial
	// is set.
	ConnectTimeout time.Duration
	// FirstPartTimeout limits the wait for the first part of an answer.
	FirstPartTimeout time.Duration
	// GapTimeout limits the gap between two parts.
	GapTimeout time.Duration
	// SuspectTimeout is how long a part may be awaited before a model engine is asked,
	// over a new connection, whether it has sent parts that have not arrived.
	SuspectTimeout time.Duration
	// ControlTimeout limits each request for a cancellation, an attempt's record, a
	// load report or a health check.
	ControlTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
	// MaxIdleConnections limits the number of idle connections.
	MaxIdleConnections int
	// Dial opens connections; nil means net.Dialer with ConnectTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect receives how long it took to open a connection, or to fail to open it;
	// nil ignores it. It isn't called when the request ended in the meantime.
	OnConnect func(address string, duration time.Duration, err error)
	// OnNotice receives what an answer asks for; nil ignores it. Only answers in the
	// product's own protocol are read.
	OnNotice func(request notice.Request)
}

// Defaults of ClientConfig.
const (
	defaultConnectTimeout     = time.Second
	defaultFirstPartTimeout   = 5 * time.Second
	defaultGapTimeout         = 2 * time.Second
	defaultSuspectTimeout     = 500 * time.Millisecond
	defaultControlTimeout     = time.Second
	defaultIdleTimeout        = 30 * time.Second
	defaultMaxIdleConnections = 64
)

// maxAnswerHeaderBytes limits the status line and headers of an answer, including
// those of interim answers.
const maxAnswerHeaderBytes = 64 << 10

// refusalTimeout limits the wait for a connection that only shows whether the
// upstream still exists.
const refusalTimeout = 200 * time.Millisecond

// Sizes of the buffers of one connection, in bytes. Most events fit in the read buffer
// and most request heads in the write buffer.
const (
	connectionReadBytes  = 2 << 10
	connectionWriteBytes = 1 << 10
)

// Client sends requests to one upstream over a pool of connections. It is safe for
// concurrent use.
type Client struct {
	config          ClientConfig
	pooledTransport atomic.Pointer[http.Transport]
	// unpooledTransport opens a new connection for each request.
	unpooledTransport *http.Transport
	// omitsAttemptIDs is set once an answer did not repeat the ID of its attempt.
	omitsAttemptIDs atomic.Bool
	// checkLimiter limits the rate of checks for stalled connections.
	checkLimiter *rate.Limiter
}

// NewClient returns a client. Connections are opened when they are needed.
func NewClient(config ClientConfig) *Client {
	client := &Client{config: config.withDefaults(), checkLimiter: rate.NewLimiter(maxChecksPerSecond, checkBurst)}
	client.unpooledTransport = client.newTransport()
	client.unpooledTransport.DisableKeepAlives = true
	client.pooledTransport.Store(client.newTransport())
	return client
}

func (clientConfig ClientConfig) withDefaults() ClientConfig {
	clientConfig.ConnectTimeout = orDefault(clientConfig.ConnectTimeout, defaultConnectTimeout)
	clientConfig.FirstPartTimeout = orDefault(clientConfig.FirstPartTimeout, defaultFirstPartTimeout)
	clientConfig.GapTimeout = orDefault(clientConfig.GapTimeout, defaultGapTimeout)
	clientConfig.SuspectTimeout = orDefault(clientConfig.SuspectTimeout, defaultSuspectTimeout)
	clientConfig.ControlTimeout = orDefault(clientConfig.ControlTimeout, defaultControlTimeout)
	clientConfig.IdleTimeout = orDefault(clientConfig.IdleTimeout, defaultIdleTimeout)
	clientConfig.MaxIdleConnections = orDefault(clientConfig.MaxIdleConnections, defaultMaxIdleConnections)
	if clientConfig.Dial == nil {
		clientConfig.Dial = (&net.Dialer{Timeout: clientConfig.ConnectTimeout}).DialContext
	}
	return clientConfig
}

// orDefault returns value if it is positive, and otherwise defaultValue.
func orDefault[T ~int | ~int64](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}

// newTransport returns a transport whose connections record whether data of a request
// was written to them.
func (client *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := client.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: message.NewConn(conn)}, nil
		},
		DisableCompression:  true,
		IdleConnTimeout:     client.config.IdleTimeout,
		MaxIdleConnsPerHost: client.config.MaxIdleConnections,
		// The default of 10 MB is too much for many answers at once on a small VM.
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		ReadBufferSize:         connectionReadBytes,
		WriteBufferSize:        connectionWriteBytes,
	}
}

func (client *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	startedAt := time.Now()
	conn, err := client.config.Dial(ctx, network, address)
	if client.config.OnConnect != nil && ctx.Err() == nil {
		client.config.OnConnect(address, time.Since(startedAt), err)
	}
	return conn, err
}

// ReplaceTransport replaces the connection pool, so that no existing connection
// gets another request. Idle connections are closed now, and those in use when
// their answers end.
func (client *Client) ReplaceTransport() {
	oldTransport := client.pooledTransport.Swap(client.newTransport())
	oldTransport.CloseIdleConnections()
}

// Refuses reports whether the upstream's host refuses connections, so that no process
// serves its address. It is false if that isn't known within refusalTimeout.
func (client *Client) Refuses(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	connection, err := client.dial(ctx, "tcp", client.config.Address)
	if err == nil {
		_ = connection.Close() // nothing was sent
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.pooledTransport.Load().CloseIdleConnections()
}

// Request is one attempt to be sent.
type Request struct {
	// AttemptID identifies the attempt.
	AttemptID string
	// Priority is sent to the upstream in HeaderPriority.
	Priority int
	// Method is the HTTP method.
	Method string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
	// InactivityTimeout limits the wait for each part instead of the client's
	// FirstPartTimeout and GapTimeout; zero means the client's.
	InactivityTimeout time.Duration
	// GapTimeout limits the gap between two parts; zero means InactivityTimeout.
	GapTimeout time.Duration
	// OnSilence decides what happens when the wait for a part has lasted its timeout:
	// true ends the exchange as stalled, false starts the wait anew. Nil always ends it.
	// The context ends when a part arrives after all. Until OnSilence returns, Next and
	// Send don't return either.
	OnSilence func(ctx context.Context) bool
	// MaySend is called when a connection is there. False ends the exchange before
	// anything is written; nil allows it.
	MaySend func() bool
	// OnSend is called when a connection is there and the request is about to be
	// written; nil ignores it.
	OnSend func()
	// AfterPosition is the position after which a passed-through stream continues.
	AfterPosition int64
	// ModelEngine is set if the upstream is a model engine. Its event streams must
	// repeat the attempt ID and number their events.
	ModelEngine bool
	// NewConnection is set if the request needs a connection of its own, which is
	// closed after the answer.
	NewConnection bool
	// PassThrough is set if the request is sent without added headers and the events
	// of the answer are returned unchanged.
	PassThrough bool
	// EchoHeader is the header in which the answer repeats the attempt ID; empty
	// means HeaderAttempt.
	EchoHeader string
	// MaxBodyBytes limits the stated length of an answer; zero means no limit.
	MaxBodyBytes int64
	// Share counts what is held of the event that is being read; nil sets no limit. The
	// exchange ends if the share is given up.
	Share *memory.Share
}

// nonReplayableBody is a body that the transport cannot rewind. With a body that it
// can rewind, net/http resends a request when the connection breaks and the request
// has an Idempotency-Key header or a safe method.
type nonReplayableBody struct {
	io.Reader
}

// Close does nothing.
func (nonReplayableBody) Close() error {
	return nil
}

// Send sends the attempt and returns its answer after its status and headers have
// arrived. The error is an Error.
func (client *Client) Send(ctx context.Context, request Request) (*Answer, error) {
	httpRequest, err := http.NewRequest(request.Method, "http://"+client.config.Address+request.Path, http.NoBody)
	if err != nil {
		return nil, &Error{Reason: ReasonConnect, Err: err}
	}
	httpRequest.ContentLength = int64(len(request.Body))
	httpRequest.Header = withoutHopByHopHeaders(request.Header)
	if host := httpRequest.Header.Get("Host"); host != "" {
		httpRequest.Host = host
		httpRequest.Header.Del("Host")
	}
	if !request.PassThrough {
		httpRequest.Header.Set(HeaderAttempt, request.AttemptID)
		httpRequest.Header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	}
	return client.open(ctx, httpRequest, answerOptions{
		attemptID: request.AttemptID, body: request.Body, inactivityTimeout: request.InactivityTimeout, modelEngine: request.ModelEngine, newConnection: request.NewConnection,
		passThrough: request.PassThrough, echoHeader: request.EchoHeader, gapTimeout: request.GapTimeout, afterPosition: request.AfterPosition,
		onSilence: request.OnSilence, maySend: request.MaySend, onSend: request.OnSend, maxBodyBytes: request.MaxBodyBytes, share: request.Share,
	})
}

// Resume requests the events of an attempt after a position. The error is an Error.
//
// The share is that of Request.
func (client *Client) Resume(ctx context.Context, attemptID string, afterPosition int64, share *memory.Share) (*Answer, error) {
	path := attemptPath(attemptID) + "/events?after=" + strconv.FormatInt(afterPosition, 10)
	httpRequest, err := http.NewRequest(http.MethodGet, "http://"+client.config.Address+path, http.NoBody)
	if err != nil {
		return nil, &Error{Reason: ReasonConnect, Err: err}
	}
	return client.open(ctx, httpRequest, answerOptions{attemptID: attemptID, afterPosition: afterPosition, modelEngine: true, resumed: true, share: share})
}

// answerOptions are the properties of the request that determine how the answer is
// read.
type answerOptions struct {
	attemptID string
	// body is the body of the request.
	body          []byte
	afterPosition int64
	// inactivityTimeout is zero if the client's timeouts apply.
	inactivityTimeout time.Duration
	// gapTimeout limits the gap between two parts; zero means inactivityTimeout.
	gapTimeout time.Duration
	// onSilence, maySend and onSend are those of the Request.
	onSilence func(ctx context.Context) bool
	maySend   func() bool
	onSend    func()
	// modelEngine is set if event streams must repeat the attempt ID.
	modelEngine bool
	// newConnection is set if no pooled connection may be used.
	newConnection bool
	// resumed is set if the answer continues that of an attempt sent before.
	resumed bool
	// passThrough is set if events are returned unchanged.
	passThrough bool
	// echoHeader is the header in which the answer repeats the attempt ID; empty
	// means HeaderAttempt.
	echoHeader string
	// maxBodyBytes and share are those of the Request.
	maxBodyBytes int64
	share        *memory.Share
}

// open sends the request and waits for status and headers of the answer. If a kept
// connection turns out to be unusable before any of the request was written to it, the
// request is sent over a new one.
func (client *Client) open(ctx context.Context, httpRequest *http.Request, options answerOptions) (*Answer, error) {
	answer, err := client.roundTrip(ctx, httpRequest, options)
	if err != nil && answer.wasReused() && isUnsent(err) {
		options.newConnection = true
		answer, err = client.roundTrip(ctx, httpRequest, options)
	}
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// isUnsent reports whether the connection failed before any of the request was written
// to it.
func isUnsent(err error) bool {
	failure := ErrorOf(err)
	return !failure.MayHaveStarted && failure.Reason != ReasonStalled && failure.Reason != ReasonCancelled && failure.Reason != ReasonWithdrawn
}

// roundTrip sends the request once. The answer is not nil, and closed if there is an
// error.
func (client *Client) roundTrip(ctx context.Context, httpRequest *http.Request, options answerOptions) (*Answer, error) {
	answer := &Answer{client: client, options: options}
	answer.position.Store(options.afterPosition)
	answer.start(ctx)
	trace := &httptrace.ClientTrace{GotConn: answer.gotConnection, WroteRequest: answer.wroteRequest}
	httpRequest = httpRequest.WithContext(httptrace.WithClientTrace(answer.ctx, trace)) //nolint:contextcheck // answer.ctx is derived from ctx
	httpRequest.Body = nonReplayableBody{bytes.NewReader(options.body)}
	response, err := client.transport(client.needsNewConnection(options)).RoundTrip(httpRequest) //nolint:bodyclose // Answer.Close closes it
	if err != nil {
		failure := answer.fail(err, ReasonClosed) // before a running OnSilence ends the exchange, too
		answer.stallDetector.endWait(false)
		answer.Close()
		return answer, failure
	}
	answer.stallDetector.endWait(true)
	answer.readHead(response)
	if answer.echoedAttemptID() == "" {
		client.omitsAttemptIDs.Store(true)
	}
	if err := answer.check(); err != nil {
		answer.Close()
		return answer, err
	}
	answer.bodyless = response.Body == http.NoBody
	client.readNotice(response, options.attemptID)
	return answer, nil
}

// needsNewConnection reports whether no pooled connection may be used. An upstream
// that does not repeat attempt IDs in all answers gets a new connection for each
// request, since nothing else tells an answer from that to an earlier request.
func (client *Client) needsNewConnection(options answerOptions) bool {
	return options.newConnection || !options.passThrough && client.omitsAttemptIDs.Load()
}

// transport returns the transport for a pooled or a new connection.
func (client *Client) transport(newConnection bool) *http.Transport {
	if newConnection {
		return client.unpooledTransport
	}
	return client.pooledTransport.Load()
}

// hopByHopHeaders are the hop-by-hop headers, and those that the transport sets itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding",
}

// withoutHopByHopHeaders returns a copy of header without hopByHopHeaders.
func withoutHopByHopHeaders(header http.Header) http.Header {
	endToEndHeader := header.Clone()
	if endToEndHeader == nil {
		endToEndHeader = make(http.Header)
	}
	for _, name := range hopByHopHeaders {
		endToEndHeader.Del(name)
	}
	return endToEndHeader
}

// failureReason classifies an error of the transport or the scanner. A cancelled
// context takes precedence, since it can cause any of these errors.
func failureReason(ctx context.Context, err error, defaultReason Reason) Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStalled):
		return ReasonStalled
	case errors.Is(cause, errWithdrawn):
		return ReasonWithdrawn
	case isGivenUp(cause), isGivenUp(err):
		return ReasonGivenUp
	case cause != nil:
		return ReasonCancelled
	case errors.Is(err, errOutOfOrder):
		return ReasonDisorder
	case errors.Is(err, errHeadGivenUp):
		return ReasonGivenUp
	case errors.Is(err, errOversized), errors.Is(err, errHeadOversized), errors.Is(err, memory.ErrTooLarge):
		return ReasonOversized
	default:
		return defaultReason
	}
}

// isGivenUp reports whether the answer was given up, so that the limit for all answers
// holds.
func isGivenUp(err error) bool {
	var givenUp *memory.GivenUpError
	return errors.As(err, &givenUp)
}
