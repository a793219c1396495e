// Package order brings model engines to the model, adapter, version and role
// that the configuration wants. One router at a time orders an upstream, under
// a lease in the table; the lease's fencing number goes with each order.
package order

import (
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
)

// Target is what an engine should have loaded, or has.
type Target struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// targetOf returns what the configuration wants of an upstream. It is false if
// the configuration leaves the engine as it is.
func targetOf(upstream configuration.Upstream) (Target, bool) {
	target := Target{Model: upstream.Model, Adapter: upstream.Adapter, Version: upstream.Version, Role: upstream.Role}
	return target, target != Target{}
}

// sameWeights reports whether the engine needs no load to get to the other.
func (target Target) sameWeights(other Target) bool {
	target.Role = other.Role
	return target == other
}

// Order is what an engine is sent.
type Order struct {
	// Fence is the fencing number of the orderer's lease.
	Fence uint64 `json:"fence"`
	Target
}

// State is what an engine reports.
type State struct {
	Target
	// Fence is the greatest fencing number that the engine obeyed.
	Fence uint64 `json:"fence"`
	// Loading is set while weights are being loaded.
	Loading bool `json:"loading"`
}

// Status compares what is wanted of an upstream with what it has.
type Status struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Wanted   Target `json:"wanted"`
	Actual   Target `json:"actual"`
	Loading  bool   `json:"loading"`
	// Reason says why the two differ; empty if they don't.
	Reason string `json:"reason,omitempty"`
}
