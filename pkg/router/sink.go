package router

// Sinks, which write answers to callers.
//
// The dispatcher calls Head once and Event for each part of the answer. The
// pipeline settles the request and then calls End, or Fail if there is no complete
// answer. Only End sends the end of an answer.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/completion"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

// answerSink is a dispatch.Sink that can also end the answer.
type answerSink interface {
	dispatch.Sink
	// End sends the end of a complete answer.
	End()
	// Fail sends the caller the reason why there is no complete answer.
	Fail(err error)
}

// sinkBase holds the fields that all sinks share.
type sinkBase struct {
	writer http.ResponseWriter
	// signResumeToken returns the signed text of a resume token.
	signResumeToken func(dispatch.ResumeToken) string
}

func (base sinkBase) setResumeHeader(head dispatch.Head) {
	if head.Resume != (dispatch.ResumeToken{}) {
		base.writer.Header().Set(headerResume, base.signResumeToken(head.Resume))
	}
}

// streamSink forwards the events of a model engine as they arrive.
type streamSink struct {
	sinkBase
	includeUsage bool
	headerSent   bool
}

// Head starts the stream.
func (sink *streamSink) Head(head dispatch.Head) error {
	if sink.headerSent {
		return nil
	}
	sink.headerSent = true
	sink.setResumeHeader(head)
	header := sink.writer.Header()
	header.Set(headerContentType, contentTypeSSE)
	header.Set("Cache-Control", "no-store")
	sink.writer.WriteHeader(http.StatusOK)
	sink.flush()
	return nil
}

