package order

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// task is one reconciliation of one engine.
type task struct {
	orderer  *Orderer
	upstream configuration.Upstream
	// revision is the revision of the upstream's configuration document.
	revision uint64
}

// run sends an order if the engine differs from the configuration, and returns
// the resulting status.
func (task *task) run(ctx context.Context) Status {
	wanted, _ := wantedSpec(task.upstream)
	status := Status{Upstream: task.upstream.Name, Service: task.upstream.Service, Wanted: wanted}
	state, err := task.readState(ctx)
	if err != nil {
		return task.withFailure(status, err)
	}
	status = status.withState(state)
	if state.ModelSpec == wanted {
		task.updateSlot(ctx, state)
		return status
	}
	if err := task.orderEngine(ctx, state, wanted); err != nil {
		return task.withFailure(status, err)
	}
	if state, err = task.readState(ctx); err != nil {
		return task.withFailure(status, err)
	}
	status = status.withState(state)
	if state.ModelSpec != wanted {
		status.Reason = "the engine accepted the order but reports a different model or role; the order will be sent again"
	}
	return status
}

// withState returns the status with the reported state of the engine.
func (status Status) withState(state State) Status {
	status.Actual = state.ModelSpec
	status.Loading = state.Loading
	if state.Loading {
		status.Reason = "the engine is loading"
	}
	return status
}

// withFailure returns the status with the reason why the engine could not be
// reconciled, and logs the reason.
func (task *task) withFailure(status Status, err error) Status {
	status.Reason = fault.MessageOf(err)
	_ = level.Info(task.orderer.config.Logger).Log("msg", "engine could not be reconciled with the configuration", "upstream", task.upstream.Name, "reason", status.Reason)
	return status
}

func (task *task) readState(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, task.orderer.config.OrderTimeout)
	defer cancel()
	return task.orderer.config.Engine.State(ctx, task.upstream.Address)
}

// updateSlot renews the load slot while the engine loads and releases it
// afterwards.
func (task *task) updateSlot(ctx context.Context, state State) {
	if state.Loading {
		task.orderer.slots.renewIfHeld(ctx, task.upstream.Name)
		return
	}
	task.orderer.slots.release(ctx, task.upstream.Name)
}

// orderEngine acquires a load slot if weights have to be loaded, acquires the
// lease, sends one order and releases the lease. If the engine does not respond,
// the order may still arrive. The lease of an engine that ignores fencing is then
// kept until it expires, so that no router sends another order before that.
func (task *task) orderEngine(ctx context.Context, state State, wanted ModelSpec) error {
	if !state.hasSameWeights(wanted) {
		if err := task.orderer.slots.acquire(ctx, task.upstream.Name); err != nil {
			return err
		}
	}
	lease, err := task.orderer.leases.acquire(ctx, task.upstream.Name, task.revision)
	if err != nil {
		return err
	}
	if err := task.checkRemainingTime(lease); err != nil {
		task.release(ctx, lease)
		return err
	}
	err = task.sendOrder(ctx, Order{Fence: lease.row.Fence, ModelSpec: wanted})
	responded := err == nil || fault.Is(err, fault.Conflict)
	if !responded && !task.upstream.ChecksFencing {
		return err
	}
	task.release(ctx, lease)
	return err
}

// release releases a lease. If that fails, the lease expires by itself.
func (task *task) release(ctx context.Context, lease heldLease) {
	if err := task.orderer.leases.release(ctx, lease); err != nil {
		_ = level.Warn(task.orderer.config.Logger).Log("msg", "could not release the lease; it will expire", "upstream", task.upstream.Name, "err", err)
	}
}

// checkRemainingTime returns fault.Conflict for an engine that ignores fencing if
// the order could arrive after the lease has expired.
func (task *task) checkRemainingTime(lease heldLease) error {
	if task.upstream.ChecksFencing {
		return nil
	}
	config := task.orderer.config
	margin := time.Duration(float64(config.LeaseDuration) * clockRateMargin)
	if lease.expiresAt.Sub(config.Clock()) > config.OrderTimeout+margin {
		return nil
	}
	return conflictError("too little of the lease is left for an order to "+task.upstream.Name, "the next reconciliation acquires the lease again")
}

func (task *task) sendOrder(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, task.orderer.config.OrderTimeout)
	defer cancel()
	_ = level.Info(task.orderer.config.Logger).Log("msg", "ordering", "upstream", task.upstream.Name,
		"fence", order.Fence, "model", order.Model, "adapter", order.Adapter, "version", order.Version, "role", order.Role)
	return task.orderer.config.Engine.Order(ctx, task.upstream.Address, order)
}
