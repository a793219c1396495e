package load

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

const (
	maxLineBytes  = 1 << 20
	lineBuffer    = 4 << 10
	errorEvent    = "error"
	streamEndData = "[DONE]"
)

// sseEvent is one event of a stream.
type sseEvent struct {
	// id is zero when the event has none.
	id   int64
	name string
	data []byte
}

// sseReader reads the events of a stream.
type sseReader struct {
	scanner *bufio.Scanner
}

func newSSEReader(body io.Reader) *sseReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, lineBuffer), maxLineBytes)
	return &sseReader{scanner: scanner}
}

// next returns the next event that is whole; io.EOF when there is none. An event
// without the blank line behind it is not whole.
func (reader *sseReader) next() (sseEvent, error) {
	var event sseEvent
	filled := false
	for reader.scanner.Scan() {
		line := reader.scanner.Bytes()
		if len(line) == 0 {
			if filled {
				return event, nil
			}
			continue
		}
		filled = event.set(line) || filled
	}
	if err := reader.scanner.Err(); err != nil {
		return sseEvent{}, err
	}
	return sseEvent{}, io.EOF
}

// set takes one line; it reports whether the line was a field.
func (event *sseEvent) set(line []byte) bool {
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
