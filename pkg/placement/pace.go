package placement

import "time"

const (
	// pacePeriod is the time between two changes of a machine's pace.
	pacePeriod = 600 * time.Millisecond
	// percent is the stated pace of a machine on which work takes as long as usual.
	percent = 100
	// minPace and maxPace bound a stated pace. A wrong statement of one upstream must
	// neither attract all requests nor raise timeouts without limit.
	minPace = 0.5
	maxPace = 8
)

// paceWeight is the probability that a pace stated so long ago still holds: it changes
// each pacePeriod, and when the last change was is not known. It is zero from pacePeriod
// on, so a stale statement has no effect.
func paceWeight(age time.Duration) float64 {
	return min(max(1-age.Seconds()/pacePeriod.Seconds(), 0), 1)
}

// statedPace is the stated pace as a factor of the usual time; 1 if none is stated.
func (load Load) statedPace() float64 {
	if load.PacePercent == 0 {
		return 1
	}
	return min(max(float64(load.PacePercent)/percent, minPace), maxPace)
}

// expectedPace is by what factor work is expected to take longer than usual.
func (load Load) expectedPace(now time.Time) float64 {
	return 1 + paceWeight(now.Sub(load.ReceivedAt))*(load.statedPace()-1)
}

// pace is the pace at which the request was processed, as far as it is known: the one
// that the upstream stated meanwhile, or the one expected when it was sent.
func (ticket *Ticket) pace() float64 {
	if load := ticket.member.load; !load.ReceivedAt.Before(ticket.startedAt) {
		return load.statedPace()
	}
	return ticket.estimate.pace
}
