package order

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Bounds of an inspection.
const (
	inspectConcurrency = 32
	inspectTimeout     = 2 * time.Second
)

// InspectorConfig configures an Inspector.
type InspectorConfig struct {
	// View returns the configuration.
	View   func() *configuration.View
	Engine Engine
}

// Inspector compares all engines with the configuration, whichever router
// orders them.
type Inspector struct {
	config InspectorConfig
}

// NewInspector returns an inspector.
func NewInspector(config InspectorConfig) *Inspector { return &Inspector{config: config} }

// Inspect asks every model engine for its state and returns the statuses by
// name of the upstream. An engine that does not answer has the reason in its
// status.
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
	group.SetLimit(inspectConcurrency)
	for i, upstream := range engines {
		group.Go(func() error {
			statuses[i] = inspector.one(ctx, upstream)
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}

func (inspector *Inspector) one(ctx context.Context, upstream configuration.Upstream) Status {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	wanted, ordered := targetOf(upstream)
	status := Status{Upstream: upstream.Name, Service: upstream.Service, Wanted: wanted}
	state, err := inspector.config.Engine.State(ctx, upstream.Address)
	if err != nil {
		status.Reason = fault.MessageOf(err)
		return status
	}
	status = status.with(state)
	if ordered && state.Target != wanted && !state.Loading {
		status.Reason = differenceReason(upstream)
	}
	return status
}

func differenceReason(upstream configuration.Upstream) string {
	if upstream.Draining {
		return "the upstream is draining and is not ordered"
	}
	return "the engine has not been ordered yet, or not with success"
}
