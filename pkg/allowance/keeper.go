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

	defaultSettleInterval   = 250 * time.Millisecond
	defaultExchangeInterval = 800 * time.Millisecond
	// idleInterval is the time between two writes of a holder that callers are
	// not led to.
	idleInterval = time.Second
	// callTimeout bounds one call of the table: it answers in a few
	// milliseconds, or it is slow or gone.
	callTimeout = 900 * time.Millisecond
	// retryInterval is the time to the next step when a call failed.
	retryInterval = 60 * time.Millisecond
	// urgentInterval is the least time between two exchanges for waiting requests.
	urgentInterval = 60 * time.Millisecond
	// exchangeWait bounds how long a request waits for an exchange.
	exchangeWait = 250 * time.Millisecond
	// paceWait bounds how long a request waits out of touch for its tokens: less
	// than it takes to ask another router.
	paceWait = 200 * time.Millisecond
	// settleSpacing and exchangeSpacing are the least times between two holders'
	// writes, and between two exchanges, in the whole fleet, and urgentSpacing
	// that between two exchanges of one slice for requests that wait: the table
	// takes some hundred writes a second, and a change of two partitions lasts
	// about two calls.
	settleSpacing   = 3 * time.Millisecond
	exchangeSpacing = 15 * time.Millisecond
	urgentSpacing   = 8 * time.Millisecond
	// leastSpread and greatestSpread times the holders bound the time over which
	// those that met a conflict spread their next exchanges: one call of the
	// table each, also when it is slow.
	leastSpread    = 5 * time.Millisecond
	greatestSpread = 30 * time.Millisecond
	// overloadedWait is the least time before the next exchange when the pool's
	// partition turned one away: more than a second of calls waits there.
	overloadedWait = time.Second
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
	Gather          time.Duration
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
	clock   time.Duration
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
	if config.Gather <= 0 {
		config.Gather = defaultGather
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

// untilUrgent returns the time to a step for requests that wait or will have
// to: soon for a write of the own row, later for an exchange with the pool. A
// slow pool is left to its regular exchanges.
func (keeper *Keeper) untilUrgent() time.Duration {
	holders, _ := keeper.config.Holders()
	if keeper.leaving.Load() && !keeper.left {
		keeper.left, keeper.exchangeAt = true, time.Time{}
		return 0
	}
	if keeper.short() {
		wait := max(urgentInterval, keeper.sharing(max(urgentSpacing, keeper.commitTook)))
		if wait <= keeper.config.SettleInterval {
			keeper.exchangeAt = time.Time{}
			return max(wait-keeper.config.Now().Sub(keeper.exchangedAt), 0)
		}
	}
	return max(settleSpacing*time.Duration(holders)-keeper.config.Now().Sub(keeper.steppedAt), 0)
}

// untilNext returns the time to the next step.
func (keeper *Keeper) untilNext() time.Duration {
	holders, serving := keeper.config.Holders()
	if !serving && !keeper.leaving.Load() {
		return idleInterval
	}
	wait := max(keeper.config.SettleInterval, settleSpacing*time.Duration(holders))
	if keeper.failed {
		wait = max(retryInterval, settleSpacing*time.Duration(holders))
	}
	if until := keeper.exchangeAt.Sub(keeper.config.Now()); until > 0 {
		wait = min(wait, until)
	}
	return wait
}

// sharing returns the time in which each holder of a slice has one turn.
func (keeper *Keeper) sharing(turn time.Duration) time.Duration {
	holders, _ := keeper.config.Holders()
	return time.Duration(int64(turn) * int64(min(holders, keeper.perSlice(holders))))
}

// short reports whether requests wait for more than the holder has; the others
// wait only for its row.
func (keeper *Keeper) short() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for name, wanted := range keeper.wanted {
		if keeper.holder.unspent(name) < wanted {
			return true
		}
	}
	return false
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

// readBack finds out which row is in the table: a predecessor's at the start,
// or one of this process whose commit had no answer.
func (keeper *Keeper) readBack(ctx context.Context) error {
	item, err := keeper.read(ctx, holderKey(keeper.config.Name))
	if err != nil {
		return err
	}
	row, err := decode[Row](item.Value)
	if err != nil {
		return err
	}
	keeper.uncertain = false
	if item.Version == keeper.version {
		return nil // a pending row may still be applied; it stays pending
	}
	keeper.version = item.Version
	if row.Process == keeper.config.Process {
		keeper.holder.committed(row.Sequence)
		return nil
	}
	if keeper.holder.Started() {
		keeper.holder.fence()
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "another process writes the budget row of this holder",
			Remedy:  "give each router its own node name",
		})
	}
	alive := keeper.config.Now().Sub(keeper.config.Started)
	elapsed := keeper.clock - alive - row.Stamp
	keeper.holder.adopt(row, elapsed)
	keeper.logAdoption(row, elapsed)
	return nil
}

