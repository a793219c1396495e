package message

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// checkHead returns an error if the head of the sender's response is none of a final
// response, so that the outcome of the request is unknown. net/http accepts any three
// digits as a status, and blanks in the names of fields: it then doesn't know a
// Content-Length or Transfer-Encoding that has one, and the body ends elsewhere.
func checkHead(sender string, response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return headError(sender, fmt.Sprintf("the status %03d, which is none of a final response", response.StatusCode))
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return headError(sender, fmt.Sprintf("the malformed field name %q", name))
		}
	}
	return nil
}

func headError(sender, what string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the response of " + sender + " has " + what,
		Remedy:  "check the process at that address",
		Outcome: fault.OutcomeUnknown,
	})
}
