package budget

import (
	"math"
	"time"
)

const (
	// shortWindow and longWindow are the time constants of the demand averages.
	// Grants for the horizon are sized by the short one, the runway by the long
	// one.
	shortWindow = 10 * time.Second
	longWindow  = 60 * time.Second
)

// forecast is an exponentially weighted moving average of demand.
type forecast struct {
	window          time.Duration
	tokensPerSecond float64
	updatedAt       time.Time
}

// add adds reserved tokens. A negative amount corrects for reserved tokens that
// were not used.
func (forecast *forecast) add(tokens int64, now time.Time) {
	forecast.decay(now)
	updated := forecast.tokensPerSecond + float64(tokens)/forecast.window.Seconds()
	forecast.tokensPerSecond = math.Max(0, updated)
}

func (forecast *forecast) decay(now time.Time) {
	if elapsed := now.Sub(forecast.updatedAt); !forecast.updatedAt.IsZero() && elapsed > 0 {
		forecast.tokensPerSecond *= math.Exp(-elapsed.Seconds() / forecast.window.Seconds())
	}
	if now.After(forecast.updatedAt) {
		forecast.updatedAt = now
	}
}

// rate returns the demand in tokens per second.
func (forecast *forecast) rate(now time.Time) float64 {
	forecast.decay(now)
	return forecast.tokensPerSecond
}

// The names of the sizing policies.
const (
	// PolicyHorizon sizes grants to the demand expected within the horizon.
	PolicyHorizon = "horizon"
	// PolicyRunway is PolicyHorizon, extended to a longer period while most of
	// the budget is free.
	PolicyRunway = "runway"
	// PolicyEqualShares gives every router a fixed equal share of the limit.
	PolicyEqualShares = "equal_shares"
	// DefaultPolicy is used if EscrowConfig.Policy is empty or unknown.
	DefaultPolicy = PolicyRunway
)

// sizingState is the input of a sizing policy. All amounts are in tokens.
type sizingState struct {
	// shortfallTokens are missing for reservations that wait now.
	shortfallTokens int64
	// shortTermPerSecond and longTermPerSecond are the short and the long
	// average of demand in tokens per second.
	shortTermPerSecond float64
	longTermPerSecond  float64
	// spareTokens are the tokens of the router that are neither reserved nor
	// charged and can be returned or lent.
	spareTokens int64
	// takenTokens is the sum of the router's grants minus its returns.
	takenTokens int64
	budget      budgetRow
}

// sizing is a policy for how many tokens a router takes and holds.
type sizing interface {
	// grantSize returns the size of the next grant in tokens; zero or less
	// means no grant.
	grantSize(state sizingState) int64
	// maxIdle returns the spare tokens that the router may hold; the rest is
	// returned.
	maxIdle(state sizingState) int64
	// needsRefill reports whether to take a grant although no reservation
	// waits.
	needsRefill(state sizingState) bool
}

// policyEntry describes one sizing policy.
type policyEntry struct {
	usage     string
	newSizing func(config EscrowConfig) sizing
}

// policies are the sizing policies by name.
var policies = map[string]policyEntry{
	PolicyHorizon: {
		usage:     "grant the demand forecast for the horizon, less near exhaustion, and return idle tokens",
		newSizing: func(config EscrowConfig) sizing { return horizonSizing{horizon: config.Horizon} },
	},
	PolicyRunway: {
		usage: "like horizon, and grant up to 5 minutes of demand in advance while that is a small part of the free tokens",
		newSizing: func(config EscrowConfig) sizing {
			return horizonSizing{horizon: config.Horizon, runway: maxRunway}
		},
	},
	PolicyEqualShares: {
		usage:     "grant a fixed equal share of the limit once, and return nothing",
		newSizing: func(config EscrowConfig) sizing { return equalShares{routerCount: config.RouterCount} },
	},
}

