package budget

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Reservations that exceed the balance: the reservation waits in the account's
// queue. Until it is served or times out, the router (1) takes a grant from the
// table, shared by all waiters of the account, (2) borrows from other routers
// if the table grants too little or is slow, and (3) waits for tokens to be
// returned. If even all unsettled tokens of the budget are too few, the
// reservation is refused at once.

// Retry delays and wait limits of requests for tokens.
const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	// grantWaitLimit is how long a reservation waits for the table before it
	// asks other routers. The table call continues.
	grantWaitLimit = 300 * time.Millisecond
	// loanTimeout limits the calls for one loan.
	loanTimeout = 2 * time.Second
	// loanFactor is the ratio of the requested loan to the borrower's
	// shortfall. A lender with enough spare tokens lends the shortfall, and
	// beyond it at most half of its spare tokens.
	loanFactor = 4
)

// acquire waits until the demand is reserved, or returns why it is refused.
func (escrow *Escrow) acquire(ctx context.Context, account *account, demand Demand) error {
	timeout := escrow.waitLimit(demand)
	if timeout <= 0 {
		return deadlineError()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	waiter := account.enqueue(demand.Tokens)
	budgetStatus, err := escrow.requestUntilServed(ctx, account, demand, waiter)
	if account.dequeue(waiter) {
		return nil
	}
	return refusalError(demand, budgetStatus, err)
}

func (escrow *Escrow) waitLimit(demand Demand) time.Duration {
	if demand.Deadline.IsZero() {
		return escrow.config.MaxWait
	}
	return min(escrow.config.MaxWait, time.Until(demand.Deadline))
}

// requestUntilServed requests tokens until the waiter is served, ctx ends, or
// further requests cannot succeed. It returns the last known status of the
// budget.
func (escrow *Escrow) requestUntilServed(ctx context.Context, account *account, demand Demand, waiter *waiter) (budgetStatus, error) {
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     initialRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         maxRetryDelay,
	}
	status, exhausted := account.recentShortage(demand.Tokens)
	if exhausted {
		return status, nil
	}
	for {
		latest, err := escrow.requestGrant(ctx, account)
		if latest.isKnown {
			status = latest
		}
		if waiter.served() {
			escrow.metrics.countReservation("table")
			return status, nil
		}
		if isPermanent(err) || latest.isKnown && latest.recoverableTokens < demand.Tokens {
			return status, err
		}
		escrow.requestLoan(ctx, account)
		if waiter.waitFor(ctx, delays.NextBackOff()) {
			escrow.metrics.countReservation("waited")
			return status, nil
		}
		if ctx.Err() != nil {
			return status, err
		}
	}
}

// served reports whether the tokens were reserved.
func (waiter *waiter) served() bool {
	select {
	case <-waiter.ready:
		return true
	default:
		return false
	}
}

// waitFor waits for the duration and reports whether the waiter is served.
func (waiter *waiter) waitFor(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-waiter.ready:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return waiter.served()
}

// isPermanent reports whether another request to the table would fail in the
// same way.
func isPermanent(err error) bool {
	return fault.Is(err, fault.Forbidden) || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Draining)
}

func refusalError(demand Demand, budgetStatus budgetStatus, err error) error {
	switch {
	case isPermanent(err):
		return err
	case !budgetStatus.isKnown:
		return tableUnavailable(demand, err)
	case budgetStatus.recoverableTokens < demand.Tokens:
		return exhaustedError(demand, budgetStatus, exhaustedRetryAfter)
	default:
		return exhaustedError(demand, budgetStatus, DefaultMaxWait)
	}
}

// requestGrant takes one grant for all waiters of the account.
func (escrow *Escrow) requestGrant(ctx context.Context, account *account) (budgetStatus, error) {
	result := escrow.grantCalls.DoChan(account.profile, func() (any, error) {
		return escrow.takeGrant(context.WithoutCancel(ctx), account)
	})
	timer := time.NewTimer(grantWaitLimit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return budgetStatus{}, ctx.Err()
	case <-timer.C:
		return budgetStatus{}, context.DeadlineExceeded
	case response := <-result:
		return response.Val.(budgetStatus), response.Err
	}
}

// requestLoan takes one loan for all waiters of the account.
func (escrow *Escrow) requestLoan(ctx context.Context, account *account) {
	if escrow.config.LoanClient == nil {
		return
	}
	result := escrow.loanCalls.DoChan(account.profile, func() (any, error) {
		return nil, escrow.borrowOnce(context.WithoutCancel(ctx), account)
	})
	select {
	case <-ctx.Done():
	case <-result:
	}
}

// borrowOnce requests a loan that covers the account's shortfall and more, so
// that the next reservations need no loan.
func (escrow *Escrow) borrowOnce(ctx context.Context, account *account) error {
	shortfall := account.totalShortfall()
	if shortfall <= 0 || !escrow.beginGrant() {
		return nil
	}
	defer escrow.grantsInProgress.Done()
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	loan, err := escrow.config.LoanClient.Borrow(ctx, LoanRequest{
		TransferID: uuid.NewString(),
		Profile:    account.profile,
		Borrower:   escrow.config.Incarnation,
		Tokens:     loanFactor * shortfall,
	})
	if err != nil {
		_ = escrow.config.Logger.Log("level", "debug", "message", "no loan received", "profile", account.profile, "error", err)
		return err
	}
	if loan.Profile == account.profile && loan.Lender != escrow.config.Incarnation {
		account.creditLoan(loan)
	}
	return nil
}
