package exchange

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

const (
	// A head of at most memory.FreeHeaderFields fields and freeHeadBytes bytes isn't
	// counted. Most heads have some ten fields.
	freeHeadBytes = 8 << 10
	// maxHeadFields limits the fields of a head: maxAnswerHeaderBytes of short ones would
	// take over 1 MB.
	maxHeadFields = 1000
	// maxQuotedBytes limits what an error quotes of a malformed line.
	maxQuotedBytes = 80
)

// headMeter reads the head of an answer, with the interim answers before it. It counts
// what net/http holds of the head, and checks the lines that net/http is too lenient with.
type headMeter struct {
	// share is nil if nothing is counted.
	share *memory.Share
	// statusLine is the beginning of the status line, up to the status, and inFields is set
	// behind that line.
	statusLine []byte
	inFields   bool
	// name is that of the line that is being read.
	name fieldName
	// lineLength is the length of the line that is being read, and lastByte its last byte.
	lineLength int
	lastByte   byte
	// fields, bytes and charged are the fields and bytes read, and what was counted.
	fields, bytes, charged int
	ended                  bool
}

// read reads data of an answer, up to the end of its head. It returns errHeadMalformed if a
// line can't be one of a head, errHeadOversized if the head has too many fields, and
// errHeadGivenUp if there is no room for it.
func (headMeter *headMeter) read(data []byte) error {
	if headMeter.ended {
		return nil
	}
	for len(data) > 0 && !headMeter.ended {
		line, rest, whole := bytes.Cut(data, []byte("\n"))
		headMeter.bytes += len(data) - len(rest)
		if !headMeter.readLine(line, whole) {
			return fmt.Errorf("%w: %.*q", errHeadMalformed, maxQuotedBytes, line)
		}
		data = rest
	}
	if headMeter.fields > maxHeadFields {
		return errHeadOversized
	}
	if headMeter.fields <= memory.FreeHeaderFields && headMeter.bytes <= freeHeadBytes {
		return nil
	}
	held := headMeter.bytes + headMeter.fields*memory.HeaderFieldBytes
	if !headMeter.share.TryGrow(held - headMeter.charged) {
		return errHeadGivenUp
	}
	headMeter.charged = held
	return nil
}

// readLine reads a line, or a part of it unless it is whole. It reports false if the line
// is malformed.
func (headMeter *headMeter) readLine(line []byte, whole bool) bool {
	if headMeter.inFields && !headMeter.name.read(line) {
		return false
	}
	if missing := statusEnd - len(headMeter.statusLine); !headMeter.inFields && missing > 0 {
		headMeter.statusLine = append(headMeter.statusLine, line[:min(len(line), missing)]...)
	}
	headMeter.lineLength += len(line)
	if len(line) > 0 {
		headMeter.lastByte = line[len(line)-1]
	}
	return !whole || headMeter.endLine()
}

// endLine ends a line. It reports false if the line is malformed.
func (headMeter *headMeter) endLine() bool {
	isEmpty := headMeter.lineLength == 0 || headMeter.lineLength == 1 && headMeter.lastByte == '\r'
	hasFaultyFraming := headMeter.isHTTP10() && headMeter.name.isTransferEncoding()
	isSound := headMeter.name.isComplete() && !hasFaultyFraming
	headMeter.lineLength, headMeter.name = 0, fieldName{}
	switch {
	case !headMeter.inFields:
		headMeter.fields++
		headMeter.inFields = true
		return headMeter.hasStatus()
	case !isEmpty:
		headMeter.fields++
		return isSound
	case headMeter.isInterim():
		headMeter.statusLine, headMeter.inFields = nil, false
	default:
		headMeter.ended = true
	}
	return true
}

// statusEnd is the length of a status line up to the end of the status.
const statusEnd = len("HTTP/1.1 200")

// status returns the status of the status line, or an empty text if the line is too short.
func (headMeter *headMeter) status() string {
	if len(headMeter.statusLine) < statusEnd {
		return ""
	}
	return string(headMeter.statusLine[statusEnd-len("200"):])
}

// hasStatus reports whether the status has three digits and stands where isInterim expects
// it. net/http also finds it behind several blanks.
func (headMeter *headMeter) hasStatus() bool {
	status := headMeter.status()
	return status != "" && strings.Trim(status, "0123456789") == "" && headMeter.statusLine[len("HTTP/1.1")] == ' '
}

// isHTTP10 reports whether the answer is one of HTTP/1.0, which has no chunks. net/http
// takes what a Transfer-Encoding announces for the body itself; RFC 9112 calls the framing
// of such an answer faulty.
func (headMeter *headMeter) isHTTP10() bool {
	return bytes.HasPrefix(headMeter.statusLine, []byte("HTTP/1.0"))
}

// isInterim reports whether another head follows the one that was read. One with status
// 101 is the last.
func (headMeter *headMeter) isInterim() bool {
	status, err := strconv.Atoi(headMeter.status())
	return err == nil && status >= 100 && status < 200 && status != 101
}
