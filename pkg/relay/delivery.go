package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/placement"
)

// greatestBody bounds the body of an answer that isn't a stream.
const greatestBody = 16 << 20

var (
	errCallerGone = errors.New("the caller has left")
	errUnsealed   = errors.New("a success without the upstream's signature")
	errEncoded    = errors.New("an encoded body, which is not the upstream's")
	errOversized  = errors.New("an answer above the bound")
	errDisorder   = errors.New("an event is missing or out of order")
	errStatus     = errors.New("the upstream failed the request")
)

// delivery hands an answer to the caller.
type delivery struct {
	sink    Sink
	arrived time.Time
	// begun is set when the head was written.
	begun bool
	// stream is set when events are delivered.
	stream bool
	// position is the id of the last event delivered.
	position int64
	events   int64
	first    time.Duration
}

func (delivery *delivery) begin(answer *exchange.Answer) error {
	if delivery.begun {
		return nil
	}
	delivery.begun = true
	delivery.stream = answer.Stream
	delivery.first = time.Since(delivery.arrived)
	if err := delivery.sink.Begin(answer.Status, answer.Header); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

func (delivery *delivery) write(data []byte) error {
	if err := delivery.sink.Write(data); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// refusal is the end of an attempt that the upstream did not run.
func refusal(answer *exchange.Answer, reading Reading) end {
	verdict := placement.Full
	if reading.Misdirected {
		verdict = placement.Unreachable
	}
	_, _ = readBody(answer) // keeps the connection; the refusal stands without its text
	return end{
		err:     errors.New("the upstream refused the request with status " + strconv.Itoa(answer.Status)),
		verdict: verdict,
		refused: true,
	}
}

// deliver passes on the answer of an upstream that may have run the request.
func (run *run) deliver(ctx context.Context, ticket *placement.Ticket, answer *exchange.Answer, reading Reading) end {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case reading.Encoded:
		return end{err: errEncoded, verdict: failureOf(ctx), ran: true}
	case success && !reading.Sealed:
		return end{err: errUnsealed, verdict: failureOf(ctx), ran: true}
	case success && answer.Stream:
		return run.deliverStream(ctx, ticket, answer)
	case run.resuming:
		return end{err: errStatus, verdict: failureOf(ctx), ran: true}
	default:
		return run.deliverWhole(ctx, ticket, answer)
	}
}

// deliverWhole reads the body to its end before the caller sees any of it.
func (run *run) deliverWhole(ctx context.Context, ticket *placement.Ticket, answer *exchange.Answer) end {
	body, err := readBody(answer)
	if err != nil {
		return end{err: err, verdict: failureOf(ctx), ran: true}
	}
	ticket.FirstEvent(time.Now())
	failed := answer.Status >= http.StatusInternalServerError
	if failed && run.mayRepeat() {
		return end{err: errStatus, verdict: placement.Failure, ran: true}
	}
	answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
	if err := run.delivery.begin(answer); err != nil {
		return end{err: err, ran: true}
	}
	if err := run.delivery.write(body); err != nil {
		return end{err: err, ran: true}
	}
	run.result.Status = answer.Status
	if failed {
		return end{verdict: placement.Failure, ran: true}
	}
	return end{verdict: placement.Success, ran: true}
}

// mayRepeat reports whether a failed answer is better asked for elsewhere.
func (run *run) mayRepeat() bool {
	route := run.request.Route
	return route.Repeatable() && run.runs < route.MaxAttempts && run.pool.AvailableCount() > 1
}

// deliverStream passes on whole events as they come.
func (run *run) deliverStream(ctx context.Context, ticket *placement.Ticket, answer *exchange.Answer) end {
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return run.broken(ctx, err)
		}
		ticket.FirstEvent(time.Now())
		if part.Position > 0 {
			if part.Position <= run.delivery.position {
				continue // a duplicate
			}
			if run.delivery.events > 0 && part.Position != run.delivery.position+1 {
				return run.broken(ctx, errDisorder)
			}
		}
		if err := run.event(answer, part); err != nil {
			return end{err: err, ran: true}
		}
	}
	if err := run.delivery.begin(answer); err != nil {
		return end{err: err, ran: true}
	}
	run.result.Status = answer.Status
	return end{verdict: placement.Success, ran: true}
}

func (run *run) event(answer *exchange.Answer, part exchange.Part) error {
	if err := run.delivery.begin(answer); err != nil {
		return err
	}
	if err := run.delivery.write(part.Data); err != nil {
		return err
	}
	run.resuming = true
	if part.Position > 0 {
		run.delivery.position = part.Position
		run.delivery.events++
	}
	return nil
}

func (run *run) broken(ctx context.Context, err error) end {
	return end{err: err, verdict: failureOf(ctx), ran: true}
}

// readBody reads the pieces of a body to its end.
func readBody(answer *exchange.Answer) ([]byte, error) {
	var body bytes.Buffer
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if body.Len()+len(part.Data) > greatestBody {
			return nil, errOversized
		}
		body.Write(part.Data)
	}
}
