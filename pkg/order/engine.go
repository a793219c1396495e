package order

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/message"
)

// Engine is the client of model engines.
type Engine interface {
	// State returns the state of the engine at an address. The error is
	// fault.Unavailable.
	State(ctx context.Context, address string) (State, error)
	// Order sends an order. fault.Conflict means that the engine refused the
	// fencing number; fault.Unavailable means that the order may still arrive.
	Order(ctx context.Context, address string, order Order) error
}

// Limits of the connections to engines.
const (
	maxStateBytes     = 64 << 10
	maxLargeStates    = 32
	engineIdleTimeout = 30 * time.Second
)

// HTTPEngine is an Engine that uses HTTP.
type HTTPEngine struct {
	client *http.Client
}

// NewHTTPEngine returns an HTTPEngine without open connections.
func NewHTTPEngine() *HTTPEngine {
	transport := &message.Transport{
		Next: &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: engineIdleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: message.MaxHeaderBytes,
		},
		Limiter: message.NewLimiter(message.Config{MaxBytes: maxStateBytes, MaxLarge: maxLargeStates}),
	}
	return &HTTPEngine{client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (httpEngine *HTTPEngine) Close() { httpEngine.client.CloseIdleConnections() }

// State sends GET /v1/state. The errors are fault.Unavailable and fault.Conflict
// for status 409.
func (httpEngine *HTTPEngine) State(ctx context.Context, address string) (State, error) {
	var state State
	body, err := httpEngine.call(ctx, http.MethodGet, address, "/v1/state", nil)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return state, unavailableError(address, err)
	}
	return state, nil
}

// Order sends POST /v1/orders. The errors are fault.Conflict if the engine
// refused the fencing number, and fault.Unavailable.
func (httpEngine *HTTPEngine) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	_, err = httpEngine.call(ctx, http.MethodPost, address, "/v1/orders", body)
	return err
}

func (httpEngine *HTTPEngine) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, unavailableError(address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpEngine.client.Do(request)
	if err != nil {
		return nil, unavailableError(address, err)
	}
	responseBody, err := io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return nil, unavailableError(address, err)
	}
	switch {
	case response.StatusCode == http.StatusConflict:
		return nil, conflictError("engine at "+address+" refused the fencing number", "another router now sends orders to it")
	case response.StatusCode >= http.StatusMultipleChoices:
		return nil, unavailableError(address, errors.New("status "+strconv.Itoa(response.StatusCode)))
	default:
		return responseBody, nil
	}
}

func unavailableError(address string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "no valid response from engine at " + address + ": " + cause.Error(),
		Remedy:  "check the engine and the network to it",
		Outcome: fault.OutcomeUnknown,
		Cause:   cause,
	})
}
