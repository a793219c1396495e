package router

// The ways in which an answer reaches a caller.
//
// The flow: the dispatcher calls Head once and Event for each part; the
// pipeline settles the request and then calls End, or Fail when the request
// ended without a whole answer. Only End releases the end of an answer.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/completion"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// answerSink is a dispatch.Sink with an end.
type answerSink interface {
	dispatch.Sink
	// End releases the end of a whole answer.
	End()
	// Fail tells the caller why there is no whole answer.
	Fail(err error)
}

// sinkBase holds what the sinks share.
type sinkBase struct {
	writer http.ResponseWriter
	// resume turns an attempt into the text of its resume token.
	resume func(dispatch.ResumeToken) string
}

func (base sinkBase) mark(head dispatch.Head) {
	if head.Resume != (dispatch.ResumeToken{}) {
		base.writer.Header().Set(headerResume, base.resume(head.Resume))
	}
}

// streamSink passes a model's events on as they arrive.
type streamSink struct {
	sinkBase
	includeUsage bool
	started      bool
}

// Head starts the stream.
func (sink *streamSink) Head(head dispatch.Head) error {
	if sink.started {
		return nil
	}
	sink.started = true
	sink.mark(head)
	header := sink.writer.Header()
	header.Set(headerContentType, contentTypeSSE)
	header.Set("Cache-Control", "no-store")
	sink.writer.WriteHeader(http.StatusOK)
	sink.flush()
	return nil
}

// Event passes one chunk on. The engine's own end marker is left out: End
// writes it once the bill is safe.
func (sink *streamSink) Event(event dispatch.Event) error {
	if string(event.Data) == completion.Done {
		return nil
	}
	data := event.Data
	if !sink.includeUsage {
		stripped, keep, err := withoutUsage(data)
		if err != nil {
			return err
		}
		if !keep {
			return nil
		}
		data = stripped
	}
	return sink.write("id: "+strconv.FormatInt(event.Position, 10)+"\n", data)
}

// End writes the end marker.
func (sink *streamSink) End() {
	_ = sink.Head(dispatch.Head{})
	_ = sink.write("", []byte(completion.Done))
}

// Fail writes an error event, or an error answer when nothing was sent yet.
func (sink *streamSink) Fail(err error) {
	if !sink.started {
		respondError(sink.writer, err)
		return
	}
	body, marshalErr := json.Marshal(fault.BodyOf(err))
	if marshalErr != nil {
		return
	}
	_ = sink.write("event: error\n", body)
}

func (sink *streamSink) write(fields string, data []byte) error {
	buffer := make([]byte, 0, len(fields)+len(data)+len("data: \n\n"))
	buffer = append(buffer, fields...)
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, "\n\n"...)
	if _, err := sink.writer.Write(buffer); err != nil {
		return callerGone(err)
	}
	sink.flush()
	return nil
}

func (sink *streamSink) flush() {
	if flusher, ok := sink.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// withoutUsage removes the usage that the caller did not ask for. A chunk that
// carries nothing else is not kept.
func withoutUsage(data []byte) (stripped []byte, keep bool, err error) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return data, true, nil
	}
	chunk, err := completion.ParseChunk(data)
	if err != nil {
		return nil, false, err
	}
	if chunk.Usage == nil {
		return data, true, nil
	}
	if len(chunk.Choices) == 0 {
		return nil, false, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, false, err
	}
	delete(fields, "usage")
	stripped, err = json.Marshal(fields)
	return stripped, true, err
}

// collectSink joins a model's events to one JSON document.
type collectSink struct {
	sinkBase
	collector completion.Collector
}

// Head notes the resume token.
func (sink *collectSink) Head(head dispatch.Head) error {
	sink.mark(head)
	return nil
}

// Event adds a chunk.
func (sink *collectSink) Event(event dispatch.Event) error {
	if string(event.Data) == completion.Done {
		return nil
	}
	chunk, err := completion.ParseChunk(event.Data)
	if err != nil {
		return err
	}
	sink.collector.Add(chunk)
	return nil
}

// End writes the document.
func (sink *collectSink) End() {
	sink.writer.Header().Set(headerOutcome, string(fault.Answered))
	respondJSON(sink.writer, http.StatusOK, sink.collector.Answer())
}

// Fail writes an error answer.
func (sink *collectSink) Fail(err error) {
	respondError(sink.writer, err)
}

// plainSink holds a plain service's answer until its end is released.
type plainSink struct {
	sinkBase
	maxBytes int64
	result   claim.Result
}

// Head notes status and headers.
func (sink *plainSink) Head(head dispatch.Head) error {
	sink.result = claim.Result{Status: head.Status, Header: forwardable(head.Header)}
	return nil
}

// Event adds body bytes.
func (sink *plainSink) Event(event dispatch.Event) error {
	if int64(len(sink.result.Body)+len(event.Data)) > sink.maxBytes {
		return fault.New(fault.Config{
			Kind:    fault.UpstreamFailed,
			Message: fmt.Sprintf("the service's answer is larger than %d bytes", sink.maxBytes),
			Remedy:  "ask the service for less",
			Outcome: fault.OutcomeUnknown,
		})
	}
	sink.result.Body = append(sink.result.Body, event.Data...)
	return nil
}

// End writes the answer.
func (sink *plainSink) End() {
	replay(sink.writer, sink.result)
}

// Fail writes an error answer.
func (sink *plainSink) Fail(err error) {
	respondError(sink.writer, err)
}

// engineSink passes on what a model engine answers: a stream by its own sink, and
// an error status with its document, which is no part of a stream.
type engineSink struct {
	stream  answerSink
	failure *plainSink
	failed  bool
}

func (sink *engineSink) current() answerSink {
	if sink.failed {
		return sink.failure
	}
	return sink.stream
}

// Head chooses the sink by the status. A document has no events that could be
// joined to an answer.
func (sink *engineSink) Head(head dispatch.Head) error {
	sink.failed = head.Status >= http.StatusBadRequest
	if !sink.failed && !strings.HasPrefix(head.Header.Get(headerContentType), contentTypeSSE) {
		return errNoStream
	}
	return sink.current().Head(head)
}

// Event passes a part on.
func (sink *engineSink) Event(event dispatch.Event) error {
	return sink.current().Event(event)
}

// End releases the end of the answer.
func (sink *engineSink) End() {
	sink.current().End()
}

// Fail tells the caller why there is no whole answer.
func (sink *engineSink) Fail(err error) {
	sink.current().Fail(err)
}

// replay writes a whole answer of a plain service.
func replay(writer http.ResponseWriter, result claim.Result) {
	header := writer.Header()
	for name, values := range result.Header {
		header[name] = append([]string(nil), values...)
	}
	header.Set(headerOutcome, string(fault.Answered))
	header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	writer.WriteHeader(result.Status)
	_, _ = writer.Write(result.Body)
}

func callerGone(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOf(errCallerGone),
		Message: fault.MessageOf(errCallerGone),
		Remedy:  fault.RemedyOf(errCallerGone),
		Outcome: fault.OutcomeUnknown,
		Cause:   cause,
	})
}
