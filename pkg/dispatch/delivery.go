package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

// maxFramingEvents is the number of events in a stream that may carry no token, such
// as the usage report.
const maxFramingEvents = 4

// errReservationExceeded means that a stream has more events than the reserved
// tokens cover.
var errReservationExceeded = errors.New("the stream exceeds its reserved tokens")

// maxUsageBodyBytes is the maximum size of a body that is buffered to find its
// usage report.
const maxUsageBodyBytes = 1 << 20

// delivery writes one request's answer to the sink. It holds back the head until the
// first part arrives, so that an attempt that fails earlier can be retried without
// mixing two answers, and writes every position exactly once.
type delivery struct {
	work Work
	sink Sink
	// headSent is set when the sink has accepted the head.
	headSent bool
	// lastPosition is the position of the last part that the sink accepted.
	lastPosition int64
	// callerGone is set when the sink has returned an error.
	callerGone bool
	// usage is the usage reported in the answer.
	usage Usage
	// body buffers an answer that is not a stream, to find its usage report.
	body []byte
	// held is what the sink and body held when growth was last called.
	held int
}

func newDelivery(work Work, sink Sink) *delivery {
	return &delivery{work: work, sink: sink, lastPosition: work.Resume.Position}
}

// maxPosition returns the last position of a stream that the reservation covers, or
// zero if there is no limit. It counts each event as one token, apart from
// maxFramingEvents.
func (delivery *delivery) maxPosition() int64 {
	if !delivery.work.ModelEngine || delivery.work.ReservedTokens <= 0 {
		return 0
	}
	return delivery.work.ReservedTokens - delivery.work.MaxPromptTokens + maxFramingEvents
}

// write passes one part to the sink. The error is that of the sink, or
// errReservationExceeded.
func (delivery *delivery) write(head Head, answer *exchange.Answer, part exchange.Part) error {
	if maxPosition := delivery.maxPosition(); maxPosition > 0 && answer.Stream && part.Position > maxPosition {
		return errReservationExceeded
	}
	if err := delivery.sendHead(head); err != nil {
		return err
	}
	delivery.collectUsage(answer, part)
	if err := delivery.sink.Event(Event{Position: part.Position, Data: part.Data}); err != nil {
		delivery.callerGone = true
		return err
	}
	delivery.lastPosition = part.Position
	return nil
}

// expectedGrowth returns by how much more will be held after the part was written.
func (delivery *delivery) expectedGrowth(answer *exchange.Answer, part exchange.Part) int {
	if _, holds := delivery.sink.(Holder); !holds || answer.Stream && delivery.held == 0 {
		return 0
	}
	return len(part.Data)
}

// drop discards what is held of an answer that has failed. If the sink holds something,
// its head was sent, so that no other attempt follows.
func (delivery *delivery) drop() {
	if holder, ok := delivery.sink.(Holder); ok {
		holder.Drop()
	}
	delivery.body, delivery.held = nil, 0
}

// growth returns by how much more is held than at the last call.
func (delivery *delivery) growth() int {
	held := cap(delivery.body)
	if holder, ok := delivery.sink.(Holder); ok {
		held += holder.Held()
	}
	grown := max(held-delivery.held, 0)
	delivery.held += grown
	return grown
}

// sendHead passes the head to the sink once.
func (delivery *delivery) sendHead(head Head) error {
	if delivery.headSent {
		return nil
	}
	if err := delivery.sink.Head(head); err != nil {
		delivery.callerGone = true
		return err
	}
	delivery.headSent = true
	return nil
}

// collectUsage reads the usage report of a stream, or buffers the part for
// parseBody.
func (delivery *delivery) collectUsage(answer *exchange.Answer, part exchange.Part) {
	if !delivery.work.ModelEngine {
		return
	}
	if answer.Stream {
		delivery.parseUsage(part.Data)
		return
	}
	if len(delivery.body)+len(part.Data) <= maxUsageBodyBytes {
		delivery.body = append(delivery.body, part.Data...)
	}
}

// parseBody reads the usage report of an answer that is not a stream.
func (delivery *delivery) parseBody() {
	delivery.parseUsage(delivery.body)
	delivery.body = nil
}

var usageField = []byte(`"usage"`)

// usageReport is the part of an answer that reports its usage.
type usageReport struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func (delivery *delivery) parseUsage(data []byte) {
	if !bytes.Contains(data, usageField) {
		return
	}
	var report usageReport
	if json.Unmarshal(data, &report) != nil || report.Usage == nil {
		return
	}
	delivery.usage = reportedUsage(report.Usage.PromptTokens, report.Usage.CompletionTokens)
}
