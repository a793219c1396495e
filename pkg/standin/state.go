package standin

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Order sets the model, adapter, version and role of an engine.
type Order struct {
	// Fence is the sender's fencing number, which grows with each lease.
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// sameWeights reports whether two orders need the same weights.
func (order Order) sameWeights(other Order) bool {
	return order.Model == other.Model && order.Adapter == other.Adapter && order.Version == other.Version
}

// EngineState is what an engine has loaded or is loading, and its role.
type EngineState struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Fence is the highest fencing number of all accepted orders.
	Fence uint64 `json:"fence"`
	// Loading is true while the weights of the last accepted order are being
	// loaded.
	Loading bool `json:"loading"`
}

// OrderRecord is the engine's internal record of an order, for checks.
type OrderRecord struct {
	Order Order `json:"order"`
	// Accepted is false if the order was refused because of an outdated fencing
	// number.
	Accepted   bool      `json:"obeyed"`
	ReceivedAt time.Time `json:"at"`
}

// modelState holds the last accepted order and when its model is ready. It is
// guarded by the engine's mutex.
type modelState struct {
	ignoresFencing   bool
	modelLoadTime    time.Duration
	weightStore      *WeightStore
	modelWeightBytes int64
	order            Order
	highestFence     uint64
	readyAt          time.Time
	orderRecords     []OrderRecord
}

func newModelState(config EngineConfig) modelState {
	return modelState{
		ignoresFencing:   config.IgnoresFencing,
		modelLoadTime:    config.ModelLoadTime,
		weightStore:      config.WeightStore,
		modelWeightBytes: config.ModelWeightBytes,
		order:            Order{Model: config.Model},
	}
}

// apply applies an order and returns whether it loads other weights. It returns
// fault.Conflict if the fencing number is outdated.
func (modelState *modelState) apply(order Order, now time.Time) (bool, error) {
	accepted := modelState.ignoresFencing || order.Fence >= modelState.highestFence
	modelState.orderRecords = append(modelState.orderRecords, OrderRecord{Order: order, Accepted: accepted, ReceivedAt: now})
	if !accepted {
		return false, fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: "order has an outdated fencing number",
			Remedy:  "acquire the lease again before sending orders",
		})
	}
	reload := !order.sameWeights(modelState.order)
	if reload {
		modelState.readyAt = modelState.weightStore.reserve(modelState.modelWeightBytes, now).Add(modelState.modelLoadTime)
	}
	modelState.order = order
	modelState.highestFence = max(modelState.highestFence, order.Fence)
	return reload, nil
}

// report returns the state at the time.
func (modelState *modelState) report(now time.Time) EngineState {
	return EngineState{
		Model:   modelState.order.Model,
		Adapter: modelState.order.Adapter,
		Version: modelState.order.Version,
		Role:    modelState.order.Role,
		Fence:   modelState.highestFence,
		Loading: now.Before(modelState.readyAt),
	}
}

// servingError returns the reason why requests for the model can't be served at the
// time, or nil.
func (modelState *modelState) servingError(model string, now time.Time) error {
	if now.Before(modelState.readyAt) {
		return fault.New(fault.Config{
			Kind:       fault.Unavailable,
			Message:    "engine is loading a model",
			Remedy:     "retry at another upstream or after the load",
			RetryAfter: modelState.readyAt.Sub(now),
		})
	}
	if modelState.order.Model == "" || modelState.order.Model == model {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.NotFound,
		Message: "model is not loaded: " + model,
		Remedy:  "send the request to an engine that has loaded it",
	})
}

// Order applies an order and returns the resulting state. It returns the unchanged
// state and fault.Conflict if the fencing number is outdated.
func (engine *Engine) Order(order Order) (EngineState, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	reload, err := engine.modelState.apply(order, now)
	if err != nil {
		return engine.modelState.report(now), err
	}
	if reload {
		engine.cache.clear()
	}
	return engine.modelState.report(now), nil
}

// State returns what the engine has loaded or is loading.
func (engine *Engine) State() EngineState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.modelState.report(time.Now())
}

// Orders returns the internal records of all orders, in order of arrival.
func (engine *Engine) Orders() []OrderRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]OrderRecord{}, engine.modelState.orderRecords...)
}
