package exchange

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// deliveryGrace is how long a part that the engine has recorded as sent may take
	// to arrive.
	deliveryGrace = 100 * time.Millisecond
	// maxChecksPerSecond limits the rate of checks of one upstream, so that they do not
	// add load to a slow engine.
	maxChecksPerSecond = 20
	// checkBurst is the number of checks that may be made at once.
	checkBurst = 20
)

// stallDetector limits the wait for the next part of an answer. It ends the exchange
// as stalled after the timeout, unless Request.OnSilence wants to wait on. Long before that, it requests the record of the
// attempt from a model engine over a new connection: if the engine has sent parts
// that do not arrive, the connection has stalled and the exchange ends at once.
type stallDetector struct {
	answer     *Answer
	stallTimer *time.Timer
	// checkTimer is nil for answers of plain services, which keep no records of
	// attempts.
	checkTimer *time.Timer
	mutex      sync.Mutex
	// waitNumber counts the waits, so that a check only affects the wait that it was
	// started for.
	waitNumber uint64
	// waiting is set between startWait and endWait.
	waiting bool
	// checkDelay is the time to the next check. It doubles with each check of a wait.
	checkDelay time.Duration
	// timeout is the timeout of the current wait.
	timeout time.Duration
	// cancelSilence ends the context of a running OnSilence.
	cancelSilence context.CancelFunc
	// silences counts the running calls of OnSilence.
	silences sync.WaitGroup
}

// newStallDetector returns a detector with stopped timers.
func newStallDetector(answer *Answer) *stallDetector {
	stallDetector := &stallDetector{answer: answer, cancelSilence: func() {}}
	stallDetector.stallTimer = time.AfterFunc(time.Hour, stallDetector.timeOut)
	stallDetector.stallTimer.Stop()
	if answer.options.modelEngine {
		stallDetector.checkTimer = time.AfterFunc(time.Hour, stallDetector.checkConnection)
		stallDetector.checkTimer.Stop()
	}
	return stallDetector
}

// startWait starts a wait that ends the exchange after the timeout.
func (stallDetector *stallDetector) startWait(timeout time.Duration) {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	stallDetector.waitNumber++
	stallDetector.waiting = true
	stallDetector.timeout = timeout
	stallDetector.stallTimer.Reset(timeout)
	if stallDetector.checkTimer != nil {
		stallDetector.checkDelay = stallDetector.answer.client.config.SuspectTimeout
		stallDetector.checkTimer.Reset(stallDetector.checkDelay)
	}
}

// endWait stops the timers of the current wait, and waits for a running OnSilence. If
// the wait ended with a part, the context of OnSilence ends.
func (stallDetector *stallDetector) endWait(gotPart bool) {
	stallDetector.stopTimers(gotPart)
	stallDetector.silences.Wait()
}

func (stallDetector *stallDetector) stopTimers(gotPart bool) {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	stallDetector.waiting = false
	stallDetector.stallTimer.Stop()
	if stallDetector.checkTimer != nil {
		stallDetector.checkTimer.Stop()
	}
	if gotPart {
		stallDetector.cancelSilence()
	}
}

// timeOut ends the exchange as stalled, or starts the wait anew if OnSilence wants to
// wait on. It runs in the goroutine of stallTimer.
func (stallDetector *stallDetector) timeOut() {
	answer := stallDetector.answer
	if answer.options.onSilence == nil {
		answer.cancel(errStalled)
		return
	}
	ctx, cancel := context.WithCancel(answer.ctx)
	defer cancel()
	if !stallDetector.beginSilence(cancel) {
		return
	}
	defer stallDetector.silences.Done()
	if answer.options.onSilence(ctx) {
		answer.cancel(errStalled)
		return
	}
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	if stallDetector.waiting {
		stallDetector.stallTimer.Reset(stallDetector.timeout)
	}
}

// beginSilence counts a call of OnSilence whose context cancel ends. It returns false
// if the wait has ended.
func (stallDetector *stallDetector) beginSilence(cancel context.CancelFunc) bool {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	if !stallDetector.waiting {
		return false
	}
	stallDetector.cancelSilence = cancel
	stallDetector.silences.Add(1)
	return true
}

// currentWait returns the number of the current wait, or zero if there is none.
func (stallDetector *stallDetector) currentWait() uint64 {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	if !stallDetector.waiting {
		return 0
	}
	return stallDetector.waitNumber
}

// checkConnection requests the attempt's record and ends the exchange if the
// connection has stalled. It runs in the goroutine of checkTimer.
func (stallDetector *stallDetector) checkConnection() {
	waitNumber := stallDetector.currentWait()
	if waitNumber == 0 {
		return
	}
	answer := stallDetector.answer
	if !answer.client.checkLimiter.Allow() {
		stallDetector.rescheduleCheck(waitNumber)
		return
	}
	ctx, cancel := context.WithCancel(answer.ctx)
	defer cancel()
	record, err := answer.client.AttemptRecord(ctx, answer.options.attemptID)
	if !answer.connectionStalled(record, err) {
		stallDetector.rescheduleCheck(waitNumber)
		return
	}
	time.Sleep(deliveryGrace)
	if stallDetector.currentWait() == waitNumber {
		answer.cancel(errStalled)
	}
}

// rescheduleCheck schedules another check of the same wait, with twice the delay.
func (stallDetector *stallDetector) rescheduleCheck(waitNumber uint64) {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	if stallDetector.waiting && stallDetector.waitNumber == waitNumber {
		stallDetector.checkDelay *= 2
		stallDetector.checkTimer.Reset(stallDetector.checkDelay)
	}
}

// connectionStalled reports whether the record shows that the engine has sent more
// than has arrived, has ended the attempt, or has no record of it. Any other error in
// reading the record does not show that the connection has stalled.
func (answer *Answer) connectionStalled(record Record, err error) bool {
	if err != nil {
		return errors.Is(err, ErrUnknownAttempt)
	}
	return record.State != StateRunning || record.Position > answer.position.Load()
}
