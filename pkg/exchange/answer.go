package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minPartBytes and maxPartBytes limit the first part of a plain body and the later
	// ones. Most bodies are small.
	minPartBytes = 2 << 10
	maxPartBytes = 16 << 10
	// maxDiscardedBytes limits what is read of a body whose content doesn't matter.
	maxDiscardedBytes = 32 << 10
	// endOfBodyTimeout limits the wait for the end of a body whose content doesn't
	// matter: after the end marker, and if it is discarded.
	endOfBodyTimeout = 50 * time.Millisecond
	// endMarker is the data of the last event of a stream.
	endMarker = "[DONE]"
)

// Part is one event of a stream or one block of bytes of a plain body.
type Part struct {
	// Position is the number of the part, counted from 1. In a passed-through
	// stream it is the event's own id, or zero if the event has none.
	Position int64
	// Data is the event's data; in a passed-through stream it is the event with
	// all its fields. It is valid until the next call of Next.
	Data []byte
	// Comment is set if a part of a passed-through stream has only comments, as after
	// its last event.
	Comment bool
}

// Answer is the response of an upstream. Its body is read part by part with Next.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the response headers without the hop-by-hop headers. It states a
	// Content-Length only if WithoutBody is set and the upstream stated one.
	Header http.Header
	// WithoutBody is set if HTTP allows the answer no body: it is one to HEAD, or has the
	// status 204 or 304.
	WithoutBody bool
	// Stream is set if the body is read as server-sent events, which is the case for
	// successes of model engines and of passed-through requests. Events of other plain
	// services are read like any other body, and so are failures, whatever type they
	// state.
	Stream bool

	client  *Client
	options answerOptions
	// position is the position of the last part that Next returned, or
	// options.afterPosition before the first part. It is atomic because the stall
	// detector reads it too.
	position atomic.Int64
	// ctx ends with the caller's context, after a stall and when the answer is closed.
	ctx           context.Context
	cancel        context.CancelCauseFunc
	stallDetector *stallDetector
	// mutex guards connection.
	mutex sync.Mutex
	// connection is nil until the transport has assigned one to the request.
	connection *connection
	body       io.ReadCloser
	scanner    *scanner
	// delimited is set if the response marks the end of its body, by a length or by
	// chunked encoding, so that a truncated body can be detected.
	delimited bool
	// contentLength is the stated length of the body, or -1.
	contentLength int64
	// eventRead is set once an event of a passed-through stream has been read.
	eventRead bool
	// reused is set if the connection has carried another request before.
	reused bool
	// bodyless is set once an answer without a body was accepted. The transport may
	// have reused its connection since.
	bodyless bool
	// complete is set once the end of the answer has been read.
	complete bool
	// eventBytes is what is held of the last event of a stream.
	eventBytes int
	// buffer is the one of the last part of a plain body.
	buffer []byte
}

// start derives the answer's context from ctx and starts the wait for the status and
// headers.
func (answer *Answer) start(ctx context.Context) {
	answer.ctx, answer.cancel = context.WithCancelCause(ctx)
	answer.stallDetector = newStallDetector(answer)
	answer.options.share.OnGiveUp(func(err error) { answer.cancel(err) })
	answer.stallDetector.startWait(answer.nextPartTimeout())
}

// gotConnection records the connection that the transport has assigned.
func (answer *Answer) gotConnection(info httptrace.GotConnInfo) {
	assignedConnection, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	assignedConnection.beginRequest(answer.options.attemptID, answer.options.share)
	if answer.options.maySend != nil && !answer.options.maySend() {
		assignedConnection.seal()
		answer.cancel(errWithdrawn)
	} else if answer.options.onSend != nil {
		answer.options.onSend()
	}
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	answer.connection, answer.reused = assignedConnection, info.Reused
}

// wroteRequest records that the request was written, or that writing it failed.
func (answer *Answer) wroteRequest(httptrace.WroteRequestInfo) {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	if answer.connection != nil {
		answer.connection.endRequest()
	}
}

// wasReused reports whether the request was assigned a kept connection.
func (answer *Answer) wasReused() bool {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	return answer.reused
}

// readHead takes status, headers and body reader from the response.
func (answer *Answer) readHead(response *http.Response) {
	answer.Status = response.StatusCode
	answer.Header = withoutHopByHopHeaders(response.Header)
	answer.body = response.Body
	answer.contentLength = response.ContentLength
	isHead := response.Request.Method == http.MethodHead
	if isHead {
		answer.contentLength = 0
	}
	answer.WithoutBody = isHead || answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified
	if length := response.Header.Get("Content-Length"); length != "" && answer.WithoutBody && answer.Status != http.StatusNoContent {
		answer.Header.Set("Content-Length", length) // that of the body which a GET returns
	}
	isSuccess := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	answer.Stream = isSuccess && (answer.options.modelEngine || answer.options.passThrough) &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	answer.delimited = response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || isHead
	if answer.Stream {
		answer.scanner = newScanner(response.Body)
		answer.scanner.grow = answer.grow
	}
}

