package budget

import (
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// needWithin is what must be added to the balance for the waiting reservations
// that fit into the balance and the free tokens. The caller holds the lock.
func (account *account) needWithin(freeTokens int64) int64 {
	balance := account.balanceTokens()
	var tokens int64
	for _, waiter := range account.waiters {
		if tokens+waiter.tokens <= balance+freeTokens {
			tokens += waiter.tokens
		}
	}
	return max(0, tokens-balance)
}

// smallestWait is the least that a waiting reservation needs, or zero.
func (account *account) smallestWait() int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	var smallest int64
	for i, waiter := range account.waiters {
		if i == 0 || waiter.tokens < smallest {
			smallest = waiter.tokens
		}
	}
	return smallest
}

// shortAge is how long a router relies on the answer that a budget is short.
const shortAge = 250 * time.Millisecond

func (account *account) noteShort(found standing) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.short = found
	account.shortAt = time.Now()
}

// knownShort returns the table's last answer when it is recent and says that
// the tokens cannot come back.
func (account *account) knownShort(tokens int64) (standing, bool) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	recent := account.short.known && time.Since(account.shortAt) < shortAge
	return account.short, recent && account.short.recoverableTokens < tokens
}

// lackingTokens is what the balance lacks for all waiting reservations.
func (account *account) lackingTokens() int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	var tokens int64
	for _, waiter := range account.waiters {
		tokens += waiter.tokens
	}
	return max(0, tokens-account.balanceTokens())
}

// isEmpty reports whether there is nothing to return or refill.
func (account *account) isEmpty() bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.spareTokens() == 0 && account.later.rate(time.Now()) < 1
}

// sizingState is what the policy decides on.
func (account *account) sizingState(budget budgetRow) sizingState {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	now := time.Now()
	return sizingState{
		needTokens:     account.needWithin(budget.freeTokens()),
		soonPerSecond:  account.soon.rate(now),
		laterPerSecond: account.later.rate(now),
		spareTokens:    account.spareTokens(),
		takenTokens:    account.row.GrantedTokens - account.row.ReturnedTokens,
		budget:         budget,
	}
}

// lastingSurplus returns the surplus once it has lasted, or at once when the
// budget is short or retired, so that returns and refills do not alternate.
func (account *account) lastingSurplus(surplus int64, budget budgetRow, patience time.Duration) int64 {
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
	if budget.WantedTokens > 0 || budget.Retired || now.Sub(account.surplusSince) >= patience {
		account.surplusSince = time.Time{}
		return surplus
	}
	return 0
}

// beginReturn sets tokens aside for a return on top of a revision of the row
// and returns the amount. A return whose outcome is unknown is sent again as it
// was: of the two writes on one version the table applies at most one.
func (account *account) beginReturn(tokens int64, baseRevision uint64) int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.row.Revision != baseRevision {
		return 0
	}
	if account.returning.tokens == 0 {
		account.returning = pendingReturn{tokens: min(tokens, account.spareTokens()), baseRevision: baseRevision}
	}
	return account.returning.tokens
}

// failReturn frees the tokens that were set aside when the table stated that it
// applied nothing.
func (account *account) failReturn(err error) {
	if !isDefinite(err) {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.returning = pendingReturn{}
	account.admit()
}

// isDefinite reports whether an error says that nothing was applied.
func isDefinite(err error) bool {
	return fault.Is(err, fault.Conflict) || fault.Is(err, fault.Overloaded)
}

// noteGrantError remembers that a grant may arrive late.
func (account *account) noteGrantError(err error) {
	if isDefinite(err) {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.grantInTransit = true
}

// unrecordedLoans are received loans that the table's books do not have yet.
func (account *account) unrecordedLoans() []Loan {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return slices.Clone(account.unrecorded)
}

func (account *account) markRecorded(loan Loan) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.unrecorded = slices.DeleteFunc(account.unrecorded, func(other Loan) bool { return other == loan })
}
