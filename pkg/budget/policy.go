package budget

import (
	"math"
	"time"
)

const (
	// shortWindow and longWindow are the time constants of the averages of
	// demand: one for what is needed soon, one for what is taken in advance.
	shortWindow = 10 * time.Second
	longWindow  = 60 * time.Second
)

// forecast is an exponentially weighted average of demand.
type forecast struct {
	window          time.Duration
	tokensPerSecond float64
	at              time.Time
}

// add counts reserved tokens, and with a negative amount those not used.
func (forecast *forecast) add(tokens int64, now time.Time) {
	forecast.decay(now)
	changed := forecast.tokensPerSecond + float64(tokens)/forecast.window.Seconds()
	forecast.tokensPerSecond = math.Max(0, changed)
}

func (forecast *forecast) decay(now time.Time) {
	if elapsed := now.Sub(forecast.at); !forecast.at.IsZero() && elapsed > 0 {
		forecast.tokensPerSecond *= math.Exp(-elapsed.Seconds() / forecast.window.Seconds())
	}
	if now.After(forecast.at) {
		forecast.at = now
	}
}

// rate returns the demand in tokens a second.
func (forecast *forecast) rate(now time.Time) float64 {
	forecast.decay(now)
	return forecast.tokensPerSecond
}

// The names of the sizing policies.
const (
	// PolicyHorizon sizes grants to the demand expected within a horizon.
	PolicyHorizon = "horizon"
	// PolicyRunway is PolicyHorizon with longer horizons while much is free.
	PolicyRunway = "runway"
	// PolicyEqualShares gives every router a fixed equal share.
	PolicyEqualShares = "equal_shares"
	// DefaultPolicy is the policy of an EscrowConfig without one.
	DefaultPolicy = PolicyRunway
)

// sizingState is what a policy decides on. All amounts are in tokens.
type sizingState struct {
	// needTokens are lacking for reservations that wait now.
	needTokens int64
	// soonPerSecond and laterPerSecond are the short and the long average of
	// demand in tokens a second.
	soonPerSecond  float64
	laterPerSecond float64
	// spareTokens are held and set aside for nothing.
	spareTokens int64
	// takenTokens is what the router has taken and not returned.
	takenTokens int64
	budget      budgetRow
}

// sizing decides how much a router takes and keeps.
type sizing interface {
	// take returns the size of a grant; less than the need means none.
	take(state sizingState) int64
	// keep returns what may stay idle; the rest is returned.
	keep(state sizingState) int64
	// refill reports whether to take a grant before a reservation waits.
	refill(state sizingState) bool
}

// policyRow describes one sizing policy.
type policyRow struct {
	usage     string
	construct func(config EscrowConfig) sizing
}

// policies is the one table of sizing policies; a new one is one row.
var policies = map[string]policyRow{
	PolicyHorizon: {
		usage:     "take what the forecast demands within the horizon, less near exhaustion, and return idle tokens",
		construct: func(config EscrowConfig) sizing { return horizonSizing{horizon: config.Horizon} },
	},
	PolicyRunway: {
		usage: "as horizon, and take up to 5 minutes of demand in advance while that is a small part of what is free",
		construct: func(config EscrowConfig) sizing {
			return horizonSizing{horizon: config.Horizon, runway: maxRunway}
		},
	},
	PolicyEqualShares: {
		usage:     "take a fixed equal share of the limit once and keep it",
		construct: func(config EscrowConfig) sizing { return equalShares{shares: config.Shares} },
	},
}

// PolicyUsage returns the names of the sizing policies with their usage.
func PolicyUsage() map[string]string {
	usage := make(map[string]string, len(policies))
	for name, row := range policies {
		usage[name] = row.usage
	}
	return usage
}

const (
	// maxRunway is the demand that PolicyRunway takes in advance.
	maxRunway = 5 * time.Minute
	// runwayDivisor bounds what all holders take in advance to a part of what
	// is free.
	runwayDivisor = 4
	// firstGrantRequests sizes a grant without a forecast, in requests.
	firstGrantRequests = 4
	// shareDivisor leaves the larger part of what is free to other holders.
	shareDivisor = 2
	// keepFactor is how much more than the target may stay idle.
	keepFactor = 2
	// tightDivisor divides the horizon near exhaustion.
	tightDivisor = 2
	// refillDivisor is the part of the target below which a grant is refilled.
	refillDivisor = 4
)

// horizonSizing follows the forecast. It covers the horizon, and the runway as
// long as that is a small part of what is free.
type horizonSizing struct {
	horizon time.Duration
	runway  time.Duration
}

// share is the most that one holder takes in advance.
func (horizonSizing) share(state sizingState) int64 {
	return state.budget.freeTokens() / (shareDivisor * max(1, state.budget.Holders))
}

// soon is the demand within the horizon.
func (sizing horizonSizing) soon(state sizingState) int64 {
	return int64(math.Ceil(state.soonPerSecond * sizing.horizon.Seconds()))
}

// target is what a router should hold.
func (sizing horizonSizing) target(state sizingState) int64 {
	allowance := state.budget.freeTokens() / (runwayDivisor * max(1, state.budget.Holders))
	ahead := min(allowance, int64(state.laterPerSecond*sizing.runway.Seconds()))
	return max(ahead, sizing.soon(state))
}

// take takes no more than is needed while a larger shortage is marked.
func (sizing horizonSizing) take(state sizingState) int64 {
	if state.budget.WantedTokens > state.needTokens {
		return state.needTokens
	}
	want := max(firstGrantRequests*state.needTokens, state.needTokens+sizing.target(state)-state.spareTokens)
	return max(state.needTokens, min(want, sizing.share(state)))
}

// keep lets idle tokens shrink with what is free, and keeps none while another
// router is short.
func (sizing horizonSizing) keep(state sizingState) int64 {
	if state.budget.WantedTokens > 0 || state.budget.Retired {
		return 0
	}
	return min(keepFactor*sizing.target(state), max(sizing.soon(state)/tightDivisor, sizing.share(state)))
}

func (sizing horizonSizing) refill(state sizingState) bool {
	low := min(sizing.target(state), sizing.share(state)) / refillDivisor
	return state.spareTokens < low
}

// equalShares divides the limit by the number of routers.
type equalShares struct {
	shares int
}

func (sizing equalShares) take(state sizingState) int64 {
	share := state.budget.LimitTokens / int64(max(1, sizing.shares))
	return max(0, share-state.takenTokens)
}

func (equalShares) refill(sizingState) bool {
	return false
}

func (equalShares) keep(state sizingState) int64 {
	return state.spareTokens
}
