package allowance

// Timing of a keeper's writes and exchanges.

import (
	"math/rand/v2"
	"time"
)

const (
	defaultWriteInterval    = 250 * time.Millisecond
	defaultExchangeInterval = 800 * time.Millisecond
	// idleInterval is the time between two writes of a holder that callers are
	// not directed to, and emptyInterval that of one which holds no tokens either.
	idleInterval  = time.Second
	emptyInterval = 3 * time.Second
	// retryInterval is the time until the next step after a failed call.
	retryInterval = 60 * time.Millisecond
	// minUrgentInterval is the minimum time between two exchanges of a holder
	// for waiting requests.
	minUrgentInterval = 60 * time.Millisecond
	// writeSpacing and exchangeSpacing are the minimum mean times between two
	// writes, and between two exchanges, in the whole fleet. urgentSpacing is
	// that between two exchanges of one slice for waiting requests. The table
	// takes a few hundred writes a second, and a commit to two partitions takes
	// about as long as two calls.
	writeSpacing    = 3 * time.Millisecond
	exchangeSpacing = 15 * time.Millisecond
	urgentSpacing   = 8 * time.Millisecond
	// After a conflict, the holders of a slice spread their retries over a time
	// that allows each of them one call of the table. minBackoffPerHolder and
	// maxBackoffPerHolder bound the time for each call.
	minBackoffPerHolder = 5 * time.Millisecond
	maxBackoffPerHolder = 30 * time.Millisecond
	// overloadBackoff is the minimum time until the next exchange after the
	// partition of a slice rejected one as overloaded: the calls queued there
	// then take more than a second.
	overloadBackoff = time.Second
)

// delayUntilUrgentStep returns the time until a step that was requested before
// the next regular one, because requests wait for tokens or soon will, or
// because the router leaves. It is shorter for a write of the holder's row than
// for an exchange. If the pool is slow, waiting requests cause no additional
// exchanges.
func (keeper *Keeper) delayUntilUrgentStep() time.Duration {
	holders, _ := keeper.config.Holders()
	if keeper.leaving.Load() && !keeper.leaveScheduled {
		keeper.leaveScheduled, keeper.nextExchangeAt = true, time.Time{}
		return 0
	}
	if keeper.waitingExceedsUnspent() {
		wait := max(minUrgentInterval, keeper.roundDuration(max(urgentSpacing, keeper.poolCommitDuration)))
		if wait <= keeper.config.WriteInterval {
			keeper.nextExchangeAt = time.Time{}
			return max(wait-keeper.config.Now().Sub(keeper.exchangedAt), 0)
		}
	}
	return max(writeSpacing*time.Duration(holders)-keeper.config.Now().Sub(keeper.steppedAt), 0)
}

// delayUntilNextStep returns the time until the next regular step.
func (keeper *Keeper) delayUntilNextStep() time.Duration {
	_, serving := keeper.config.Holders()
	if !serving && !keeper.leaving.Load() && len(keeper.busyTeams) == 0 {
		if keeper.isEmpty() {
			return emptyInterval
		}
		return idleInterval
	}
	spacing := writeSpacing * time.Duration(keeper.writers())
	wait := max(keeper.config.WriteInterval, spacing)
	if keeper.lastStepFailed.Load() {
		wait = max(retryInterval, spacing)
	}
	if untilExchange := keeper.nextExchangeAt.Sub(keeper.config.Now()); untilExchange > 0 {
		wait = min(wait, untilExchange)
	}
	return wait
}

// isEmpty reports whether the holder has nothing to publish: its row in the table has
// no unspent tokens, and no request waits for some.
func (keeper *Keeper) isEmpty() bool {
	return !keeper.lastStepFailed.Load() && !keeper.undeclared && keeper.exchangeUnneeded()
}

// roundDuration returns the time in which each holder of a slice has one turn.
func (keeper *Keeper) roundDuration(turnDuration time.Duration) time.Duration {
	holders, _ := keeper.config.Holders()
	return time.Duration(int64(turnDuration) * int64(min(holders, keeper.holdersPerSlice(holders))))
}

// waitingExceedsUnspent reports whether requests of some team wait for more
// tokens than are unspent, so that an exchange is needed. Otherwise a write of
// the holder's row is enough.
func (keeper *Keeper) waitingExceedsUnspent() bool {
	for team, waitingTokens := range keeper.waiting.tokens() {
		if keeper.holder.unspent(team) < waitingTokens {
			return true
		}
	}
	return false
}

// randomBackoff returns a random time until the next try of an exchange that
// failed with a conflict.
func (keeper *Keeper) randomBackoff(holders int) time.Duration {
	backoffPerHolder := min(max(keeper.poolCommitDuration, minBackoffPerHolder), maxBackoffPerHolder)
	return time.Duration(rand.Int64N(int64(backoffPerHolder) * int64(min(holders, keeper.holdersPerSlice(holders)))))
}
