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

// Order is the body of a booking.
type Order struct {
	Item string `json:"item"`
	Key  string `json:"key"`
}

// request builds the HTTP request of the next try.
func (caller *caller) request(ctx context.Context, address string, conversation *conversation) (*http.Request, error) {
	planned := conversation.result.Request
	method, path, body := caller.form(planned, conversation.result.Key)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Config{Kind: fault.Invalid, Message: err.Error(), Remedy: "check the address " + address, Cause: err})
	}
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+planned.Team.Token)
	header.Set(headerProfile, planned.Team.Profile)
	header.Set(headerKey, conversation.result.Key)
	header.Set(headerIdempotent, strconv.FormatBool(planned.idempotent()))
	header.Set(headerDeadline, strconv.FormatInt(max(time.Until(conversation.deadline).Milliseconds(), 1), 10))
	if caller.config.Direct {
		header.Set(standin.AttemptHeader, conversation.result.Key)
	}
	if conversation.resume != "" {
		conversation.result.Resumes++
		header.Set(headerResume, conversation.resume)
		header.Set(headerLastEvent, strconv.FormatInt(conversation.position, 10))
	}
	return request, nil
}

// form returns the method, path and body of a request.
func (caller *caller) form(planned Request, key string) (string, string, []byte) {
	service := "/v1/services/" + url.PathEscape(caller.config.Service)
	switch {
	case kinds[planned.Kind].model:
		return http.MethodPost, "/v1/chat/completions", encode(standin.CompletionRequest{
			Model:     caller.config.Model,
			Messages:  planned.Messages,
			Stream:    kinds[planned.Kind].stream,
			MaxTokens: planned.MaxTokens,
		})
	case planned.Kind == KindBooking:
		return http.MethodPost, service + "/orders", orderBody(planned, key)
	default:
		return http.MethodGet, service + "/stock/" + url.PathEscape(planned.Item), nil
	}
}

func orderBody(planned Request, key string) []byte {
	return encode(Order{Item: planned.Item, Key: key})
}

// encode returns the JSON of a value that always has one.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
