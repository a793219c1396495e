package allowance

import (
	"slices"
	"sync"
	"time"
)

// demandWindow is the time over which token demand is averaged: long enough for
// a few requests of a small team, and shorter than a network partition.
const demandWindow = 4 * time.Second

// Reservation holds the maximum number of tokens that one request can use,
// until it is settled.
type Reservation struct {
	Team   string
	Tokens int64
}

// account is the state of one team in a holder. Amounts are tokens.
type account struct {
	spent    int64
	reserved int64
	// meanReservation is the moving average of the size of reservations.
	meanReservation float64
	// maxReservation is the size of the largest recent reservation; it decays
	// by a fiftieth with each reservation.
	maxReservation int64
	// demand is the mean use in tokens a second, as of demandUpdatedAt.
	demand          float64
	demandUpdatedAt time.Time
	// observedAt is the time of the last reservation that was asked for.
	observedAt time.Time
	// expectedDemand is the demand of all holders of the slice divided by their
	// number, in tokens a second.
	expectedDemand float64
	// refusals counts the reservations that failed because too few tokens were
	// available.
	refusals int64
}

func (account *account) charged() int64 { return account.spent + account.reserved }

// observe records the size of a reservation in the averages, the maximum and
// the demand.
func (account *account) observe(tokens int64, now time.Time) {
	const weight = 0.1 // of a new reservation in the mean
	if account.meanReservation == 0 {
		account.meanReservation = float64(tokens)
	}
	account.meanReservation += weight * (float64(tokens) - account.meanReservation)
	account.maxReservation = max(tokens, account.maxReservation-account.maxReservation/50)
	account.decayDemand(now)
	account.observedAt = now
	account.demand += float64(tokens) / demandWindow.Seconds()
}

func (account *account) decayDemand(now time.Time) {
	if elapsed := now.Sub(account.demandUpdatedAt); elapsed > 0 {
		account.demand *= max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
		account.demandUpdatedAt = now
	}
}

// publishedRow is a row that is in the table, or may be.
type publishedRow struct {
	row HolderRow
	// stampedAt is the local time of the row's stamp.
	stampedAt time.Time
}

// Holder accounts for the grants of one router. Its methods take the local
// monotonic time. It is safe for concurrent use.
type Holder struct {
	mutex    sync.Mutex
	accounts map[string]*account
	// committedRow is the row that is known to be in the table, nil before the
	// first commit.
	committedRow *publishedRow
	// pendingRows may be in the table instead of committedRow.
	pendingRows []publishedRow
	// committedTerms are the terms in the table: first those of the preceding
	// process, then those of committedRow.
	committedTerms map[string]Terms
	// undoneStamp is the stamp of the row that takeOverUndone applied. Only the keeper's
	// goroutine uses it.
	undoneStamp time.Duration
}

// NewHolder returns a holder without grants.
func NewHolder() *Holder {
	return &Holder{accounts: make(map[string]*account)}
}

func (holder *Holder) account(team string) *account {
	found, ok := holder.accounts[team]
	if !ok {
		found = &account{}
		holder.accounts[team] = found
	}
	return found
}

// available returns the tokens that may still be reserved under the committed
// row and under every pending row.
func (holder *Holder) available(team string, now time.Time) int64 {
	if holder.committedRow == nil {
		return 0
	}
	limit := holder.committedRow.maxCharged(team, now)
	for i := range holder.pendingRows {
		limit = min(limit, holder.pendingRows[i].maxCharged(team, now))
	}
	return limit - holder.account(team).charged()
}

func (publishedRow *publishedRow) maxCharged(team string, now time.Time) int64 {
	return publishedRow.row.MaxCharged(team, now.Sub(publishedRow.stampedAt))
}

// Reserve reserves the tokens and reports whether enough were available. It
// counts the request towards the team's demand.
func (holder *Holder) Reserve(team string, tokens int64, now time.Time) (Reservation, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	account := holder.account(team)
	account.observe(tokens, now)
	if holder.available(team, now) < tokens {
		account.refusals++
		return Reservation{}, false
	}
	account.reserved += tokens
	return Reservation{Team: team, Tokens: tokens}, true
}

// Retry is Reserve for a request that Reserve has already counted towards the
// demand.
func (holder *Holder) Retry(team string, tokens int64, now time.Time) (Reservation, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.available(team, now) < tokens {
		return Reservation{}, false
	}
	holder.account(team).reserved += tokens
	return Reservation{Team: team, Tokens: tokens}, true
}

