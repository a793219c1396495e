package placement

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
	"gitlab.com/wisterialb/wisterialb/pkg/warmup"
)

// permitted returns the candidates to which the limiter of cold engines lets a request
// go. Those on the ramp after their cold time that have got their part already are
// among them only if there is no other.
func (pool *Pool) permitted(candidates []*member, now time.Time) []*member {
	if !pool.config.Warmup.IsActive(pool.config.Service, now) {
		return candidates
	}
	var open, ramping []*member
	for _, candidate := range candidates {
		switch pool.config.Warmup.Availability(candidate.Process(), now) {
		case warmup.Open:
			open = append(open, candidate)
		case warmup.Ramping:
			ramping = append(ramping, candidate)
		case warmup.Closed:
		}
	}
	if len(open) > 0 {
		return open
	}
	return ramping
}

// takePermit takes a permit for a request to the member. It reports whether there is
// one.
func (pool *Pool) takePermit(member *member, now time.Time) bool {
	return !pool.config.Warmup.IsActive(pool.config.Service, now) || pool.config.Warmup.Take(member.Process(), now)
}

// RefuseCold reports whether Choose found no upstream only because all that the request
// could go to are cold. If so, it counts the refusal and returns when the caller is to
// come back.
func (pool *Pool) RefuseCold(criteria Criteria, now time.Time) (time.Time, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !pool.config.Warmup.IsActive(pool.config.Service, now) {
		return time.Time{}, false
	}
	candidates := pool.candidates(criteria, now)
	processes := make([]notice.Process, 0, len(candidates))
	for _, candidate := range candidates {
		processes = append(processes, candidate.Process())
	}
	return pool.config.Warmup.Refuse(pool.config.Service, processes, now)
}

// ReportCold records that the upstream stated in an answer for how long it is still
// cold.
func (ticket *Ticket) ReportCold(coldLeft time.Duration, now time.Time) {
	ticket.pool.config.Warmup.ReportCold(ticket.Upstream.Process(), coldLeft, now)
}

// ReportDown records that the upstream's host refuses connections.
func (ticket *Ticket) ReportDown(now time.Time) {
	ticket.pool.config.Warmup.ReportDown(ticket.Upstream.Process(), now)
}
