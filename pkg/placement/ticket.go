package placement

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

const (
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.1
	// minPrefillSampleTokens is the number of uncached tokens below which a
	// request is not used to measure the prefill rate.
	minPrefillSampleTokens = 1500
	// ejectAfterFailures is the number of consecutive failures that eject an
	// upstream.
	ejectAfterFailures = 3
	// The first ejection lasts initialEjection; each further one without a
	// success in between lasts twice as long, up to maxEjection.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 6 * time.Second
	// fullPeriod is how long an upstream counts as full after a refusal.
	fullPeriod = 150 * time.Millisecond
	// maxLatencyRatio bounds one sample of member.latencyRatio; its inverse is
	// the lower bound.
	maxLatencyRatio = 8
)

// AttemptResult is how an attempt ended, as far as its upstream is responsible.
type AttemptResult int

// Values of AttemptResult.
const (
	// Neutral counts neither for nor against the upstream.
	Neutral AttemptResult = iota
	// Success is a complete answer.
	Success
	// Failure is an error or an incomplete answer.
	Failure
	// Full is a refusal because the upstream has no free capacity.
	Full
	// Unreachable means that no connection could be opened, or that another
	// process now has the upstream's address.
	Unreachable
)

// Ticket tracks one request at the upstream chosen for it.
type Ticket struct {
	Upstream      Upstream
	pool          *Pool
	member        *member
	estimate      costEstimate
	startedAt     time.Time
	gotFirstEvent bool
	// eventCount counts the calls of FirstEvent; lastEventAt is the time of the last.
	eventCount                int
	firstEventAt, lastEventAt time.Time
	// firstEventPace is the pace at the first event, if the upstream states it.
	firstEventPace float64
	// silent is set when Silent has counted as a failure.
	silent bool
	ended  bool
}

// ExpectedTimeToFirstEvent returns the time from Choose to the first event, as
// estimated by Choose.
func (ticket *Ticket) ExpectedTimeToFirstEvent() time.Duration {
	return time.Duration(ticket.estimate.timeToFirstEventMs * float64(time.Millisecond))
}

// UncachedTokens returns the number of prompt tokens that need prefill at the
// upstream, as estimated by Choose.
func (ticket *Ticket) UncachedTokens() int64 { return int64(ticket.estimate.uncachedTokens) }

// MaySend reports whether the request may still be sent: the upstream's zone hasn't been
// evacuated since Choose.
func (ticket *Ticket) MaySend() bool {
	return !ticket.pool.config.Evacuations.IsEvacuated(ticket.Upstream.Zone)
}

// ReportLoad records the load that the upstream reported in an answer.
func (ticket *Ticket) ReportLoad(load Load) {
	ticket.pool.mutex.Lock()
	defer ticket.pool.mutex.Unlock()
	ticket.member.load = load
	ticket.member.sentSinceLoad, ticket.member.endedSinceLoad = 0, 0
	ticket.pool.reportPaced(ticket.member, load)
}

// RecordNotice records what the upstream asked for in an answer.
func (ticket *Ticket) RecordNotice(request notice.Request, now time.Time) {
	ticket.pool.config.Notices.Record(ticket.Upstream.Process(), request, now)
}

// FirstEvent records the arrival of the first event. It may be called for each event; the
// further calls count only in pools whose upstreams state their pace.
func (ticket *Ticket) FirstEvent(now time.Time) {
	ticket.pool.mutex.Lock()
	defer ticket.pool.mutex.Unlock()
	ticket.eventCount++
	ticket.lastEventAt = now
	if ticket.gotFirstEvent || ticket.ended {
		return
	}
	ticket.gotFirstEvent, ticket.firstEventAt = true, now
	member := ticket.member
	member.pendingTokens = max(0, member.pendingTokens-ticket.estimate.uncachedTokens)
	elapsedMs := float64(now.Sub(ticket.startedAt)) / float64(time.Millisecond)
	if elapsedMs > 0 && ticket.estimate.pace > 0 {
		elapsedMs = ticket.pool.recordPaced(ticket, elapsedMs, now)
	}
	if !ticket.pool.config.Engine || elapsedMs <= 0 {
		return
	}
	if ticket.estimate.timeToFirstEventMs > 0 {
		ratio := min(max(elapsedMs/ticket.estimate.timeToFirstEventMs, 1.0/maxLatencyRatio), maxLatencyRatio)
		member.latencyRatio += averageWeight * (ratio - member.latencyRatio)
		member.latencyRatio = max(member.latencyRatio, 1)
	}
	if ticket.estimate.uncachedTokens >= minPrefillSampleTokens {
		tokensPerMs := ticket.estimate.uncachedTokens / elapsedMs
		if member.prefillTokensPerMs == 0 {
			member.prefillTokensPerMs = tokensPerMs
		}
		member.prefillTokensPerMs += averageWeight * (tokensPerMs - member.prefillTokensPerMs)
		ticket.pool.prefillTokensPerMs += averageWeight * (tokensPerMs - ticket.pool.prefillTokensPerMs)
	}
}

// Silent records that the upstream has sent nothing for long. It counts as a failure,
// once for a ticket, although the request goes on.
func (ticket *Ticket) Silent(now time.Time) {
	ticket.pool.mutex.Lock()
	defer ticket.pool.mutex.Unlock()
	if ticket.silent || ticket.ended {
		return
	}
	ticket.silent = true
	ticket.member.fail(now)
}

// End records how the request ended. Only the first call counts.
func (ticket *Ticket) End(result AttemptResult, now time.Time) {
	ticket.pool.mutex.Lock()
	defer ticket.pool.mutex.Unlock()
	if ticket.ended {
		return
	}
	ticket.ended = true
	member := ticket.member
	member.ownRunning--
	if ticket.startedAt.After(member.load.ReceivedAt) {
		member.endedSinceLoad++
	}
	if !ticket.gotFirstEvent {
		member.pendingTokens = max(0, member.pendingTokens-ticket.estimate.uncachedTokens)
	}
	switch result {
	case Success:
		ticket.pool.recordGap(ticket, now)
		ticket.pool.recordHold(ticket, now)
		member.failureRate -= averageWeight * member.failureRate
		member.consecutiveFailures = 0
		member.ejectionDuration = 0
	case Failure:
		if !ticket.silent {
			member.fail(now)
		}
	case Unreachable:
		member.failureRate += averageWeight * (1 - member.failureRate)
		member.eject(now)
	case Full:
		member.fullUntil = now.Add(fullPeriod)
	case Neutral:
	}
}

// fail records a failed attempt.
func (member *member) fail(now time.Time) {
	member.failureRate += averageWeight * (1 - member.failureRate)
	member.consecutiveFailures++
	if member.consecutiveFailures >= ejectAfterFailures {
		member.eject(now)
	}
}

func (member *member) eject(now time.Time) {
	member.ejectionDuration = min(max(2*member.ejectionDuration, initialEjection), maxEjection)
	member.ejectedUntil = now.Add(member.ejectionDuration)
}
