package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// controlBytes bounds the answer to a control request.
const controlBytes = 64 << 10

// ErrUnknownAttempt means that the engine never saw the attempt.
var ErrUnknownAttempt = errors.New("the engine does not know the attempt")

// StatusError means that an upstream refused a control request.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error returns the status.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("the upstream refused a control request with status %d", statusError.Status)
}

// State is what an engine says of an attempt.
type State string

// The states of attempts.
const (
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateCancelled State = "cancelled"
)

// Record is an engine's record of an attempt.
type Record struct {
	Attempt          string `json:"attempt"`
	State            State  `json:"state"`
	Position         int64  `json:"position"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
}

// LoadReport is what an upstream says of its load.
type LoadReport struct {
	Running  int64 `json:"running"`
	Waiting  int64 `json:"waiting"`
	Capacity int64 `json:"capacity"`
	// AgeMS is how old the report was when it was sent, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

func attemptPath(attempt string) string {
	return "/v1/attempts/" + url.PathEscape(attempt)
}

// Cancel stops an attempt on a fresh connection and returns its final record. The error is
// ErrUnknownAttempt when the engine never saw it.
func (client *Client) Cancel(ctx context.Context, attempt string) (Record, error) {
	var record Record
	err := client.control(ctx, client.single, http.MethodPost, attemptPath(attempt)+"/cancel", &record)
	return record, err
}

// Attempt returns the record of an attempt on a fresh connection. The error is ErrUnknownAttempt when
// the engine never saw it.
func (client *Client) AttemptRecord(ctx context.Context, attempt string) (Record, error) {
	var record Record
	err := client.control(ctx, client.single, http.MethodGet, attemptPath(attempt), &record)
	return record, err
}

// Load returns the upstream's load report. It asks on a pooled connection, so
// that a timeout tells of connections that have gone silent.
func (client *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := client.control(ctx, client.transport(false), http.MethodGet, "/v1/load", &report)
	return report, err
}

// Health returns nil when the upstream says that it is well.
func (client *Client) CheckHealth(ctx context.Context) error {
	return client.control(ctx, client.single, http.MethodGet, "/healthz", nil)
}

// control makes one small request and decodes its JSON answer into target
// unless target is nil.
func (client *Client) control(ctx context.Context, transport *http.Transport, method, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, client.config.ControlTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, "http://"+client.config.Address+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return ErrUnknownAttempt
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	body := io.LimitReader(response.Body, controlBytes)
	if target != nil {
		err = json.NewDecoder(body).Decode(target)
	}
	_, _ = io.Copy(io.Discard, body)
	return err
}
