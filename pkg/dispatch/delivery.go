package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

// framingEvents is how many events of a stream may carry no token.
const framingEvents = 4

// errReservation means that a stream has reached its reservation.
var errReservation = errors.New("the stream has reached its reservation")

// reportBytes bounds the body in which a usage report is looked for.
const reportBytes = 1 << 20

// delivery hands one request's answer to the sink: the head with the first
// part, every position once, and nothing of an abandoned attempt.
type delivery struct {
	work Work
	sink Sink
	// head is set when the sink has the head.
	head bool
	// position is the last one that the sink has.
	position int64
	// gone is set when the sink has refused a part.
	gone bool
	// usage is the report found in the answer.
	usage Usage
	// document collects a body that may hold a usage report.
	document []byte
}

func newDelivery(work Work, sink Sink) *delivery {
	return &delivery{work: work, sink: sink, position: work.Resume.Position}
}

// limit returns the greatest position of a stream that its reservation covers,
// or zero when there is none. Each event stands for one token at least.
func (delivery *delivery) limit() int64 {
	if !delivery.work.Model || delivery.work.MaxTokens <= 0 {
		return 0
	}
	return delivery.work.MaxTokens - delivery.work.PromptTokens + framingEvents
}

// write hands over one part. An error means that the caller is gone.
func (delivery *delivery) write(head Head, answer *exchange.Answer, part exchange.Part) error {
	if limit := delivery.limit(); limit > 0 && answer.Stream && part.Position > limit {
		return errReservation
	}
	if err := delivery.begin(head); err != nil {
		return err
	}
	delivery.observe(answer, part)
	if err := delivery.sink.Event(Event(part)); err != nil {
		delivery.gone = true
		return err
	}
	delivery.position = part.Position
	return nil
}

// begin hands over the head once.
func (delivery *delivery) begin(head Head) error {
	if delivery.head {
		return nil
	}
	if err := delivery.sink.Head(head); err != nil {
		delivery.gone = true
		return err
	}
	delivery.head = true
	return nil
}

// observe looks for the usage report.
func (delivery *delivery) observe(answer *exchange.Answer, part exchange.Part) {
	if !delivery.work.Model {
		return
	}
	if answer.Stream {
		delivery.read(part.Data)
		return
	}
	if len(delivery.document)+len(part.Data) <= reportBytes {
		delivery.document = append(delivery.document, part.Data...)
	}
}

// finish reads the usage report of a body that was not a stream.
func (delivery *delivery) finish() {
	delivery.read(delivery.document)
	delivery.document = nil
}

var usageField = []byte(`"usage"`)

// report is the part of an answer that tells its usage.
type report struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func (delivery *delivery) read(data []byte) {
	if !bytes.Contains(data, usageField) {
		return
	}
	var found report
	if json.Unmarshal(data, &found) != nil || found.Usage == nil {
		return
	}
	delivery.usage = Usage{
		PromptTokens:     found.Usage.PromptTokens,
		CompletionTokens: found.Usage.CompletionTokens,
		Known:            true,
	}
}
