package budget

import (
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// satisfiableShortfall returns the tokens by which the balance is too small for
// those waiters that fit into the balance plus freeTokens. The caller must hold
// the lock.
func (account *account) satisfiableShortfall(freeTokens int64) int64 {
	balance := account.balanceTokens()
	var tokens int64
	for _, waiter := range account.waiters {
		if tokens+waiter.tokens <= balance+freeTokens {
			tokens += waiter.tokens
		}
	}
	return max(0, tokens-balance)
}

// minWaitingTokens returns the smallest amount that a waiter asks for, or zero
// if none waits.
func (account *account) minWaitingTokens() int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	var minTokens int64
	for i, waiter := range account.waiters {
		if i == 0 || waiter.tokens < minTokens {
			minTokens = waiter.tokens
		}
	}
	return minTokens
}

// maxShortageAge is how long a shortage read from the table is relied on.
const maxShortageAge = 250 * time.Millisecond

func (account *account) recordShortage(status budgetStatus) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.shortage = status
	account.shortageReadAt = time.Now()
}

// recentShortage returns the last shortage read from the table. The second
// result is true if that shortage is recent and the budget cannot recover enough
// tokens for the demand.
func (account *account) recentShortage(tokens int64) (budgetStatus, bool) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	recent := account.shortage.isKnown && time.Since(account.shortageReadAt) < maxShortageAge
	return account.shortage, recent && account.shortage.recoverableTokens < tokens
}

// totalShortfall returns the tokens missing from the balance for all waiters.
func (account *account) totalShortfall() int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	var tokens int64
	for _, waiter := range account.waiters {
		tokens += waiter.tokens
	}
	return max(0, tokens-account.balanceTokens())
}

// isIdle reports whether the account has no tokens to return and no demand to
// refill for.
func (account *account) isIdle() bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.spareTokens() == 0 && account.longTerm.rate(time.Now()) < 1
}

// sizingState returns the input of the sizing policy.
func (account *account) sizingState(budget budgetRow) sizingState {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	now := time.Now()
	return sizingState{
		shortfallTokens:    account.satisfiableShortfall(budget.freeTokens()),
		shortTermPerSecond: account.shortTerm.rate(now),
		longTermPerSecond:  account.longTerm.rate(now),
		spareTokens:        account.spareTokens(),
		takenTokens:        account.holderRow.GrantedTokens - account.holderRow.ReturnedTokens,
		budget:             budget,
	}
}

// sustainedSurplus returns the surplus once it has lasted for minDuration, and
// zero before. The delay keeps returns and refills from alternating. If the
// budget is short of tokens or retired, there is no delay.
func (account *account) sustainedSurplus(surplus int64, budget budgetRow, minDuration time.Duration) int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	now := time.Now()
	switch {
	case surplus <= 0:
		account.surplusSince = time.Time{}
		return 0
	case account.surplusSince.IsZero():
		account.surplusSince = now
	}
	if budget.WantedTokens > 0 || budget.Retired || now.Sub(account.surplusSince) >= minDuration {
		account.surplusSince = time.Time{}
		return surplus
	}
	return 0
}

// beginReturn withholds tokens from the balance for a return that is conditional
// on baseRevision of the holder row, and returns the amount. A return with
// unknown outcome is sent again with the same amount: the table applies at most
// one of two writes against the same version.
func (account *account) beginReturn(tokens int64, baseRevision uint64) int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.holderRow.Revision != baseRevision {
		return 0
	}
	if account.pendingReturn.tokens == 0 {
		account.pendingReturn = pendingReturn{tokens: min(tokens, account.spareTokens()), baseRevision: baseRevision}
	}
	return account.pendingReturn.tokens
}

// releaseReturn makes the withheld tokens available again if the error says
// that the table applied nothing.
func (account *account) releaseReturn(err error) {
	if !nothingApplied(err) {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.pendingReturn = pendingReturn{}
	account.serveWaiters()
}

// nothingApplied reports whether an error guarantees that no write was applied.
func nothingApplied(err error) bool {
	return fault.Is(err, fault.Conflict) || fault.Is(err, fault.Overloaded)
}

// recordGrantError marks a grant as in doubt unless the error says that nothing
// was applied.
func (account *account) recordGrantError(err error) {
	if nothingApplied(err) {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.grantInDoubt = true
}

// copyUnrecordedLoans returns the received loans that are not yet written to
// the table.
func (account *account) copyUnrecordedLoans() []Loan {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return slices.Clone(account.unrecordedLoans)
}

func (account *account) markLoanRecorded(loan Loan) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.unrecordedLoans = slices.DeleteFunc(account.unrecordedLoans, func(other Loan) bool { return other == loan })
}
