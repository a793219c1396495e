package order

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Limits of an inspection.
const (
	maxConcurrentInspections = 32
	inspectTimeout           = 2 * time.Second
)

// InspectorConfig configures an Inspector.
type InspectorConfig struct {
	// View returns the current configuration.
	View   func() *configuration.View
	Engine Engine
}

// Inspector compares all engines with the configuration, including those that
// are assigned to other routers. It sends no orders.
type Inspector struct {
	config InspectorConfig
}

// NewInspector returns an Inspector.
func NewInspector(config InspectorConfig) *Inspector { return &Inspector{config: config} }

// Inspect reads the state of every model engine and returns the statuses, sorted
// by the name of the upstream. If an engine does not respond, its status has the
// reason.
func (inspector *Inspector) Inspect(ctx context.Context) []Status {
	view := inspector.config.View()
	var engines []configuration.Upstream
	for _, upstream := range view.AllUpstreams() {
		if service, ok := view.Service(upstream.Service); ok && service.Protocol == configuration.ProtocolModel {
			engines = append(engines, upstream)
		}
	}
	statuses := make([]Status, len(engines))
	var group errgroup.Group
	group.SetLimit(maxConcurrentInspections)
	for i, upstream := range engines {
		group.Go(func() error {
			statuses[i] = inspector.inspectEngine(ctx, upstream)
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}

func (inspector *Inspector) inspectEngine(ctx context.Context, upstream configuration.Upstream) Status {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	wanted, configured := wantedSpec(upstream)
	status := Status{Upstream: upstream.Name, Service: upstream.Service, Wanted: wanted}
	state, err := inspector.config.Engine.State(ctx, upstream.Address)
	if err != nil {
		status.Reason = fault.MessageOf(err)
		return status
	}
	status = status.withState(state)
	if configured && state.ModelSpec != wanted && !state.Loading {
		status.Reason = differenceReason(upstream)
	}
	return status
}

func differenceReason(upstream configuration.Upstream) string {
	if upstream.Draining {
		return "the upstream is draining and receives no orders"
	}
	return "no order has been sent to the engine yet, or the last one failed"
}
