package relay

// Sending a request to a second upstream while the first is silent.
//
// The first upstream may go on after a pause, so its attempt is given up only for
// one that is at least as good: the second upstream has begun to answer, or has the
// request and doesn't refuse it. Otherwise the wait for the first goes on.

import (
	"context"
	"errors"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/placement"
)

// maxOverlap is how long both upstreams may have the request. An upstream that
// refuses a request does so at once, and a request is not to run twice for longer.
const maxOverlap = 200 * time.Millisecond

var errTakeoverNotNeeded = errors.New("the first upstream went on")

// startedAttempt is an attempt that may not have an answer yet.
type startedAttempt struct {
	ticket *placement.Ticket
	cancel context.CancelFunc
	// share counts what is held of the answer until the attempt is closed.
	share *memory.Share
	// sent is closed when the request is about to be written.
	sent     chan struct{}
	sentOnce sync.Once
	// done is closed when answer and err are set.
	done   chan struct{}
	answer *exchange.Answer
	err    error
	// info is what the answer says; nil until it was read.
	info *AnswerInfo
}

func (call *call) newStartedAttempt(ticket *placement.Ticket, cancel context.CancelFunc) *startedAttempt {
	share := call.relay.config.Answers.NewShare(memory.ShareConfig{Kind: call.request.Route.Name, Owner: ticket.Upstream.ID})
	return &startedAttempt{ticket: ticket, cancel: cancel, share: share, sent: make(chan struct{}), done: make(chan struct{})}
}

func (startedAttempt *startedAttempt) markSent() {
	startedAttempt.sentOnce.Do(func() { close(startedAttempt.sent) })
}

// takeOver is called while the upstream of an attempt is silent. It reports whether
// the attempt is to be given up for the one in call.takeover.
func (call *call) takeOver(ctx context.Context, silent *startedAttempt) bool {
	if call.current.Load() != silent {
		return false // this attempt is itself to take over from another
	}
	silent.ticket.Silent(time.Now())
	if call.reserve != nil {
		call.useReserve()
		return true
	}
	for call.mayTakeOver(ctx, silent) {
		ticket, err := call.chooseTakeover(silent)
		if err != nil {
			_ = call.relay.config.Logger.Log("event", "upstream_silent", "request_id", call.request.ID,
				"upstream", silent.ticket.Upstream.ID, "events", call.delivery.eventCount, "waits_because", err)
			return false
		}
		started := call.startTakeover(ticket) //nolint:contextcheck // it may outlive the wait
		if call.awaitTakeover(ctx, started) {
			call.takeover = started
			return true
		}
	}
	return false
}

// mayTakeOver reports whether another upstream may be asked, and can go on with what
// was delivered.
func (call *call) mayTakeOver(ctx context.Context, silent *startedAttempt) bool {
	return ctx.Err() == nil && call.request.Route.Repeatable() && call.delivery.mayResume() && call.attemptsNotRun <= maxNotRunRetries &&
		call.mayRunElsewhere(silent.ticket.Upstream.ID) && call.relay.CheckPrompt(call.request) == nil
}

// chooseTakeover chooses another upstream than the silent one.
func (call *call) chooseTakeover(silent *startedAttempt) (*placement.Ticket, error) {
	ticket := call.choose(silent.ticket.Upstream.ID)
	if ticket == nil {
		return nil, errNoUpstreamLeft
	}
	if !call.relay.config.RetryBudget.AllowRetry(call.request.Service.Name, time.Now()) {
		ticket.End(placement.Neutral, time.Now())
		return nil, errRetryBudgetSpent
	}
	return ticket, nil
}

func (call *call) startTakeover(ticket *placement.Ticket) *startedAttempt {
	ctx, cancel := context.WithCancel(call.ctx)
	started := call.newStartedAttempt(ticket, cancel)
	call.result.Attempts = append(call.result.Attempts, ticket.Upstream.ID)
	message := call.message(started)
	go func() {
		defer close(started.done)
		started.answer, started.err = call.relay.config.Client(ticket.Upstream).Send(ctx, message)
	}()
	return started
}

