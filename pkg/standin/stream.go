package standin

// The flow of a stream: follow reads an attempt's events from a position on and
// hands each to the stream's writer until the attempt has ended. A fault drawn
// for the stream is a row of streamFaults: it decides at its trigger position
// what is written instead.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// streamFaultError ends a stream without its end marker.
type streamFaultError struct{ abort bool }

func (streamFaultError streamFaultError) Error() string { return "stream ended without its end marker" }

// streamFaultFunc writes an event under a fault, from its trigger position on.
type streamFaultFunc func(stream *stream, position int, data []byte) error

// streamFaults is the one table of stream faults. StreamWrongAttempt acts before
// the first event and passes all events on.
var streamFaults = map[StreamFault]streamFaultFunc{
	StreamTruncate: func(*stream, int, []byte) error { return streamFaultError{} },
	StreamCut:      func(*stream, int, []byte) error { return streamFaultError{abort: true} },
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
	StreamTruncate, StreamCut, StreamStall, StreamDuplicate, StreamReorder, StreamWrongAttempt,
}

// StreamFaults returns the faults of streams, in the order in which they are
// drawn.
func StreamFaults() []StreamFault { return slices.Clone(streamFaultOrder) }

const sseDone = "data: [DONE]\n\n"

// stream writes the events of one attempt to one caller.
type stream struct {
	ctx     context.Context
	writer  io.Writer
	flusher *http.ResponseController
	fault   StreamFault
	// trigger is the position at which the fault begins.
	trigger int
	// held is an event that reorder holds back.
	held         []byte
	heldPosition int
}

// write sends an event, or what the fault makes of it.
func (stream *stream) write(position int, data []byte) error {
	if stream.fault == "" || position < stream.trigger {
		return stream.send(position, data)
	}
	return streamFaults[stream.fault](stream, position, data)
}

// reorder holds an event back until the next one is sent.
func (stream *stream) reorder(position int, data []byte) error {
	if stream.held == nil {
		stream.held, stream.heldPosition = data, position
		return nil
	}
	stream.fault = ""
	if err := stream.send(position, data); err != nil {
		return err
	}
	return stream.send(stream.heldPosition, stream.held)
}

func (stream *stream) send(position int, data []byte) error {
	_, err := fmt.Fprintf(stream.writer, "id: %d\ndata: %s\n\n", position, data)
	return err
}

// finish sends the end marker, which only an answer that was not cancelled has.
func (stream *stream) finish(whole bool) error {
	if stream.held != nil && stream.fault != "" {
		if err := stream.send(stream.heldPosition, stream.held); err != nil {
			return err
		}
	}
	if !whole {
		return streamFaultError{}
	}
	if _, err := fmt.Fprint(stream.writer, sseDone); err != nil {
		return err
	}
	return stream.flusher.Flush()
}

// follow writes the attempt's events behind the position, to the end.
func (engine *Engine) follow(stream *stream, attempt *attempt, position int) error {
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
			return stream.finish(engine.recordOf(attempt).State == AttemptFinished)
		}
		select {
		case <-stream.ctx.Done():
			return stream.ctx.Err()
		case <-changed:
		}
	}
}

// eventsAfter returns the events behind the position, whether they are the last
// ones, and what is closed when there are more.
func (engine *Engine) eventsAfter(attempt *attempt, position int) ([][]byte, bool, <-chan struct{}, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if attempt.forgotten {
		return nil, false, nil, streamFaultError{abort: true}
	}
	var events [][]byte
	if position < len(attempt.events) {
		events = attempt.events[position:]
	}
	return events, attempt.ended(), attempt.changed, nil
}
