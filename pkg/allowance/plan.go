package allowance

import "time"

const (
	// rateFactor times the expected demand is the spend rate in a partition, so
	// that a team that sends more than usual is not held up.
	rateFactor = 2.5
	// minDrainTime and maxDrainTime bound the time in which all unspent tokens
	// may be used up: a shorter time would lose too many of them in a crash, a
	// longer one could leave them unusable in a partition.
	minDrainTime = 4 * time.Second
	maxDrainTime = 20 * time.Second
	// baseShare of the unspent tokens may be spent at once, for requests far
	// above the mean size.
	baseShare = 0.05
	// baseRequests of the mean size may be spent at once in any case, so that
	// the next one needs no write. A crash loses all of this base.
	baseRequests = 1.5
	// rareRequestInterval is the mean time between two requests of a team above
	// which baseRequests does not apply to it.
	rareRequestInterval = 4 * time.Second
	// earlyPeriod is the time after a row's stamp in which the spend rate is
	// only earlyRateFactor times the expected demand. A killed process takes
	// about as long to start again, so that the crash of a connected router
	// loses few tokens.
	earlyPeriod     = 1500 * time.Millisecond
	earlyRateFactor = 1.4
	// priorBudgetDuration is how long a budget is assumed to last until demand
	// is observed.
	priorBudgetDuration = time.Minute
	// demandWeight weighs a holder's observed demand against an even spread:
	// callers keep their connections, so a router's demand is likely to
	// continue, but a few requests are weak evidence.
	demandWeight = 0.7
	// pooledShare of the remaining budget stays in the pool, for connected
	// holders that run short and for those that start.
	pooledShare = 0.35
	// prefetchTime is the time for whose demand a holder takes extra tokens
	// when requests wait.
	prefetchTime = 300 * time.Millisecond
	// leavingDemandTime is the time for whose demand a stopping holder keeps
	// tokens: about as long as callers still connect to it.
	leavingDemandTime = 2 * time.Second
	// targetMargin is how far a holder's unspent tokens may differ from their
	// target, as a fraction, before its grant is changed.
	targetMargin = 0.1
	// minHeldRequests is how many mean requests a holder's target must cover;
	// below that the tokens stay in the pool and are taken for each request.
	minHeldRequests = 1.5
)

// spendRate returns the base in tokens, and the rate in tokens a second, for a
// team with the unspent tokens, of which waiting requests need some at once.
func spendRate(account *account, unspent, waitingTokens int64) (base, rate int64) {
	heldTokens := float64(max(unspent, 0))
	baseTokens := max(min(float64(account.maxReservation), baseShare*heldTokens), float64(waitingTokens))
	if account.demand*rareRequestInterval.Seconds() >= account.meanReservation {
		baseTokens = max(baseTokens, baseRequests*account.meanReservation)
	}
	tokensPerSecond := max(account.demand, account.expectedDemand) * rateFactor
	tokensPerSecond = min(max(tokensPerSecond, heldTokens/maxDrainTime.Seconds()), heldTokens/minDrainTime.Seconds())
	return int64(baseTokens), int64(tokensPerSecond)
}

// BudgetState is the state of one team's budget at an exchange. Amounts are
// tokens.
type BudgetState struct {
	// SliceBudget is the slice's part of the budget.
	SliceBudget int64
	// Share is the team's state in the holder's slice.
	Share Share
	// Usage is the holder's use of the budget.
	Usage
	// WaitingTokens is what requests that wait for tokens need.
	WaitingTokens int64
	// Holders is the number of the slice's holders that callers are directed
	// to. Idle is set when this one is not among them.
	Holders int
	Idle    bool
	// Leaving is set when the holder stops soon.
	Leaving bool
}

// Remaining returns the tokens of the slice's budget that no holder has
// charged.
func (budgetState BudgetState) Remaining() int64 {
	return budgetState.SliceBudget - budgetState.Share.Charged - (budgetState.Current.Charged - budgetState.Current.Reported)
}

// fraction returns the holder's fraction of the remaining tokens. It is even at
// first and approaches the holder's fraction of the demand as more requests are
// observed.
func (budgetState BudgetState) fraction(remaining float64) float64 {
	holders := float64(max(budgetState.Holders, 1))
	othersDemand := max(float64(budgetState.Share.Demand-budgetState.Current.Demand), 0)
	totalDemand := othersDemand + budgetState.Demand
	observedRequests := 0.0
	if budgetState.MeanReservation > 0 {
		observedRequests = totalDemand * demandWindow.Seconds() / holders / budgetState.MeanReservation
	}
	priorDemand := max(totalDemand, remaining/priorBudgetDuration.Seconds()) / holders / (1 + demandWeight*observedRequests)
	if priorDemand <= 0 {
		return 1 / holders
	}
	if budgetState.Idle {
		return budgetState.Demand / (totalDemand + holders*priorDemand)
	}
	return (budgetState.Demand + priorDemand) / (totalDemand + holders*priorDemand)
}

// Target returns the holder's grant after the exchange: its fraction of the
// remaining tokens, limited to what the slice can still grant.
func (budgetState BudgetState) Target() int64 {
	remaining := max(budgetState.Remaining(), 0)
	fraction := budgetState.fraction(float64(remaining))
	target := float64(remaining) * fraction * (1 - pooledShare)
	if budgetState.Leaving {
		target = min(target, budgetState.Demand*leavingDemandTime.Seconds())
	}
	if target < minHeldRequests*budgetState.MeanReservation && budgetState.Holders > 1 {
		target = 0
	}
	if budgetState.WaitingTokens > 0 {
		prefetch := budgetState.Demand * prefetchTime.Seconds()
		target = max(target, min(float64(budgetState.WaitingTokens)+prefetch, float64(remaining)))
	}
	unspent := float64(budgetState.Current.Unspent())
	grantable := float64(max(budgetState.SliceBudget-budgetState.Share.Granted, 0))
	if budgetState.Holders > 1 && unspent+grantable < min(float64(budgetState.WaitingTokens), budgetState.MeanReservation) {
		target = 0 // too few tokens for one request; another holder may be able to use them
	}
	switch {
	case target < unspent*(1-targetMargin):
		return budgetState.Current.Charged + int64(target)
	case target > unspent*(1+targetMargin):
		return budgetState.Current.Granted + int64(min(target-unspent, grantable))
	default:
		return budgetState.Current.Granted
	}
}
