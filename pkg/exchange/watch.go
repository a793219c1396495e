package exchange

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// suspectGrace is how long a part that the engine has made may be under way.
	suspectGrace = 100 * time.Millisecond
	// suspectRate and suspectBurst bound the checks of one upstream, so that a
	// slow engine isn't burdened with questions. The rate is in checks a second.
	suspectRate  = 20
	suspectBurst = 20
)

// watch bounds the silence while an answer's next part is awaited. It ends the
// exchange as stalled when the bound has passed. Long before, it asks a model
// engine on a fresh connection how far the attempt is: if the engine has sent
// parts that don't arrive, the connection has gone silent and need not be
// waited for.
type watch struct {
	answer *Answer
	stall  *time.Timer
	// suspect is nil for answers that no engine can be asked about.
	suspect *time.Timer
	mutex   sync.Mutex
	// turn counts the waits; a check belongs to one of them.
	turn    uint64
	waiting bool
	// next is the time to the next check; it doubles with each one of a wait.
	next time.Duration
}

func newWatch(answer *Answer) *watch {
	watch := &watch{answer: answer}
	watch.stall = time.AfterFunc(time.Hour, func() { answer.cancel(errStalled) })
	watch.stall.Stop()
	if answer.opening.named {
		watch.suspect = time.AfterFunc(time.Hour, watch.check)
		watch.suspect.Stop()
	}
	return watch
}

// begin starts a wait with its bound.
func (watch *watch) begin(timeout time.Duration) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.turn++
	watch.waiting = true
	watch.stall.Reset(timeout)
	if watch.suspect != nil {
		watch.next = watch.answer.client.config.SuspectTimeout
		watch.suspect.Reset(watch.next)
	}
}

// end ends the wait.
func (watch *watch) end() {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.waiting = false
	watch.stall.Stop()
	if watch.suspect != nil {
		watch.suspect.Stop()
	}
}

// current returns the number of the wait, or zero when there is none.
func (watch *watch) current() uint64 {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if !watch.waiting {
		return 0
	}
	return watch.turn
}

// check asks the engine and ends the exchange if its connection is silent. It
// runs in the timer's goroutine.
func (watch *watch) check() {
	turn := watch.current()
	if turn == 0 {
		return
	}
	answer := watch.answer
	if !answer.client.checks.Allow() {
		watch.again(turn)
		return
	}
	ctx, cancel := context.WithCancel(answer.ctx)
	defer cancel()
	record, err := answer.client.AttemptRecord(ctx, answer.opening.attempt)
	if !answer.behind(record, err) {
		watch.again(turn)
		return
	}
	time.Sleep(suspectGrace)
	if watch.current() == turn {
		answer.cancel(errStalled)
	}
}

// again lets the same wait be checked later.
func (watch *watch) again(turn uint64) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if watch.waiting && watch.turn == turn {
		watch.next *= 2
		watch.suspect.Reset(watch.next)
	}
}

// behind reports whether the engine has sent more than has arrived, or has
// never seen the attempt. An engine that can't be asked proves nothing.
func (answer *Answer) behind(record Record, err error) bool {
	if err != nil {
		return errors.Is(err, ErrUnknownAttempt)
	}
	return record.State != StateRunning || record.Position > answer.position.Load()
}
