package order

// Reconciliation: once per interval the orderer reads the state of the engines
// that rendezvous hashing assigns to its router. If an engine differs from the
// configuration, it acquires a load slot if weights have to be loaded, acquires
// the lease of the upstream, sends the order, and reads the state again to
// confirm it. A lease is held only for one order, so engines that match the
// configuration cost no table writes.

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/entry"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Defaults and limits of an Orderer.
const (
	defaultInterval      = 5 * time.Second
	defaultLeaseDuration = 30 * time.Second
	defaultOrderTimeout  = 5 * time.Second
	defaultLoadSlots     = 2
	// clockRateMargin is the fraction of a lease that stays unused, since the
	// clocks of two routers may run at different rates.
	clockRateMargin = 0.05
	// maxConcurrentEngines is how many engines are reconciled at the same time.
	maxConcurrentEngines = 8
)

// The table partitions of leases and load slots.
const (
	partitionLease = "order/lease"
	partitionSlot  = "order/slot"
)

// Config configures an Orderer.
type Config struct {
	Table platform.Table
	// Incarnation identifies this run of the router process.
	Incarnation string
	// View returns the current configuration.
	View func() *configuration.View
	// Members returns the routers of the fleet, including this one.
	Members func() []fleet.Member
	Engine  Engine
	Logger  log.Logger
	// Interval is the mean time between two reconciliations; zero means 5 s.
	Interval time.Duration
	// LeaseDuration is how long a router may send orders after it acquired a
	// lease; zero means 30 s.
	LeaseDuration time.Duration
	// OrderTimeout is the timeout of one request to an engine; zero means 5 s.
	OrderTimeout time.Duration
	// LoadSlots is how many engines of the fleet may load weights at once, so
	// that the weight store is not overloaded; zero means 2.
	LoadSlots int
	// Clock returns the current monotonic time; nil means time.Now.
	Clock func() time.Time
}

func (config Config) withDefaults() Config {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.LeaseDuration <= 0 {
		config.LeaseDuration = defaultLeaseDuration
	}
	if config.OrderTimeout <= 0 {
		config.OrderTimeout = defaultOrderTimeout
	}
	if config.LoadSlots <= 0 {
		config.LoadSlots = defaultLoadSlots
	}
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return config
}

// Orderer sends orders to the engines that are assigned to this router.
type Orderer struct {
	config Config
	leases *leaseManager
	slots  *slots

	mutex    sync.Mutex
	statuses map[string]Status

	cancel context.CancelFunc
	done   chan struct{}
}

// NewOrderer returns an Orderer and starts its goroutine, which reconciles until
// Close.
func NewOrderer(config Config) *Orderer {
	orderer := newOrderer(config)
	ctx, cancel := context.WithCancel(context.Background())
	orderer.cancel = cancel
	go func() {
		defer close(orderer.done)
		for ctx.Err() == nil {
			orderer.Reconcile(ctx)
			orderer.waitForInterval(ctx)
		}
	}()
	return orderer
}

// newOrderer returns an orderer without a goroutine; tests call its methods.
func newOrderer(config Config) *Orderer {
	config = config.withDefaults()
	newLeaseManager := func(partition string) *leaseManager {
		return &leaseManager{
			table:       config.Table,
			partition:   partition,
			incarnation: config.Incarnation,
			duration:    config.LeaseDuration,
			clock:       config.Clock,
		}
	}
	return &Orderer{
		config:   config,
		leases:   newLeaseManager(partitionLease),
		slots:    newSlots(newLeaseManager(partitionSlot), config.LoadSlots),
		statuses: make(map[string]Status),
		cancel:   func() {},
		done:     make(chan struct{}),
	}
}

// Close stops the orderer. Leases and slots that it still holds expire.
func (orderer *Orderer) Close() {
	orderer.cancel()
	<-orderer.done
}

// Statuses returns the result of the last reconciliation, sorted by the name of
// the upstream.
func (orderer *Orderer) Statuses() []Status {
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	list := make([]Status, 0, len(orderer.statuses))
	for _, name := range slices.Sorted(maps.Keys(orderer.statuses)) {
		list = append(list, orderer.statuses[name])
	}
	return list
}

// Reconcile reconciles each engine that is assigned to this router once. Statuses
// then returns the results, including failures.
func (orderer *Orderer) Reconcile(ctx context.Context) {
	view := orderer.config.View()
	statuses := make(map[string]Status)
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngines)
	assigned := orderer.assignedUpstreams(view)
	orderer.slots.releaseUnassigned(ctx, assigned)
	for _, upstream := range assigned {
		group.Go(func() error {
			status := orderer.reconcileEngine(ctx, view, upstream)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[upstream.Name] = status
			return nil
		})
	}
	_ = group.Wait()
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	orderer.statuses = statuses
}

// reconcileEngine compares one engine with the configuration and sends an order
// if they differ.
func (orderer *Orderer) reconcileEngine(ctx context.Context, view *configuration.View, upstream configuration.Upstream) Status {
	task := task{
		orderer:  orderer,
		upstream: upstream,
		revision: view.DocumentRevision(configuration.KindUpstream, upstream.Name),
	}
	return task.run(ctx)
}

// assignedUpstreams returns the upstreams that have a spec in the configuration
// and are assigned to this router. While membership changes, two routers may
// both consider an upstream theirs; its lease lets only one of them send orders.
func (orderer *Orderer) assignedUpstreams(view *configuration.View) []configuration.Upstream {
	var live []fleet.Member
	for _, member := range orderer.config.Members() {
		if member.State == fleet.Live || member.State == fleet.Overloaded {
			live = append(live, member)
		}
	}
	var assigned []configuration.Upstream
	for _, upstream := range view.AllUpstreams() {
		if _, configured := wantedSpec(upstream); !configured || upstream.Draining {
			continue
		}
		owners := entry.Best(upstream.Name, live, 1)
		if len(owners) > 0 && owners[0].Incarnation == orderer.config.Incarnation {
			assigned = append(assigned, upstream)
		}
	}
	return assigned
}

// waitForInterval waits for Interval, with a jitter of 25 % in both directions.
func (orderer *Orderer) waitForInterval(ctx context.Context) {
	jitter := 0.75 + rand.Float64()/2
	timer := time.NewTimer(time.Duration(float64(orderer.config.Interval) * jitter))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
