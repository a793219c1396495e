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

// Defaults of EscrowConfig and intervals of the control goroutine.
const (
	// DefaultHorizon is the default of EscrowConfig.Horizon.
	DefaultHorizon = 10 * time.Second
	// DefaultSettleInterval is the default of EscrowConfig.SettleInterval.
	DefaultSettleInterval = 200 * time.Millisecond
	// resizeInterval is the time between two rounds of resizing grants.
	resizeInterval = time.Second
	// DefaultMaxWait is the default of EscrowConfig.MaxWait.
	DefaultMaxWait = 3 * time.Second
	// DefaultDrainTimeout limits Close if its context has no deadline.
	DefaultDrainTimeout = 10 * time.Second
)

// EscrowConfig configures an Escrow.
type EscrowConfig struct {
	Table platform.Table
	// Incarnation identifies this run of the router. It must never be reused.
	Incarnation string
	Logger      log.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Horizon is the period of expected demand that a grant covers.
	Horizon time.Duration
	// SettleInterval is the time between two settlement batches.
	SettleInterval time.Duration
	// MaxWait limits how long a reservation waits for tokens.
	MaxWait time.Duration
	// LoanClient requests loans from other routers; nil disables loans.
	LoanClient LoanClient
	// BackupStore stores backup copies of settlements at other routers while
	// the table is unavailable; nil disables backups.
	BackupStore BackupStore
	// Policy is the name of the sizing policy; an empty or unknown name selects
	// DefaultPolicy.
	Policy string
	// RouterCount is the number of routers; only PolicyEqualShares uses it.
	RouterCount int
	// Retry configures the retries of table calls.
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

// Escrow manages this router's shares of all budgets: it reserves, settles,
// lends and borrows tokens. Its methods are safe for concurrent use.
type Escrow struct {
	config     EscrowConfig
	table      platform.Table
	retrier    *platform.Retrier
	sizing     sizing
	metrics    metrics
	grantCalls singleflight.Group
	loanCalls  singleflight.Group

	mutex    sync.Mutex
	accounts map[string]*account
	// accountList holds the accounts in order of creation.
	accountList []*account
	draining    bool
	// pendingSettlements are not yet written to the table; in order of number.
	pendingSettlements   []*pendingSettlement
	lastSettlementNumber uint64
	// backups are backup copies of other routers' settlements, by owner and
	// number.
	backups map[string]map[uint64]Settlement

	// settleMutex serializes the writes of settlements and guards lastSequence
	// and batch.
	settleMutex  sync.Mutex
	lastSequence uint64
	batch        *batch

	// refillParallelism limits the number of concurrent refills, which are
	// grants taken although no reservation waits.
	refillParallelism int

	// settlementQueued wakes the control goroutine, so that the first
	// settlement after an idle interval is written immediately.
	settlementQueued chan struct{}
	// stop ends the goroutines and cancels their table calls.
	stop       context.CancelFunc
	stopped    <-chan struct{}
	goroutines sync.WaitGroup
	// grantsInProgress counts grants and loans in progress.
	grantsInProgress sync.WaitGroup
}

// NewEscrow returns an Escrow and starts two goroutines that run until Close.
// The control goroutine settles, refills and returns grants. The other one
// sends pending settlements to a backup router, also while the control
// goroutine is blocked on the table.
func NewEscrow(config EscrowConfig) *Escrow {
	escrow := newEscrow(config)
	ctx, cancel := context.WithCancel(context.Background())
	escrow.stop = cancel
	escrow.stopped = ctx.Done()
	escrow.goroutines.Go(func() {
		settleTicker := time.NewTicker(escrow.config.SettleInterval)
		defer settleTicker.Stop()
		resizeTicker := time.NewTicker(resizeInterval)
		defer resizeTicker.Stop()
		lastSettledAt := time.Time{}
		for {
			select {
			case <-ctx.Done():
				return
			case <-escrow.settlementQueued:
				if time.Since(lastSettledAt) < escrow.config.SettleInterval {
					continue
				}
				lastSettledAt = time.Now()
				escrow.settle(ctx)
			case <-settleTicker.C:
				if escrow.hasPendingSettlements() {
					lastSettledAt = time.Now()
				}
				escrow.settle(ctx)
			case <-resizeTicker.C:
				escrow.settleBackups(ctx)
				escrow.resize(ctx)
			}
		}
	})
	escrow.goroutines.Go(func() {
		minAge := escrow.config.SettleInterval + backupDelay
		backupTicker := time.NewTicker(backupDelay)
		defer backupTicker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-backupTicker.C:
				escrow.sendBackups(ctx, minAge)
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
		sizing:   policies[config.Policy].newSizing(config),
		metrics:  newMetrics(config.Registerer),
		accounts: make(map[string]*account),
		backups:  make(map[string]map[uint64]Settlement),

		refillParallelism: defaultRefillParallelism,

		settlementQueued: make(chan struct{}, 1),
		stop:             func() {},
	}
}

// account returns the account of a profile and creates it if needed.
func (escrow *Escrow) account(profile string) *account {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	account, ok := escrow.accounts[profile]
	if !ok {
		account = newAccount(profile)
		escrow.accounts[profile] = account
		escrow.accountList = append(escrow.accountList, account)
	}
	return account
}

// allAccounts returns a copy of the account list.
func (escrow *Escrow) allAccounts() []*account {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return slices.Clone(escrow.accountList)
}

// Reserve reserves the worst-case cost of a request, in tokens. If this router
// holds too few tokens, it requests a grant from the table, then a loan from
// other routers, and then waits for tokens to be returned, until the deadline
// or MaxWait. The errors are fault.BudgetExhausted, which states the needed and
// the remaining tokens, fault.Unavailable if the table does not respond,
// fault.DeadlineExceeded, fault.Draining, fault.Invalid, fault.Forbidden for a
// retired profile and fault.NotFound. Their outcome is fault.NotRun.
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
		escrow.metrics.countReservation("held")
		return reservation, nil
	}
	if err := escrow.acquire(ctx, account, demand); err != nil {
		escrow.metrics.countRefusal(fault.KindOf(err))
		return Reservation{}, err
	}
	return reservation, nil
}

