// Package router implements the router process. It handles callers' requests:
// admission, budget reservation, claim, dispatch, settlement and answer.
//
// New creates and starts the components (assemble.go). Server reads requests
// (server.go). Router.ServeHTTP selects the handler (handlers.go), which admits
// the request (admit.go) and runs it (pipeline.go); a sink (sink.go) writes the
// answer. Shutdown leaves the fleet after the running requests have ended.
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
	"gitlab.com/wisterialb/wisterialb/pkg/quarantine"
)

// handlerConfig holds the settings and limits that the handlers use.
type handlerConfig struct {
	Zone             string
	CallerAddress    string
	MaxBodyBytes     int64
	MaxAnswerBytes   int64
	DefaultMaxTokens int64
	MaxTokensLimit   int64
	DefaultDeadline  time.Duration
	MaxDeadline      time.Duration
	BillTimeout      time.Duration
	DrainTimeout     time.Duration
}

// Router is a member of the router fleet. New creates it.
type Router struct {
	handlerConfig handlerConfig
	incarnation   string
	logger        log.Logger
	metrics       *metrics
	signer        resumeSigner
	escrow        *budget.Escrow
	claims        *claim.Registry
	follower      *configuration.Follower
	membership    *fleet.Membership
	orderer       *order.Orderer
	modelEngines  *order.HTTPEngine
	ranker        *entry.Ranker
	tracker       *entry.Tracker
	quarantine    *quarantine.Exchange
	dispatcher    *dispatch.UpstreamDispatcher
	server        atomic.Pointer[Server]
	controlPlane  []*controlServer
	reportTask    *periodicTask
	draining      atomic.Bool
	stopStarted   atomic.Bool
}

// Incarnation returns the ID of this run of the router process.
func (router *Router) Incarnation() string {
	return router.incarnation
}

// CallerAddress returns the address that callers connect to.
func (router *Router) CallerAddress() string {
	return router.handlerConfig.CallerAddress
}

// Ready reports whether the router accepts requests: it is registered in the
// fleet, has a confirmed configuration and is not draining.
func (router *Router) Ready() bool {
	return router.checkReady() == nil
}

// LiveMemberCount returns the number of routers, including this one, that this router
// considers live.
func (router *Router) LiveMemberCount() int {
	live := 0
	for _, member := range router.membership.Members() {
		if member.State == fleet.Live {
			live++
		}
	}
	return live
}

func (router *Router) runningRequests() int {
	server := router.server.Load()
	if server == nil {
		return 0
	}
	return server.Running()
}

// Shutdown removes the router from the entry list, refuses new requests, waits up
// to the drain timeout for running requests, settles and returns all grants, and
// deregisters the incarnation. It returns the number of requests that were still
// running at the drain timeout and were cancelled. Calls after the first call of
// Shutdown or Abort do nothing.
func (router *Router) Shutdown(ctx context.Context) (int, error) {
	if !router.stopStarted.CompareAndSwap(false, true) {
		return 0, nil
	}
	router.draining.Store(true)
	router.info("event", "shutdown_started", "running", router.runningRequests())
	if err := router.membership.Leave(ctx); err != nil {
		router.warn("event", "leave_failed", "err", err)
	}
	drainCtx, cancel := context.WithTimeout(ctx, router.handlerConfig.DrainTimeout)
	defer cancel()
	cancelled := router.server.Load().Shutdown(drainCtx)
	err := router.closeComponents(ctx)
	router.info("event", "shutdown_ended", "requests_cut_off", cancelled, "err", err)
	return cancelled, err
}

// Abort stops the router like a crash: it closes callers' connections, and does not
// settle charges or return or transfer grants. It is meant for failure tests, which
// must also close the router's outgoing connections.
func (router *Router) Abort() {
	if !router.stopStarted.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	router.server.Load().Abort()
	_ = router.closeComponents(ctx)
}

func (router *Router) closeComponents(ctx context.Context) error {
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
	router.reportTask.stop()
	router.quarantine.Close()
	router.orderer.Close()
	router.modelEngines.Close()
	router.follower.Close()
	router.membership.Close()
	for _, server := range router.controlPlane {
		server.close(ctx)
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
