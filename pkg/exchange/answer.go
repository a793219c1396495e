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
	// partBytes bounds one part of a plain body.
	partBytes = 32 << 10
	// endTimeout bounds the wait for the end of the body behind the end marker.
	endTimeout = 50 * time.Millisecond
	// endMarker is the data of the last event of a stream.
	endMarker = "[DONE]"
)

// Part is one event of a stream or one piece of a body.
type Part struct {
	// Position counts from 1; it is the event's own id in an opaque stream, zero
	// if it has none.
	Position int64
	// Data is the event's data, or the whole event in an opaque stream.
	Data []byte
}

// Answer is an upstream's answer that is being read.
type Answer struct {
	Status int
	Header http.Header
	// Stream is set for a model engine's server-sent events. A plain service's
	// are a body like any other.
	Stream bool

	client  *Client
	opening opening
	// position is that of the last part; the watch reads it too.
	position atomic.Int64
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    *watch
	mutex    sync.Mutex
	// connection is nil until one was got.
	connection *connection
	body       io.ReadCloser
	scanner    *scanner
	// delimited is set when the end of the body is marked.
	delimited bool
	// whole is set once the end was read.
	whole bool
}

// start begins the bound on silence.
func (answer *Answer) start(ctx context.Context) {
	answer.ctx, answer.cancel = context.WithCancelCause(ctx)
	answer.watch = newWatch(answer)
	answer.watch.begin(answer.timeout())
}

func (answer *Answer) gotConnection(info httptrace.GotConnInfo) {
	taken, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	taken.take()
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	answer.connection = taken
}

// accept takes over the head of the response.
func (answer *Answer) accept(response *http.Response) {
	answer.Status = response.StatusCode
	answer.Header = forwarded(response.Header)
	answer.body = response.Body
	answer.Stream = (answer.opening.named || answer.opening.opaque) &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	answer.delimited = response.ContentLength >= 0 || len(response.TransferEncoding) > 0 ||
		response.Request.Method == http.MethodHead
	if answer.Stream {
		answer.scanner = newScanner(response.Body)
	}
}

// own reports whether the answer belongs to the attempt. A stream of a model
// engine has to say so.
func (answer *Answer) own() bool {
	echo := answer.opening.echo
	if echo == "" {
		echo = HeaderAttempt
	}
	named := answer.Header.Get(echo)
	if named == "" {
		return !answer.Stream || !answer.opening.named
	}
	return named == answer.opening.attempt
}

// Resumed reports whether the answer is that of Client.Resume.
func (answer *Answer) Resumed() bool {
	return answer.opening.resumed
}

// Next returns the next part, io.EOF when the answer was whole, or an Error.
func (answer *Answer) Next() (Part, error) {
	if answer.whole {
		return Part{}, io.EOF
	}
	answer.watch.begin(answer.timeout())
	defer answer.watch.end()
	switch {
	case answer.Stream && answer.opening.opaque:
		return answer.nextOpaque()
	case answer.Stream:
		return answer.nextEvent()
	default:
		return answer.nextPiece()
	}
}

// timeout is the bound on silence before the next part.
func (answer *Answer) timeout() time.Duration {
	switch {
	case answer.opening.between > 0 && answer.position.Load() != answer.opening.after:
		return answer.opening.between
	case answer.opening.timeout > 0:
		return answer.opening.timeout
	case answer.position.Load() == answer.opening.after:
		return answer.client.config.FirstPartTimeout
	default:
		return answer.client.config.GapTimeout
	}
}

func (answer *Answer) nextEvent() (Part, error) {
	for {
		event, err := answer.scanner.next()
		if errors.Is(err, io.EOF) {
			return Part{}, &Error{Reason: ReasonTruncated, MayHaveStarted: true, Err: errEnd}
		}
		if err != nil {
			return Part{}, answer.fail(err, ReasonTruncated)
		}
		if string(event.data) == endMarker {
			answer.end()
			return Part{}, io.EOF
		}
		position := answer.position.Load()
		if event.id > 0 && event.id <= position {
			continue // a duplicate
		}
		if event.id != position+1 {
			return Part{}, answer.fail(errDisorder, ReasonDisorder)
		}
		return Part{Position: answer.position.Add(1), Data: event.data}, nil
	}
}

// nextOpaque returns the next event as it stands in the stream. The stream is
// whole when its body is, between two events.
func (answer *Answer) nextOpaque() (Part, error) {
	event, err := answer.scanner.nextRaw()
	if errors.Is(err, io.EOF) {
		answer.whole = true
		return Part{}, io.EOF
	}
	if err != nil {
		return Part{}, answer.fail(err, ReasonTruncated)
	}
	if event.id > 0 {
		answer.position.Store(event.id)
	}
	return Part{Position: event.id, Data: event.data}, nil
}

// end reads what stands behind the end marker, so that the connection can be
// used again. The answer is whole in any case.
func (answer *Answer) end() {
	answer.whole = true
	answer.watch.end()
	timer := time.AfterFunc(endTimeout, func() { answer.cancel(errStalled) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, answer.scanner.reader, 1)
}

func (answer *Answer) nextPiece() (Part, error) {
	buffer := make([]byte, partBytes)
	count, err := io.ReadAtLeast(answer.body, buffer, 1)
	if count > 0 {
		return Part{Position: answer.position.Add(1), Data: buffer[:count]}, nil
	}
	if !errors.Is(err, io.EOF) {
		return Part{}, answer.fail(err, ReasonTruncated)
	}
	if !answer.delimited && !answer.opening.opaque {
		return Part{}, answer.fail(errEnd, ReasonTruncated)
	}
	answer.whole = true
	return Part{}, io.EOF
}

// fail returns the failure for err.
func (answer *Answer) fail(err error, fallback Reason) *Error {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	failure := &Error{Reason: reasonOf(answer.ctx, err, fallback), MayHaveStarted: true, Err: err}
	if answer.connection == nil {
		failure.MayHaveStarted = false
		if failure.Reason == ReasonClosed {
			failure.Reason = ReasonConnect
		}
		return failure
	}
	failure.MayHaveStarted = answer.connection.seal()
	return failure
}

// Close ends the exchange. The connection is closed unless the answer was read
// to its end.
func (answer *Answer) Close() {
	answer.watch.end()
	if !answer.whole {
		answer.abandon()
	}
	if answer.body != nil {
		_ = answer.body.Close()
	}
	answer.cancel(context.Canceled)
}

func (answer *Answer) abandon() {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	if answer.connection != nil {
		answer.connection.discard()
	}
}