func (keeper *Keeper) logAdoption(row Row, elapsed time.Duration) {
	for name, terms := range row.Teams {
		_ = keeper.config.Logger.Log("event", "budget_adopted", "team", name, "predecessor", row.Process,
			"granted", terms.Granted, "charged", terms.Charged, "lost", row.Bound(name, elapsed)-terms.Charged, "elapsed", elapsed)
	}
}

func (keeper *Keeper) read(ctx context.Context, key platform.Key) (platform.Item, error) {
	items, err := keeper.readAll(ctx, platform.Query{Partition: key.Partition, Prefix: key.Sort})
	if err != nil {
		return platform.Item{}, err
	}
	for _, item := range items {
		if item.Key == key {
			return item, nil
		}
	}
	return platform.Item{}, nil
}

func (keeper *Keeper) readAll(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, receipt, err := keeper.config.Table.Read(ctx, query)
	if err != nil {
		return nil, err
	}
	keeper.setClock(receipt.Now)
	return items, nil
}

// TableAge returns the time since the table last answered.
func (keeper *Keeper) TableAge(now time.Time) (age time.Duration, known bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return now.Sub(keeper.clockAt), !keeper.clockAt.IsZero()
}

// setClock takes in the platform's time. By the time of the answer the
// platform's clock is ahead of it, so stamps made from it are never too late.
func (keeper *Keeper) setClock(now time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.clock, keeper.clockAt = now, keeper.config.Now()
}

func (keeper *Keeper) row(now time.Time) Row {
	keeper.sequence++
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return Row{
		Process: keeper.config.Process, Sequence: keeper.sequence, Stamp: keeper.clock + now.Sub(keeper.clockAt),
		Early: earlyTime, EarlyPart: earlyFactor / paceFactor,
	}
}

func condition(version uint64) platform.Condition {
	if version == 0 {
		return platform.Condition{Kind: platform.IfAbsent}
	}
	return platform.Condition{Kind: platform.IfVersion, Version: version}
}

// commit writes the own row, and the pool row with it when there is one.
func (keeper *Keeper) commit(ctx context.Context, row Row, slices ...platform.Write) error {
	transaction := platform.Transaction{Writes: []platform.Write{{
		Key:       holderKey(keeper.config.Name),
		Value:     encode(row),
		Condition: condition(keeper.version),
	}}}
	transaction.Writes = append(transaction.Writes, slices...)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := keeper.config.Now()
	receipt, err := keeper.config.Table.Commit(ctx, transaction)
	if len(slices) > 0 {
		keeper.commitTook = keeper.config.Now().Sub(begun)
	}
	switch {
	case err == nil:
		keeper.version = receipt.Version
		keeper.holder.committed(row.Sequence)
		keeper.setClock(receipt.Now)
		return nil
	case fault.KindOf(err) == fault.Conflict:
		keeper.holder.dropped(row.Sequence)
		keeper.conflicted(err)
		return err
	case fault.KindOf(err) == fault.Overloaded:
		keeper.holder.dropped(row.Sequence)
		return err
	default:
		keeper.uncertain = true
		return err
	}
}

// conflicted finds out from the rows that a failed commit came with whether an
// older commit of this process was applied late.
func (keeper *Keeper) conflicted(err error) {
	keeper.uncertain = true
	var conflict *platform.ConflictError
	if !errors.As(fault.CauseOf(err), &conflict) {
		return
	}
	own := uint64(0) // the version of a row that isn't there
	for _, item := range conflict.Items {
		if item.Key == holderKey(keeper.config.Name) {
			own = item.Version
		}
		keeper.present(item)
	}
	keeper.uncertain = own != keeper.version
}

// present takes in a slice as it is in the table.
func (keeper *Keeper) present(item platform.Item) {
	if keeper.seen == nil {
		return
	}
	for number := range keeper.seen.items {
		if item.Key == sliceKey(number) {
			keeper.seen.items[number] = item
			keeper.seen.fresh = true
		}
	}
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
