package router

// Construction of a router from its settings.
//
// The components that read the platform are created first (configuration,
// membership, ledger), then those that serve callers, then the servers for peers
// and operators. The server for callers starts last, so that no request is
// accepted before every component is ready.

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
	"gitlab.com/wisterialb/wisterialb/pkg/congestion"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/entry"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/order"
	"gitlab.com/wisterialb/wisterialb/pkg/peer"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/quarantine"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

const (
	defaultDeadline  = 2 * time.Minute
	maxDeadline      = 30 * time.Minute
	defaultMaxTokens = 1024
	// maxTokensLimit is the largest max_tokens that a request may set.
	maxTokensLimit = 65536
	maxAnswerBytes = 4 << 20
	// maxHeldBytes limits what is held of one answer: its body in pieces, of which the
	// last is not full, or the text of collected events.
	maxHeldBytes = maxAnswerBytes + 1<<20
	maxRequests  = 8192
	// billTimeout limits how long the end of an answer is held back until its
	// bill is stored in the table or copied to a backup router.
	billTimeout = 3 * time.Second
	// quarantinePartition holds the routers' reports of crashes.
	quarantinePartition = "quarantine"
	// reportInterval is the interval between the router's status reports to the
	// fleet.
	reportInterval = 200 * time.Millisecond
	// requestsAtFullLoad is the number of running requests reported as load 1.
	requestsAtFullLoad = 1024
	// overloadThreshold is the load, as a fraction of requestsAtFullLoad, from which
	// a router reports itself as overloaded, so that callers are sent to other
	// routers.
	overloadThreshold = 0.95
)