// Settle ends a reservation and charges the used tokens, at most those
// reserved.
func (holder *Holder) Settle(reservation Reservation, used int64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	account := holder.account(reservation.Team)
	account.reserved -= reservation.Tokens
	account.spent += min(max(used, 0), reservation.Tokens)
}

// timeUntilAvailable returns how long it takes until the spend rate makes the
// tokens available. It reports false if that takes longer than the limit.
func (holder *Holder) timeUntilAvailable(team string, tokens int64, now time.Time, limit time.Duration) (time.Duration, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.available(team, now.Add(limit)) < tokens {
		return 0, false
	}
	low, high := time.Duration(0), limit
	for high-low > time.Millisecond {
		if middle := (low + high) / 2; holder.available(team, now.Add(middle)) < tokens {
			low = middle
		} else {
			high = middle
		}
	}
	return high, true
}

// nextNeedsWrite reports whether the team's next request would have to wait for
// a write of the row though the holder has the tokens.
func (holder *Holder) nextNeedsWrite(team string, now time.Time) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	account := holder.account(team)
	meanReservation := int64(account.meanReservation)
	return holder.available(team, now) < meanReservation && holder.committedTerms[team].Granted-account.charged() >= meanReservation
}

// HasPublished reports whether the holder's first row is in the table.
func (holder *Holder) HasPublished() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.committedRow != nil
}

// terms returns the committed terms. They must not be changed.
func (holder *Holder) terms() map[string]Terms {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.committedTerms
}

// publishedBefore reports whether the holder's first row was in the table before the
// time of the table's clock.
func (holder *Holder) publishedBefore(stamp time.Duration) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.committedRow != nil && holder.committedRow.row.Stamp < stamp
}

// Holding is the state of one team in a holder. Amounts are tokens, Demand is
// in tokens a second, and Refusals counts failed reservations.
type Holding struct {
	Granted, Spent, Reserved, Available int64
	Demand                              float64
	Refusals                            int64
}

// Holdings returns the state by team name, for logs and metrics.
func (holder *Holder) Holdings(now time.Time) map[string]Holding {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holdings := make(map[string]Holding, len(holder.accounts))
	for team, account := range holder.accounts {
		holdings[team] = Holding{
			Granted: holder.committedTerms[team].Granted, Spent: account.spent, Reserved: account.reserved,
			Available: holder.available(team, now), Demand: account.demand, Refusals: account.refusals,
		}
	}
	return holdings
}

// takeOver applies the row of a preceding process that died less than elapsed
// after the row's stamp. The maximum that it can have charged counts as spent.
func (holder *Holder) takeOver(row HolderRow, elapsed time.Duration) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.committedTerms = row.Teams
	for team := range row.Teams {
		holder.account(team).spent = row.MaxCharged(team, elapsed)
	}
}

// takeOverUndone applies the row of a preceding process whose later rows a restore
// of the table has undone. Its grants are unknown, so that none is left.
func (holder *Holder) takeOverUndone(row HolderRow, elapsed time.Duration) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.committedTerms = make(map[string]Terms, len(row.Teams))
	holder.undoneStamp = row.Stamp
	if row.Estimated {
		holder.undoneStamp = row.EstimatedFrom
	}
	for team, terms := range row.Teams {
		account := HolderAccount{Charged: terms.Charged, Demand: max(terms.Demand, int64(float64(terms.Rate)/rateFactor)), Base: terms.Base}
		charged := account.maxCharged(elapsed)
		if row.Estimated {
			charged = terms.Charged // its process had no tokens left to spend
		}
		holder.setUndone(team, charged)
	}
}

// takeOverShare replaces the estimates of takeOverUndone by those from the preceding
// process's share in its slice, if that is more recent, and limits them by what it
// may have been granted. The share isn't known for the duration unknownFor.
func (holder *Holder) takeOverShare(share HolderShare, elapsed, unknownFor time.Duration) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for team, account := range share.Teams {
		charged := holder.account(team).spent
		if share.Stamp > holder.undoneStamp {
			charged = account.maxCharged(elapsed)
		}
		holder.setUndone(team, min(charged, account.Granted+account.mayHaveTaken(unknownFor)))
	}
}

func (holder *Holder) setUndone(team string, charged int64) {
	holder.account(team).spent = charged
	if holder.committedTerms == nil {
		holder.committedTerms = make(map[string]Terms)
	}
	holder.committedTerms[team] = Terms{Granted: charged, Charged: charged, Reported: charged}
}

