package allowance

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

const (
	// holderPrefix stands before the holders' names. Each holder's row has a
	// partition of its own, so that the holders' writes don't wait for each other.
	holderPrefix = "budget-holder/"
	// holderSort is the sort key of a holder's row.
	holderSort = "row"

	// callTimeout bounds one call of the table: it answers in a few
	// milliseconds, or it is slow or gone.
	callTimeout = 900 * time.Millisecond
	// exchangeWait bounds how long a request waits for an exchange.
	exchangeWait = 250 * time.Millisecond
	// paceWait bounds how long a request waits out of touch for its tokens: less
	// than it takes to ask another router.
	paceWait = 200 * time.Millisecond
	// recentRead is the age up to which the pool isn't read again for a request
	// that it showed to be out of reach: charges only grow, but for what was
	// reserved for requests that end meanwhile.
	recentRead = time.Second
	// holdingsInterval is the time between two log lines on what is held.
	holdingsInterval = 2 * time.Second
	// freshness is the age up to which the pool row counts as just read.
	freshness = time.Second
)

// donorsOfTries are the greatest numbers of slices that the tries of one exchange
// take from. Tries after the first have the rows that the conflict showed; the
// fewer rows one changes, the fewer others it meets.
var donorsOfTries = []int{3, 1, 0}

// holderKey is the row of one holder.
func holderKey(name string) platform.Key {
	return platform.Key{Partition: holderPrefix + name, Sort: holderSort}
}

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Table platform.VersionedTable
	// Name is the holder's name, the same over restarts of one VM.
	Name string
	// Process names this process.
	Process string
	// Prepaid returns the budget of each metered team; nil means not known yet.
	Prepaid func() map[string]int64
	// Holders returns how many holders callers are led to, zero if that is not
	// known yet, and whether this one is among them.
	Holders func() (count int, self bool)
	Logger  log.Logger
	// Started is when the process began.
	Started time.Time
	// SettleInterval and ExchangeInterval are the times between two writes of
	// the own row, and between two changes of grants; zero takes the defaults.
	SettleInterval   time.Duration
	ExchangeInterval time.Duration
	// HoldersPerSlice and Gather say how a new pool is split; zero takes the
	// defaults.
	HoldersPerSlice int
	SplitDelay      time.Duration
	// Now is the local steady clock; nil means time.Now.
	Now func() time.Time
}

// Keeper publishes a Holder's row and exchanges grants with the pool.
type Keeper struct {
	config KeeperConfig
	holder *Holder
	cancel context.CancelFunc
	done   chan struct{}
	urgent chan struct{}
	// leaving is set when the router takes no new callers.
	leaving atomic.Bool

	// The fields below belong to the keeper's goroutine.
	sequence uint64
	version  uint64
	// uncertain is set when a commit had no answer.
	uncertain bool
	// exchangeAt is when the next exchange is due.
	exchangeAt time.Time
	// seen is the pool as last read or written, and slices the number of slices
	// into which it is split, zero while that is not known.
	seen     *pool
	slices   int
	loggedAt time.Time
	// left is set when the exchange of a router that leaves was asked for.
	left bool
	// closing is set when all that is unspent goes back to the pool.
	closing bool
	// commitTook is how long the last commit of a pool row took.
	commitTook time.Duration
	// failed is set while the last step's calls failed.
	failed bool
	// steppedAt is the end of the last step, and exchangedAt that of the last
	// exchange.
	steppedAt, exchangedAt time.Time

	mutex sync.Mutex
	// charged are the charges of all holders by team, as of poolAt.
	charged map[string]int64
	poolAt  time.Time
	// asked is set once an exchange has succeeded.
	asked bool
	clock time.Duration
	// clockAt is when the clock was read.
	clockAt time.Time
	wanted  map[string]int64
	// exchanged is closed at the end of the exchange under way or the next one.
	exchanged chan struct{}
}

// NewKeeper returns a running keeper.
func NewKeeper(config KeeperConfig) *Keeper {
	keeper := newKeeper(config)
	ctx, cancel := context.WithCancel(context.Background())
	keeper.cancel = cancel
	go func() {
		defer close(keeper.done)
		keeper.run(ctx)
	}()
	return keeper
}