// awaitTakeover reports whether the attempt can replace the silent one. If not, it
// has ended, unless the silent upstream has begun to answer and may yet refuse the
// request: then the attempt is kept in reserve.
func (call *call) awaitTakeover(ctx context.Context, started *startedAttempt) bool {
	undecided := call.undecidedID != ""
	keep := context.AfterFunc(ctx, func() {
		if !undecided {
			started.cancel()
		}
	})
	if started.wait(ctx) && ctx.Err() == nil {
		if result, ok := call.takeoverResult(started); !ok {
			keep()
			started.close()
			call.endAttempt(ctx, started, result)
			return false
		}
	}
	if keep() {
		return true
	}
	if undecided {
		call.reserve = started
	} else {
		call.discard(started)
	}
	return false
}

// wait waits until the attempt has failed or its answer has begun, but at most
// maxOverlap after the request was sent, or until the context ends. It reports whether
// the attempt has failed or its answer has begun.
func (startedAttempt *startedAttempt) wait(ctx context.Context) bool {
	select {
	case <-startedAttempt.done:
		return true
	case <-ctx.Done():
		return false
	case <-startedAttempt.sent:
	}
	timer := time.NewTimer(maxOverlap)
	defer timer.Stop()
	select {
	case <-startedAttempt.done:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// useReserve lets the attempt in reserve, if there is one, take over from one that
// ended without an answer.
func (call *call) useReserve() {
	if call.reserve != nil {
		call.takeover, call.reserve = call.reserve, nil
	}
}

// reserveGoesOn reports whether there is an attempt in reserve that hasn't failed yet.
func (call *call) reserveGoesOn() bool {
	if call.reserve == nil {
		return false
	}
	select {
	case <-call.reserve.done:
		return call.reserve.err == nil && isSuccess(call.reserve.answer)
	default:
		return true
	}
}

// discardReserve ends the attempt in reserve, as it isn't needed.
func (call *call) discardReserve() {
	if call.reserve != nil {
		call.discard(call.reserve)
		call.reserve = nil
	}
}

// takeoverResult reports whether the answer has begun and can be delivered, and
// otherwise returns the result of the attempt.
func (call *call) takeoverResult(started *startedAttempt) (attemptResult, bool) {
	if started.err != nil {
		return call.sendFailure(call.ctx, started), false
	}
	info := call.readAnswer(started)
	switch {
	case info.NotRun || info.Misdirected:
		call.attemptsArrived++
		return refusedAttempt(started.answer, info), false
	case info.Encoded || !info.Signed || !isSuccess(started.answer) || call.delivery.headerSent.Load() && !started.answer.Stream:
		call.attemptsArrived++
		call.recordRun(started.ticket.Upstream.ID)
		return attemptResult{err: errUpstreamFailed, upstreamResult: placement.Failure, mayHaveRun: true}, false
	default:
		return attemptResult{}, true
	}
}

// discard ends an attempt that is not needed.
func (call *call) discard(started *startedAttempt) {
	started.cancel()
	<-started.done
	if started.err == nil {
		call.readAnswer(started)
	}
	if started.err == nil || exchange.ErrorOf(started.err).MayHaveStarted {
		call.attemptsArrived++
		call.recordRun(started.ticket.Upstream.ID)
	}
	started.close()
	started.ticket.End(placement.Neutral, time.Now())
	call.logAttempt(started.ticket, attemptResult{err: errTakeoverNotNeeded, mayHaveRun: true})
}

// close ends the exchange of an attempt that is done.
func (startedAttempt *startedAttempt) close() {
	if startedAttempt.answer != nil {
		startedAttempt.answer.Close()
	}
	startedAttempt.cancel()
	startedAttempt.share.Release()
}
