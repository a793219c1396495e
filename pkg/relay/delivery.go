package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/placement"
)

const (
	// maxBodyBytes limits the body of an answer that isn't an event stream, which is held
	// in memory until it is complete. It is the same as for the body of a request.
	maxBodyBytes = 4 << 20
	// MaxAnswerBytes limits what may be held of one answer. A body is held in pieces, of
	// which the last is not full.
	MaxAnswerBytes = maxBodyBytes + 64<<10
)

var (
	errCallerDisconnected = errors.New("the caller disconnected")
	errUnsigned           = errors.New("successful answer without the upstream's signature")
	errEncodedBody        = errors.New("answer has a Content-Encoding that the upstream did not apply")
	errBodyTooLarge       = errors.New("answer body exceeds the size limit")
	errEventOrder         = errors.New("event is missing or out of order")
	errUpstreamFailed     = errors.New("the upstream failed the request")
	errUnconfirmedRefusal = errors.New("the upstream's status promises that the request has not run, but the answer does not say so")
	errNoUpstreamLeft     = errors.New("no other upstream is available")
	errRetryBudgetSpent   = errors.New("the retry budget is spent")
)

// delivery writes an answer to the caller and records what was written.
type delivery struct {
	sink Sink
	// requestArrivedAt is when the request came in.
	requestArrivedAt time.Time
	// headerSent is set when the status and header were written.
	headerSent atomic.Bool
	// streaming is set when the answer is an event stream.
	streaming bool
	// lastEventID is the ID of the last event delivered.
	lastEventID int64
	// eventCount counts the delivered events that have an ID.
	eventCount int64
	// unnumbered is set once an event without an ID was delivered.
	unnumbered bool
	// cutInsideEvent is set once an upstream's stream broke off inside an event, so
	// that the stream has at least one more.
	cutInsideEvent  bool
	timeToFirstByte time.Duration
}

