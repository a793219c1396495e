package upstream

import (
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

// PausedError means that all upstreams that accept new attempts have asked to be sent
// nothing for a while.
type PausedError struct {
	// Remaining is the time until the first of them accepts attempts again.
	Remaining time.Duration
}

// Error returns a message with the remaining time.
func (err *PausedError) Error() string {
	return fmt.Sprintf("every upstream has asked for a pause, the first for another %s", err.Remaining)
}

// noticeOf returns what the upstream at the address has asked for. Upstreams don't
// state when they started.
func (pool *Pool) noticeOf(address string) notice.Notice {
	return pool.notices.Of(notice.Process{ID: address})
}

// recordNotice records what an upstream asks for in an answer and applies it at the
// next choice.
func (pool *Pool) recordNotice(address string, request notice.Request) {
	now := pool.config.Now()
	before := pool.noticeOf(address)
	pool.notices.Record(notice.Process{ID: address}, request, now)
	after := pool.noticeOf(address)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, ok := pool.members[address]
	if !ok || before == after {
		return
	}
	if after.IsLeaving() && !before.IsLeaving() {
		member.probeBackoff.Reset()
		member.nextProbeAt = now.Add(member.probeBackoff.NextBackOff())
	}
	pool.rebuild()
}

// endPauses makes members eligible again whose pauses have ended. It reports whether
// there were any.
func (pool *Pool) endPauses() bool {
	if pool.firstPauseEnd.IsZero() || pool.config.Now().Before(pool.firstPauseEnd) {
		return false
	}
	pool.rebuild()
	return true
}

// PauseOf returns for how much longer the member wants nothing.
func (pool *Pool) PauseOf(member *Member) time.Duration {
	return max(0, pool.noticeOf(member.address).PausedUntil.Sub(pool.config.Now()))
}

// forgetLeaving forgets that the upstream at the member's address was leaving, if a
// probe that was sent later found it healthy and it didn't say so: another process has
// the address now. During a pause it changes nothing; a later probe will tell.
func (pool *Pool) forgetLeaving(member *Member, probedAt time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	notice := pool.noticeOf(member.address)
	if notice.IsLeaving() && notice.LeavingSince.Before(probedAt) && !notice.IsPaused(pool.config.Now()) {
		pool.notices.Forget(member.address)
		pool.rebuild()
	}
}

// earliest returns the earlier of two times, of which a zero one counts as none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
