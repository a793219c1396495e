package load

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// BookingBody is the request body of a booking.
type BookingBody struct {
	Item string `json:"item"`
	Key  string `json:"key"`
}

// request builds the HTTP request of the next attempt.
func (caller *caller) request(ctx context.Context, address string, callState *callState) (*http.Request, error) {
	planned := callState.result.Request
	method, path, body := caller.methodPathBody(planned, callState.result.Key)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Config{Kind: fault.Invalid, Message: err.Error(), Remedy: "check the address " + address, Cause: err})
	}
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+planned.Team.Token)
	header.Set(headerProfile, planned.Team.Profile)
	header.Set(headerKey, callState.result.Key)
	header.Set(headerIdempotent, strconv.FormatBool(planned.idempotent()))
	header.Set(headerDeadline, strconv.FormatInt(max(time.Until(callState.deadline).Milliseconds(), 1), 10))
	if caller.config.Direct {
		header.Set(standin.AttemptHeader, callState.result.Key)
	}
	if callState.resumeToken != "" {
		callState.result.Resumes++
		header.Set(headerResume, callState.resumeToken)
		header.Set(headerLastEvent, strconv.FormatInt(callState.lastEventID, 10))
	}
	return request, nil
}

// methodPathBody returns the HTTP method, path and body of a request.
func (caller *caller) methodPathBody(planned Request, key string) (string, string, []byte) {
	service := "/v1/services/" + url.PathEscape(caller.config.Service)
	switch {
	case kindTable[planned.Kind].isCompletion:
		return http.MethodPost, "/v1/chat/completions", mustEncode(standin.CompletionRequest{
			Model:     caller.config.Model,
			Messages:  planned.Messages,
			Stream:    kindTable[planned.Kind].isStream,
			MaxTokens: planned.MaxTokens,
		})
	case planned.Kind == KindBooking:
		return http.MethodPost, service + "/orders", bookingBody(planned, key)
	default:
		return http.MethodGet, service + "/stock/" + url.PathEscape(planned.Item), nil
	}
}

func bookingBody(planned Request, key string) []byte {
	return mustEncode(BookingBody{Item: planned.Item, Key: key})
}

// mustEncode returns the value as JSON and panics if it cannot be encoded.
func mustEncode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
