package allowance

import (
	"context"
	"time"
)

// Shortage says why tokens could not be reserved.
type Shortage string

// The shortages.
const (
	// Exhausted means that the whole budget, read just now, can't cover the need.
	Exhausted Shortage = "exhausted"
	// Elsewhere means that other holders have what is needed.
	Elsewhere Shortage = "elsewhere"
	// OutOfTouch means that the table can't be asked.
	OutOfTouch Shortage = "out_of_touch"
)

// Reserve sets tokens aside. If they are not at hand and the table can be
// asked, it waits for one exchange, within the context.
func (keeper *Keeper) Reserve(ctx context.Context, team string, tokens int64) (Reservation, Shortage) {
	begun := keeper.config.Now()
	reservation, shortage := keeper.reserve(ctx, team, tokens)
	if shortage != "" {
		keeper.logShortage(team, tokens, shortage, begun)
	}
	return reservation, shortage
}

// logShortage writes what a refusal was decided by.
func (keeper *Keeper) logShortage(team string, tokens int64, shortage Shortage, begun time.Time) {
	now := keeper.config.Now()
	held := keeper.holder.Holdings(now)[team]
	remaining := keeper.remaining(team)
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	_ = keeper.config.Logger.Log("event", "budget_short", "team", team, "needed", tokens, "reason", shortage,
		"room", held.Available, "unspent", held.Granted-held.Spent-held.Reserved, "remaining", remaining,
		"waited", now.Sub(begun), "table_age", now.Sub(keeper.clockAt), "pool_age", now.Sub(keeper.poolAt))
}

func (keeper *Keeper) reserve(ctx context.Context, team string, tokens int64) (Reservation, Shortage) {
	if reservation, ok := keeper.holder.Reserve(team, tokens, keeper.config.Now()); ok {
		if keeper.holder.low(team, keeper.config.Now()) {
			keeper.hurry()
		}
		return reservation, ""
	}
	if !keeper.inTouch() {
		return keeper.awaitPace(ctx, team, tokens)
	}
	if keeper.knownShort(team, tokens) {
		return Reservation{}, Exhausted
	}
	exchanged := keeper.want(team, tokens)
	timer := time.NewTimer(exchangeWait)
	defer timer.Stop()
	select {
	case <-exchanged:
	case <-timer.C:
		if keeper.knownShort(team, tokens) {
			return Reservation{}, Exhausted
		}
		return keeper.awaitPace(ctx, team, tokens)
	case <-ctx.Done():
		return Reservation{}, OutOfTouch
	}
	if reservation, ok := keeper.holder.Retry(team, tokens, keeper.config.Now()); ok {
		return reservation, ""
	}
	if keeper.remaining(team) < tokens {
		return Reservation{}, Exhausted
	}
	return Reservation{}, Elsewhere
}

// awaitPace waits a short time for tokens that the table isn't needed for.
func (keeper *Keeper) awaitPace(ctx context.Context, team string, tokens int64) (Reservation, Shortage) {
	wait, soon := keeper.holder.until(team, tokens, keeper.config.Now(), paceWait)
	if !soon {
		return Reservation{}, OutOfTouch
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	if reservation, ok := keeper.holder.Retry(team, tokens, keeper.config.Now()); ok {
		return reservation, ""
	}
	return Reservation{}, OutOfTouch
}

// want asks for an exchange and returns what is closed at its end.
func (keeper *Keeper) want(team string, tokens int64) <-chan struct{} {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.wanted[team] += tokens
	keeper.hurry()
	return keeper.exchanged
}

// hurry asks for a step before the next one is due.
func (keeper *Keeper) hurry() {
	select {
	case keeper.urgent <- struct{}{}:
	default:
	}
}

func (keeper *Keeper) inTouch() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.config.Now().Sub(keeper.clockAt) < freshness
}

// knownShort reports whether the pool, read just now, can't cover the tokens.
func (keeper *Keeper) knownShort(team string, tokens int64) bool {
	keeper.mutex.Lock()
	recent := keeper.config.Now().Sub(keeper.poolAt) < recentRead
	keeper.mutex.Unlock()
	return recent && keeper.remaining(team) < tokens
}

// remaining returns what of the budget nobody had charged at the last exchange.
func (keeper *Keeper) remaining(team string) int64 {
	prepaid := keeper.config.Prepaid()[team]
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return prepaid - keeper.charged[team]
}

// Supplied reports whether requests can be reserved for: the holder has tokens,
// has asked the pool for them, or will ask it for each of the few that come to a
// router which callers are not led to.
func (keeper *Keeper) Ready() bool {
	keeper.mutex.Lock()
	asked := keeper.asked
	keeper.mutex.Unlock()
	_, serving := keeper.config.Holders()
	return keeper.holder.Started() && (asked || !serving || keeper.holder.supplied())
}
