package budget

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// The flow of a reservation that the held grant does not cover: it waits in the
// account, and until it is served or its time is over it (1) takes a grant from
// the table, shared by all that wait, (2) borrows from other routers when the
// table refuses or is slow, and (3) pauses for tokens to be returned. It is refused at once when even all
// unsettled tokens of the budget would not do.

// The pauses between two rounds of asking.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// grantPatience is how long a reservation waits for the table before it
	// asks other routers. The call to the table goes on.
	grantPatience = 300 * time.Millisecond
	// loanTimeout bounds the calls for one loan.
	loanTimeout = 2 * time.Second
	// loanFactor is how many times what it lacks a router asks for. A lender
	// gives what the borrower lacks, and beyond it at most half of what it can
	// spare.
	loanFactor = 4
)

// obtain waits until the demand is reserved, or returns why it is refused.
func (escrow *Escrow) obtain(ctx context.Context, account *account, demand Demand) error {
	bound := escrow.waitBound(demand)
	if bound <= 0 {
		return deadlineError()
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	waiter := account.wait(demand.Tokens)
	standing, err := escrow.await(ctx, account, demand, waiter)
	if account.leave(waiter) {
		return nil
	}
	return refusal(demand, standing, err)
}

func (escrow *Escrow) waitBound(demand Demand) time.Duration {
	if demand.Deadline.IsZero() {
		return escrow.config.MaxWait
	}
	return min(escrow.config.MaxWait, time.Until(demand.Deadline))
}

// await asks for tokens until the waiter is served, ctx ends, or asking is in
// vain. It returns what it last knew of the budget.
func (escrow *Escrow) await(ctx context.Context, account *account, demand Demand, waiter *waiter) (standing, error) {
	pauses := &backoff.ExponentialBackOff{
		InitialInterval:     firstPause,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         maxPause,
	}
	known, short := account.knownShort(demand.Tokens)
	if short {
		return known, nil
	}
	for {
		latest, err := escrow.replenish(ctx, account)
		if latest.known {
			known = latest
		}
		if waiter.served() {
			escrow.metrics.reserved("table")
			return known, nil
		}
		if isFinal(err) || latest.known && latest.recoverableTokens < demand.Tokens {
			return known, err
		}
		escrow.borrow(ctx, account)
		if waiter.pause(ctx, pauses.NextBackOff()) {
			escrow.metrics.reserved("waited")
			return known, nil
		}
		if ctx.Err() != nil {
			return known, err
		}
	}
}

// served reports whether the tokens were set aside.
func (waiter *waiter) served() bool {
	select {
	case <-waiter.ready:
		return true
	default:
		return false
	}
}

// pause waits for the duration and reports whether the waiter is served.
func (waiter *waiter) pause(ctx context.Context, duration time.Duration) bool {
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

// isFinal reports whether asking the table again is in vain.
func isFinal(err error) bool {
	return fault.Is(err, fault.Forbidden) || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Draining)
}

func refusal(demand Demand, standing standing, err error) error {
	switch {
	case isFinal(err):
		return err
	case !standing.known:
		return tableSilent(demand, err)
	case standing.recoverableTokens < demand.Tokens:
		return exhaustedError(demand, standing, exhaustedRetryAfter)
	default:
		return exhaustedError(demand, standing, DefaultMaxWait)
	}
}

// replenish takes one grant for all that wait on the account.
func (escrow *Escrow) replenish(ctx context.Context, account *account) (standing, error) {
	result := escrow.grants.DoChan(account.profile, func() (any, error) {
		return escrow.take(context.WithoutCancel(ctx), account)
	})
	patience := time.NewTimer(grantPatience)
	defer patience.Stop()
	select {
	case <-ctx.Done():
		return standing{}, ctx.Err()
	case <-patience.C:
		return standing{}, context.DeadlineExceeded
	case answer := <-result:
		return answer.Val.(standing), answer.Err
	}
}

// borrow takes one loan for all that wait on the account.
func (escrow *Escrow) borrow(ctx context.Context, account *account) {
	if escrow.config.Lender == nil {
		return
	}
	result := escrow.loans.DoChan(account.profile, func() (any, error) {
		return nil, escrow.borrowOnce(context.WithoutCancel(ctx), account)
	})
	select {
	case <-ctx.Done():
	case <-result:
	}
}

// borrowOnce asks other routers for what the account lacks, and for more, so
// that the next requests need no loan.
func (escrow *Escrow) borrowOnce(ctx context.Context, account *account) error {
	lacking := account.lackingTokens()
	if lacking <= 0 || !escrow.beginGrant() {
		return nil
	}
	defer escrow.granting.Done()
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	loan, err := escrow.config.Lender.Borrow(ctx, LoanRequest{
		TransferID: uuid.NewString(),
		Profile:    account.profile,
		Borrower:   escrow.config.Incarnation,
		Tokens:     loanFactor * lacking,
	})
	if err != nil {
		_ = escrow.config.Logger.Log("level", "debug", "message", "no loan", "profile", account.profile, "error", err)
		return err
	}
	if loan.Profile == account.profile && loan.Lender != escrow.config.Incarnation {
		account.receive(loan)
	}
	return nil
}