// check returns an error if the answer does not belong to the attempt, or is none.
func (answer *Answer) check() error {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	switch {
	case answer.Status < http.StatusOK:
		return &Error{Reason: ReasonClosed, MayHaveStarted: true, Err: errNotFinal}
	case answer.connection != nil && !answer.connection.hasAnswered():
		return &Error{Reason: ReasonForeign, MayHaveStarted: true, Err: errUnsolicited}
	case !answer.matchesAttempt():
		return &Error{Reason: ReasonForeign, MayHaveStarted: true, Err: errWrongAttempt}
	case answer.options.maxBodyBytes > 0 && answer.contentLength > answer.options.maxBodyBytes:
		return &Error{Reason: ReasonOversized, MayHaveStarted: true, Err: errBodyOversized}
	default:
		return nil
	}
}

// echoedAttemptID returns the attempt ID that the answer repeats, or an empty text.
func (answer *Answer) echoedAttemptID() string {
	echoHeader := answer.options.echoHeader
	if echoHeader == "" {
		echoHeader = HeaderAttempt
	}
	return answer.Header.Get(echoHeader)
}

// matchesAttempt reports whether the answer repeats the ID of the attempt. Event
// streams of model engines and answers to passed-through requests must repeat it. Any
// other answer may omit it if nothing before it on the connection can have been the
// request that it answers.
func (answer *Answer) matchesAttempt() bool {
	echoedAttemptID := answer.echoedAttemptID()
	mustRepeat := answer.options.passThrough || answer.options.modelEngine && answer.Stream
	if echoedAttemptID == "" && !mustRepeat {
		return !answer.reused
	}
	return echoedAttemptID == answer.options.attemptID
}

// Resumed reports whether the answer was opened by Client.Resume.
func (answer *Answer) Resumed() bool {
	return answer.options.resumed
}

// Next returns the next part. The error is io.EOF after the last part of a complete
// answer, and otherwise an Error.
func (answer *Answer) Next() (Part, error) {
	if answer.complete {
		return Part{}, io.EOF
	}
	answer.releaseEvent()
	answer.stallDetector.startWait(answer.nextPartTimeout())
	part, err := answer.readPart()
	answer.stallDetector.endWait(err == nil || errors.Is(err, io.EOF))
	if err == nil && answer.isGivenUp() {
		return Part{}, answer.fail(errStalled, ReasonStalled)
	}
	return part, err
}

// grow counts what is about to be held of an event. It may wait until there is room,
// which is no silence of the upstream.
func (answer *Answer) grow(bytes int) error {
	share := answer.options.share
	if !share.TryGrow(bytes) {
		answer.stallDetector.endWait(true)
		err := share.Grow(answer.ctx, bytes)
		answer.stallDetector.startWait(answer.nextPartTimeout())
		if err != nil {
			return err
		}
	}
	answer.eventBytes += bytes
	return nil
}

// releaseEvent gives back what was held of the last event.
func (answer *Answer) releaseEvent() {
	answer.options.share.Shrink(answer.eventBytes)
	answer.eventBytes = 0
}

// isGivenUp reports whether OnSilence ended the exchange. Parts that arrived meanwhile
// don't count, since another attempt has been asked for them.
func (answer *Answer) isGivenUp() bool {
	return answer.options.onSilence != nil && errors.Is(context.Cause(answer.ctx), errStalled)
}

func (answer *Answer) readPart() (Part, error) {
	switch {
	case answer.Stream && answer.options.passThrough:
		return answer.nextRawEvent()
	case answer.Stream:
		return answer.nextEvent()
	default:
		return answer.nextBodyPart()
	}
}

// nextPartTimeout returns the maximum wait for the next part.
func (answer *Answer) nextPartTimeout() time.Duration {
	switch {
	case answer.options.gapTimeout > 0 && answer.position.Load() != answer.options.afterPosition:
		return answer.options.gapTimeout
	case answer.options.inactivityTimeout > 0:
		return answer.options.inactivityTimeout
	case answer.position.Load() == answer.options.afterPosition:
		return answer.client.config.FirstPartTimeout
	default:
		return answer.client.config.GapTimeout
	}
}

func (answer *Answer) nextEvent() (Part, error) {
	for {
		event, err := answer.scanner.next()
		if errors.Is(err, io.EOF) {
			return Part{}, &Error{Reason: ReasonTruncated, MayHaveStarted: true, Err: errTruncated}
		}
		if err != nil {
			return Part{}, answer.fail(err, ReasonTruncated)
		}
		if string(event.data) == endMarker {
			answer.drain()
			return Part{}, io.EOF
		}
		position := answer.position.Load()
		if event.id > 0 && event.id <= position {
			answer.releaseEvent() // a duplicate
			continue
		}
		if event.id != position+1 {
			return Part{}, answer.fail(errOutOfOrder, ReasonDisorder)
		}
		return Part{Position: answer.position.Add(1), Data: event.data}, nil
	}
}

