// Package warmup limits what one router sends to cold engines. Its load: an engine
// that has just started, or a whole zone of them that returns, sustains only a stated
// rate of requests for some seconds and crashes well above it, while every router of
// the fleet finds it idle and therefore cheapest.
//
// The flow: a Limiter gets the entries of engines, what answers state, and the router's
// view of the serving routers. Rendezvous hashing assigns each cold engine to a few
// serving routers (view.go), which divide its rate so that two views in use at once stay
// within the bound (limits.go). evidence.go decides how long an engine counts as cold.
// Afterwards the limit rises in steps (ramp.go). Nothing here reads a clock or a network.
package warmup

import "time"

// Limits are those of a service's cold engines.
type Limits struct {
	// ColdPeriod is how long an engine is cold after its start.
	ColdPeriod time.Duration
	// PerSecond is the number of requests a second that a cold engine sustains.
	PerSecond float64
}

// IsEnabled reports whether the service's engines are ever cold.
func (limits Limits) IsEnabled() bool { return limits.ColdPeriod > 0 && limits.PerSecond > 0 }

// Bound limits the requests that a cold engine may receive in any second from all
// routers together: its rate times Overrun plus Slack.
type Bound struct {
	Overrun, Slack float64
}

const (
	// maxHolders is the number of routers that divide the rate of a cold engine. With
	// two, the loss of a router costs an engine half of its rate, and each of up to 25
	// serving routers holds one or more of 30 engines in most fleets.
	maxHolders = 2
	// concurrentViews is the number of different views of the fleet that the bound
	// allows for: the present one and one of routers that are cut off.
	concurrentViews = 2
	// burst is the capacity of a holder's token bucket. A bucket passes at most its rate
	// plus its capacity in any second.
	burst = 1
)

// holders returns how many of the serving routers divide the rate of a cold engine. Only
// the slack pays for their bursts, as an engine may have any rate.
func (bound Bound) holders(serving int) int {
	if bound.Slack >= concurrentViews*maxHolders*burst {
		return min(max(serving, 1), maxHolders)
	}
	return 1
}

// rateOfHolder returns the requests a second that one of the holders may send to a cold
// engine.
// The holders of each view stay within their part of the bound, bursts included, and
// together never above the rate that the engine sustains. It is zero if the bound leaves
// no room.
func (bound Bound) rateOfHolder(limits Limits, holders int) float64 {
	count := float64(holders)
	ofView := (limits.PerSecond*bound.Overrun + bound.Slack) / concurrentViews
	return max(0, min(limits.PerSecond/count, ofView/count-burst))
}
