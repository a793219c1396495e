package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEventBytes is the maximum size of one server-sent event, in bytes.
const MaxEventBytes = 1 << 20

// readBufferBytes is the size of the read buffer of one stream.
const readBufferBytes = 1 << 10

// sseEvent is one server-sent event.
type sseEvent struct {
	// id is the number in the id field, or zero if the event has none.
	id int64
	// data is the content of the data fields, or the event with all its fields if
	// nextRaw returned it.
	data []byte
	// comment is set by nextRaw if the event has nothing but comments.
	comment bool
}

// scanner reads server-sent events. It parses the fields id and data, the only ones
// in the protocol of model engines, and skips other fields and comments.
type scanner struct {
	reader *bufio.Reader
	// grow is called before the bytes that are held of an event grow; nil allows it.
	grow func(bytes int) error
	// longLine holds a line that doesn't fit the reader's buffer.
	longLine []byte
	// insideEvent is set if the stream ended inside an event that nextRaw read.
	insideEvent bool
}

func newScanner(reader io.Reader) *scanner {
	return &scanner{reader: bufio.NewReaderSize(reader, readBufferBytes)}
}

// next returns the next event that has data. The error is io.EOF if the stream ends
// between two events and io.ErrUnexpectedEOF if it ends inside one.
func (scanner *scanner) next() (sseEvent, error) {
	var event sseEvent
	scanner.longLine = nil
	fields := 0
	for {
		line, err := scanner.readLine()
		if err != nil {
			return sseEvent{}, eofError(err, fields)
		}
		if len(line) > 0 {
			fields++
			if err := scanner.addLine(&event, line); err != nil {
				return sseEvent{}, err
			}
			continue
		}
		if event.data != nil {
			return event, nil
		}
		event, fields = sseEvent{}, 0
	}
}

// nextRaw appends the next event to data, with all its fields and the empty line after
// it. The id is zero unless it is a number.
func (scanner *scanner) nextRaw(data []byte) (sseEvent, error) {
	event := sseEvent{comment: true, data: data}
	for {
		lineStart := len(event.data)
		var err error
		if event.data, err = scanner.appendLine(event.data); err != nil {
			scanner.insideEvent = scanner.insideEvent || len(event.data) > len(data)
			return sseEvent{data: data}, eofError(err, len(event.data)-len(data))
		}
		line := bytes.TrimSuffix(event.data[lineStart:len(event.data)-1], []byte("\r"))
		event.data = append(event.data[:lineStart+len(line)], '\n')
		if lineStart+len(line) >= MaxEventBytes {
			return sseEvent{}, errOversized
		}
		if len(line) == 0 {
			return event, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		event.comment = event.comment && len(field) == 0
		if string(field) == "id" {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				event.id = id
			}
		}
	}
}

// eofError returns err, but io.ErrUnexpectedEOF instead of io.EOF if the stream ended
// inside an event or line. readCount is the number of fields or bytes of that event or
// line that were read.
func eofError(err error, readCount int) error {
	if errors.Is(err, io.EOF) && readCount > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// addLine parses one line of the event.
func (scanner *scanner) addLine(event *sseEvent, line []byte) error {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id < 1 {
			return errOutOfOrder
		}
		event.id = id
	case "data":
		return scanner.addData(event, value)
	}
	return nil
}

// addData appends the value of a data field. Values are joined by newlines.
func (scanner *scanner) addData(event *sseEvent, value []byte) error {
	if len(event.data)+len(value) >= MaxEventBytes {
		return errOversized
	}
	if event.data == nil && len(scanner.longLine) > 0 {
		event.data, scanner.longLine = value, nil // no copy of a long line
		return nil
	}
	var err error
	if event.data != nil {
		if event.data, err = scanner.extend(event.data, []byte{'\n'}); err != nil {
			return err
		}
	} else {
		event.data = []byte{}
	}
	event.data, err = scanner.extend(event.data, value)
	return err
}

// extend appends more to data. If data has to be allocated anew, it grows by half, and
// grow is called before.
func (scanner *scanner) extend(data, more []byte) ([]byte, error) {
	length := len(data) + len(more)
	if length <= cap(data) {
		return append(data, more...), nil
	}
	capacity := max(length, cap(data)+cap(data)/2)
	if scanner.grow != nil {
		if err := scanner.grow(capacity - cap(data)); err != nil {
			return data, err
		}
	}
	extended := make([]byte, len(data), capacity)
	copy(extended, data)
	return append(extended, more...), nil
}

// readLine returns the next line without its line ending. The slice is valid until
// the next call. The error is io.ErrUnexpectedEOF for a last line without a line
// ending.
func (scanner *scanner) readLine() ([]byte, error) {
	line, err := scanner.reader.ReadSlice('\n')
	scanner.longLine = scanner.longLine[:0]
	if errors.Is(err, bufio.ErrBufferFull) {
		if scanner.longLine, err = scanner.extend(scanner.longLine, line); err == nil {
			scanner.longLine, err = scanner.appendLine(scanner.longLine)
		}
		line = scanner.longLine
	}
	if err != nil {
		return nil, eofError(err, len(line))
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// appendLine appends the next line and its line ending to data.
func (scanner *scanner) appendLine(data []byte) ([]byte, error) {
	for len(data) <= MaxEventBytes {
		part, err := scanner.reader.ReadSlice('\n')
		var extendErr error
		if data, extendErr = scanner.extend(data, part); extendErr != nil {
			return data, extendErr
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return data, err
		}
	}
	return data, errOversized
}
