package allowance

import (
	"context"
	"time"
)

// Shortage says why tokens could not be reserved.
type Shortage string

// Values of Shortage. The empty Shortage means that the tokens were reserved.
const (
	// Exhausted means that what remains of the whole budget, according to a
	// recent read of the pool, doesn't cover the request.
	Exhausted Shortage = "exhausted"
	// Elsewhere means that other holders have the tokens.
	Elsewhere Shortage = "elsewhere"
	// Disconnected means that the table does not answer in time.
	Disconnected Shortage = "out_of_touch"
)

// Reserve reserves tokens. If too few are available and the table is reachable,
// it waits for an exchange, and for further ones while the holder has the tokens, for
// at most maxExchangeWait and within the context.
func (keeper *Keeper) Reserve(ctx context.Context, team string, tokens int64) (Reservation, Shortage) {
	startedAt := keeper.config.Now()
	reservation, shortage := keeper.reserve(ctx, team, tokens)
	if shortage != "" {
		keeper.logShortage(team, tokens, shortage, startedAt)
	}
	return reservation, shortage
}

// logShortage logs the state on which a refusal was based.
func (keeper *Keeper) logShortage(team string, tokens int64, shortage Shortage, startedAt time.Time) {
	now := keeper.config.Now()
	holding := keeper.holder.Holdings(now)[team]
	remaining := keeper.remaining(team)
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	_ = keeper.config.Logger.Log("event", "budget_short", "team", team, "needed", tokens, "reason", shortage,
		"room", holding.Available, "unspent", holding.Granted-holding.Spent-holding.Reserved, "remaining", remaining, "free", keeper.freeByTeam[team],
		"exchanges", keeper.exchanges, "conflicts", keeper.conflicts, "commit", keeper.commitDuration,
		"waited", now.Sub(startedAt), "table_age", now.Sub(keeper.tableTimeReceivedAt), "pool_age", now.Sub(keeper.poolReadAt))
}

func (keeper *Keeper) reserve(ctx context.Context, team string, tokens int64) (Reservation, Shortage) {
	if reservation, ok := keeper.holder.Reserve(team, tokens, keeper.config.Now()); ok {
		if keeper.holder.nextNeedsWrite(team, keeper.config.Now()) {
			keeper.requestUrgentStep()
		}
		return reservation, ""
	}
	if !keeper.connected() {
		return keeper.waitForRate(ctx, team, tokens)
	}
	if keeper.knownExhausted(team, tokens) {
		return Reservation{}, Exhausted
	}
	if keeper.knownElsewhere(team, tokens) {
		return Reservation{}, Elsewhere
	}
	return keeper.reserveByExchange(ctx, team, tokens)
}

// reserveByExchange reserves tokens once an exchange, or a further one, makes them
// available.
func (keeper *Keeper) reserveByExchange(ctx context.Context, team string, tokens int64) (Reservation, Shortage) {
	timer := time.NewTimer(maxExchangeWait)
	defer timer.Stop()
	for {
		select {
		case <-keeper.requestExchange(team, tokens):
		case <-timer.C:
			if keeper.knownExhausted(team, tokens) {
				return Reservation{}, Exhausted
			}
			return keeper.waitForRate(ctx, team, tokens)
		case <-ctx.Done():
			return Reservation{}, Disconnected
		}
		if reservation, ok := keeper.holder.Retry(team, tokens, keeper.config.Now()); ok {
			return reservation, ""
		}
		switch {
		case keeper.remaining(team) < tokens:
			return Reservation{}, Exhausted
		case keeper.lastStepFailed.Load() || !keeper.connected():
			return keeper.waitForRate(ctx, team, tokens)
		case keeper.holder.unspent(team) < tokens:
			return Reservation{}, Elsewhere
		}
		// The holder has the tokens: a request that didn't wait took those that the last
		// write made available.
	}
}

// waitForRate waits up to maxRateWait until the spend rate makes the tokens
// available, which needs no call of the table.
func (keeper *Keeper) waitForRate(ctx context.Context, team string, tokens int64) (Reservation, Shortage) {
	wait, withinLimit := keeper.holder.timeUntilAvailable(team, tokens, keeper.config.Now(), maxRateWait)
	if !withinLimit {
		return Reservation{}, Disconnected
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	if reservation, ok := keeper.holder.Retry(team, tokens, keeper.config.Now()); ok {
		return reservation, ""
	}
	return Reservation{}, Disconnected
}

// requestExchange requests an exchange and returns a channel that is closed at the end
// of one that takes the request into account.
func (keeper *Keeper) requestExchange(team string, tokens int64) <-chan struct{} {
	exchangeDone := keeper.waiting.add(team, tokens)
	keeper.requestUrgentStep()
	return exchangeDone
}

// requestUrgentStep requests a step before the next regular one.
func (keeper *Keeper) requestUrgentStep() {
	select {
	case keeper.urgentStep <- struct{}{}:
	default:
	}
}

func (keeper *Keeper) connected() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.config.Now().Sub(keeper.tableTimeReceivedAt) < maxTableAge+keeper.pause
}

// knownExhausted reports whether the pool, as read within maxPoolAge, can't
// cover the tokens.
func (keeper *Keeper) knownExhausted(team string, tokens int64) bool {
	keeper.mutex.Lock()
	poolIsRecent := keeper.config.Now().Sub(keeper.poolReadAt) < maxPoolAge
	keeper.mutex.Unlock()
	return poolIsRecent && keeper.remaining(team) < tokens
}

// knownElsewhere reports whether other holders have so many of the tokens that an
// exchange can't help, according to the pool as read within maxShortageAge.
func (keeper *Keeper) knownElsewhere(team string, tokens int64) bool {
	unspent := max(keeper.holder.unspent(team), 0)
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.config.Now().Sub(keeper.poolReadAt) < maxShortageAge && unspent+keeper.freeByTeam[team] < tokens
}

// remaining returns the tokens of the budget that were not charged at the last
// read of the pool.
func (keeper *Keeper) remaining(team string) int64 {
	prepaid := keeper.config.Prepaid()[team]
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return prepaid - keeper.chargedByTeam[team]
}

// Ready reports whether the router can reserve tokens for requests. Its holder
// must have published a row. It must also have tokens or have exchanged with the
// pool, unless callers are not directed to the router: it then receives few
// requests and takes tokens from the pool for each of them.
func (keeper *Keeper) Ready() bool {
	keeper.mutex.Lock()
	exchangedOnce := keeper.exchangedOnce
	keeper.mutex.Unlock()
	_, serving := keeper.config.Holders()
	return keeper.holder.HasPublished() && (exchangedOnce || !serving || keeper.holder.hasUnspent())
}
