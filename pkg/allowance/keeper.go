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
	// holderPrefix precedes a holder's name in its partition's name. Each
	// holder's row has its own partition, so that the holders' writes don't
	// wait for each other.
	holderPrefix = "budget-holder/"
	// holderSortKey is the sort key of a holder's row.
	holderSortKey = "row"

	// callTimeout is the timeout of one call of the table. A healthy table
	// answers in a few milliseconds; otherwise it is slow or unreachable.
	callTimeout = 900 * time.Millisecond
	// maxExchangeWait is how long a request waits for an exchange.
	maxExchangeWait = 250 * time.Millisecond
	// maxRateWait is how long a request waits for the spend rate while the
	// table is unreachable: less than it takes to ask another router.
	maxRateWait = 200 * time.Millisecond
	// maxPoolAge is the age up to which a read of the pool is enough to refuse a
	// request. Charges only grow, except when a request uses less than it
	// reserved.
	maxPoolAge = time.Second
	// maxShortageAge is the age up to which a read of the pool is enough to refuse a
	// request because other holders have the tokens. They return some with most
	// exchanges.
	maxShortageAge = 400 * time.Millisecond
	// holdingsLogInterval is the time between two logs of the holdings.
	holdingsLogInterval = 2 * time.Second
	// maxTableAge is the time since the table's last answer up to which a keeper
	// counts as connected, in addition to the time until it asks again.
	maxTableAge = time.Second
)

// maxDonorsPerTry has one element for each try of an exchange: the maximum
// number of other slices from which that try takes tokens. Tries after the first
// use the rows returned with the conflict. A try that changes fewer rows has
// fewer conflicts.
var maxDonorsPerTry = []int{3, 1, 0}

// holderKey returns the key of a holder's row in an era.
func holderKey(name string, era uint64) platform.Key {
	return platform.Key{Partition: holderPrefix + name, Sort: sortKey(holderSortKey, era)}
}

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Table platform.VersionedTable
	// Name is the holder's name, the same across restarts of one VM.
	Name string
	// Process identifies this process.
	Process string
	// Prepaid returns the budget in tokens of each team that has one, or nil
	// while the budgets are not known.
	Prepaid func() map[string]int64
	// Holders returns the number of holders that callers are directed to, zero
	// while it is not known, and whether this holder is one of them.
	Holders func() (count int, serving bool)
	Logger  log.Logger
	// StartedAt is the local time at which the process began.
	StartedAt time.Time
	// WriteInterval and ExchangeInterval are the times between two writes of
	// the holder's row, and between two exchanges; zero means the default.
	WriteInterval    time.Duration
	ExchangeInterval time.Duration
	// HoldersPerSlice is how many holders share a slice of a new pool,
	// SplitDelay how long after StartedAt the pool is split; zero means the
	// default.
	HoldersPerSlice int
	SplitDelay      time.Duration
	// MaxSliceBytes is the size in bytes above which a slice's row leaves out the shares
	// of holders that have not exchanged for long; zero means the default.
	MaxSliceBytes int
	// Now returns the local monotonic time; nil means time.Now.
	Now func() time.Time
}

