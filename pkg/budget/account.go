package budget

import (
	"sync"
	"time"
)

// account is this router's in-memory share of one budget. Requests update it
// under a short lock; table calls are never made while holding the lock.
type account struct {
	profile string

	mutex sync.Mutex
	// holderRow is the newest holder row that this router has read or written.
	holderRow holderRow
	// reservedTokens are held by reservations that have not been settled.
	reservedTokens int64
	// chargedTokens, lentTokens and borrowedTokens are totals since this
	// incarnation started, including amounts not yet written to the table.
	chargedTokens  int64
	lentTokens     int64
	borrowedTokens int64
	// pendingReturn is a return whose outcome is not known yet.
	pendingReturn pendingReturn
	waiters       []*waiter
	// receivedLoans is the set of all loans received from other routers.
	// unrecordedLoans are those of them that are not yet written to the table.
	receivedLoans   map[Loan]bool
	unrecordedLoans []Loan
	// lentLoans are loans given to other routers, by transfer ID.
	lentLoans map[string]Loan
	// shortTerm and longTerm forecast demand over a short and a long window.
	shortTerm forecast
	longTerm  forecast
	// surplusSince is when the account began to hold more than the policy
	// allows; zero if it holds no surplus.
	surplusSince time.Time
	// grantInDoubt is set when the response to a grant write was lost, so the
	// table may or may not have applied the grant.
	grantInDoubt bool
	// shortage is the budget status that was read when the budget last failed
	// to cover a grant.
	shortage       budgetStatus
	shortageReadAt time.Time
}

// pendingReturn is a return that was written against baseRevision of the holder
// row.
type pendingReturn struct {
	tokens       int64
	baseRevision uint64
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	ready  chan struct{}
}

func newAccount(profile string) *account {
	return &account{
		profile:       profile,
		receivedLoans: make(map[Loan]bool),
		shortTerm:     forecast{window: shortWindow},
		longTerm:      forecast{window: longWindow},
		lentLoans:     make(map[string]Loan),
	}
}

// balanceTokens returns the tokens that can be reserved now. The caller must
// hold the lock.
func (account *account) balanceTokens() int64 {
	netReceived := account.holderRow.GrantedTokens - account.holderRow.ReturnedTokens + account.borrowedTokens
	outgoing := account.lentTokens + account.pendingReturn.tokens
	return netReceived - outgoing - account.chargedTokens - account.reservedTokens
}

// spareTokens returns the tokens that can be returned or lent. Borrowed tokens
// do not count until their loan is written to the table. The caller must hold
// the lock.
func (account *account) spareTokens() int64 {
	unrecorded := account.borrowedTokens - account.holderRow.BorrowedTokens
	return max(0, account.balanceTokens()-unrecorded)
}

// reserve reserves tokens, or returns false if the balance is too small.
func (account *account) reserve(tokens int64, now time.Time) bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.reserveLocked(tokens, now)
}

func (account *account) reserveLocked(tokens int64, now time.Time) bool {
	if account.balanceTokens() < tokens {
		return false
	}
	account.reservedTokens += tokens
	account.recordDemand(tokens, now)
	return true
}

// recordDemand adds tokens to the demand forecasts. The caller must hold the
// lock.
func (account *account) recordDemand(tokens int64, now time.Time) {
	account.shortTerm.add(tokens, now)
	account.longTerm.add(tokens, now)
}

// enqueue adds a waiter for tokens and serves it at once if the balance allows.
func (account *account) enqueue(tokens int64) *waiter {
	waiter := &waiter{tokens: tokens, ready: make(chan struct{})}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.waiters = append(account.waiters, waiter)
	account.serveWaiters()
	return waiter
}

// dequeue removes a waiter. It returns true if the waiter was already served.
func (account *account) dequeue(waiter *waiter) bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	for i, other := range account.waiters {
		if other == waiter {
			account.waiters = append(account.waiters[:i], account.waiters[i+1:]...)
			return false
		}
	}
	return true
}

// serveWaiters reserves tokens for waiters in order of arrival and skips those
// that do not fit into the balance. The caller must hold the lock.
func (account *account) serveWaiters() {
	now := time.Now()
	waiting := account.waiters[:0]
	for _, waiter := range account.waiters {
		if account.reserveLocked(waiter.tokens, now) {
			close(waiter.ready)
			continue
		}
		waiting = append(waiting, waiter)
	}
	clear(account.waiters[len(waiting):])
	account.waiters = waiting
}

// applyRow replaces the holder row if the given one is newer. A newer revision
// also resolves a pending return: either the new row includes it, or its write
// can no longer succeed.
func (account *account) applyRow(row holderRow) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if row.Revision <= account.holderRow.Revision {
		return
	}
	account.holderRow = row
	if account.pendingReturn.tokens > 0 && row.Revision > account.pendingReturn.baseRevision {
		account.pendingReturn = pendingReturn{}
	}
	account.serveWaiters()
}

// charge ends a reservation and charges a part of it; the rest goes back to the
// balance.
func (account *account) charge(reservedTokens, chargedTokens int64, now time.Time) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.reservedTokens -= reservedTokens
	account.chargedTokens += chargedTokens
	account.recordDemand(chargedTokens-reservedTokens, now)
	account.serveWaiters()
}

// debitLoan debits a loan, or returns the earlier loan with the same transfer
// ID.
func (account *account) debitLoan(loan Loan) (Loan, bool) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if existing, ok := account.lentLoans[loan.TransferID]; ok {
		return existing, true
	}
	spare := account.spareTokens()
	loan.Tokens = min(loan.Tokens, max(spare/2, min(spare, loan.Tokens/loanFactor)))
	if loan.Tokens <= 0 {
		return Loan{}, false
	}
	account.lentTokens += loan.Tokens
	account.lentLoans[loan.TransferID] = loan
	return loan, true
}

// creditLoan credits a loan unless it was credited before.
func (account *account) creditLoan(loan Loan) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.receivedLoans[loan] {
		return
	}
	account.receivedLoans[loan] = true
	account.unrecordedLoans = append(account.unrecordedLoans, loan)
	account.borrowedTokens += loan.Tokens
	account.serveWaiters()
}