func (escrow *Escrow) isDraining() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	return escrow.draining
}

// Lend debits a loan from this router's tokens. A repeated request with the
// same transfer ID returns the same loan. The errors are fault.BudgetExhausted
// if there are no spare tokens, and fault.Draining.
func (escrow *Escrow) Lend(_ context.Context, request LoanRequest) (Loan, error) {
	if escrow.isDraining() {
		return Loan{}, drainingError()
	}
	loan, ok := escrow.account(request.Profile).debitLoan(Loan{
		TransferID: request.TransferID,
		Profile:    request.Profile,
		Lender:     escrow.config.Incarnation,
		Tokens:     request.Tokens,
	})
	if !ok {
		return Loan{}, noSpareTokens(request)
	}
	escrow.metrics.countLentTokens(loan.Tokens)
	return loan, nil
}

// Close refuses new reservations, writes all pending settlements and returns
// all spare tokens. Open reservations, and loans that the borrower has not
// written to the table, become unattributed. The error is fault.Unavailable if
// the table does not respond before ctx ends; all tokens of this router then
// stay charged.
func (escrow *Escrow) Close(ctx context.Context) error {
	if !escrow.drain() {
		return nil
	}
	escrow.stop()
	escrow.goroutines.Wait()
	escrow.grantsInProgress.Wait()
	return escrow.shutDown(ctx)
}

// drain refuses new reservations from now on. It returns false if the escrow
// was already draining.
func (escrow *Escrow) drain() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	if escrow.draining {
		return false
	}
	escrow.draining = true
	return true
}
