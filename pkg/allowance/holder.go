package allowance

import (
	"slices"
	"sync"
	"time"
)

// demandWindow is the time over which the demand for tokens is averaged: a few
// requests of a small team, and less than a cut lasts.
const demandWindow = 4 * time.Second

// Reservation is the greatest use of one request, held until it is settled.
type Reservation struct {
	Team   string
	Tokens int64
}

// holding is the state of one team.
type holding struct {
	spent    int64
	reserved int64
	// needed is the mean size of reservations.
	needed float64
	// greatest is the largest recent reservation.
	greatest int64
	// demand is the mean use in tokens a second.
	demand   float64
	demandAt time.Time
	// expected is the holder's even part of the whole fleet's demand.
	expected float64
	// refused counts reservations that found too little.
	refused int64
}

func (holding *holding) charged() int64 { return holding.spent + holding.reserved }

func (holding *holding) observe(tokens int64, now time.Time) {
	const weight = 0.1 // of a new size in the mean size
	if holding.needed == 0 {
		holding.needed = float64(tokens)
	}
	holding.needed += weight * (float64(tokens) - holding.needed)
	holding.greatest = max(tokens, holding.greatest-holding.greatest/50)
	holding.decay(now)
	holding.demand += float64(tokens) / demandWindow.Seconds()
}

func (holding *holding) decay(now time.Time) {
	if passed := now.Sub(holding.demandAt); passed > 0 {
		holding.demand *= max(0, 1-passed.Seconds()/demandWindow.Seconds())
		holding.demandAt = now
	}
}

// published is a row that is in the table, or may be.
type published struct {
	row Row
	// at is the local time of the row's stamp.
	at time.Time
}

// Holder holds one router's grants. Its methods take the local steady time.
type Holder struct {
	mutex sync.Mutex
	teams map[string]*holding
	// durable is the row that is known to be in the table; nil before the first.
	durable *published
	// pending are rows that may be in the table instead.
	pending []published
	// before are the terms in the table: a predecessor's, then the durable ones.
	before map[string]Terms
}

// NewHolder returns a holder without grants.
func NewHolder() *Holder {
	return &Holder{teams: make(map[string]*holding)}
}

func (holder *Holder) team(name string) *holding {
	found, ok := holder.teams[name]
	if !ok {
		found = &holding{}
		holder.teams[name] = found
	}
	return found
}

// room returns what may still be reserved: by every row that may be in force.
func (holder *Holder) room(name string, now time.Time) int64 {
	if holder.durable == nil {
		return 0
	}
	limit := holder.durable.bound(name, now)
	for i := range holder.pending {
		limit = min(limit, holder.pending[i].bound(name, now))
	}
	return limit - holder.team(name).charged()
}

func (published *published) bound(name string, now time.Time) int64 {
	return published.row.Bound(name, now.Sub(published.at))
}

// Reserve sets the tokens aside if they are at hand.
func (holder *Holder) Reserve(name string, tokens int64, now time.Time) (Reservation, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	team := holder.team(name)
	team.observe(tokens, now)
	if holder.room(name, now) < tokens {
		team.refused++
		return Reservation{}, false
	}
	team.reserved += tokens
	return Reservation{Team: name, Tokens: tokens}, true
}

// Retry is Reserve for a request that was counted before.
func (holder *Holder) Retry(name string, tokens int64, now time.Time) (Reservation, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.room(name, now) < tokens {
		return Reservation{}, false
	}
	holder.team(name).reserved += tokens
	return Reservation{Team: name, Tokens: tokens}, true
}

// Settle ends a reservation with what was used of it.
func (holder *Holder) Settle(reservation Reservation, used int64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	team := holder.team(reservation.Team)
	team.reserved -= reservation.Tokens
	team.spent += min(max(used, 0), reservation.Tokens)
}

// until returns how long it takes for the pace to bring the tokens, if it does
// within the limit.
func (holder *Holder) until(name string, tokens int64, now time.Time, limit time.Duration) (time.Duration, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.room(name, now.Add(limit)) < tokens {
		return 0, false
	}
	early, late := time.Duration(0), limit
	for late-early > time.Millisecond {
		if middle := (early + late) / 2; holder.room(name, now.Add(middle)) < tokens {
			early = middle
		} else {
			late = middle
		}
	}
	return late, true
}

