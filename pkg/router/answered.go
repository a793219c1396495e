package router

// Reports of requests whose answer was complete, with the status that callers were sent.

import (
	"net/http"
	"strconv"
)

// Answered describes a request that got a complete answer.
type Answered struct {
	Request *http.Request
	// Status is the status that the handler set, and SentStatus that of the status line
	// which was sent to the caller. nbhttp writes the line, and may choose another status.
	Status, SentStatus int
}

// IsUnusual reports whether the answer is worth a log line of its own: HTTP has no
// registered name for its status, or the caller was sent another one.
func (answered Answered) IsUnusual() bool {
	return http.StatusText(answered.Status) == "" || answered.Status != answered.SentStatus
}

// SentLabel returns the status that was sent, as the value of a metric's label.
func (answered Answered) SentLabel() string { return strconv.Itoa(answered.SentStatus) }

func ignoreAnswered(Answered) {}
