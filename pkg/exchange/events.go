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
	fields := 0
	for {
		line, err := scanner.readLine()
		if err != nil {
			return sseEvent{}, eofError(err, fields)
		}
		if len(line) > 0 {
			fields++
			if err := event.addLine(line); err != nil {
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

// nextRaw returns the next event with all its fields and the empty line after it.
// The id is zero unless it is a number.
func (scanner *scanner) nextRaw() (sseEvent, error) {
	event := sseEvent{comment: true}
	for {
		line, err := scanner.readLine()
		if err != nil {
			scanner.insideEvent = len(event.data) > 0 || scanner.insideEvent
			return sseEvent{}, eofError(err, len(event.data))
		}
		if len(event.data)+len(line) >= MaxEventBytes {
			return sseEvent{}, errOversized
		}
		event.data = append(append(event.data, line...), '\n')
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
func (sseEvent *sseEvent) addLine(line []byte) error {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id < 1 {
			return errOutOfOrder
		}
		sseEvent.id = id
	case "data":
		return sseEvent.addData(value)
	}
	return nil
}

// addData appends the value of a data field. Values are joined by newlines.
func (sseEvent *sseEvent) addData(value []byte) error {
	if len(sseEvent.data)+len(value) >= MaxEventBytes {
		return errOversized
	}
	if sseEvent.data == nil {
		sseEvent.data = make([]byte, 0, len(value))
	} else {
		sseEvent.data = append(sseEvent.data, '\n')
	}
	sseEvent.data = append(sseEvent.data, value...)
	return nil
}

// readLine returns the next line without its line ending. The slice is valid until
// the next call. The error is io.ErrUnexpectedEOF for a last line without a line
// ending.
func (scanner *scanner) readLine() ([]byte, error) {
	line, err := scanner.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = scanner.readLongLine(line)
	}
	if err != nil {
		scanner.insideEvent = scanner.insideEvent || len(line) > 0
		return nil, eofError(err, len(line))
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// readLongLine reads the rest of a line that starts with firstPart and does not fit
// the buffer.
func (scanner *scanner) readLongLine(firstPart []byte) ([]byte, error) {
	line := bytes.Clone(firstPart)
	for len(line) <= MaxEventBytes {
		part, err := scanner.reader.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, errOversized
}