// Keeper publishes a Holder's row and exchanges grants with the pool.
type Keeper struct {
	config     KeeperConfig
	holder     *Holder
	cancel     context.CancelFunc
	done       chan struct{}
	urgentStep chan struct{}
	// leaving is set when the router accepts no new callers.
	leaving atomic.Bool
	// lastStepFailed is set when a call of the last step failed.
	lastStepFailed atomic.Bool
	// busyTeamCount is the number of busyTeams.
	busyTeamCount atomic.Int64

	// The fields up to the mutex are used only by the keeper's goroutine.
	// sequence is the number of the last row drafted.
	sequence uint64
	// ownRow is the holder's row in the table; it has no version while there is none.
	ownRow platform.Item
	// undeclared is set from a restore of the table until the holder has written its
	// grants again.
	undeclared bool
	// statedTerms are what the sums of the slice include of the holder, from a restore
	// until the next exchange; nil means the committed terms.
	statedTerms map[string]Terms
	// eraEnteredAt is the time of the table's clock at which the holder learned of the
	// last restore.
	eraEnteredAt time.Duration
	// rememberedPool holds the slices as they were before the last restore.
	rememberedPool *pool
	// undonePredecessor is set while a restore may have undone the last rows of the
	// preceding process, and the holder has not exchanged yet.
	undonePredecessor bool
	// replaced is set when another process has written the holder's row. The keeper
	// writes nothing more.
	replaced bool
	// outcomeUnknown is set when a commit got no answer.
	outcomeUnknown bool
	// nextExchangeAt is when the next exchange is due.
	nextExchangeAt time.Time
	// pool holds the slices as last read or written. sliceCount is their
	// number, zero while that is not known.
	pool             *pool
	sliceCount       int
	holdingsLoggedAt time.Time
	// busyTeams are the teams whose requests come often to this holder, though callers
	// are not directed to it.
	busyTeams []string
	// leaveScheduled is set when the exchange that returns a leaving router's
	// tokens was scheduled.
	leaveScheduled bool
	// closing is set when all unspent tokens are to be returned to the pool.
	closing bool
	// poolCommitDuration is how long the last commit with a slice's row took.
	poolCommitDuration time.Duration
	// steppedAt is the end of the last step, exchangedAt that of the last
	// exchange.
	steppedAt, exchangedAt time.Time

	// waiting are the requests that wait for tokens.
	waiting waitingRequests

	mutex sync.Mutex
	// tableEra is the table's era according to its answers, era that of the rows
	// that the keeper reads and writes; hasEra is set when it is known.
	tableEra, era uint64
	hasEra        bool
	// The fields of RestoreStatistics.
	restores                         uint64
	redeclaredTokens, reservedTokens int64
	estimatedTokens                  int64
	// chargedByTeam are the tokens charged by all holders, and freeByTeam those that no
	// holder has been granted, as of poolReadAt.
	chargedByTeam, freeByTeam map[string]int64
	poolReadAt                time.Time
	// pause is the time until the next regular step of a holder that callers are not
	// directed to; zero for the others.
	pause time.Duration
	// exchanges and conflicts count the tries of an exchange that succeeded, and that met
	// a conflict. commitDuration is how long the last one took.
	exchanges, conflicts uint64
	commitDuration       time.Duration
	// exchangedOnce is set when the first exchange has succeeded.
	exchangedOnce bool
	// tableTime is the time of the table's monotonic clock in its last answer,
	// which arrived at the local time tableTimeReceivedAt.
	tableTime           time.Duration
	tableTimeReceivedAt time.Time
}

// NewKeeper starts a keeper. Close stops it.
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
	if config.WriteInterval <= 0 {
		config.WriteInterval = defaultWriteInterval
	}
	if config.ExchangeInterval <= 0 {
		config.ExchangeInterval = defaultExchangeInterval
	}
	if config.SplitDelay <= 0 {
		config.SplitDelay = defaultSplitDelay
	}
	if config.MaxSliceBytes <= 0 {
		config.MaxSliceBytes = defaultMaxSliceBytes
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Keeper{
		config: config,
		// A restore may have undone the only rows of the preceding process.
		undonePredecessor: true,
		holder:            NewHolder(),
		done:              make(chan struct{}),
		urgentStep:        make(chan struct{}, 1),
	}
}

// Holder returns the keeper's holder.
func (keeper *Keeper) Holder() *Holder { return keeper.holder }

func (keeper *Keeper) run(ctx context.Context) {
	for {
		keeper.step(ctx)
		delay := keeper.delayUntilNextStep()
		keeper.recordPause(delay)
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-keeper.urgentStep:
			timer.Stop()
			select {
			case <-ctx.Done():
				return
			case <-time.After(keeper.delayUntilUrgentStep()):
			}
		}
	}
}

