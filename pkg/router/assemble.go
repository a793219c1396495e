package router

// Building a router from its settings.
//
// The flow: the parts that read the platform are made first (configuration,
// membership, budget, claims), then those that serve callers, then the servers
// for peers and operators, and last the server for callers, so that nothing is
// accepted before all of it can be answered.

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/entry"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/order"
	"gitlab.com/wisterialb/wisterialb/pkg/peer"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

const (
	defaultDeadline   = 2 * time.Minute
	longestDeadline   = 30 * time.Minute
	defaultMaxTokens  = 1024
	greatestMaxTokens = 65536
	maxAnswerBytes    = 4 << 20
	// maxWriteBytes covers the longest answer and its head: nbio closes a
	// connection when one write is longer.
	maxWriteBytes = maxAnswerBytes + 1<<20
	maxRequests   = 8192
	// billWait bounds how long an answer's end waits for its bill.
	billWait = 3 * time.Second
	// reportInterval is how often the router tells the fleet about itself.
	reportInterval = 200 * time.Millisecond
	// fullLoad is how many running requests count as a load of 1.
	fullLoad = 1024
	// overloadedLoad is the load from which a router asks callers to go elsewhere.
	overloadedLoad = 0.95
)

// Config describes a Router.
type Config struct {
	Settings settings.Settings
	Platform platform.Platform
	Logger   log.Logger
	// Registry receives the metrics and is served at /metrics.
	Registry *prometheus.Registry
	// Dial opens connections to upstreams and other routers; nil means the
	// usual way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// assembly is a router being built.
type assembly struct {
	*Router
	given     Config
	settings  settings.Settings
	table     platform.Table
	peers     *peer.Client
	ledger    *budget.Ledger
	publisher *configuration.Publisher
}

// New builds and starts a router. Its errors are faults.
func New(config Config) (*Router, error) {
	if config.Registry == nil {
		config.Registry = prometheus.NewRegistry()
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	build := &assembly{
		Router:   &Router{config: limitsOf(config.Settings), incarnation: ulid.Make().String()},
		given:    config,
		settings: config.Settings,
		table:    config.Platform.Table(),
	}
	build.logger = log.With(levelled(config.Logger, config.Settings.LogLevel), "ts", log.DefaultTimestampUTC, "incarnation", build.incarnation)
	logEngines(build.logger)
	build.signer = resumeSigner{key: []byte(config.Settings.PeerKey)}
	build.control()
	build.traffic()
	build.background = newBackground(reportInterval, build.report)
	if err := build.serve(); err != nil {
		_ = build.closeParts(context.Background())
		return nil, err
	}
	build.info("event", "router_started", "caller_address", build.config.CallerAddress, "zone", build.config.Zone)
	return build.Router, nil
}

func limitsOf(settings settings.Settings) limits {
	return limits{
		Zone:              settings.Zone,
		CallerAddress:     settings.CallerAddress,
		MaxBodyBytes:      settings.Bounds.MaxBodyBytes,
		MaxAnswerBytes:    maxAnswerBytes,
		DefaultMaxTokens:  defaultMaxTokens,
		GreatestMaxTokens: greatestMaxTokens,
		DefaultDeadline:   defaultDeadline,
		LongestDeadline:   longestDeadline,
		BillWait:          billWait,
		DrainTimeout:      settings.DrainTimeout,
	}
}

func levelled(logger log.Logger, name string) log.Logger {
	return level.NewFilter(logger, level.Allow(level.ParseDefault(name, level.InfoValue())))
}

// control makes the parts that know the fleet and its configuration.
func (build *assembly) control() {
	build.peers = peer.NewClient(peer.ClientConfig{
		Key:     []byte(build.settings.PeerKey),
		Members: func() []fleet.Member { return build.membership.Members() },
		Self:    build.incarnation,
		Dial:    build.given.Dial,
	})
	build.ledger = budget.NewLedger(budget.LedgerConfig{Table: build.table})
	build.publisher = configuration.NewPublisher(configuration.PublisherConfig{
		Table:       build.table,
		ExtraWrites: build.ledger.ChangeWrites,
	})
	build.follower = configuration.NewFollower(configuration.FollowerConfig{
		Table:        build.table,
		Relay:        build.peers,
		Logger:       build.logger,
		PollInterval: build.settings.PollInterval,
	})
	build.membership = fleet.NewMembership(fleet.MembershipConfig{
		Table:         build.table,
		VMs:           build.given.Platform.VMs(),
		Prober:        build.peers,
		Self:          build.self(),
		Logger:        build.logger,
		LeaseDuration: build.settings.LeaseDuration,
		OnDead:        build.ledger.CloseIncarnation,
		OnRevision:    build.follower.Hint,
	})
	build.engines = order.NewHTTPEngine()
	build.orderer = order.NewOrderer(order.Config{
		Table:       build.table,
		Incarnation: build.incarnation,
		View:        build.follower.View,
		Members:     build.membership.Members,
		Engine:      build.engines,
		Logger:      build.logger,
	})
}

func (build *assembly) self() fleet.Member {
	return fleet.Member{
		Incarnation:     build.incarnation,
		CallerAddress:   build.settings.CallerAddress,
		PeerAddress:     build.settings.PeerAddress,
		OperatorAddress: build.settings.OperatorAddress,
		Zone:            build.settings.Zone,
		State:           fleet.Live,
	}
}

// traffic makes the parts that serve callers.
func (build *assembly) traffic() {
	build.escrow = budget.NewEscrow(budget.EscrowConfig{
		Table:          build.table,
		Incarnation:    build.incarnation,
		Logger:         build.logger,
		Registerer:     build.given.Registry,
		Horizon:        build.settings.Horizon,
		SettleInterval: build.settings.SettleInterval,
		Lender:         build.peers,
		Keeper:         build.peers,
	})
	build.claims = claim.NewRegistry(claim.RegistryConfig{
		Table:       build.table,
		Incarnation: build.incarnation,
		Logger:      build.logger,
		Registerer:  build.given.Registry,
		Retention:   build.settings.ClaimRetention,
		IsLive:      build.isLive,
	})
	build.dispatcher = dispatch.NewDispatcher(dispatch.Config{
		Upstreams:   func(service string) []configuration.Upstream { return build.follower.View().Upstreams(service) },
		Leaving:     build.membership.IsVMLeaving,
		Policy:      build.settings.Policy,
		Logger:      build.logger,
		Registerer:  build.given.Registry,
		QueueLength: build.settings.Queue.MaxLength,
		MaxWait:     build.settings.Queue.MaxWait,
		Exchange: exchange.ClientConfig{
			FirstPartTimeout: build.settings.Stall.FirstTokenTimeout,
			GapTimeout:       build.settings.Stall.GapTimeout,
			Dial:             build.given.Dial,
		},
	})
	build.tracker = entry.NewTracker(entry.TrackerConfig{
		Width:     build.settings.Entry.Width,
		BusyWidth: build.membership.BusyWidth,
	})
	build.ranker = entry.NewRanker(entry.RankerConfig{
		Members:  build.membership.Members,
		Lifetime: build.settings.Entry.ResponseLifetime,
		Width:    build.tracker.Width,
	})
	build.metrics = newMetrics(build.given.Registry, func() float64 { return float64(build.running()) })
}

// isLive reports whether an incarnation may still be running. One that this
// router has not met may have just started.
func (build *assembly) isLive(incarnation string) bool {
	for _, member := range build.membership.Members() {
		if member.Incarnation == incarnation {
			return member.State != fleet.Dead
		}
	}
	return true
}

// serve starts the servers.
func (build *assembly) serve() error {
	if err := build.serveControl("peers", build.settings.PeerAddress, build.peerHandler()); err != nil {
		return err
	}
	if err := build.serveControl("operators", build.settings.OperatorAddress, build.operatorHandler()); err != nil {
		return err
	}
	server, err := NewServer(ServerConfig{
		Address:        build.settings.CallerAddress,
		Handler:        build.Router,
		MaxConnections: build.settings.Bounds.MaxConnections,
		MaxBodyBytes:   build.settings.Bounds.MaxBodyBytes,
		MaxHeaderBytes: int(build.settings.Bounds.MaxHeaderBytes),
		MaxWriteBytes:  maxWriteBytes,
		MaxRequests:    maxRequests,
		MaxDeadline:    longestDeadline,
	})
	build.server.Store(server)
	return err
}

func (build *assembly) serveControl(name, address string, handler http.Handler) error {
	server, err := newControlServer(name, address, handler)
	if err != nil {
		return err
	}
	build.Router.control = append(build.Router.control, server)
	return nil
}

func (build *assembly) peerHandler() http.Handler {
	return peer.NewServer(peer.ServerConfig{
		Key:        []byte(build.settings.PeerKey),
		Lender:     build.escrow,
		Keeper:     build.escrow,
		Follower:   build.follower,
		Membership: build.membership,
	})
}

func (build *assembly) operatorHandler() http.Handler {
	tokens := make([]operator.Token, 0, len(build.settings.Operators))
	for _, one := range build.settings.Operators {
		tokens = append(tokens, operator.Token{Name: one.Name, Hash: one.TokenHash})
	}
	mux := http.NewServeMux()
	mux.Handle("/", operator.NewServer(operator.ServerConfig{
		Tokens:    tokens,
		Publisher: build.publisher,
		Ledger:    build.ledger,
		Follower:  build.follower,
		Members:   build.membership.Members,
		Adopter:   build.peers,
		UpstreamStates: upstreamStates{inspector: order.NewInspector(order.InspectorConfig{
			View:   build.follower.View,
			Engine: build.engines,
		})},
		PropagationTimeout: build.settings.PublishTimeout,
		Incarnation:        build.incarnation,
		Logger:             build.logger,
		Registerer:         build.given.Registry,
	}))
	mux.Handle("/metrics", promhttp.HandlerFor(build.given.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		respondJSON(writer, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if err := build.checkServing(); err != nil {
			respondError(writer, err)
			return
		}
		respondJSON(writer, http.StatusOK, struct{}{})
	})
	return mux
}

// report tells the fleet what this router has adopted and how busy it is.
func (router *Router) report(context.Context) {
	router.membership.ReportBusyProfiles(router.tracker.Busy())
	load := float64(router.running()) / fullLoad
	router.membership.Report(fleet.Report{
		Revision:   router.follower.Revision(),
		Load:       load,
		Overloaded: load >= overloadedLoad,
	})
}
