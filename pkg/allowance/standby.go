package allowance

// Demand at routers that callers are not directed to.
//
// The load: all callers of a team use one router that isn't on the list of routers, or
// kept the address of one that no longer is. The routers on the list hold equal parts of
// the team's budget and never see a request of it, so they can't tell how many requests
// the demand stands for.
//
// A standby holder whose requests come as often as a serving holder writes is busy: it
// writes and exchanges as often, counts as one of the slice's holders for the teams of
// these requests, and its slice states them. The others then use what its share says of the
// requests.

import (
	"slices"
	"strings"
	"time"
)

const (
	// busyHysteresis is the factor by which the requests of a team must become fewer
	// before a busy holder counts as idle again for it.
	busyHysteresis = 4
	// maxQuietTime is the time without a request after which the demand at a standby holder
	// has ended, so that it returns the tokens: the fewest requests of a busy one come once
	// a second.
	maxQuietTime = 2 * time.Second
	// maxStandbyAge is the age up to which the share of a busy holder is believed: longer
	// than a router may be cut off from the table.
	maxStandbyAge = 15 * time.Second
)

// standbyUse is what is known of a team at busy standby holders.
type standbyUse struct {
	// Holders is the number of such holders in the own slice.
	Holders int
	// MeanReservation is the mean size of a request in tokens, at most; zero while it is
	// unknown.
	MeanReservation float64
	// DemandElsewhere is the demand in other slices, in tokens a second.
	DemandElsewhere float64
}

// isBusy reports whether the team's requests come at least once in the interval, or a
// busyHysteresis-th as often if they did before.
func (account *account) isBusy(interval time.Duration, wasBusy bool) bool {
	requests := account.demand * interval.Seconds()
	if wasBusy {
		requests *= busyHysteresis
	}
	return account.meanReservation > 0 && requests >= account.meanReservation
}

// busyTeams returns the teams that are busy, in alphabetical order. It ends the demand of
// those without a request for maxQuietTime.
func (holder *Holder) busyTeams(interval time.Duration, previous []string, now time.Time) []string {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	var teams []string
	for team, account := range holder.accounts {
		account.decayDemand(now)
		if now.Sub(account.observedAt) > maxQuietTime {
			account.demand = 0
		}
		if account.isBusy(interval, slices.Contains(previous, team)) {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// updateBusyTeams updates the teams for which this holder is busy. A holder that callers
// are directed to, or that leaves, has none.
func (keeper *Keeper) updateBusyTeams(now time.Time) {
	var teams []string
	if _, serving := keeper.config.Holders(); !serving && !keeper.leaving.Load() && !keeper.closing {
		teams = keeper.holder.busyTeams(keeper.config.WriteInterval, keeper.busyTeams, now)
	}
	if !slices.Equal(teams, keeper.busyTeams) {
		age, _ := keeper.TableAge(now)
		_ = keeper.config.Logger.Log("event", "budget_standby_demand", "holder", keeper.config.Name, "teams", strings.Join(teams, ","),
			"previous", strings.Join(keeper.busyTeams, ","), "table_age", age)
	}
	keeper.busyTeams = teams
	keeper.busyTeamCount.Store(int64(len(teams)))
}

// StandbyTeams returns the number of teams that send many requests to this router though
// callers are not directed to it.
func (keeper *Keeper) StandbyTeams() int64 { return keeper.busyTeamCount.Load() }

// writers returns the number of holders that write often: those that callers are directed
// to, and the busy ones.
func (keeper *Keeper) writers() int {
	count, _ := keeper.config.Holders()
	if keeper.pool != nil {
		for number := range keeper.pool.slices {
			count += len(keeper.pool.slices[number].Standby)
		}
	}
	return count
}

// setStandby states the teams for which a standby holder is busy. Statements of holders
// that were left out of the slice, or have not exchanged for long, are removed.
func (slice *Slice) setStandby(name string, teams []string, now time.Duration) {
	for holder := range slice.Standby {
		if share, ok := slice.Holders[holder]; !ok || now-share.Stamp > maxStandbyAge {
			delete(slice.Standby, holder)
		}
	}
	delete(slice.Standby, name)
	if len(teams) == 0 {
		return
	}
	if slice.Standby == nil {
		slice.Standby = make(map[string][]string)
	}
	slice.Standby[name] = teams
}

// standbyUse returns what the slices state of a team at busy standby holders.
func (pool *pool) standbyUse(team string) standbyUse {
	use := standbyUse{}
	for number := range pool.slices {
		slice := &pool.slices[number]
		for name, teams := range slice.Standby {
			share, ok := slice.Holders[name]
			if !ok || pool.now-share.Stamp > maxStandbyAge || !slices.Contains(teams, team) {
				continue
			}
			account := share.Teams[team]
			if mean := account.maxMeanReservation(); use.MeanReservation == 0 || mean > 0 && mean < use.MeanReservation {
				use.MeanReservation = mean
			}
			if number == pool.ownNumber {
				use.Holders++
			} else {
				use.DemandElsewhere += float64(account.Demand)
			}
		}
	}
	return use
}

// evenFraction returns the fraction of a team's remaining budget that is spread evenly
// over the slices. With requests at standby holders it falls like the equal part of a
// holder.
func (pool *pool) evenFraction(team string, totalDemand float64) float64 {
	requests := observedRequests(totalDemand, pool.standbyUse(team).MeanReservation)
	return maxEvenFraction / (1 + demandWeight*requests/float64(len(pool.slices)))
}

// maxMeanReservation returns the largest mean size of a request that fits what is stated:
// the base of a holder with demand is baseRequests of them at least.
func (account HolderAccount) maxMeanReservation() float64 {
	return float64(account.Base) / baseRequests
}
