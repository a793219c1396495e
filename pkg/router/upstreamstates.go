package router

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/order"
)

// upstreamStates reports to operators which model each engine should have loaded
// and which it has loaded.
type upstreamStates struct {
	inspector *order.Inspector
}

// States queries all model engines. An engine that cannot be queried is listed with a
// reason. The error is always nil.
func (upstreamStates upstreamStates) States(ctx context.Context) ([]operator.UpstreamState, error) {
	statuses := upstreamStates.inspector.Inspect(ctx)
	states := make([]operator.UpstreamState, len(statuses))
	for i, status := range statuses {
		states[i] = operator.UpstreamState{
			Name:    status.Upstream,
			Service: status.Service,
			Wanted:  operator.LoadedModel(status.Wanted),
			Actual:  operator.LoadedModel(status.Actual),
			Reason:  status.Reason,
		}
	}
	return states, nil
}
