package standin

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Order tells an engine what to have loaded and which role to take.
type Order struct {
	// Fence is the orderer's fencing number, which grows with each lease.
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

// EngineState is what an engine has loaded.
type EngineState struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Fence is the greatest fencing number of an order that was obeyed.
	Fence uint64 `json:"fence"`
	// Loading is set while the weights of the last order are being loaded.
	Loading bool `json:"loading"`
}

// OrderRecord is the engine's own record of an order, for checks.
type OrderRecord struct {
	Order Order `json:"order"`
	// Obeyed is false when the order was refused for its fence.
	Obeyed bool      `json:"obeyed"`
	At     time.Time `json:"at"`
}

// engineState is guarded by the engine's mutex.
type engineState struct {
	ignoresFencing bool
	loadTime       time.Duration
	weights        *WeightStore
	weightBytes    int64
	order          Order
	fence          uint64
	loadedAt       time.Time
	records        []OrderRecord
}

func newEngineState(config EngineConfig) engineState {
	return engineState{
		ignoresFencing: config.IgnoresFencing,
		loadTime:       config.LoadTime,
		weights:        config.Weights,
		weightBytes:    config.WeightBytes,
		order:          Order{Model: config.Model},
	}
}

// obey applies an order, or refuses it for its fence. It reports whether the
// weights change.
func (engineState *engineState) obey(order Order, now time.Time) (bool, error) {
	obeyed := engineState.ignoresFencing || order.Fence >= engineState.fence
	engineState.records = append(engineState.records, OrderRecord{Order: order, Obeyed: obeyed, At: now})
	if !obeyed {
		return false, fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: "order carries an old fencing number",
			Remedy:  "take the lease anew before ordering",
		})
	}
	reload := !order.sameWeights(engineState.order)
	if reload {
		engineState.loadedAt = engineState.weights.reserve(engineState.weightBytes, now).Add(engineState.loadTime)
	}
	engineState.order = order
	engineState.fence = max(engineState.fence, order.Fence)
	return reload, nil
}

// view returns the state at a time.
func (engineState *engineState) view(now time.Time) EngineState {
	return EngineState{
		Model:   engineState.order.Model,
		Adapter: engineState.order.Adapter,
		Version: engineState.order.Version,
		Role:    engineState.order.Role,
		Fence:   engineState.fence,
		Loading: now.Before(engineState.loadedAt),
	}
}

// refusal returns why a request for the model cannot be served, or nil.
func (engineState *engineState) refusal(model string, now time.Time) error {
	if now.Before(engineState.loadedAt) {
		return fault.New(fault.Config{
			Kind:       fault.Unavailable,
			Message:    "engine is loading a model",
			Remedy:     "retry elsewhere or after the load",
			RetryAfter: engineState.loadedAt.Sub(now),
		})
	}
	if engineState.order.Model == "" || engineState.order.Model == model {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.NotFound,
		Message: "model is not loaded: " + model,
		Remedy:  "ask an engine that has loaded it",
	})
}

// Order obeys or refuses an order.
func (engine *Engine) Order(order Order) (EngineState, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	reload, err := engine.state.obey(order, now)
	if err != nil {
		return engine.state.view(now), err
	}
	if reload {
		engine.cache.clear()
	}
	return engine.state.view(now), nil
}

// State returns what the engine has loaded.
func (engine *Engine) State() EngineState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.state.view(time.Now())
}

// Orders returns the engine's own record of all orders.
func (engine *Engine) Orders() []OrderRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]OrderRecord{}, engine.state.records...)
}