// low reports whether the next request of the team would have to wait for a
// write though the holder has the tokens.
func (holder *Holder) low(name string, now time.Time) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	team := holder.team(name)
	needed := int64(team.needed)
	return holder.room(name, now) < needed && holder.before[name].Granted-team.charged() >= needed
}

// Started reports whether the holder's first row is in the table.
func (holder *Holder) Started() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.durable != nil
}

// Holding is what a holder has of one team.
type Holding struct {
	Granted, Spent, Reserved, Available int64
	Demand                              float64
	Refused                             int64
}

// Holdings returns what is held by team, for logs and metrics.
func (holder *Holder) Holdings(now time.Time) map[string]Holding {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holdings := make(map[string]Holding, len(holder.teams))
	for name, team := range holder.teams {
		holdings[name] = Holding{
			Granted: holder.before[name].Granted, Spent: team.spent, Reserved: team.reserved,
			Available: holder.room(name, now), Demand: team.demand, Refused: team.refused,
		}
	}
	return holdings
}

// adopt takes over the row of a predecessor that died before the elapsed time
// since its stamp had passed. All that it can have spent counts as spent.
func (holder *Holder) adopt(row Row, elapsed time.Duration) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.before = row.Teams
	for name := range row.Teams {
		holder.team(name).spent = row.Bound(name, elapsed)
	}
}

// Need is what a holder uses of one team's budget, for planning its grant.
type Need struct {
	// Own are the terms in the row that is replaced, with what is charged now.
	Own Terms
	// Demand is the present use in tokens a second, Expected the even part of
	// the fleet's at the last exchange, and Mean the size of requests.
	Demand   float64
	Expected float64
	Mean     float64
}

// Grant is what is planned for a team's next row.
type Grant struct {
	Granted int64
	// Reported and Demand are what the pool row is told.
	Reported int64
	Demand   int64
	// Expected is the holder's even part of the fleet's demand.
	Expected float64
	// Wanted is what waiting requests need at once.
	Wanted int64
	// Still is set when nothing more is spent.
	Still bool
}

// plan returns a team's grant in the next row.
type plan func(name string, need Need) Grant

// unspent returns what the holder has of the team's budget.
func (holder *Holder) unspent(name string) int64 {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.before[name].Granted - holder.team(name).charged()
}

// draft makes the next row, which replaces the one that is known to be in the
// table. While it may be in force, the lesser of old and new terms holds, so
// what it gives back is not spent from now on, and what it takes only once it
// is durable.
func (holder *Holder) draft(row Row, plan plan, now time.Time) Row {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	row.Teams = make(map[string]Terms, len(holder.teams))
	for name := range holder.before {
		holder.team(name)
	}
	for name, team := range holder.teams {
		team.decay(now)
		own := holder.before[name]
		own.Charged = team.charged()
		grant := plan(name, Need{Own: own, Demand: team.demand, Mean: team.needed, Expected: team.expected})
		team.expected = grant.Expected
		terms := Terms{
			Granted: grant.Granted, Charged: own.Charged, Reported: grant.Reported, Demand: grant.Demand,
		}
		if !grant.Still {
			terms.Base, terms.Pace = paceOf(team, terms.Unspent(), grant.Wanted)
		}
		row.Teams[name] = terms
	}
	holder.pending = append(holder.pending, published{row: row, at: now})
	return row
}

// know makes sure that the teams have a place in the next row.
func (holder *Holder) know(teams map[string]int64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for name := range teams {
		holder.team(name)
	}
}

// committed makes a drafted row the durable one; no other draft can be applied
// any more.
func (holder *Holder) committed(sequence uint64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for i := range holder.pending {
		if holder.pending[i].row.Sequence == sequence {
			holder.durable = &holder.pending[i]
			holder.before = holder.durable.row.Teams
		}
	}
	holder.pending = nil
}

// dropped forgets a draft that was certainly not applied.
func (holder *Holder) dropped(sequence uint64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.pending = slices.DeleteFunc(holder.pending, func(pending published) bool {
		return pending.row.Sequence == sequence
	})
}

// fence stops the holder for good.
func (holder *Holder) fence() {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.durable, holder.pending = nil, nil
	holder.before = nil
}

// supplied reports whether the holder has tokens of some team.
func (holder *Holder) supplied() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for name, terms := range holder.before {
		if terms.Granted > holder.team(name).charged() {
			return true
		}
	}
	return false
}
