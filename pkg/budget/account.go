package budget

import (
	"sync"
	"time"
)

// account is the part of one budget that this router holds, in memory. Traffic
// changes it under a short lock; no table call is made under the lock.
type account struct {
	profile string

	mutex sync.Mutex
	// row is the newest holder row that this router has read or written.
	row holderRow
	// reservedTokens are set aside for requests that have not settled.
	reservedTokens int64
	// chargedTokens, lentTokens and borrowedTokens are totals of this
	// incarnation, whether or not the table has them.
	chargedTokens  int64
	lentTokens     int64
	borrowedTokens int64
	// returning is a return whose outcome is not known yet.
	returning pendingReturn
	waiters   []*waiter
	// received are all loans that this router got; unrecorded are those that
	// the table's books do not have yet.
	received   map[Loan]bool
	unrecorded []Loan
	// debits are loans given, by transfer id.
	debits map[string]Loan
	// soon and later forecast demand over a short and a long window.
	soon  forecast
	later forecast
	// surplusSince is when the account last began to hold more than it should;
	// zero while it does not.
	surplusSince time.Time
	// grantInTransit is set once the answer to a grant was lost.
	grantInTransit bool
	// short is the last answer of the table that the budget was short.
	short   standing
	shortAt time.Time
}

// pendingReturn is a return that was sent on top of a revision of the row.
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
		profile:  profile,
		received: make(map[Loan]bool),
		soon:     forecast{window: shortWindow},
		later:    forecast{window: longWindow},
		debits:   make(map[string]Loan),
	}
}

// balanceTokens can be reserved now. The caller holds the lock.
func (account *account) balanceTokens() int64 {
	received := account.row.GrantedTokens - account.row.ReturnedTokens + account.borrowedTokens
	passedOn := account.lentTokens + account.returning.tokens
	return received - passedOn - account.chargedTokens - account.reservedTokens
}

// spareTokens can be returned or lent: what was borrowed and is not in the
// table's books yet cannot. The caller holds the lock.
func (account *account) spareTokens() int64 {
	unrecorded := account.borrowedTokens - account.row.BorrowedTokens
	return max(0, account.balanceTokens()-unrecorded)
}

// reserve sets tokens aside, or returns false when the balance is too small.
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
	account.expect(tokens, now)
	return true
}

// expect counts demand in the forecasts. The caller holds the lock.
func (account *account) expect(tokens int64, now time.Time) {
	account.soon.add(tokens, now)
	account.later.add(tokens, now)
}

// wait joins the reservations that wait for tokens.
func (account *account) wait(tokens int64) *waiter {
	waiter := &waiter{tokens: tokens, ready: make(chan struct{})}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.waiters = append(account.waiters, waiter)
	account.admit()
	return waiter
}

// leave ends waiting. It returns true when the tokens were set aside.
func (account *account) leave(waiter *waiter) bool {
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

// admit serves waiting reservations in order, past those that do not fit. The
// caller holds the lock.
func (account *account) admit() {
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

// adopt takes over a newer holder row and decides a pending return: it was
// applied if the row says so, and never will be once the row has moved on.
func (account *account) adopt(row holderRow) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if row.Revision <= account.row.Revision {
		return
	}
	account.row = row
	if account.returning.tokens > 0 && row.Revision > account.returning.baseRevision {
		account.returning = pendingReturn{}
	}
	account.admit()
}

// charge ends a reservation; what is not charged returns to the balance.
func (account *account) charge(reservedTokens, chargedTokens int64, now time.Time) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.reservedTokens -= reservedTokens
	account.chargedTokens += chargedTokens
	account.expect(chargedTokens-reservedTokens, now)
	account.admit()
}

// lend debits a loan, or returns the one that was debited before under the same
// transfer id.
func (account *account) lend(loan Loan) (Loan, bool) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if earlier, ok := account.debits[loan.TransferID]; ok {
		return earlier, true
	}
	spare := account.spareTokens()
	loan.Tokens = min(loan.Tokens, max(spare/2, min(spare, loan.Tokens/loanFactor)))
	if loan.Tokens <= 0 {
		return Loan{}, false
	}
	account.lentTokens += loan.Tokens
	account.debits[loan.TransferID] = loan
	return loan, true
}

// receive credits a loan once.
func (account *account) receive(loan Loan) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.received[loan] {
		return
	}
	account.received[loan] = true
	account.unrecorded = append(account.unrecorded, loan)
	account.borrowedTokens += loan.Tokens
	account.admit()
}
