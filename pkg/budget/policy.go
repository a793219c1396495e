package budget

import (
	"math"
	"time"
)

// forecastWindow is the time constant of the demand's moving average.
const forecastWindow = 10 * time.Second

// forecast is an exponentially weighted average of demand in tokens a second.
type forecast struct {
	tokensPerSecond float64
	at              time.Time
}

func (forecast *forecast) add(tokens int64, now time.Time) {
	forecast.decay(now)
	forecast.tokensPerSecond += float64(tokens) / forecastWindow.Seconds()
}

// correct takes out tokens that were reserved and not used.
func (forecast *forecast) correct(tokens int64, now time.Time) {
	forecast.decay(now)
	corrected := forecast.tokensPerSecond - float64(tokens)/forecastWindow.Seconds()
	forecast.tokensPerSecond = math.Max(0, corrected)
}

func (forecast *forecast) decay(now time.Time) {
	if elapsed := now.Sub(forecast.at); !forecast.at.IsZero() && elapsed > 0 {
		forecast.tokensPerSecond *= math.Exp(-elapsed.Seconds() / forecastWindow.Seconds())
	}
	if now.After(forecast.at) {
		forecast.at = now
	}
}

// tokens is the demand expected within the horizon.
func (forecast *forecast) tokens(now time.Time, horizon time.Duration) int64 {
	forecast.decay(now)
	return int64(math.Ceil(forecast.tokensPerSecond * horizon.Seconds()))
}

// The names of the sizing policies.
const (
	// PolicyHorizon sizes grants to the demand expected within a horizon.
	PolicyHorizon = "horizon"
	// PolicyEqualShares gives every router a fixed equal share.
	PolicyEqualShares = "equal_shares"
)

// sizingState is what a policy decides on. All amounts are in tokens.
type sizingState struct {
	// needTokens are lacking for reservations that wait now.
	needTokens int64
	// forecastTokens is the demand expected within the horizon.
	forecastTokens int64
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
		construct: func(EscrowConfig) sizing { return horizonSizing{} },
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
	// firstGrantRequests sizes a grant without a forecast, in requests.
	firstGrantRequests = 2
	// shareDivisor leaves the larger part of what is free to other holders.
	shareDivisor = 2
	// keepHorizons is how many horizons of demand may stay idle.
	keepHorizons = 2
	// tightDivisor divides the horizon near exhaustion.
	tightDivisor = 2
	// refillDivisor is the part of the horizon below which a grant is refilled.
	refillDivisor = 4
)

// horizonSizing follows the forecast.
type horizonSizing struct{}

func (horizonSizing) share(state sizingState) int64 {
	return state.budget.freeTokens() / (shareDivisor * max(1, state.budget.Holders))
}

func (sizing horizonSizing) take(state sizingState) int64 {
	want := max(firstGrantRequests*state.needTokens, state.needTokens+state.forecastTokens-state.spareTokens)
	want = min(want, sizing.share(state))
	return max(want, state.needTokens)
}

// keep lets idle tokens shrink with what is free, and keeps none while another
// router is short.
func (sizing horizonSizing) keep(state sizingState) int64 {
	if state.budget.WantedTokens > 0 || state.budget.Retired {
		return 0
	}
	return min(keepHorizons*state.forecastTokens, max(state.forecastTokens/tightDivisor, sizing.share(state)))
}

// equalShares divides the limit by the number of routers.
type equalShares struct {
	shares int
}

func (sizing equalShares) take(state sizingState) int64 {
	share := state.budget.LimitTokens / int64(max(1, sizing.shares))
	return max(0, share-state.takenTokens)
}

func (equalShares) keep(state sizingState) int64 {
	return state.spareTokens
}
