// Package order tells model engines to load the model, adapter and version and
// to take the role that the configuration sets for them. Only the router that
// holds the lease of an upstream sends orders to it. Each order carries the
// fencing number of the lease, so that an engine can refuse orders that were
// sent under an older lease.
package order

import (
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
)

// ModelSpec is the model, adapter, version and role of an engine: either those
// in the configuration or those that the engine reports.
type ModelSpec struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// wantedSpec returns the spec that the configuration sets for an upstream. It
// returns false if the configuration sets none; the engine then gets no orders.
func wantedSpec(upstream configuration.Upstream) (ModelSpec, bool) {
	spec := ModelSpec{Model: upstream.Model, Adapter: upstream.Adapter, Version: upstream.Version, Role: upstream.Role}
	return spec, spec != ModelSpec{}
}

// hasSameWeights reports whether an engine can change to the other spec without
// loading weights.
func (spec ModelSpec) hasSameWeights(other ModelSpec) bool {
	spec.Role = other.Role
	return spec == other
}

// Order is the request that tells an engine what to load and which role to take.
type Order struct {
	// Fence is the fencing number of the lease that the order is sent under.
	Fence uint64 `json:"fence"`
	ModelSpec
}

// State is the state that an engine reports.
type State struct {
	ModelSpec
	// Fence is the highest fencing number of the orders that the engine has
	// accepted.
	Fence uint64 `json:"fence"`
	// Loading is set while weights are being loaded.
	Loading bool `json:"loading"`
}

// Status compares the configuration of an upstream with the state of its engine.
type Status struct {
	Upstream string    `json:"upstream"`
	Service  string    `json:"service"`
	Wanted   ModelSpec `json:"wanted"`
	Actual   ModelSpec `json:"actual"`
	Loading  bool      `json:"loading"`
	// Reason says why the engine does not match the configuration yet or why
	// its state is not known; empty otherwise.
	Reason string `json:"reason,omitempty"`
}
