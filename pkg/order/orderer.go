package order

// The flow: at each interval the orderer reads the state of the engines that
// fall to it by rendezvous hashing, and reconciles those that differ from the
// configuration: a slot for loads, the upstream's lease, the order, and a read
// of the state to confirm it. Leases are taken only for an order and given
// back, so that engines which are as wanted cost no write.

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

// Defaults and bounds of an orderer.
const (
	defaultInterval      = 5 * time.Second
	defaultLeaseDuration = 30 * time.Second
	defaultOrderTimeout  = 5 * time.Second
	defaultLoadSlots     = 2
	// rateMargin is the share of a lease that is left unused, for clocks that
	// run at different rates.
	rateMargin = 0.05
	// concurrency bounds the engines that are dealt with at the same time.
	concurrency = 8
)

// The partitions of orders in the table.
const (
	partitionLease = "order/lease"
	partitionSlot  = "order/slot"
)

// Config configures an Orderer.
type Config struct {
	Table platform.Table
	// Self is this router's incarnation.
	Incarnation string
	// View returns the configuration.
	View func() *configuration.View
	// Members returns the routers of the fleet, this one included.
	Members func() []fleet.Member
	Engine  Engine
	Logger  log.Logger
	// Interval is the mean time between looks at an engine; zero means 5 s.
	Interval time.Duration
	// LeaseDuration is how long an orderer may order after it took a lease;
	// zero means 30 s.
	LeaseDuration time.Duration
	// OrderTimeout bounds one order; zero means 5 s.
	OrderTimeout time.Duration
	// LoadSlots is how many loads the weight store bears at once; zero means 2.
	LoadSlots int
	// Clock gives monotonic times; nil is time.Now.
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

// Orderer orders the engines that fall to this router.
type Orderer struct {
	config Config
	leases *leaser
	slots  *slots

	mutex    sync.Mutex
	statuses map[string]Status

	cancel context.CancelFunc
	done   chan struct{}
}

// NewOrderer returns an orderer and starts it.
func NewOrderer(config Config) *Orderer {
	orderer := newOrderer(config)
	ctx, cancel := context.WithCancel(context.Background())
	orderer.cancel = cancel
	go func() {
		defer close(orderer.done)
		for ctx.Err() == nil {
			orderer.Reconcile(ctx)
			orderer.pause(ctx)
		}
	}()
	return orderer
}

// newOrderer returns an orderer that does nothing by itself.
func newOrderer(config Config) *Orderer {
	config = config.withDefaults()
	newLeaser := func(partition string) *leaser {
		return &leaser{
			table:     config.Table,
			partition: partition,
			self:      config.Incarnation,
			duration:  config.LeaseDuration,
			clock:     config.Clock,
		}
	}
	return &Orderer{
		config:   config,
		leases:   newLeaser(partitionLease),
		slots:    newSlots(newLeaser(partitionSlot), config.LoadSlots),
		statuses: make(map[string]Status),
		cancel:   func() {},
		done:     make(chan struct{}),
	}
}

// Close stops the orderer. Leases that it holds lapse.
func (orderer *Orderer) Close() {
	orderer.cancel()
	<-orderer.done
}

// Statuses returns the upstreams that fall to this router, by name.
func (orderer *Orderer) Statuses() []Status {
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	list := make([]Status, 0, len(orderer.statuses))
	for _, name := range slices.Sorted(maps.Keys(orderer.statuses)) {
		list = append(list, orderer.statuses[name])
	}
	return list
}

// Reconcile looks once at each engine that falls to this router.
func (orderer *Orderer) Reconcile(ctx context.Context) {
	view := orderer.config.View()
	statuses := make(map[string]Status)
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(concurrency)
	own := orderer.own(view)
	orderer.slots.retain(ctx, own)
	for _, upstream := range own {
		group.Go(func() error {
			status := orderer.look(ctx, view, upstream)
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

// look brings one engine to what is wanted, as far as it can be done now.
func (orderer *Orderer) look(ctx context.Context, view *configuration.View, upstream configuration.Upstream) Status {
	task := task{
		orderer:  orderer,
		upstream: upstream,
		revision: view.DocumentRevision(configuration.KindUpstream, upstream.Name),
	}
	return task.run(ctx)
}

// own returns the upstreams of which something is wanted and that fall to this
// router. During a change of membership two routers may think so; the lease
// lets one of them order.
func (orderer *Orderer) own(view *configuration.View) []configuration.Upstream {
	var live []fleet.Member
	for _, member := range orderer.config.Members() {
		if member.State == fleet.Live || member.State == fleet.Overloaded {
			live = append(live, member)
		}
	}
	var own []configuration.Upstream
	for _, upstream := range view.AllUpstreams() {
		if _, wanted := targetOf(upstream); !wanted || upstream.Draining {
			continue
		}
		best := entry.Best(upstream.Name, live, 1)
		if len(best) > 0 && best[0].Incarnation == orderer.config.Incarnation {
			own = append(own, upstream)
		}
	}
	return own
}

// pause waits for the next look, spread by a quarter to both sides.
func (orderer *Orderer) pause(ctx context.Context) {
	spread := 0.75 + rand.Float64()/2
	timer := time.NewTimer(time.Duration(float64(orderer.config.Interval) * spread))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
