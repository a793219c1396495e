package placement

import "time"

const (
	// learning is the weight of a new sample in a learnt mean.
	learning = 0.1
	// readingSample is the least number of tokens from which speed is learnt.
	readingSample = 1500
	// ejectAfter failures in a row eject an upstream.
	ejectAfter = 3
	// ejectionInitial and ejectionMax bound the time of an ejection.
	ejectionInitial = 500 * time.Millisecond
	ejectionMax     = 6 * time.Second
	// fullTime is how long a refusal for fullness is remembered.
	fullTime = 150 * time.Millisecond
	// greatestLateness bounds the ratio of late first events.
	greatestLateness = 8
)

// Verdict says what the end of a request tells of its upstream.
type AttemptResult int

// The verdicts.
const (
	// Neutral says nothing.
	Neutral AttemptResult = iota
	// Success is an answer.
	Success
	// Failure is a failed or broken answer.
	Failure
	// Full is a refusal for want of room.
	Full
	// Unreachable means that no connection could be had, or that the address
	// belongs to another process.
	Unreachable
)

// Ticket is one request at its upstream.
type Ticket struct {
	Upstream Upstream
	pool     *Pool
	member   *member
	cost     cost
	at       time.Time
	// answered is set at the first event.
	answered bool
	ended    bool
}

// Expected returns the expected time to the first event.
func (ticket *Ticket) ExpectedTimeToFirstEvent() time.Duration {
	return time.Duration(ticket.cost.first * float64(time.Millisecond))
}

// Unread returns the expected number of prompt tokens to be read.
func (ticket *Ticket) UncachedTokens() int64 { return int64(ticket.cost.unread) }

// Load takes in what the upstream said of itself in an answer.
func (ticket *Ticket) ReportLoad(load Load) {
	ticket.pool.mutex.Lock()
	defer ticket.pool.mutex.Unlock()
	ticket.member.load = load
	ticket.member.sent = 0
}

// First takes in the time of the first event.
func (ticket *Ticket) FirstEvent(now time.Time) {
	ticket.pool.mutex.Lock()
	defer ticket.pool.mutex.Unlock()
	if ticket.answered || ticket.ended {
		return
	}
	ticket.answered = true
	member := ticket.member
	member.unread = max(0, member.unread-ticket.cost.unread)
	took := float64(now.Sub(ticket.at)) / float64(time.Millisecond)
	if !ticket.pool.config.Engine || took <= 0 {
		return
	}
	if ticket.cost.first > 0 {
		ratio := min(max(took/ticket.cost.first, 1.0/greatestLateness), greatestLateness)
		member.lateness += learning * (ratio - member.lateness)
		member.lateness = max(member.lateness, 1)
	}
	if ticket.cost.unread >= readingSample {
		speed := ticket.cost.unread / took
		if member.speed == 0 {
			member.speed = speed
		}
		member.speed += learning * (speed - member.speed)
		ticket.pool.speed += learning * (speed - ticket.pool.speed)
	}
}

// End takes in the end of the request.
func (ticket *Ticket) End(verdict AttemptResult, now time.Time) {
	ticket.pool.mutex.Lock()
	defer ticket.pool.mutex.Unlock()
	if ticket.ended {
		return
	}
	ticket.ended = true
	member := ticket.member
	member.running--
	if !ticket.answered {
		member.unread = max(0, member.unread-ticket.cost.unread)
	}
	switch verdict {
	case Success:
		member.failures -= learning * member.failures
		member.consecutive = 0
		member.ejection = 0
	case Failure:
		member.failures += learning * (1 - member.failures)
		member.consecutive++
		if member.consecutive >= ejectAfter {
			member.eject(now)
		}
	case Unreachable:
		member.failures += learning * (1 - member.failures)
		member.eject(now)
	case Full:
		member.fullTill = now.Add(fullTime)
	case Neutral:
	}
}

func (member *member) eject(now time.Time) {
	member.ejection = min(max(2*member.ejection, ejectionInitial), ejectionMax)
	member.ejectedTill = now.Add(member.ejection)
}