// BrokeOffInsideEvent reports whether a passed-through stream ended inside an event, so
// that more events must follow.
func (answer *Answer) BrokeOffInsideEvent() bool {
	return answer.scanner != nil && answer.scanner.insideEvent
}

// nextRawEvent returns the next event unchanged, together with the comments before it:
// they are no progress, so an upstream that sends nothing else counts as silent. The
// stream is complete when its body ends between two events. If nothing but the end of
// the connection marks that end, and there was no event before, the upstream may have
// crashed instead.
func (answer *Answer) nextRawEvent() (Part, error) {
	var data []byte
	for {
		event, err := answer.scanner.nextRaw(data)
		if errors.Is(err, io.EOF) {
			return answer.endOfStream(data)
		}
		if err != nil {
			return Part{}, answer.fail(err, ReasonTruncated)
		}
		if data = event.data; event.comment {
			continue
		}
		answer.eventRead = true
		if event.id > 0 {
			answer.position.Store(event.id)
		}
		return Part{Position: event.id, Data: data}, nil
	}
}

// endOfStream returns the comments after the last event, or the end of the stream.
func (answer *Answer) endOfStream(comments []byte) (Part, error) {
	if !answer.delimited && !answer.eventRead {
		return Part{}, answer.fail(errTruncated, ReasonTruncated)
	}
	answer.complete = true
	if len(comments) > 0 {
		return Part{Data: comments, Comment: true}, nil
	}
	return Part{}, io.EOF
}

// drain reads the end of the body after the end marker, so that the connection can
// be reused. The answer is complete even if this fails.
func (answer *Answer) drain() {
	answer.complete = true
	answer.stallDetector.endWait(true)
	timer := time.AfterFunc(endOfBodyTimeout, func() { answer.cancel(errStalled) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, answer.scanner.reader, 1)
}

// Discard reads the rest of the body, instead of calls of Next, so that the connection
// can be reused. It gives up if the body is long or slow.
func (answer *Answer) Discard() {
	if answer.options.newConnection {
		return
	}
	timer := time.AfterFunc(endOfBodyTimeout, func() { answer.cancel(errStalled) })
	defer timer.Stop()
	_, err := io.CopyN(io.Discard, answer.body, maxDiscardedBytes)
	answer.complete = errors.Is(err, io.EOF)
}

// nextBodyPart returns the next bytes of a plain body.
func (answer *Answer) nextBodyPart() (Part, error) {
	if answer.buffer == nil {
		answer.buffer = make([]byte, minPartBytes)
	}
	bytesRead, err := io.ReadAtLeast(answer.body, answer.buffer, 1)
	if bytesRead > 0 {
		data := answer.buffer[:bytesRead]
		if bytesRead == len(answer.buffer) && bytesRead < maxPartBytes {
			answer.buffer = make([]byte, maxPartBytes) // the body is not small
		}
		return Part{Position: answer.position.Add(1), Data: data}, nil
	}
	if !errors.Is(err, io.EOF) {
		return Part{}, answer.fail(err, ReasonTruncated)
	}
	if !answer.delimited && !answer.options.passThrough {
		return Part{}, answer.fail(errTruncated, ReasonTruncated)
	}
	answer.complete = true
	return Part{}, io.EOF
}

// fail seals the connection and returns the Error for err. Its reason is defaultReason
// unless the context or err determines another one.
func (answer *Answer) fail(err error, defaultReason Reason) *Error {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	if answer.connection != nil && answer.connection.headError() != nil {
		err = answer.connection.headError()
	}
	if cause := context.Cause(answer.ctx); isGivenUp(cause) {
		err = cause
	}
	failure := &Error{Reason: failureReason(answer.ctx, err, defaultReason), MayHaveStarted: true, Err: err}
	if failure.Reason == ReasonOversized {
		answer.options.share.Endless()
	}
	if answer.connection == nil {
		failure.MayHaveStarted = false
		if failure.Reason == ReasonClosed {
			failure.Reason = ReasonConnect
		}
		return failure
	}
	failure.MayHaveStarted = answer.connection.seal()
	if failure.Reason == ReasonClosed && answer.connection.receivedUnsolicited() {
		failure.Reason = ReasonForeign
	}
	return failure
}

// Close ends the exchange. It closes the connection unless the answer was read to its
// end, in which case the connection may be reused.
func (answer *Answer) Close() {
	answer.stallDetector.endWait(true)
	if !answer.complete && !answer.bodyless {
		answer.discardConnection()
	}
	if answer.body != nil {
		_ = answer.body.Close()
	}
	answer.cancel(context.Canceled)
}

// discardConnection closes the connection. The transport keeps that of an answer
// without a body, which is wrong if the answer was not the attempt's own.
func (answer *Answer) discardConnection() {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	if answer.connection != nil {
		answer.connection.discard()
	}
}
