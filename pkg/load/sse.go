package load

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

const (
	maxLineBytes     = 1 << 20
	initialLineBytes = 4 << 10
	errorEvent       = "error"
	streamEndData    = "[DONE]"
)

// sseEvent is one server-sent event.
type sseEvent struct {
	// id is zero if the event has no id field.
	id   int64
	name string
	data []byte
}

// sseReader reads the events of a server-sent event stream.
type sseReader struct {
	scanner *bufio.Scanner
}

func newSSEReader(body io.Reader) *sseReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &sseReader{scanner: scanner}
}

// next returns the next complete event, or io.EOF if there is none. An event is
// complete only when a blank line follows it.
func (reader *sseReader) next() (sseEvent, error) {
	var event sseEvent
	hasField := false
	for reader.scanner.Scan() {
		line := reader.scanner.Bytes()
		if len(line) == 0 {
			if hasField {
				return event, nil
			}
			continue
		}
		hasField = event.parseLine(line) || hasField
	}
	if err := reader.scanner.Err(); err != nil {
		return sseEvent{}, err
	}
	return sseEvent{}, io.EOF
}

// parseLine parses one line and reports whether it is a known field.
func (event *sseEvent) parseLine(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		event.id, _ = strconv.ParseInt(string(value), 10, 64)
	case "event":
		event.name = string(value)
	case "data":
		if event.data != nil {
			event.data = append(event.data, '\n')
		}
		event.data = append(event.data, value...)
	default:
		return false
	}
	return true
}
