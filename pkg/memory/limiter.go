package memory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// defaultFloor holds small answers whole, so that they never wait.
	defaultFloor = 16 << 10
	// defaultTrialPeriod is well below the deadlines of callers that wait meanwhile.
	defaultTrialPeriod = 500 * time.Millisecond
	// unknownTrials is how many trial periods pass before answers are given up of whose
	// kind none was complete.
	unknownTrials = 2
	// trialChecks is how often in a trial period the waits are checked.
	trialChecks = 4
	// defaultFaultyPeriod is how long an upstream is distrusted after an endless answer.
	defaultFaultyPeriod = 10 * time.Second
)

// GivenUpError is the error of an answer that was given up, so that the limit for all
// answers holds.
type GivenUpError struct {
	Kind, Owner string
}

// Error returns a message with the owner, the kind and what to do.
func (err *GivenUpError) Error() string {
	return fmt.Sprintf("the memory for answers is used up, and %s sends more than answers of %s ever had: check this upstream",
		err.Owner, err.Kind)
}

// ErrTooLarge is the error of an answer that is larger than LimiterConfig.Largest.
var ErrTooLarge = errors.New("the answer is larger than the limit for one answer")

// GivenUp says which answers were given up together.
type GivenUp struct {
	Kind, Owner string
	// Answers counts the answers, and Bytes what was held of them.
	Answers int
	Bytes   int64
}

// LimiterConfig configures a Limiter. The zero value of a field means its default,
// unless stated otherwise.
type LimiterConfig struct {
	// Max limits what is held of all answers beyond their floors. It is raised to twice
	// Largest if it is less.
	Max int64
	// Largest limits one answer. There is no default.
	Largest int64
	// Floor is the size up to which every answer may grow at any time.
	Floor int64
	// TrialPeriod is how long an answer waits before answers that have outgrown all
	// earlier ones of their kind are given up.
	TrialPeriod time.Duration
	// FaultyPeriod is how long answers are given up first after one of the same owner
	// and kind was larger than Largest.
	FaultyPeriod time.Duration
	// OnGivenUp receives what was given up; nil ignores it.
	OnGivenUp func(givenUp GivenUp)
}

func (limiterConfig LimiterConfig) withDefaults() LimiterConfig {
	limiterConfig.Max = max(limiterConfig.Max, 2*limiterConfig.Largest)
	if limiterConfig.Floor <= 0 {
		limiterConfig.Floor = defaultFloor
	}
	if limiterConfig.TrialPeriod <= 0 {
		limiterConfig.TrialPeriod = defaultTrialPeriod
	}
	if limiterConfig.FaultyPeriod <= 0 {
		limiterConfig.FaultyPeriod = defaultFaultyPeriod
	}
	if limiterConfig.OnGivenUp == nil {
		limiterConfig.OnGivenUp = func(GivenUp) {}
	}
	return limiterConfig
}

// Limiter limits what is held of all answers together.
//
// An answer that finds no room waits in line. Room for one largest answer is kept in
// reserve: one answer of the line may use it, so that it ends and makes room. Either it
// turns out to be whole, or larger than the limit for one answer. In the latter case all
// answers of that kind and owner are given up. The reserve goes first to answers that
// have outgrown all complete ones of their kind. If the first of the line waits for longer
// than the trial period, the answers of a kind and owner are given up of which one has
// outgrown all complete ones of its kind: of those, the ones that hold most.
type Limiter struct {
	config LimiterConfig
	mutex  sync.Mutex
	// held is what all shares hold, and used the part of it beyond their floors.
	held, used int64
	shares     map[*Share]struct{}
	// largest is the size of the largest complete answer of each kind.
	largest map[string]int64
	// distrusted are the groups whose answers are given up first.
	distrusted map[group]distrust
	line       []*waiter
	// reserveHolder is the share that may use the reserve.
	reserveHolder *Share
	trialTimer    *time.Timer
	// lastGivenUpAt is when answers were last given up at the end of a trial.
	lastGivenUpAt time.Time
	statistics    Statistics
}

// group is the answers of one kind that one owner sends.
type group struct {
	kind, owner string
}

// distrust is the distrust in a group.
type distrust struct {
	until time.Time
	// proven is set if an answer was larger than the limit for one. Otherwise the
	// distrust ends when an answer is complete.
	proven bool
}

// waiter is a share that waits for room.
type waiter struct {
	share *Share
	bytes int64
	// since is when the wait began.
	since time.Time
	// done is closed when the wait has ended; err is set before.
	done chan struct{}
	err  error
}

