package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// The headers of the callers' protocol.
const (
	headerProfile        = "Wisterialb-Profile"
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Wisterialb-Idempotent"
	headerDeadline       = "Wisterialb-Deadline"
	headerOutcome        = "Wisterialb-Outcome"
	headerResume         = "Wisterialb-Resume"
	headerAlternatives   = "Wisterialb-Alternatives"
	headerRetryAfter     = "Retry-After"
	headerLastEventID    = "Last-Event-ID"
	headerContentType    = "Content-Type"
	headerContentLength  = "Content-Length"

	contentTypeJSON = "application/json"
	contentTypeSSE  = "text/event-stream"
)

// respondError writes err as a JSON error answer, with its status, outcome and
// Retry-After in the header.
func respondError(writer http.ResponseWriter, err error) {
	header := writer.Header()
	header.Set(headerOutcome, string(fault.OutcomeOf(err)))
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		seconds := (retryAfter + time.Second - 1) / time.Second
		header.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	respondJSON(writer, fault.StatusOf(err), fault.BodyOf(err))
}

// respondJSON writes a JSON answer.
func respondJSON(writer http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set(headerContentType, contentTypeJSON)
	writer.Header().Set(headerContentLength, strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// errAmbiguousLength refuses a request whose body has no unambiguous end.
var errAmbiguousLength = fault.New(fault.Config{
	Kind:    fault.Invalid,
	Message: "the request states its length more than once",
	Remedy:  "send either one Content-Length or Transfer-Encoding: chunked",
})

func headerTooLarge(limit int) error {
	return fault.New(fault.Config{
		Kind:    fault.TooLarge,
		Message: fmt.Sprintf("the header has more than %d bytes", limit),
		Remedy:  "send fewer or shorter headers",
	})
}

func bodyTooLarge(limit int64) error {
	return fault.New(fault.Config{
		Kind:    fault.TooLarge,
		Message: fmt.Sprintf("the body has more than %d bytes", limit),
		Remedy:  "send a shorter body, or ask the operators to raise bounds.body_bytes",
	})
}