// keepLowestGrants makes the grants of the committed row the lowest of those that
// may be in the table: an exchange without an answer may have returned the rest to
// the pool.
func (holder *Holder) keepLowestGrants() {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	terms := make(map[string]Terms, len(holder.committedTerms))
	for team, committed := range holder.committedTerms {
		for i := range holder.pendingRows {
			committed.Granted = min(committed.Granted, holder.pendingRows[i].row.Teams[team].Granted)
		}
		terms[team] = committed
	}
	holder.committedTerms = terms
}

// Usage is a holder's use of one team's budget, for planning its grant.
type Usage struct {
	// CurrentTerms are the terms in the committed row, with Charged brought up to
	// date.
	CurrentTerms Terms
	// Demand is the holder's mean use, ExpectedDemand the slice's demand at the
	// last exchange divided by its holders, both in tokens a second.
	// MeanReservation is the mean size of a reservation in tokens.
	Demand          float64
	ExpectedDemand  float64
	MeanReservation float64
}

// GrantPlan is what the next row is to state for a team. Amounts are tokens.
type GrantPlan struct {
	Granted int64
	// Reported and Demand are the holder's charges, and its use in tokens a
	// second, that are included in the slice's row.
	Reported int64
	Demand   int64
	// ExpectedDemand is the slice's demand divided by its holders, in tokens a
	// second.
	ExpectedDemand float64
	// WaitingTokens is what waiting requests need at once.
	WaitingTokens int64
	// StopSpending is set when nothing more may be spent.
	StopSpending bool
}

// planFunc returns a team's grant in the next row.
type planFunc func(team string, usage Usage) GrantPlan

// charged returns the tokens that the holder has charged to a team.
func (holder *Holder) charged(team string) int64 {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.account(team).charged()
}

// unspent returns the tokens that are granted for the team and not charged.
func (holder *Holder) unspent(team string) int64 {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.committedTerms[team].Granted - holder.account(team).charged()
}

// draft returns the next row, which is to replace the committed one. Until its
// commit is confirmed, the lower of both rows' bounds applies: tokens that the
// draft returns to the pool can't be spent any more, and tokens that it adds
// can't be spent yet.
func (holder *Holder) draft(row HolderRow, plan planFunc, now time.Time) HolderRow {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	row.Teams = make(map[string]Terms, len(holder.accounts))
	for team := range holder.committedTerms {
		holder.account(team)
	}
	for team, account := range holder.accounts {
		account.decayDemand(now)
		currentTerms := holder.committedTerms[team]
		currentTerms.Charged = account.charged()
		grantPlan := plan(team, Usage{CurrentTerms: currentTerms, Demand: account.demand, MeanReservation: account.meanReservation, ExpectedDemand: account.expectedDemand})
		account.expectedDemand = grantPlan.ExpectedDemand
		terms := Terms{
			Granted: grantPlan.Granted, Charged: currentTerms.Charged, Reported: grantPlan.Reported, Demand: grantPlan.Demand,
		}
		if !grantPlan.StopSpending {
			terms.Base, terms.Rate = spendRate(account, terms.Unspent(), grantPlan.WaitingTokens)
		}
		if terms != (Terms{}) {
			row.Teams[team] = terms
		}
	}
	holder.pendingRows = append(holder.pendingRows, publishedRow{row: row, stampedAt: now})
	return row
}

// addAccounts adds accounts of the teams, so that the next row includes them.
func (holder *Holder) addAccounts(prepaid map[string]int64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for team := range prepaid {
		holder.account(team)
	}
}

// markCommitted makes a draft the committed row. No other pending draft can be
// applied after that.
func (holder *Holder) markCommitted(sequence uint64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for i := range holder.pendingRows {
		if holder.pendingRows[i].row.Sequence == sequence {
			holder.committedRow = &holder.pendingRows[i]
			holder.committedTerms = holder.committedRow.row.Teams
		}
	}
	holder.pendingRows = nil
}

// discardDraft removes a draft that was certainly not applied.
func (holder *Holder) discardDraft(sequence uint64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.pendingRows = slices.DeleteFunc(holder.pendingRows, func(draft publishedRow) bool {
		return draft.row.Sequence == sequence
	})
}

// fence makes all later reservations fail, because another process writes the
// holder's row.
func (holder *Holder) fence() {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.committedRow, holder.pendingRows = nil, nil
	holder.committedTerms = nil
}

// hasUnspent reports whether the holder has unspent tokens of any team.
func (holder *Holder) hasUnspent() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for team, terms := range holder.committedTerms {
		if terms.Granted > holder.account(team).charged() {
			return true
		}
	}
	return false
}