// Statistics are the numbers of a limiter.
type Statistics struct {
	// Held is what is held now, floors included.
	Held int64
	// Waits counts the waits for room, and GivenUp the answers that were given up.
	Waits, GivenUp int64
}

// NewLimiter returns a limiter of which nothing is held yet.
func NewLimiter(config LimiterConfig) *Limiter {
	limiter := &Limiter{
		config: config.withDefaults(), shares: make(map[*Share]struct{}),
		largest: make(map[string]int64), distrusted: make(map[group]distrust),
	}
	limiter.trialTimer = time.AfterFunc(time.Hour, limiter.endTrial)
	limiter.trialTimer.Stop()
	return limiter
}

// Statistics returns the current numbers.
func (limiter *Limiter) Statistics() Statistics {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	statistics := limiter.statistics
	statistics.Held = limiter.held
	return statistics
}

// Max returns the limit for all answers beyond their floors.
func (limiter *Limiter) Max() int64 { return limiter.config.Max }

// change runs a change of the state, lets waiting answers go on where that is possible
// now, and then gives up answers outside the lock.
func (limiter *Limiter) change(apply func()) {
	limiter.mutex.Lock()
	apply()
	failed := limiter.serveLine()
	limiter.mutex.Unlock()
	limiter.report(failed)
}

// report ends the exchanges of the answers that were given up.
func (limiter *Limiter) report(failed []*Share) {
	if len(failed) == 0 {
		return
	}
	givenUp := GivenUp{Kind: failed[0].group.kind, Owner: failed[0].group.owner, Answers: len(failed)}
	for _, share := range failed {
		givenUp.Bytes += share.failedBytes
		share.cancel(share.failure())
	}
	limiter.config.OnGivenUp(givenUp)
}

// serveLine grants what fits. If some answers still wait, it gives up those of an owner
// that is known to be faulty, and passes on the reserve. It returns the answers given up.
func (limiter *Limiter) serveLine() []*Share {
	limiter.grantLine()
	if len(limiter.line) == 0 {
		return nil
	}
	failed := limiter.giveUpFaulty()
	limiter.passReserve()
	return failed
}

// roomForAll is the part of the limit that isn't the reserve.
func (limiter *Limiter) roomForAll() int64 { return limiter.config.Max - limiter.config.Largest }

// grantLine grants growth in the order of the line while it fits.
func (limiter *Limiter) grantLine() {
	if limiter.used <= limiter.roomForAll() {
		limiter.reserveHolder = nil
	}
	for len(limiter.line) > 0 {
		first := limiter.line[0]
		if limiter.used+limiter.excessOf(first.share, first.bytes) > limiter.roomForAll() {
			return
		}
		limiter.endWait(first, nil)
	}
}

// passReserve lets one answer of the line use the reserve, if no other does.
func (limiter *Limiter) passReserve() {
	if limiter.reserveHolder != nil || len(limiter.line) == 0 {
		return
	}
	next := limiter.line[0]
	if suspect, ok := limiter.mostSuspect(); ok {
		for _, waiter := range limiter.line {
			if waiter.share.group == suspect && limiter.isSuspect(waiter.share) {
				next = waiter
				break
			}
		}
	}
	limiter.reserveHolder = next.share
	limiter.endWait(next, nil)
}

// isSuspect reports whether the answer is larger than all complete ones of its kind.
func (limiter *Limiter) isSuspect(share *Share) bool {
	return limiter.isKnown(share.group) && limiter.isFaulty(share) && share.held > limiter.largest[share.group.kind]
}

// mostSuspect returns the group whose suspect answers hold most, among those that wait.
func (limiter *Limiter) mostSuspect() (group, bool) {
	held := make(map[group]int64)
	var most group
	for _, waiter := range limiter.line {
		if limiter.isSuspect(waiter.share) {
			held[waiter.share.group] += waiter.share.held
			if held[waiter.share.group] > held[most] {
				most = waiter.share.group
			}
		}
	}
	return most, len(held) > 0
}

// endTrial gives up the answers of an owner that may be faulty, if the first of the line
// has waited for too long.
func (limiter *Limiter) endTrial() {
	limiter.mutex.Lock()
	var failed []*Share
	if len(limiter.line) > 0 {
		limiter.trialTimer.Reset(limiter.config.TrialPeriod / trialChecks)
		if most, ok := limiter.mayBeFaulty(); ok {
			limiter.lastGivenUpAt = time.Now()
			limiter.distrust(most, false)
			failed = limiter.giveUp(func(share *Share) bool { return share.group == most && limiter.isFaulty(share) })
		}
	}
	limiter.mutex.Unlock()
	limiter.report(failed)
}

