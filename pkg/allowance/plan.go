package allowance

import (
	"cmp"
	"time"
)

const (
	// rateFactor is the ratio of the spend rate to the expected demand, so that
	// a team that sends more than usual is served during a partition too.
	rateFactor = 2.5
	// minDrainTime and maxDrainTime bound the time in which the spend rate uses
	// up all unspent tokens: a shorter time would lose too many of them in a
	// crash, a longer one could leave them unusable in a partition.
	minDrainTime = 4 * time.Second
	maxDrainTime = 20 * time.Second
	// baseFraction limits the base that covers the largest recent request, as a
	// fraction of the unspent tokens.
	baseFraction = 0.05
	// baseRequests is the minimum base, in requests of mean size, so that the
	// next request needs no write. A crash loses the whole base.
	baseRequests = 1.5
	// rareRequestInterval is the mean time between two requests of a team above
	// which baseRequests does not apply to it.
	rareRequestInterval = 4 * time.Second
	// earlyPeriod is the time after a row's stamp in which the spend rate is
	// only earlyRateFactor times the expected demand. A killed process needs
	// about this time to restart, so the crash of a connected router loses few
	// tokens.
	earlyPeriod     = 1500 * time.Millisecond
	earlyRateFactor = 1.4
	// priorBudgetDuration is how long a budget is assumed to last until demand
	// is observed.
	priorBudgetDuration = time.Minute
	// demandWeight is the weight of one observed request against the assumption
	// that all holders have the same demand. Callers keep their connections, so
	// a router's demand is likely to continue, but a few requests are weak
	// evidence.
	demandWeight = 0.7
	// pooledFraction is the fraction of the remaining budget that stays in the
	// pool, for connected holders that run short and for those that start.
	pooledFraction = 0.35
	// prefetchTime is how many seconds of its demand a holder takes in addition
	// to the tokens that requests wait for.
	prefetchTime = 300 * time.Millisecond
	// leavingDemandTime is how many seconds of its demand a stopping holder
	// keeps: about as long as callers still connect to it.
	leavingDemandTime = 2 * time.Second
	// targetMargin is how far a holder's unspent tokens may differ from their
	// target, as a fraction, before its grant is changed.
	targetMargin = 0.1
	// minTargetRequests is how many requests of mean size a holder's target must
	// cover; below that the tokens stay in the pool and are taken for each
	// request.
	minTargetRequests = 1.5
)

// spendRate returns the base in tokens, and the rate in tokens a second, for a
// team's unspent tokens. The base covers waitingTokens, which requests wait for.
func spendRate(account *account, unspent, waitingTokens int64) (base, rate int64) {
	heldTokens := float64(max(unspent, 0))
	baseTokens := max(min(float64(account.maxReservation), baseFraction*heldTokens), float64(waitingTokens))
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
	SliceAccount SliceAccount
	// Usage describes the holder's use of the budget.
	Usage
	// WaitingTokens is what requests that wait for tokens need.
	WaitingTokens int64
	// Holders is the number of the slice's holders that callers are directed
	// to. Idle is set when callers are not directed to this holder.
	Holders int
	Idle    bool
	// Standby is the use of the budget at other holders that callers are not directed to.
	Standby standbyUse
	// Leaving is set when the holder stops soon.
	Leaving bool
	// ShortfallOfOthers is by how much the grants in other slices exceed their
	// budgets.
	ShortfallOfOthers int64
	// KeepGrant is set when nothing may be taken from the pool.
	KeepGrant bool
}

// Remaining returns the tokens of the slice's budget that no holder has
// charged.
func (budgetState BudgetState) Remaining() int64 {
	return budgetState.SliceBudget - budgetState.SliceAccount.Charged - (budgetState.CurrentTerms.Charged - budgetState.CurrentTerms.Reported)
}

// fraction returns the holder's fraction of the remaining tokens. At first it is
// the same for all holders; it approaches the holder's fraction of the demand as
// more requests are observed.
func (budgetState BudgetState) fraction(remaining float64) float64 {
	holders := float64(max(budgetState.Holders, 1))
	othersDemand := max(float64(budgetState.SliceAccount.Demand-budgetState.CurrentTerms.Demand), 0)
	totalDemand := othersDemand + budgetState.Demand
	if totalDemand == 0 {
		totalDemand = budgetState.Standby.DemandElsewhere
	}
	meanReservation := cmp.Or(budgetState.MeanReservation, budgetState.Standby.MeanReservation)
	priorDemand := max(totalDemand, remaining/priorBudgetDuration.Seconds()) / holders / (1 + demandWeight*observedRequests(totalDemand, meanReservation)/holders)
	if priorDemand <= 0 {
		return 1 / holders
	}
	if budgetState.Idle {
		return budgetState.Demand / (totalDemand + holders*priorDemand)
	}
	return (budgetState.Demand + priorDemand) / (totalDemand + holders*priorDemand)
}

// observedRequests returns how many requests of the mean size a demand of demandWindow
// stands for; zero while the size is unknown.
func observedRequests(demand, meanReservation float64) float64 {
	if meanReservation <= 0 {
		return 0
	}
	return demand * demandWindow.Seconds() / meanReservation
}

// grantable returns the tokens that the holder may take from its slice.
func (budgetState BudgetState) grantable() int64 {
	if budgetState.KeepGrant {
		return 0
	}
	return max(budgetState.SliceBudget-budgetState.SliceAccount.Granted-budgetState.ShortfallOfOthers, 0)
}

// TargetGrant returns the holder's grant after the exchange, in tokens. Its
// unspent part is the holder's fraction of the remaining tokens, limited to what
// the slice can still grant.
func (budgetState BudgetState) TargetGrant() int64 {
	remaining := max(budgetState.Remaining(), 0)
	fraction := budgetState.fraction(float64(remaining))
	targetUnspent := float64(remaining) * fraction * (1 - pooledFraction)
	if budgetState.Leaving {
		targetUnspent = min(targetUnspent, budgetState.Demand*leavingDemandTime.Seconds())
	}
	if targetUnspent < minTargetRequests*budgetState.MeanReservation && budgetState.Holders > 1 {
		targetUnspent = 0
	}
	if budgetState.WaitingTokens > 0 {
		prefetch := budgetState.Demand * prefetchTime.Seconds()
		targetUnspent = max(targetUnspent, min(float64(budgetState.WaitingTokens)+prefetch, float64(remaining)))
	}
	unspent := float64(budgetState.CurrentTerms.Unspent())
	grantable := float64(budgetState.grantable())
	if budgetState.Holders > 1 && unspent+grantable < min(float64(budgetState.WaitingTokens), budgetState.MeanReservation) {
		targetUnspent = 0 // too few tokens for one request; another holder may be able to use them
	}
	switch {
	case targetUnspent < unspent*(1-targetMargin):
		return budgetState.CurrentTerms.Charged + int64(targetUnspent)
	case targetUnspent > unspent*(1+targetMargin):
		return budgetState.CurrentTerms.Granted + int64(min(targetUnspent-unspent, grantable))
	default:
		return budgetState.CurrentTerms.Granted
	}
}
