// Package router takes callers' requests through the fleet: admission, budget,
// claim, dispatch, bill and answer. It joins the parts of one router process.
//
// The flow: New builds the parts and starts them (assemble.go); Server reads
// requests (server.go); ServeHTTP finds the handler (handlers.go), which admits
// the request (admit.go) and runs it (pipeline.go) into a sink (sink.go);
// Shutdown leaves the fleet without cutting off a request.
package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/entry"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/order"
)

// limits are the bounds that the handlers keep.
type limits struct {
	Zone              string
	CallerAddress     string
	MaxBodyBytes      int64
	MaxAnswerBytes    int64
	DefaultMaxTokens  int64
	GreatestMaxTokens int64
	DefaultDeadline   time.Duration
	LongestDeadline   time.Duration
	BillWait          time.Duration
	DrainTimeout      time.Duration
}

// Router is one router process's part of the fleet.
type Router struct {
	config      limits
	incarnation string
	logger      log.Logger
	metrics     *metrics
	signer      resumeSigner
	escrow      *budget.Escrow
	claims      *claim.Registry
	follower    *configuration.Follower
	membership  *fleet.Membership
	orderer     *order.Orderer
	engines     *order.HTTPEngine
	ranker      *entry.Ranker
	tracker     *entry.Tracker
	dispatcher  *dispatch.UpstreamDispatcher
	server      atomic.Pointer[Server]
	control     []*controlServer
	background  *background
	draining    atomic.Bool
	ended       atomic.Bool
}

// Incarnation returns the name of this run of the router.
func (router *Router) Incarnation() string {
	return router.incarnation
}

// CallerAddress returns the address where callers connect.
func (router *Router) CallerAddress() string {
	return router.config.CallerAddress
}

// Ready reports whether the router has a confirmed configuration.
func (router *Router) Ready() bool {
	return router.checkServing() == nil
}

// LiveMembers returns how many routers this one takes for live, itself included.
func (router *Router) LiveMembers() int {
	live := 0
	for _, member := range router.membership.Members() {
		if member.State == fleet.Live {
			live++
		}
	}
	return live
}

func (router *Router) running() int {
	server := router.server.Load()
	if server == nil {
		return 0
	}
	return server.Running()
}

// Shutdown leaves the entry list, refuses new requests, waits for the running
// ones up to the drain timeout, settles and returns all grants, and ends the
// incarnation. It returns how many requests it had to cut off. A second call
// does nothing.
func (router *Router) Shutdown(ctx context.Context) (int, error) {
	if !router.ended.CompareAndSwap(false, true) {
		return 0, nil
	}
	router.draining.Store(true)
	router.info("event", "shutdown_started", "running", router.running())
	if err := router.membership.Leave(ctx); err != nil {
		router.warn("event", "leave_failed", "err", err)
	}
	bounded, cancel := context.WithTimeout(ctx, router.config.DrainTimeout)
	defer cancel()
	cut := router.server.Load().Shutdown(bounded)
	err := router.closeParts(ctx)
	router.info("event", "shutdown_ended", "requests_cut_off", cut, "err", err)
	return cut, err
}

// Abort ends the router as a crash does: callers are cut off, and nothing is
// settled, returned or handed over on purpose. It is for tests of failures, which
// also have to cut the router's outgoing connections.
func (router *Router) Abort() {
	if !router.ended.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	router.server.Load().Abort()
	_ = router.closeParts(ctx)
}

func (router *Router) closeParts(ctx context.Context) error {
	if err := router.dispatcher.Close(ctx); err != nil {
		router.warn("event", "dispatcher_close_failed", "err", err)
	}
	if err := router.claims.Close(ctx); err != nil {
		router.warn("event", "claims_close_failed", "err", err)
	}
	err := router.escrow.Close(ctx)
	if err == nil {
		err = router.membership.Deregister(ctx)
	}
	router.background.stop()
	router.orderer.Close()
	router.engines.Close()
	router.follower.Close()
	router.membership.Close()
	for _, control := range router.control {
		control.close(ctx)
	}
	return err
}

func (router *Router) debug(keyvals ...any) {
	_ = level.Debug(router.logger).Log(keyvals...)
}

func (router *Router) info(keyvals ...any) {
	_ = level.Info(router.logger).Log(keyvals...)
}

func (router *Router) warn(keyvals ...any) {
	_ = level.Warn(router.logger).Log(keyvals...)
}
