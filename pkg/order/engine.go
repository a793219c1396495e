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
)

// Engine speaks to model engines.
type Engine interface {
	// State returns what the engine at an address has loaded.
	State(ctx context.Context, address string) (State, error)
	// Order sends an order. fault.Conflict means that the engine refused its
	// fencing number; fault.Unavailable that it may or may not arrive.
	Order(ctx context.Context, address string, order Order) error
}

// Bounds of the exchange with an engine.
const (
	maxStateBytes     = 64 << 10
	engineIdleTimeout = 30 * time.Second
)

// HTTPEngine speaks to engines over HTTP.
type HTTPEngine struct {
	client *http.Client
}

// NewHTTPEngine returns an Engine that speaks HTTP.
func NewHTTPEngine() *HTTPEngine {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: engineIdleTimeout, DisableCompression: true}
	return &HTTPEngine{client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (httpEngine *HTTPEngine) Close() { httpEngine.client.CloseIdleConnections() }

// State reads GET /v1/state.
func (httpEngine *HTTPEngine) State(ctx context.Context, address string) (State, error) {
	var state State
	body, err := httpEngine.call(ctx, http.MethodGet, address, "/v1/state", nil)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return state, unreachable(address, err)
	}
	return state, nil
}

// Order sends POST /v1/orders.
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
		return nil, unreachable(address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpEngine.client.Do(request)
	if err != nil {
		return nil, unreachable(address, err)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return nil, unreachable(address, err)
	}
	switch {
	case response.StatusCode == http.StatusConflict:
		return nil, conflict("engine at "+address+" refused the fencing number", "another router orders it now")
	case response.StatusCode >= http.StatusMultipleChoices:
		return nil, unreachable(address, errors.New("status "+strconv.Itoa(response.StatusCode)))
	default:
		return answer, nil
	}
}

func unreachable(address string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "engine at " + address + " gave no usable answer: " + cause.Error(),
		Remedy:  "check the engine and the network to it",
		Outcome: fault.OutcomeUnknown,
		Cause:   cause,
	})
}