func newKeeper(config KeeperConfig) *Keeper {
	if config.SettleInterval <= 0 {
		config.SettleInterval = defaultSettleInterval
	}
	if config.ExchangeInterval <= 0 {
		config.ExchangeInterval = defaultExchangeInterval
	}
	if config.SplitDelay <= 0 {
		config.SplitDelay = defaultGather
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Keeper{
		config:    config,
		holder:    NewHolder(),
		done:      make(chan struct{}),
		urgent:    make(chan struct{}, 1),
		wanted:    make(map[string]int64),
		exchanged: make(chan struct{}),
	}
}

// Holder returns the holder.
func (keeper *Keeper) Holder() *Holder { return keeper.holder }

func (keeper *Keeper) run(ctx context.Context) {
	for {
		keeper.step(ctx)
		timer := time.NewTimer(keeper.untilNext())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-keeper.urgent:
			timer.Stop()
			select {
			case <-ctx.Done():
				return
			case <-time.After(keeper.untilUrgent()):
			}
		}
	}
}

// Leave gives back what the router will not need before it stops.
func (keeper *Keeper) Leave() {
	keeper.leaving.Store(true)
	keeper.hurry()
}

// step publishes once: with an exchange when one is due.
func (keeper *Keeper) step(ctx context.Context) {
	defer func() { keeper.steppedAt = keeper.config.Now() }()
	prepaid := keeper.config.Prepaid()
	if prepaid == nil {
		return
	}
	err := keeper.publish(ctx, prepaid)
	keeper.failed = err != nil
	if err != nil {
		keeper.announce()
		_ = keeper.config.Logger.Log("event", "budget_publish_failed", "holder", keeper.config.Name, "err", err)
	}
}

// publish writes the own row: with the pool row when an exchange is due, and
// alone when others have changed the pool meanwhile, so that what was spent is
// known however busy the pool is.
func (keeper *Keeper) publish(ctx context.Context, prepaid map[string]int64) error {
	if !keeper.holder.Started() && keeper.version == 0 || keeper.uncertain {
		if err := keeper.readBack(ctx); err != nil {
			return err
		}
	}
	holders, serving := keeper.config.Holders()
	if holders == 0 || keeper.config.Now().Before(keeper.exchangeAt) || !serving && keeper.unneeded() {
		return keeper.settle(ctx)
	}
	for _, donors := range donorsOfTries {
		err := keeper.exchange(ctx, prepaid, donors)
		switch {
		case fault.Is(err, fault.Overloaded):
			return errors.Join(keeper.yieldPool(ctx, overloadedWait+keeper.spread(holders)), err)
		case !fault.Is(err, fault.Conflict) || keeper.uncertain:
			return err
		}
	}
	return keeper.yieldPool(ctx, keeper.spread(holders))
}

// yieldPool leaves the pool to others for a while and writes the own row alone.
func (keeper *Keeper) yieldPool(ctx context.Context, wait time.Duration) error {
	keeper.exchangeAt = keeper.config.Now().Add(wait)
	return keeper.settle(ctx)
}

// unneeded reports whether an exchange would change nothing for a holder that
// callers are not led to.
func (keeper *Keeper) unneeded() bool {
	return keeper.holder.Started() && keeper.returned() && len(keeper.waiting()) == 0 && !keeper.closing
}

// settle writes the own row and leaves all grants as they are.
func (keeper *Keeper) settle(ctx context.Context) error {
	now := keeper.config.Now()
	if err := keeper.commit(ctx, keeper.holder.draft(keeper.row(now), keeper.keep(), now)); err != nil {
		return err
	}
	if !keeper.short() {
		keeper.announce()
	}
	return nil
}

// announce lets requests that wait for an exchange go on.
func (keeper *Keeper) announce() {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	clear(keeper.wanted)
	close(keeper.exchanged)
	keeper.exchanged = make(chan struct{})
}

// Close returns what is unspent to the pool, within the context, and ends the
// keeper.
func (keeper *Keeper) Close(ctx context.Context) error {
	keeper.cancel()
	<-keeper.done
	keeper.closing = true
	for {
		if !keeper.holder.Started() {
			return nil
		}
		keeper.exchangeAt = time.Time{}
		err := keeper.publish(ctx, map[string]int64{}) // budgets of nothing give all grants back
		if err == nil && keeper.config.Now().Before(keeper.exchangeAt) && !keeper.uncertain && keeper.returned() {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		holders, _ := keeper.config.Holders()
		time.Sleep(leastSpread + keeper.spread(max(holders, 1)))
	}
}

// returned reports whether the row in the table holds nothing unspent.
func (keeper *Keeper) returned() bool {
	keeper.holder.mutex.Lock()
	defer keeper.holder.mutex.Unlock()
	for _, terms := range keeper.holder.before {
		if terms.Unspent() > 0 {
			return false
		}
	}
	return true
}
