package allowance

import "time"

const (
	// paceFactor is how many times the expected demand a holder may spend in a
	// cut, so that a team which sends more than usual isn't held up.
	paceFactor = 2.5
	// leastPaceTime and greatestPaceTime bound the time in which all that is
	// held may be used up: below the first, a crash would lose too much of it;
	// above the second, a cut could strand it.
	leastPaceTime    = 4 * time.Second
	greatestPaceTime = 20 * time.Second
	// baseShare of what is held may be spent at once, for requests far above
	// the mean size.
	baseShare = 0.05
	// baseRequests of the mean size may be spent at once in any case: the next
	// one needs no write. All of it is lost in a crash.
	baseRequests = 1.5
	// rareTime is the mean time between two requests of a team above which it has no
	// base of whole requests.
	rareTime = 4 * time.Second
	// earlyTime is the time after a row's stamp in which the pace is earlyFactor times
	// the expected demand: about what a killed process takes to start again, so
	// that a crash in touch costs little.
	earlyTime   = 1500 * time.Millisecond
	earlyFactor = 1.4
	// priorTime is how long a budget is taken to last until demand shows.
	priorTime = time.Minute
	// stickiness weighs what was seen of a holder's demand against an even
	// spread: callers keep their connections, so that what a router got is
	// likely to come again, but a few requests say little.
	stickiness = 0.7
	// pooledShare of what remains stays in the pool, for the holders that run
	// short while they are in touch and for those that start anew.
	pooledShare = 0.35
	// wantedTime is the demand that is taken along when requests wait.
	wantedTime = 300 * time.Millisecond
	// leavingTime is the demand that a holder keeps which stops soon: about as
	// long as callers still come.
	leavingTime = 2 * time.Second
	// slack is how far a holding may be from its target before it is changed.
	slack = 0.1
	// wholeRequests is how many mean requests a holding must cover; below that
	// the tokens stay in the pool and are taken for each request.
	wholeRequests = 1.5
)

// paceOf returns base and pace for a team with the unspent tokens, of which
// requests that wait need some at once.
func paceOf(team *holding, unspent, wanted int64) (base, pace int64) {
	held := float64(max(unspent, 0))
	atOnce := max(min(float64(team.greatest), baseShare*held), float64(wanted))
	if team.demand*rareTime.Seconds() >= team.needed {
		atOnce = max(atOnce, baseRequests*team.needed)
	}
	seconds := max(team.demand, team.expected) * paceFactor
	seconds = min(max(seconds, held/greatestPaceTime.Seconds()), held/leastPaceTime.Seconds())
	return int64(atOnce), int64(seconds)
}

// Position is what is known of one team's budget at one exchange.
type Position struct {
	// Prepaid is the slice's part of the budget.
	Prepaid int64
	// Pool is what the holder's slice holds.
	Pool Share
	// Need is what the holder uses.
	Need
	// Wanted is what requests that wait for tokens need.
	Wanted int64
	// Holders is the number of the slice's holders that callers are led to; Idle
	// is set when this one is not among them.
	Holders int
	Idle    bool
	// Leaving is set when the holder stops soon.
	Leaving bool
}

// Remaining returns what of the budget was not charged by anybody.
func (position Position) Remaining() int64 {
	return position.Prepaid - position.Pool.Charged - (position.Own.Charged - position.Own.Reported)
}

// part returns the holder's part of what remains: an even one, drawn towards
// its part of the demand the more requests that demand stands for.
func (position Position) part(remaining float64) float64 {
	holders := float64(max(position.Holders, 1))
	others := max(float64(position.Pool.Demand-position.Own.Demand), 0)
	all := others + position.Demand
	seen := 0.0
	if position.Mean > 0 {
		seen = all * demandWindow.Seconds() / holders / position.Mean
	}
	prior := max(all, remaining/priorTime.Seconds()) / holders / (1 + stickiness*seen)
	if prior <= 0 {
		return 1 / holders
	}
	if position.Idle {
		return position.Demand / (all + holders*prior)
	}
	return (position.Demand + prior) / (all + holders*prior)
}

// Target returns the holder's grant after the exchange: its part of what
// remains, as far as the pool has it.
func (position Position) Target() int64 {
	remaining := max(position.Remaining(), 0)
	part := position.part(float64(remaining))
	wanted := float64(remaining) * part * (1 - pooledShare)
	if position.Leaving {
		wanted = min(wanted, position.Demand*leavingTime.Seconds())
	}
	if wanted < wholeRequests*position.Mean && position.Holders > 1 {
		wanted = 0
	}
	if position.Wanted > 0 {
		ahead := position.Demand * wantedTime.Seconds()
		wanted = max(wanted, min(float64(position.Wanted)+ahead, float64(remaining)))
	}
	unspent := float64(position.Own.Unspent())
	free := float64(max(position.Prepaid-position.Pool.Granted, 0))
	if position.Holders > 1 && unspent+free < min(float64(position.Wanted), position.Mean) {
		wanted = 0 // it would not do for one request here, but may with another holder's
	}
	switch {
	case wanted < unspent*(1-slack):
		return position.Own.Charged + int64(wanted)
	case wanted > unspent*(1+slack):
		return position.Own.Granted + int64(min(wanted-unspent, free))
	default:
		return position.Own.Granted
	}
}
