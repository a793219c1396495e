package budget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/singleflight"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The defaults of EscrowConfig.
const (
	// DefaultHorizon is the demand that a grant covers.
	DefaultHorizon = 10 * time.Second
	// DefaultSettleInterval is the time between two settlement batches.
	DefaultSettleInterval = 200 * time.Millisecond
	// resizeInterval is the time between two looks at the size of the grants.
	resizeInterval = time.Second
	// DefaultMaxWait bounds the wait of a reservation for returned grants.
	DefaultMaxWait = 3 * time.Second
	// DefaultDrainTimeout bounds the table calls of Close without a deadline.
	DefaultDrainTimeout = 10 * time.Second
)

// EscrowConfig configures an Escrow.
type EscrowConfig struct {
	Table platform.Table
	// Incarnation names this run of the router; it is never used again.
	Incarnation string
	Logger      log.Logger
	// Registerer receives the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Horizon is the demand that a grant covers.
	Horizon time.Duration
	// SettleInterval is the time between two settlement batches.
	SettleInterval time.Duration
	// MaxWait bounds the wait of a reservation for returned grants.
	MaxWait time.Duration
	// Lender asks other routers for loans; nil asks none.
	Lender Lender
	// Keeper holds settlements while the table does not answer; nil keeps none.
	Keeper Keeper
	// Policy is the name of the sizing policy; empty means DefaultPolicy.
	Policy string
	// Shares is the number of routers, for PolicyEqualShares.
	Shares int
	// Retry bounds the retries of table calls.
	Retry platform.RetryConfig
}

func (config EscrowConfig) withDefaults() EscrowConfig {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Horizon <= 0 {
		config.Horizon = DefaultHorizon
	}
	if config.SettleInterval <= 0 {
		config.SettleInterval = DefaultSettleInterval
	}
	if config.MaxWait <= 0 {
		config.MaxWait = DefaultMaxWait
	}
	if _, ok := policies[config.Policy]; !ok {
		config.Policy = DefaultPolicy
	}
	return config
}

// Escrow is the router's side of all budgets: it reserves, settles, lends and
// borrows. Its methods are safe for concurrent use.
type Escrow struct {
	config  EscrowConfig
	table   platform.Table
	retrier *platform.Retrier
	sizing  sizing
	metrics metrics
	grants  singleflight.Group
	loans   singleflight.Group

	mutex    sync.Mutex
	accounts map[string]*account
	// ordered are the accounts in the order in which they were made.
	ordered  []*account
	draining bool
	// pending are settlements in the order of their numbers.
	pending    []*pendingSettlement
	settlement uint64
	// kept are settlements of other routers, by owner and number.
	kept map[string]map[uint64]Settlement

	// settling admits one settlement at a time; it guards the fields below.
	settling sync.Mutex
	sequence uint64
	batch    *batch

	// refillParallelism bounds the grants that are refilled at once.
	refillParallelism int

	// queued wakes the control goroutine; a settlement after a quiet interval
	// is written at once.
	queued chan struct{}
	// stop ends the goroutines and the table calls that they wait for.
	stop    context.CancelFunc
	stopped <-chan struct{}
	running sync.WaitGroup
	// granting counts the grants that are being taken.
	granting sync.WaitGroup
}

// NewEscrow returns an Escrow and starts its control goroutine, which settles,
// refills and returns grants until Close, and a second one, which hands
// settlements to another router while the first waits for the table.
func NewEscrow(config EscrowConfig) *Escrow {
	escrow := newEscrow(config)
	ctx, cancel := context.WithCancel(context.Background())
	escrow.stop = cancel
	escrow.stopped = ctx.Done()
	escrow.running.Go(func() {
		settle := time.NewTicker(escrow.config.SettleInterval)
		defer settle.Stop()
		resize := time.NewTicker(resizeInterval)
		defer resize.Stop()
		settled := time.Time{}
		for {
			select {
			case <-ctx.Done():
				return
			case <-escrow.queued:
				if time.Since(settled) < escrow.config.SettleInterval {
					continue
				}
				settled = time.Now()
				escrow.settle(ctx)
			case <-settle.C:
				if escrow.hasPending() {
					settled = time.Now()
				}
				escrow.settle(ctx)
			case <-resize.C:
				escrow.settleKept(ctx)
				escrow.resize(ctx)
			}
		}
	})
	escrow.running.Go(func() {
		age := escrow.config.SettleInterval + keepAge
		handOver := time.NewTicker(keepAge)
		defer handOver.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-handOver.C:
				escrow.handOver(ctx, age)
			}
		}
	})
	return escrow
}