// PolicyUsage returns the sizing policies with a short description each, by
// name.
func PolicyUsage() map[string]string {
	usage := make(map[string]string, len(policies))
	for name, entry := range policies {
		usage[name] = entry.usage
	}
	return usage
}

const (
	// maxRunway is the longest period of demand that PolicyRunway takes in
	// advance.
	maxRunway = 5 * time.Minute
	// runwayDivisor limits the runway: all holders together take in advance at
	// most the free tokens divided by runwayDivisor.
	runwayDivisor = 4
	// initialGrantRequests is the size of a grant without a forecast, as a
	// multiple of the waiting reservations.
	initialGrantRequests = 4
	// advanceDivisor limits what one holder takes in advance to the free tokens
	// per holder divided by advanceDivisor, so that the rest stays free for
	// other holders.
	advanceDivisor = 2
	// maxIdleFactor is the ratio of the most spare tokens that a router may hold
	// to its target.
	maxIdleFactor = 2
	// nearExhaustionDivisor reduces the spare tokens that a router may hold when
	// the budget is nearly exhausted: to the demand of the horizon divided by
	// nearExhaustionDivisor.
	nearExhaustionDivisor = 2
	// refillThresholdDivisor sets when a grant is refilled: when the spare tokens
	// fall below the target divided by refillThresholdDivisor.
	refillThresholdDivisor = 4
)

// horizonSizing sizes grants by the demand forecast. It covers the horizon, and
// the longer runway while that takes only a small part of the free tokens.
type horizonSizing struct {
	horizon time.Duration
	runway  time.Duration
}

// maxAdvance returns the most tokens that one holder takes in advance.
func (horizonSizing) maxAdvance(state sizingState) int64 {
	return state.budget.freeTokens() / (advanceDivisor * max(1, state.budget.Holders))
}

// horizonDemand returns the tokens needed within the horizon.
func (sizing horizonSizing) horizonDemand(state sizingState) int64 {
	return int64(math.Ceil(state.shortTermPerSecond * sizing.horizon.Seconds()))
}

// target returns the tokens that a router should hold.
func (sizing horizonSizing) target(state sizingState) int64 {
	maxRunwayTokens := state.budget.freeTokens() / (runwayDivisor * max(1, state.budget.Holders))
	runwayDemand := min(maxRunwayTokens, int64(state.longTermPerSecond*sizing.runway.Seconds()))
	return max(runwayDemand, sizing.horizonDemand(state))
}

// grantSize returns only the shortfall while another router is waiting for a
// larger amount.
func (sizing horizonSizing) grantSize(state sizingState) int64 {
	if state.budget.WantedTokens > state.shortfallTokens {
		return state.shortfallTokens
	}
	desired := max(initialGrantRequests*state.shortfallTokens, state.shortfallTokens+sizing.target(state)-state.spareTokens)
	return max(state.shortfallTokens, min(desired, sizing.maxAdvance(state)))
}

// maxIdle lowers the idle limit as the free tokens shrink. It is zero while any
// router is short of tokens, and for a retired budget.
func (sizing horizonSizing) maxIdle(state sizingState) int64 {
	if state.budget.WantedTokens > 0 || state.budget.Retired {
		return 0
	}
	return min(maxIdleFactor*sizing.target(state), max(sizing.horizonDemand(state)/nearExhaustionDivisor, sizing.maxAdvance(state)))
}

func (sizing horizonSizing) needsRefill(state sizingState) bool {
	threshold := min(sizing.target(state), sizing.maxAdvance(state)) / refillThresholdDivisor
	return state.spareTokens < threshold
}

// equalShares divides the limit by the number of routers.
type equalShares struct {
	routerCount int
}

func (sizing equalShares) grantSize(state sizingState) int64 {
	share := state.budget.LimitTokens / int64(max(1, sizing.routerCount))
	return max(0, share-state.takenTokens)
}

func (equalShares) needsRefill(sizingState) bool {
	return false
}

func (equalShares) maxIdle(state sizingState) int64 {
	return state.spareTokens
}
