package order

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// task is one look at one engine.
type task struct {
	orderer  *Orderer
	upstream configuration.Upstream
	// revision is that of the upstream's document.
	revision uint64
}

// run brings the engine to what is wanted and returns how it stands.
func (task *task) run(ctx context.Context) Status {
	wanted, _ := targetOf(task.upstream)
	status := Status{Upstream: task.upstream.Name, Service: task.upstream.Service, Wanted: wanted}
	state, err := task.state(ctx)
	if err != nil {
		return task.differs(status, err)
	}
	status = status.with(state)
	if state.Target == wanted {
		task.settle(ctx, state)
		return status
	}
	if err := task.order(ctx, state, wanted); err != nil {
		return task.differs(status, err)
	}
	if state, err = task.state(ctx); err != nil {
		return task.differs(status, err)
	}
	status = status.with(state)
	if state.Target != wanted {
		status.Reason = "the engine took the order and reports something else; it is ordered again"
	}
	return status
}

// with returns the status with what the engine reports.
func (status Status) with(state State) Status {
	status.Actual = state.Target
	status.Loading = state.Loading
	if state.Loading {
		status.Reason = "the engine is loading"
	}
	return status
}

// differs notes why the engine is not as wanted.
func (task *task) differs(status Status, err error) Status {
	status.Reason = fault.MessageOf(err)
	_ = level.Info(task.orderer.config.Logger).Log("msg", "upstream is not as wanted", "upstream", task.upstream.Name, "reason", status.Reason)
	return status
}

func (task *task) state(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, task.orderer.config.OrderTimeout)
	defer cancel()
	return task.orderer.config.Engine.State(ctx, task.upstream.Address)
}

// settle keeps the load slot while the engine loads and frees it afterwards.
func (task *task) settle(ctx context.Context, state State) {
	if state.Loading {
		task.orderer.slots.keep(ctx, task.upstream.Name)
		return
	}
	task.orderer.slots.free(ctx, task.upstream.Name)
}

// order sends one order under the lease. The lease is given back once the
// engine answered. Without an answer the order may still arrive, so an engine
// that ignores fencing is left alone until the lease has lapsed.
func (task *task) order(ctx context.Context, state State, wanted Target) error {
	if !state.sameWeights(wanted) {
		if err := task.orderer.slots.take(ctx, task.upstream.Name); err != nil {
			return err
		}
	}
	held, err := task.orderer.leases.acquire(ctx, task.upstream.Name, task.revision)
	if err != nil {
		return err
	}
	if err := task.checkTime(held); err != nil {
		task.release(ctx, held)
		return err
	}
	err = task.send(ctx, Order{Fence: held.row.Fence, Target: wanted})
	answered := err == nil || fault.Is(err, fault.Conflict)
	if !answered && !task.upstream.ChecksFencing {
		return err
	}
	task.release(ctx, held)
	return err
}

// release gives the lease back. One that can't be given back lapses.
func (task *task) release(ctx context.Context, held grip) {
	if err := task.orderer.leases.release(ctx, held); err != nil {
		_ = level.Warn(task.orderer.config.Logger).Log("msg", "lease could not be given back; it lapses", "upstream", task.upstream.Name, "err", err)
	}
}

// checkTime refuses to order an engine that ignores fencing when the order
// could arrive after the lease has lapsed.
func (task *task) checkTime(held grip) error {
	if task.upstream.ChecksFencing {
		return nil
	}
	config := task.orderer.config
	margin := time.Duration(float64(config.LeaseDuration) * rateMargin)
	if held.until.Sub(config.Clock()) > config.OrderTimeout+margin {
		return nil
	}
	return conflict("too little of the lease is left for an order to "+task.upstream.Name, "it is taken anew after it lapsed")
}

func (task *task) send(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, task.orderer.config.OrderTimeout)
	defer cancel()
	_ = level.Info(task.orderer.config.Logger).Log("msg", "ordering", "upstream", task.upstream.Name,
		"fence", order.Fence, "model", order.Model, "adapter", order.Adapter, "version", order.Version, "role", order.Role)
	return task.orderer.config.Engine.Order(ctx, task.upstream.Address, order)
}