func (delivery *delivery) writeHeader(answer *exchange.Answer) error {
	if delivery.headerSent.Load() {
		return nil
	}
	delivery.headerSent.Store(true)
	delivery.streaming = answer.Stream
	delivery.timeToFirstByte = time.Since(delivery.requestArrivedAt)
	if err := delivery.sink.WriteHeader(answer.Status, answer.Header); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// mayResume reports whether another upstream's answer may continue what was written: a
// stream whose events have IDs, or nothing.
func (delivery *delivery) mayResume() bool {
	return !delivery.headerSent.Load() || delivery.streaming && !delivery.unnumbered
}

func (delivery *delivery) write(data []byte) error {
	if err := delivery.sink.Write(data); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// refusedAttempt returns the result of an attempt that the upstream refused or
// that reached another process.
func refusedAttempt(answer *exchange.Answer, info AnswerInfo) attemptResult {
	upstreamResult := placement.Full
	if info.Misdirected {
		upstreamResult = placement.Unreachable
	}
	answer.Discard() // the status and header are the whole refusal
	return attemptResult{
		err:            errors.New("the upstream refused the request with status " + strconv.Itoa(answer.Status)),
		upstreamResult: upstreamResult,
		refused:        true,
	}
}

// deliver forwards the answer of an upstream that may have run the request. The
// attempt fails if the answer isn't authentic, or doesn't continue the stream
// that was begun.
func (call *call) deliver(ctx context.Context, started *startedAttempt, info AnswerInfo) attemptResult {
	answer := started.answer
	success := isSuccess(answer)
	switch {
	case info.Encoded:
		return attemptResult{err: errEncodedBody, upstreamResult: failureResult(ctx), mayHaveRun: true}
	case success && !info.Signed:
		return attemptResult{err: errUnsigned, upstreamResult: failureResult(ctx), mayHaveRun: true}
	case success && answer.Stream:
		return call.deliverStream(ctx, started, answer)
	case call.delivery.headerSent.Load():
		return attemptResult{err: errUpstreamFailed, upstreamResult: failureResult(ctx), mayHaveRun: true}
	case info.PromisesNotRun:
		return attemptResult{err: errUnconfirmedRefusal, upstreamResult: failureResult(ctx), mayHaveRun: true}
	default:
		return call.deliverBuffered(ctx, started, answer)
	}
}

// mayFail reports whether an answer is not to be delivered, as far as its head says.
func mayFail(answer *exchange.Answer, info AnswerInfo) bool {
	unusable := isSuccess(answer) && (info.Encoded || !info.Signed)
	return unusable || info.PromisesNotRun || answer.Status >= http.StatusInternalServerError
}

func isSuccess(answer *exchange.Answer) bool {
	return answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
}

// deliverBuffered reads the whole body before it sends any of it to the caller,
// so that an interrupted answer can be retried.
func (call *call) deliverBuffered(ctx context.Context, started *startedAttempt, answer *exchange.Answer) attemptResult {
	ticket := started.ticket
	body, err := readBody(ctx, answer, started.share)
	if err != nil {
		return attemptResult{err: err, upstreamResult: failureResult(ctx), mayHaveRun: true}
	}
	ticket.FirstEvent(time.Now())
	failed := answer.Status >= http.StatusInternalServerError
	if failed && call.mayRetryFailure(ticket) {
		return attemptResult{err: errUpstreamFailed, upstreamResult: placement.Failure, mayHaveRun: true}
	}
	if !answer.WithoutBody {
		answer.Header.Set("Content-Length", strconv.Itoa(body.Len()))
	}
	if err := call.delivery.writeHeader(answer); err != nil {
		return attemptResult{err: err, mayHaveRun: true}
	}
	if err := body.Drain(started.share, call.delivery.write); err != nil {
		return attemptResult{err: err, mayHaveRun: true}
	}
	call.result.Status = answer.Status
	if failed {
		return attemptResult{upstreamResult: placement.Failure, mayHaveRun: true}
	}
	return attemptResult{upstreamResult: placement.Success, mayHaveRun: true}
}

// mayRetryFailure reports whether a request with a 5xx answer may be retried at
// another upstream.
func (call *call) mayRetryFailure(ticket *placement.Ticket) bool {
	if call.reserveGoesOn() {
		return true
	}
	if !call.request.Route.Repeatable() || !call.mayRunElsewhere(ticket.Upstream.ID) {
		return false
	}
	return call.pool.CanServe(call.criteria(ticket.Upstream.ID), time.Now())
}

// deliverStream forwards each event once it has been read completely.
func (call *call) deliverStream(ctx context.Context, started *startedAttempt, answer *exchange.Answer) attemptResult {
	ticket := started.ticket
	lastEventID := call.delivery.lastEventID
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			call.delivery.cutInsideEvent = call.delivery.cutInsideEvent || answer.BrokeOffInsideEvent()
			return call.interruptedStream(ctx, err)
		}
		started.share.Complete()
		ticket.FirstEvent(time.Now())
		if part.Position > 0 && part.Position <= call.delivery.lastEventID && call.delivery.lastEventID > lastEventID {
			continue // a duplicate of an event of this answer
		}
		if !call.delivery.continuesWith(part) {
			return call.interruptedStream(ctx, errEventOrder)
		}
		if err := call.writeEvent(answer, part); err != nil {
			return attemptResult{err: err, mayHaveRun: true}
		}
	}
	if call.delivery.cutInsideEvent && call.delivery.lastEventID == lastEventID {
		return call.interruptedStream(ctx, errEventOrder)
	}
	if err := call.delivery.writeHeader(answer); err != nil {
		return attemptResult{err: err, mayHaveRun: true}
	}
	call.result.Status = answer.Status
	return attemptResult{upstreamResult: placement.Success, mayHaveRun: true}
}

// continuesWith reports whether the part may follow what the caller has. An event must
// have the ID after the last one. Events without IDs are in order only in streams that
// have no IDs.
func (delivery *delivery) continuesWith(part exchange.Part) bool {
	switch {
	case part.Comment:
		return true
	case part.Position > 0:
		return delivery.lastEventID == 0 || part.Position == delivery.lastEventID+1
	default:
		return delivery.lastEventID == 0
	}
}

func (call *call) writeEvent(answer *exchange.Answer, part exchange.Part) error {
	if err := call.delivery.writeHeader(answer); err != nil {
		return err
	}
	if err := call.delivery.write(part.Data); err != nil {
		return err
	}
	call.delivery.unnumbered = call.delivery.unnumbered || part.Position == 0 && !part.Comment
	if part.Position > 0 {
		call.delivery.lastEventID = part.Position
		call.delivery.eventCount++
	}
	return nil
}

func (call *call) interruptedStream(ctx context.Context, err error) attemptResult {
	return attemptResult{err: err, upstreamResult: failureResult(ctx), mayHaveRun: true}
}

// readBody reads a whole body. It returns errBodyTooLarge above maxBodyBytes. While
// there is no room for more of the body, nothing is read, and the upstream waits.
func readBody(ctx context.Context, answer *exchange.Answer, share *memory.Share) (*memory.Chunks, error) {
	var body memory.Chunks
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			share.Complete()
			return &body, nil
		}
		if err != nil {
			return nil, err
		}
		if body.Len()+len(part.Data) > maxBodyBytes {
			share.Endless()
			return nil, errBodyTooLarge
		}
		if err := body.Append(ctx, share, part.Data); err != nil {
			return nil, err
		}
	}
}