// recordPause records the delay until the next step, if callers are not directed to
// this router.
func (keeper *Keeper) recordPause(delay time.Duration) {
	if _, serving := keeper.config.Holders(); serving {
		delay = 0
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.pause = delay
}

// Leave returns the tokens that the router will not need before it stops.
func (keeper *Keeper) Leave() {
	keeper.leaving.Store(true)
	keeper.requestUrgentStep()
}

// step publishes the holder's row once, with an exchange if one is due.
func (keeper *Keeper) step(ctx context.Context) {
	defer func() { keeper.steppedAt = keeper.config.Now() }()
	prepaid := keeper.config.Prepaid()
	if prepaid == nil {
		return
	}
	keeper.updateBusyTeams(keeper.config.Now())
	err := keeper.publish(ctx, prepaid)
	keeper.lastStepFailed.Store(err != nil)
	if err != nil {
		keeper.waiting.notifyAll()
		_ = keeper.config.Logger.Log("event", "budget_publish_failed", "holder", keeper.config.Name, "err", err)
	}
}

// publish writes the holder's row, together with the slice's row when an
// exchange is due. If the exchange conflicts with those of other holders in each
// try, it writes the holder's row alone, so that the table shows what was spent
// even when the pool is contended.
func (keeper *Keeper) publish(ctx context.Context, prepaid map[string]int64) error {
	if keeper.replaced {
		return errReplaced
	}
	if !keeper.holder.HasPublished() && keeper.ownRow.Version == 0 || keeper.outcomeUnknown || keeper.restored() {
		if err := keeper.readOwnRow(ctx); err != nil {
			return err
		}
	}
	if !keeper.exchangeDue() {
		return keeper.writeOwnRow(ctx)
	}
	holders, _ := keeper.config.Holders()
	for _, maxDonors := range maxDonorsPerTry {
		err := keeper.exchange(ctx, prepaid, maxDonors)
		switch {
		case fault.Is(err, fault.Overloaded):
			return errors.Join(keeper.deferExchange(ctx, overloadBackoff+keeper.randomBackoff(holders)), err)
		case !fault.Is(err, fault.Conflict) || keeper.outcomeUnknown:
			return err
		}
	}
	return keeper.deferExchange(ctx, keeper.randomBackoff(holders))
}

// exchangeDue reports whether the next write includes an exchange.
func (keeper *Keeper) exchangeDue() bool {
	holders, serving := keeper.config.Holders()
	if holders == 0 || keeper.config.Now().Before(keeper.nextExchangeAt) {
		return false
	}
	// A router that starts publishes its row first. Only then is it known whether
	// its predecessor left tokens, and most of a large fleet left none.
	if !serving && !keeper.holder.HasPublished() && len(keeper.waiting.tokens()) == 0 && !keeper.undeclared {
		return false
	}
	return keeper.undeclared || serving || !keeper.exchangeUnneeded()
}

// deferExchange delays the next exchange, so that other holders can change the
// pool, and writes the holder's row alone.
func (keeper *Keeper) deferExchange(ctx context.Context, wait time.Duration) error {
	keeper.nextExchangeAt = keeper.config.Now().Add(wait)
	return keeper.writeOwnRow(ctx)
}

// exchangeUnneeded reports whether an exchange would change nothing for a
// holder that callers are not directed to.
func (keeper *Keeper) exchangeUnneeded() bool {
	return keeper.holder.HasPublished() && keeper.allReturned() && len(keeper.waiting.tokens()) == 0 && !keeper.closing
}

// writeOwnRow writes the holder's row and leaves all grants as they are.
func (keeper *Keeper) writeOwnRow(ctx context.Context) error {
	now := keeper.config.Now()
	row := keeper.newRow(now)
	row.Estimated, row.EstimatedFrom = keeper.undonePredecessor, keeper.holder.undoneStamp
	row.Undeclared, row.Stated = keeper.statedTerms != nil, keeper.statedTerms
	if err := keeper.commit(ctx, keeper.holder.draft(row, keeper.keepGrants(), now)); err != nil {
		return err
	}
	keeper.waiting.notifyCovered(keeper.holder.unspent)
	return nil
}

// Close stops the keeper and returns all unspent tokens to the pool. It retries
// until the context ends, and then returns the errors of the last try and of the
// context.
func (keeper *Keeper) Close(ctx context.Context) error {
	keeper.cancel()
	<-keeper.done
	keeper.closing = true
	for {
		if !keeper.holder.HasPublished() {
			return nil
		}
		keeper.nextExchangeAt = time.Time{}
		err := keeper.publish(ctx, map[string]int64{}) // zero budgets return all grants
		if err == nil && keeper.config.Now().Before(keeper.nextExchangeAt) && !keeper.outcomeUnknown && keeper.allReturned() {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		holders, _ := keeper.config.Holders()
		time.Sleep(minBackoffPerHolder + keeper.randomBackoff(max(holders, 1)))
	}
}

// allReturned reports whether the row in the table has no unspent tokens.
func (keeper *Keeper) allReturned() bool {
	keeper.holder.mutex.Lock()
	defer keeper.holder.mutex.Unlock()
	for _, terms := range keeper.holder.committedTerms {
		if terms.Unspent() > 0 {
			return false
		}
	}
	return true
}
