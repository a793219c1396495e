package allowance

// When a keeper writes, and when it exchanges with the pool.

import (
	"math/rand/v2"
	"time"
)

const (
	defaultSettleInterval   = 250 * time.Millisecond
	defaultExchangeInterval = 800 * time.Millisecond
	// idleInterval is the time between two writes of a holder that callers are
	// not led to.
	idleInterval = time.Second
	// retryInterval is the time to the next step when a call failed.
	retryInterval = 60 * time.Millisecond
	// urgentInterval is the least time between two exchanges for waiting requests.
	urgentInterval = 60 * time.Millisecond
	// settleSpacing and exchangeSpacing are the least times between two holders'
	// writes, and between two exchanges, in the whole fleet, and urgentSpacing
	// that between two exchanges of one slice for requests that wait: the table
	// takes some hundred writes a second, and a change of two partitions lasts
	// about two calls.
	settleSpacing   = 3 * time.Millisecond
	exchangeSpacing = 15 * time.Millisecond
	urgentSpacing   = 8 * time.Millisecond
	// leastSpread and greatestSpread times the holders bound the time over which
	// those that met a conflict spread their next exchanges: one call of the
	// table each, also when it is slow.
	leastSpread    = 5 * time.Millisecond
	greatestSpread = 30 * time.Millisecond
	// overloadedWait is the least time before the next exchange when the pool's
	// partition turned one away: more than a second of calls waits there.
	overloadedWait = time.Second
)

// untilUrgent returns the time to a step for requests that wait or will have
// to: soon for a write of the own row, later for an exchange with the pool. A
// slow pool is left to its regular exchanges.
func (keeper *Keeper) untilUrgent() time.Duration {
	holders, _ := keeper.config.Holders()
	if keeper.leaving.Load() && !keeper.left {
		keeper.left, keeper.exchangeAt = true, time.Time{}
		return 0
	}
	if keeper.short() {
		wait := max(urgentInterval, keeper.sharing(max(urgentSpacing, keeper.commitTook)))
		if wait <= keeper.config.SettleInterval {
			keeper.exchangeAt = time.Time{}
			return max(wait-keeper.config.Now().Sub(keeper.exchangedAt), 0)
		}
	}
	return max(settleSpacing*time.Duration(holders)-keeper.config.Now().Sub(keeper.steppedAt), 0)
}

// untilNext returns the time to the next step.
func (keeper *Keeper) untilNext() time.Duration {
	holders, serving := keeper.config.Holders()
	if !serving && !keeper.leaving.Load() {
		return idleInterval
	}
	wait := max(keeper.config.SettleInterval, settleSpacing*time.Duration(holders))
	if keeper.failed {
		wait = max(retryInterval, settleSpacing*time.Duration(holders))
	}
	if until := keeper.exchangeAt.Sub(keeper.config.Now()); until > 0 {
		wait = min(wait, until)
	}
	return wait
}

// sharing returns the time in which each holder of a slice has one turn.
func (keeper *Keeper) sharing(turn time.Duration) time.Duration {
	holders, _ := keeper.config.Holders()
	return time.Duration(int64(turn) * int64(min(holders, keeper.perSlice(holders))))
}

// short reports whether requests wait for more than the holder has; the others
// wait only for its row.
func (keeper *Keeper) short() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for name, wanted := range keeper.wanted {
		if keeper.holder.unspent(name) < wanted {
			return true
		}
	}
	return false
}

// spread returns a random time after which an exchange that met a conflict is
// tried again.
func (keeper *Keeper) spread(holders int) time.Duration {
	each := min(max(keeper.commitTook, leastSpread), greatestSpread)
	return time.Duration(rand.Int64N(int64(each) * int64(min(holders, keeper.perSlice(holders)))))
}
