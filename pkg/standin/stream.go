package standin

// Engine.sendEvents passes an attempt's events after a position to stream.write
// until the attempt has ended. If the stream has a fault, the fault's function in
// streamFaults handles the events from faultPosition on.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// streamFaultError ends a stream without the end marker. With abort, the connection
// is closed as well.
type streamFaultError struct{ abort bool }

func (streamFaultError streamFaultError) Error() string { return "stream ended without its end marker" }

// streamFaultFunc sends or suppresses an event at or after the fault position.
type streamFaultFunc func(stream *stream, position int, data []byte) error

// streamFaults maps each stream fault to its function. StreamWrongAttempt takes
// effect before the first event, so its function sends the events unchanged.
var streamFaults = map[StreamFault]streamFaultFunc{
	StreamTruncate:   func(*stream, int, []byte) error { return streamFaultError{} },
	StreamDisconnect: func(*stream, int, []byte) error { return streamFaultError{abort: true} },
	StreamStall: func(stream *stream, _ int, _ []byte) error {
		<-stream.ctx.Done()
		return streamFaultError{abort: true}
	},
	StreamDuplicate: func(stream *stream, position int, data []byte) error {
		stream.fault = ""
		if err := stream.send(position, data); err != nil {
			return err
		}
		return stream.send(position, data)
	},
	StreamReorder:      (*stream).reorder,
	StreamWrongAttempt: (*stream).send,
}

var streamFaultOrder = []StreamFault{
	StreamTruncate, StreamDisconnect, StreamStall, StreamDuplicate, StreamReorder, StreamWrongAttempt,
}

// StreamFaults returns all stream faults in order of precedence: a stream for which
// several are due gets the first of them.
func StreamFaults() []StreamFault { return slices.Clone(streamFaultOrder) }

const sseDone = "data: [DONE]\n\n"

// stream sends the events of one attempt to one caller.
type stream struct {
	ctx     context.Context
	writer  io.Writer
	flusher *http.ResponseController
	fault   StreamFault
	// faultPosition is the position of the first event that the fault affects.
	faultPosition int
	// heldEvent is the event that reorder withholds, or nil.
	heldEvent    []byte
	heldPosition int
}

// write sends an event, or passes it to the fault's function at and after the fault
// position.
func (stream *stream) write(position int, data []byte) error {
	if stream.fault == "" || position < stream.faultPosition {
		return stream.send(position, data)
	}
	return streamFaults[stream.fault](stream, position, data)
}

// reorder withholds an event until the next one was sent.
func (stream *stream) reorder(position int, data []byte) error {
	if stream.heldEvent == nil {
		stream.heldEvent, stream.heldPosition = data, position
		return nil
	}
	stream.fault = ""
	if err := stream.send(position, data); err != nil {
		return err
	}
	return stream.send(stream.heldPosition, stream.heldEvent)
}

func (stream *stream) send(position int, data []byte) error {
	_, err := fmt.Fprintf(stream.writer, "id: %d\ndata: %s\n\n", position, data)
	return err
}

// end sends a withheld event and, if the attempt finished, the end marker. A
// cancelled attempt ends without the marker.
func (stream *stream) end(finished bool) error {
	if stream.heldEvent != nil && stream.fault != "" {
		if err := stream.send(stream.heldPosition, stream.heldEvent); err != nil {
			return err
		}
	}
	if !finished {
		return streamFaultError{}
	}
	if _, err := fmt.Fprint(stream.writer, sseDone); err != nil {
		return err
	}
	return stream.flusher.Flush()
}

// sendEvents sends the attempt's events after the position until it has ended.
func (engine *Engine) sendEvents(stream *stream, attempt *attempt, position int) error {
	for {
		events, ended, changed, err := engine.eventsAfter(attempt, position)
		if err != nil {
			return err
		}
		for _, data := range events {
			position++
			if err := stream.write(position, data); err != nil {
				return err
			}
		}
		if err := stream.flusher.Flush(); err != nil {
			return err
		}
		if ended {
			return stream.end(engine.recordOf(attempt).State == AttemptFinished)
		}
		select {
		case <-stream.ctx.Done():
			return stream.ctx.Err()
		case <-changed:
		}
	}
}

// eventsAfter returns the available events after the position, whether the attempt
// has ended, and a channel that is closed when the attempt changes. It returns a
// streamFaultError if the events were discarded.
func (engine *Engine) eventsAfter(attempt *attempt, position int) ([][]byte, bool, <-chan struct{}, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if attempt.eventsDropped {
		return nil, false, nil, streamFaultError{abort: true}
	}
	var events [][]byte
	if position < len(attempt.events) {
		events = attempt.events[position:]
	}
	return events, attempt.hasEnded(), attempt.changed, nil
}