func newEscrow(config EscrowConfig) *Escrow {
	config = config.withDefaults()
	return &Escrow{
		config:   config,
		table:    config.Table,
		retrier:  platform.NewRetrier(config.Retry),
		sizing:   policies[config.Policy].construct(config),
		metrics:  newMetrics(config.Registerer),
		accounts: make(map[string]*account),
		kept:     make(map[string]map[uint64]Settlement),

		refillParallelism: defaultRefillParallelism,

		queued: make(chan struct{}, 1),
		stop:   func() {},
	}
}

// account returns the account of a profile, made when needed.
func (escrow *Escrow) account(profile string) *account {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	held, ok := escrow.accounts[profile]
	if !ok {
		held = newAccount(profile)
		escrow.accounts[profile] = held
		escrow.ordered = append(escrow.ordered, held)
	}
	return held
}

// allAccounts returns the accounts at this moment.
func (escrow *Escrow) allAccounts() []*account {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return slices.Clone(escrow.ordered)
}

// Reserve sets the worst case of a request aside. Before it refuses it asks the
// table, then other routers, then waits for returned grants until the deadline
// or MaxWait. The errors are fault.BudgetExhausted, which states what was
// needed and what is left, fault.Unavailable when the table does not answer,
// fault.Draining and fault.Invalid. All of them mean that nothing ran.
func (escrow *Escrow) Reserve(ctx context.Context, demand Demand) (Reservation, error) {
	if demand.Tokens < 0 || demand.Profile == "" {
		return Reservation{}, invalidDemand(demand)
	}
	if escrow.isDraining() {
		return Reservation{}, drainingError()
	}
	account := escrow.account(demand.Profile)
	reservation := Reservation{Profile: demand.Profile, RequestID: demand.RequestID, Tokens: demand.Tokens}
	if account.reserve(demand.Tokens, time.Now()) {
		escrow.metrics.reserved("held")
		return reservation, nil
	}
	if err := escrow.obtain(ctx, account, demand); err != nil {
		escrow.metrics.refused(fault.KindOf(err))
		return Reservation{}, err
	}
	return reservation, nil
}

func (escrow *Escrow) isDraining() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return escrow.draining
}

// Lend debits a loan from this router's grant. A repeated request with the same
// transfer id returns the same loan. The errors are fault.BudgetExhausted when
// nothing can be spared and fault.Draining.
func (escrow *Escrow) Lend(_ context.Context, request LoanRequest) (Loan, error) {
	if escrow.isDraining() {
		return Loan{}, drainingError()
	}
	loan, ok := escrow.account(request.Profile).lend(Loan{
		TransferID: request.TransferID,
		Profile:    request.Profile,
		Lender:     escrow.config.Incarnation,
		Tokens:     request.Tokens,
	})
	if !ok {
		return Loan{}, nothingToLend(request)
	}
	escrow.metrics.lent(loan.Tokens)
	return loan, nil
}

// Close refuses new reservations, settles what has ended and returns all
// grants. What other reservations hold, and loans that no borrower has
// recorded, become unattributed. The error is fault.Unavailable when the table
// does not answer until the end of ctx; all that is held then stays charged.
func (escrow *Escrow) Close(ctx context.Context) error {
	if !escrow.drain() {
		return nil
	}
	escrow.stop()
	escrow.running.Wait()
	escrow.granting.Wait()
	return escrow.finish(ctx)
}

// drain stops new reservations. It returns false when that was done before.
func (escrow *Escrow) drain() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	if escrow.draining {
		return false
	}
	escrow.draining = true
	return true
}
