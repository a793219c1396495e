package router

// The status line of an answer.
//
// nbhttp ignores a status that net/http has no text for, and answers with 200 instead. An
// upstream may use any status, so callerConnection replaces the status line that nbhttp
// writes if it doesn't state the status that the handler set.

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

const (
	// statusOffset is the position of the status in a status line of HTTP/1.x, and
	// statusLength its number of digits.
	statusOffset = len("HTTP/1.1 ")
	statusLength = 3
	// maxStatus is the largest status that has statusLength digits.
	maxStatus = 999
)

// isFinalStatus reports whether an answer can have the status. One below 200 announces
// another answer.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// parseStatus returns the status of the status line with which an answer begins, or zero
// if it doesn't begin with one.
func parseStatus(answer []byte) int {
	if len(answer) < statusOffset+statusLength {
		return 0
	}
	status, err := strconv.Atoi(string(answer[statusOffset : statusOffset+statusLength]))
	if err != nil {
		return 0
	}
	return status
}

// withStatus returns the beginning of an answer with another status. The text after the
// status is the one of net/http's server for a status without a name.
func withStatus(answer []byte, status int) []byte {
	_, rest, _ := bytes.Cut(answer, []byte("\r\n"))
	changed := make([]byte, 0, len(answer)+statusOffset+statusLength)
	changed = append(changed, answer[:statusOffset]...)
	changed = fmt.Appendf(changed, "%d status code %d\r\n", status, status)
	return append(changed, rest...)
}

// withStatusLine returns the beginning of an answer with the status that the handler set.
func (callerConnection *callerConnection) withStatusLine(answer []byte) []byte {
	callerConnection.sentStatus = parseStatus(answer)
	isSet := callerConnection.status != 0 && callerConnection.sentStatus != 0
	if !isSet || callerConnection.status == callerConnection.sentStatus {
		return answer
	}
	callerConnection.sentStatus = callerConnection.status
	return withStatus(answer, callerConnection.status)
}