// Event forwards one chunk. It drops the engine's end marker, as End writes one
// after the settlement.
func (sink *streamSink) Event(event dispatch.Event) error {
	if string(event.Data) == completion.DoneMarker {
		return nil
	}
	data := event.Data
	if !sink.includeUsage {
		stripped, keep, err := stripUsage(data)
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
	_ = sink.write("", []byte(completion.DoneMarker))
}

// Fail writes an error event, or an error answer if the header has not been sent.
func (sink *streamSink) Fail(err error) {
	if !sink.headerSent {
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
		return callerDisconnectedError(err)
	}
	sink.flush()
	return nil
}

func (sink *streamSink) flush() {
	if flusher, ok := sink.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// stripUsage removes the usage, which the caller did not request, from a chunk. It
// returns keep as false if the chunk contains nothing else.
func stripUsage(data []byte) (stripped []byte, keep bool, err error) {
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

// collectSink collects the events of a model engine into one JSON document.
type collectSink struct {
	sinkBase
	collector completion.Collector
}

// Head sets the resume header.
func (sink *collectSink) Head(head dispatch.Head) error {
	sink.setResumeHeader(head)
	return nil
}

// Event adds a chunk.
func (sink *collectSink) Event(event dispatch.Event) error {
	if string(event.Data) == completion.DoneMarker {
		return nil
	}
	chunk, err := completion.ParseChunk(event.Data)
	if err != nil {
		return err
	}
	sink.collector.Add(chunk)
	return nil
}

// Held returns how many bytes are held of the answer.
func (sink *collectSink) Held() int { return sink.collector.Held() }

// Drop discards what is held.
func (sink *collectSink) Drop() { sink.collector = completion.Collector{} }

// End writes the document.
func (sink *collectSink) End() {
	sink.writer.Header().Set(headerOutcome, string(fault.Answered))
	respondJSON(sink.writer, http.StatusOK, sink.collector.Answer())
}

// Fail writes an error answer.
func (sink *collectSink) Fail(err error) {
	respondError(sink.writer, err)
}

// plainSink buffers the answer of a plain service, or the error document of a model
// engine, until End.
type plainSink struct {
	sinkBase
	maxBytes int64
	// headOnly is whether the request is a HEAD.
	headOnly bool
	// result is the answer without its body, or a stored answer.
	result claim.Result
	body   memory.Chunks
}

// Head stores the status and the forwardable headers.
func (sink *plainSink) Head(head dispatch.Head) error {
	sink.result = claim.Result{Status: head.Status, Header: forwardableHeader(head.Header)}
	if length := head.Header.Get(headerContentLength); length != "" {
		sink.result.Header.Set(headerContentLength, length) // stated by an answer without a body only
	}
	return nil
}

// Event appends bytes to the body. It returns fault.UpstreamFailed if the body is
// larger than maxBytes.
func (sink *plainSink) Event(event dispatch.Event) error {
	if int64(sink.body.Len()+len(event.Data)) > sink.maxBytes {
		return fault.New(fault.Config{
			Kind:    fault.UpstreamFailed,
			Message: fmt.Sprintf("the service's answer is larger than %d bytes", sink.maxBytes),
			Remedy:  "request a smaller answer from the service",
			Outcome: fault.OutcomeUnknown,
		})
	}
	return sink.body.Append(context.Background(), nil, event.Data)
}

// Held returns how many bytes are held of the answer.
func (sink *plainSink) Held() int { return sink.body.Held() }

// Drop discards what is held.
func (sink *plainSink) Drop() { sink.body = memory.Chunks{} }

// joinBody moves the body to the result, in one piece.
func (sink *plainSink) joinBody() {
	sink.result.Body = sink.body.Bytes()
	sink.body = memory.Chunks{}
}

// End writes the answer.
func (sink *plainSink) End() {
	if sink.result.Header.Get(headerContentLength) == "" && !sink.headOnly {
		sink.writer.Header().Set(headerContentLength, strconv.Itoa(len(sink.result.Body)+sink.body.Len()))
	}
	writeAnswer(sink.writer, sink.result, &sink.body)
}

// Fail writes an error answer.
func (sink *plainSink) Fail(err error) {
	respondError(sink.writer, err)
}

// modelSink writes the answer of a model engine: the event stream of a success to
// eventSink, and any answer without success to errorSink.
type modelSink struct {
	eventSink answerSink
	errorSink *plainSink
	isError   bool
}

func (sink *modelSink) selectedSink() answerSink {
	if sink.isError {
		return sink.errorSink
	}
	return sink.eventSink
}

// Head selects the sink by the status. It returns errNotEventStream if the answer is a
// success and not an event stream.
func (sink *modelSink) Head(head dispatch.Head) error {
	sink.isError = head.Status < http.StatusOK || head.Status >= http.StatusMultipleChoices
	if !sink.isError && !strings.HasPrefix(head.Header.Get(headerContentType), contentTypeSSE) {
		return errNotEventStream
	}
	return sink.selectedSink().Head(head)
}

// Held returns how many bytes the selected sink holds.
func (sink *modelSink) Held() int {
	if holder, ok := sink.selectedSink().(dispatch.Holder); ok {
		return holder.Held()
	}
	return 0
}

// Drop discards what the selected sink holds.
func (sink *modelSink) Drop() {
	if holder, ok := sink.selectedSink().(dispatch.Holder); ok {
		holder.Drop()
	}
}

// Event forwards a part to the selected sink.
func (sink *modelSink) Event(event dispatch.Event) error {
	return sink.selectedSink().Event(event)
}

// End sends the end of the answer.
func (sink *modelSink) End() {
	sink.selectedSink().End()
}

// Fail sends the caller the reason why there is no complete answer.
func (sink *modelSink) Fail(err error) {
	sink.selectedSink().Fail(err)
}

// writeAnswer writes a complete buffered answer. Its body is that of the result, or the
// other one.
func writeAnswer(writer http.ResponseWriter, result claim.Result, body *memory.Chunks) {
	header := writer.Header()
	for name, values := range result.Header {
		header[name] = append([]string(nil), values...)
	}
	header.Set(headerOutcome, string(fault.Answered))
	writer.WriteHeader(result.Status)
	write := func(data []byte) error {
		_, err := writer.Write(data)
		return err
	}
	if write(result.Body) == nil {
		_ = body.Drain(nil, write)
	}
}

// callerDisconnectedError returns errCallerDisconnected with the given cause.
func callerDisconnectedError(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOf(errCallerDisconnected),
		Message: fault.MessageOf(errCallerDisconnected),
		Remedy:  fault.RemedyOf(errCallerDisconnected),
		Outcome: fault.OutcomeUnknown,
		Cause:   errors.Join(errCallerDisconnected, cause),
	})
}