// Config describes a Router.
type Config struct {
	Settings settings.Settings
	Platform platform.Platform
	// Logger receives the log; nil disables logging.
	Logger log.Logger
	// Registry receives the metrics and is served at /metrics; nil creates a new
	// one.
	Registry *prometheus.Registry
	// Dial opens connections to upstreams and other routers; nil selects the
	// default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// builder holds a router under construction and the components that are used only
// during construction.
type builder struct {
	*Router
	routerConfig Config
	settings     settings.Settings
	table        platform.Table
	peerClient   *peer.Client
	congestion   *congestion.Monitor
	ledger       *budget.Ledger
	answers      *memory.Limiter
	publisher    *configuration.Publisher
}

// New creates and starts a router. The error is a fault (pkg/fault).
func New(config Config) (*Router, error) {
	if config.Registry == nil {
		config.Registry = prometheus.NewRegistry()
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	builder := &builder{
		Router:       &Router{handlerConfig: newHandlerConfig(config.Settings), incarnation: ulid.Make().String()},
		routerConfig: config,
		settings:     config.Settings,
		table:        config.Platform.Table(),
		congestion:   congestion.NewMonitor(congestion.Config{}),
	}
	builder.logger = log.With(filterLevel(config.Logger, config.Settings.LogLevel), "ts", log.DefaultTimestampUTC, "incarnation", builder.incarnation)
	setNbioLogger(builder.logger)
	builder.signer = resumeSigner{key: []byte(config.Settings.PeerKey)}
	builder.observeRestores()
	builder.controlPlane()
	builder.dataPlane()
	builder.reportTask = startPeriodicTask(reportInterval, builder.reportStatus)
	if err := builder.startServers(); err != nil {
		_ = builder.closeComponents(context.Background())
		return nil, err
	}
	builder.info("event", "router_started", "caller_address", builder.handlerConfig.CallerAddress, "zone", builder.handlerConfig.Zone,
		"heap_bytes", memory.NewPlan(config.Settings.Bounds.MemoryBytes).Runtime, "answer_bytes", builder.answers.Max())
	return builder.Router, nil
}

// observeRestores logs and counts when the platform has come back from an older copy.
func (builder *builder) observeRestores() {
	observer, ok := builder.routerConfig.Platform.(platform.RestoreObserver)
	if !ok {
		return
	}
	restores := newRestoreCounter(builder.routerConfig.Registry)
	observer.OnRestore(func(previous, era uint64) {
		restores.Add(float64(era - previous))
		builder.warn("event", "platform_restored", "old_era", previous, "era", era)
	})
}

func newHandlerConfig(settings settings.Settings) handlerConfig {
	return handlerConfig{
		Zone:             settings.Zone,
		CallerAddress:    settings.CallerAddress,
		MaxBodyBytes:     settings.Bounds.MaxBodyBytes,
		MaxAnswerBytes:   maxAnswerBytes,
		DefaultMaxTokens: defaultMaxTokens,
		MaxTokensLimit:   maxTokensLimit,
		DefaultDeadline:  defaultDeadline,
		MaxDeadline:      maxDeadline,
		BillTimeout:      billTimeout,
		DrainTimeout:     settings.DrainTimeout,
	}
}

func filterLevel(logger log.Logger, levelName string) log.Logger {
	return level.NewFilter(logger, level.Allow(level.ParseDefault(levelName, level.InfoValue())))
}

// controlPlane creates the components that track the fleet, its configuration
// and its budgets.
func (builder *builder) controlPlane() {
	builder.peerClient = peer.NewClient(peer.ClientConfig{
		Key:         []byte(builder.settings.PeerKey),
		Members:     func() []fleet.Member { return builder.membership.Members() },
		Incarnation: builder.incarnation,
		Dial:        builder.routerConfig.Dial,
	})
	builder.ledger = budget.NewLedger(budget.LedgerConfig{Table: builder.table})
	builder.publisher = configuration.NewPublisher(configuration.PublisherConfig{
		Table:       builder.table,
		ExtraWrites: builder.ledger.ChangeWrites,
	})
	builder.follower = configuration.NewFollower(configuration.FollowerConfig{
		Table:        builder.table,
		PeerReader:   builder.peerClient,
		Logger:       builder.logger,
		PollInterval: builder.settings.PollInterval,
	})
	builder.membership = fleet.NewMembership(fleet.MembershipConfig{
		Table:         builder.table,
		VMs:           builder.routerConfig.Platform.VMs(),
		Prober:        builder.peerClient,
		Self:          builder.selfMember(),
		Logger:        builder.logger,
		LeaseDuration: builder.settings.LeaseDuration,
		OnDead:        builder.ledger.CloseIncarnation,
		OnRevision:    builder.follower.Hint,
	})
	builder.modelEngines = order.NewHTTPEngine()
	builder.orderer = order.NewOrderer(order.Config{
		Table:       builder.table,
		Incarnation: builder.incarnation,
		View:        builder.follower.View,
		Members:     builder.membership.Members,
		Engine:      builder.modelEngines,
		Logger:      builder.logger,
	})
}

func (builder *builder) selfMember() fleet.Member {
	return fleet.Member{
		Incarnation:     builder.incarnation,
		CallerAddress:   builder.settings.CallerAddress,
		PeerAddress:     builder.settings.PeerAddress,
		OperatorAddress: builder.settings.OperatorAddress,
		Zone:            builder.settings.Zone,
		State:           fleet.Live,
	}
}

// dataPlane creates the components that serve callers.
func (builder *builder) dataPlane() {
	builder.escrow = budget.NewEscrow(budget.EscrowConfig{
		Table:          builder.table,
		Incarnation:    builder.incarnation,
		Logger:         builder.logger,
		Registerer:     builder.routerConfig.Registry,
		Horizon:        builder.settings.Horizon,
		SettleInterval: builder.settings.SettleInterval,
		LoanClient:     builder.peerClient,
		BackupStore:    builder.peerClient,
	})
	builder.claims = claim.NewRegistry(claim.RegistryConfig{
		Table:       builder.table,
		Incarnation: builder.incarnation,
		Logger:      builder.logger,
		Registerer:  builder.routerConfig.Registry,
		Retention:   builder.settings.ClaimRetention,
		IsLive:      builder.isLive,
	})
	builder.quarantine = quarantine.NewExchange(quarantine.ExchangeConfig{
		Router:    builder.incarnation,
		Partition: quarantinePartition,
		Logger:    builder.logger,
		// The table has no clock. Small differences between the clocks of VMs do no harm.
		Now:          func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Commit:       builder.table.Transact,
		Query:        builder.table.Query,
		PollInterval: builder.settings.PollInterval,
	})
	builder.answers = memory.NewLimiter(memory.LimiterConfig{
		Max: memory.NewPlan(builder.settings.Bounds.MemoryBytes).Answers, Largest: maxHeldBytes, OnGivenUp: builder.recordGivenUp,
	})
	builder.dispatcher = dispatch.NewDispatcher(dispatch.Config{
		Upstreams:   func(service string) []configuration.Upstream { return builder.follower.View().Upstreams(service) },
		IsLeaving:   builder.membership.IsVMLeaving,
		Quarantine:  builder.quarantine.Register(),
		Answers:     builder.answers,
		Policy:      builder.settings.Policy,
		Logger:      builder.logger,
		Registerer:  builder.routerConfig.Registry,
		QueueLength: builder.settings.Queue.MaxLength,
		MaxWait:     builder.settings.Queue.MaxWait,
		Exchange: exchange.ClientConfig{
			FirstPartTimeout: builder.settings.Stall.FirstTokenTimeout,
			GapTimeout:       builder.settings.Stall.GapTimeout,
			Dial:             builder.routerConfig.Dial,
			OnConnect: func(address string, duration time.Duration, err error) {
				builder.congestion.Record(address, duration, err, time.Now())
			},
		},
	})
	builder.tracker = entry.NewTracker(entry.TrackerConfig{
		Width:     builder.settings.Entry.Width,
		BusyWidth: builder.membership.BusyWidth,
	})
	builder.ranker = entry.NewRanker(entry.RankerConfig{
		Members:  builder.membership.Members,
		Lifetime: builder.settings.Entry.ResponseLifetime,
		Width:    builder.tracker.Width,
	})
	builder.metrics = newMetrics(builder.routerConfig.Registry, func() float64 { return float64(builder.runningRequests()) }, builder.answers.Statistics)
}

// recordGivenUp logs an upstream whose answers were given up.
func (builder *builder) recordGivenUp(givenUp memory.GivenUp) {
	builder.warn("event", "answers_given_up", "upstream", givenUp.Owner, "service", givenUp.Kind, "answers", givenUp.Answers, "bytes", givenUp.Bytes)
}

// isLive reports whether an incarnation may still be running. An incarnation
// that is not in the member list counts as live, as it may have just started.
func (builder *builder) isLive(incarnation string) bool {
	for _, member := range builder.membership.Members() {
		if member.Incarnation == incarnation {
			return member.State != fleet.Dead
		}
	}
	return true
}

// startServers starts the servers for peers, operators and callers, in this
// order.
func (builder *builder) startServers() error {
	if err := builder.startControlServer("peers", builder.settings.PeerAddress, builder.peerHandler()); err != nil {
		return err
	}
	if err := builder.startControlServer("operators", builder.settings.OperatorAddress, builder.operatorHandler()); err != nil {
		return err
	}
	plan := memory.NewPlan(builder.settings.Bounds.MemoryBytes)
	server, err := NewServer(ServerConfig{
		Address:         builder.settings.CallerAddress,
		Handler:         builder.Router,
		MaxConnections:  builder.settings.Bounds.MaxConnections,
		MaxBodyBytes:    builder.settings.Bounds.MaxBodyBytes,
		MaxHeaderBytes:  int(builder.settings.Bounds.MaxHeaderBytes),
		MaxUnsentBytes:  plan.Unsent,
		MaxRequestBytes: plan.Requests,
		MaxRequests:     maxRequests,
		MaxDeadline:     maxDeadline,
		Overloaded:      func() bool { return builder.congestion.Congested(time.Now()) },
		OnAnswered:      builder.recordAnswered,
		OnUnanswered:    builder.recordUnanswered,
		OnEnded:         builder.recordEnded,
		OnEvicted:       builder.recordEvicted,
		Refuse:          func(writer http.ResponseWriter, _ *http.Request, err error) { builder.refuse(writer, err) },
	})
	builder.server.Store(server)
	return err
}

func (builder *builder) startControlServer(name, address string, handler http.Handler) error {
	server, err := newControlServer(name, address, handler)
	if err != nil {
		return err
	}
	builder.Router.controlPlane = append(builder.Router.controlPlane, server)
	return nil
}

func (builder *builder) peerHandler() http.Handler {
	return peer.NewServer(peer.ServerConfig{
		Key:         []byte(builder.settings.PeerKey),
		Lender:      builder.escrow,
		BackupStore: builder.escrow,
		Follower:    builder.follower,
		Membership:  builder.membership,
	})
}

func (builder *builder) operatorHandler() http.Handler {
	tokens := make([]operator.Token, 0, len(builder.settings.Operators))
	for _, operatorSettings := range builder.settings.Operators {
		tokens = append(tokens, operator.Token{Name: operatorSettings.Name, Hash: operatorSettings.TokenHash})
	}
	mux := http.NewServeMux()
	mux.Handle("/", operator.NewServer(operator.ServerConfig{
		Tokens:    tokens,
		Publisher: builder.publisher,
		Ledger:    builder.ledger,
		Follower:  builder.follower,
		Members:   builder.membership.Members,
		Adopter:   builder.peerClient,
		UpstreamStates: upstreamStates{inspector: order.NewInspector(order.InspectorConfig{
			View:   builder.follower.View,
			Engine: builder.modelEngines,
		})},
		PropagationTimeout: builder.settings.PublishTimeout,
		Incarnation:        builder.incarnation,
		Logger:             builder.logger,
		Registerer:         builder.routerConfig.Registry,
	}))
	mux.Handle("/metrics", promhttp.HandlerFor(builder.routerConfig.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		respondJSON(writer, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if err := builder.checkReady(); err != nil {
			respondError(writer, err)
			return
		}
		respondJSON(writer, http.StatusOK, struct{}{})
	})
	return mux
}

// reportStatus reports to the fleet which profiles are busy on this router, its
// load and the configuration revision that it uses.
func (router *Router) reportStatus(context.Context) {
	router.membership.ReportBusyProfiles(router.tracker.Busy())
	load := float64(router.runningRequests()) / requestsAtFullLoad
	router.membership.Report(fleet.Report{
		Revision:   router.follower.Revision(),
		Load:       load,
		Overloaded: load >= overloadThreshold,
	})
}