// mayBeFaulty returns the group that holds most among those with an answer that has
// outgrown all complete ones of its kind. Groups of kinds without complete answers count,
// but only after some trial periods.
func (limiter *Limiter) mayBeFaulty() (group, bool) {
	waited := time.Since(limiter.line[0].since)
	if !limiter.lastGivenUpAt.IsZero() {
		waited = min(waited, time.Since(limiter.lastGivenUpAt))
	}
	if waited < limiter.config.TrialPeriod {
		return group{}, false
	}
	held := make(map[group]int64)
	mayBeFaulty := make(map[group]bool)
	for share := range limiter.shares {
		if !limiter.isFaulty(share) {
			continue
		}
		held[share.group] += share.held
		if !limiter.isKnown(share.group) || limiter.isSuspect(share) {
			mayBeFaulty[share.group] = true
		}
	}
	var most group
	for group := range mayBeFaulty {
		if held[group] > held[most] {
			most = group
		}
	}
	return most, held[most] > 0 && (limiter.isKnown(most) || waited >= unknownTrials*limiter.config.TrialPeriod)
}

// isKnown reports whether an answer of the group's kind has been complete.
func (limiter *Limiter) isKnown(group group) bool {
	_, known := limiter.largest[group.kind]
	return known
}

// giveUpFaulty gives up the answers of the group that holds most among those known to
// be faulty.
func (limiter *Limiter) giveUpFaulty() []*Share {
	if len(limiter.distrusted) == 0 {
		return nil
	}
	held := make(map[group]int64)
	var most group
	now := time.Now()
	for share := range limiter.shares {
		if now.Before(limiter.distrusted[share.group].until) && limiter.isFaulty(share) {
			held[share.group] += share.held
			if held[share.group] > held[most] {
				most = share.group
			}
		}
	}
	if len(held) == 0 {
		return nil
	}
	return limiter.giveUp(func(share *Share) bool { return share.group == most && limiter.isFaulty(share) })
}

// isFaulty reports whether an answer is one of the faulty ones, if its owner is faulty.
func (limiter *Limiter) isFaulty(share *Share) bool {
	return !share.complete && !share.failed && share.held > limiter.config.Floor
}

// giveUp marks the answers that match as given up and returns them.
func (limiter *Limiter) giveUp(matches func(share *Share) bool) []*Share {
	var failed []*Share
	for share := range limiter.shares {
		if matches(share) {
			share.failed, share.failedBytes = true, share.held
			failed = append(failed, share)
		}
	}
	limiter.statistics.GivenUp += int64(len(failed))
	for _, waiter := range slices.Clone(limiter.line) {
		if waiter.share.failed {
			limiter.endWait(waiter, waiter.share.failure())
		}
	}
	return failed
}

// endWait takes the waiter out of the line. If err is nil, its growth is granted.
func (limiter *Limiter) endWait(ended *waiter, err error) {
	limiter.line = slices.DeleteFunc(limiter.line, func(other *waiter) bool { return other == ended })
	ended.err = err
	if err == nil {
		limiter.add(ended.share, ended.bytes)
	}
	close(ended.done)
}

// excessOf returns by how much used grows if the share grows by bytes.
func (limiter *Limiter) excessOf(share *Share, bytes int64) int64 {
	floor := limiter.config.Floor
	return max(share.held+bytes-floor, 0) - max(share.held-floor, 0)
}

func (limiter *Limiter) add(share *Share, bytes int64) {
	limiter.used += limiter.excessOf(share, bytes)
	limiter.held += bytes
	share.held += bytes
}

// distrust gives up the answers of the group first for some time.
func (limiter *Limiter) distrust(faulty group, proven bool) {
	now := time.Now()
	for known, distrust := range limiter.distrusted {
		if now.After(distrust.until) {
			delete(limiter.distrusted, known)
		}
	}
	proven = proven || limiter.distrusted[faulty].proven
	limiter.distrusted[faulty] = distrust{until: now.Add(limiter.config.FaultyPeriod), proven: proven}
}

// leave ends the wait of an answer that is no longer wanted. It reports whether the
// answer was still waiting.
func (limiter *Limiter) leave(waiter *waiter) bool {
	waiting := false
	limiter.change(func() {
		if waiting = slices.Contains(limiter.line, waiter); waiting {
			limiter.endWait(waiter, context.Canceled)
		}
	})
	return waiting
}
