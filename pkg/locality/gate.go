// Package locality decides when a router sends requests to another availability zone,
// and how many.
//
// The load that it addresses: demand swings between zones, so a zone's own upstreams are
// sometimes too few while others have free slots. Traffic between zones is slower and
// costs money, and each router decides alone, from reports that are late. A router that
// reacted to each difference at once would overload the other zone, with all others, and
// then the first one again.
package locality

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// DefaultLatency is the additional network latency of a request to another zone.
	DefaultLatency = time.Millisecond
	// DefaultCostPerGB is the default of Config.CostPerGB. With the default value of a
	// second, a request of 10 kB costs as much as 1 ms of waiting, which is the order of
	// the additional latency.
	DefaultCostPerGB = 0.01
	// DefaultValuePerSecond is the default of Config.ValuePerSecond.
	DefaultValuePerSecond = 0.0001
	bytesPerGB            = 1e9

	// The share that leaves is a proportional part, a fixed multiple of the seconds saved,
	// and a base that grows by a multiple of them each second. Reports are up to a second
	// late and waiting requests add up, so the product of proportionalGain and that delay
	// must stay well below pi/2; a base without the proportional part would oscillate.
	proportionalGain = 0.5
	baseGain         = 0.15
	// baseFall is by how much the base falls in a second while leaving saves nothing. A
	// second's fall is a small part of the demand, so that it starts no new queue.
	baseFall = 0.04
	// returnRate is by how much the share falls in a second when the home zone has
	// upstreams again. Their engines may be cold for some seconds.
	returnRate = 0.2
	// maxStep is the longest time for which one update changes the share.
	maxStep = 200 * time.Millisecond
	// A zone's base grows only while leaving saves more than minMargin and marginShare of
	// the wait at home, and falls only when it saves nothing, so that waits which are
	// nearly the same move nothing.
	minMargin   = 5 * time.Millisecond
	marginShare = 0.25
	// waitHalfLife is the age at which the difference of two waits counts half.
	waitHalfLife = 2 * time.Second
	// maxWaitAge is the age from which a wait counts as unknown.
	maxWaitAge = 4 * time.Second
	// minChangeInterval is the least time between two changes that are reported.
	minChangeInterval = time.Second
	// probeShare is the share of requests that a zone of unknown wait gets while the home
	// zone is short. It is enough for a report each second or so.
	probeShare = 0.02
)

// Reason is why a request leaves the zone.
type Reason string

// Values of Reason.
const (
	// None means that the request stays.
	None Reason = ""
	// Shorter means that the expected wait in the other zone is shorter by more than
	// leaving costs.
	Shorter Reason = "shorter_wait"
	// Probe means that the wait in the other zone is not known and that at home is long.
	Probe Reason = "probe"
	// Returning means that the home zone has upstreams again and gets its requests back
	// in steps.
	Returning Reason = "returning"
	// NoUpstream means that the home zone has no upstream for the request.
	NoUpstream Reason = "no_upstream"
)

// Config configures a Gate.
type Config struct {
	// CostPerGB is the price of 10^9 bytes between zones, and ValuePerSecond what a
	// second of waiting that a caller is spared is worth, in the same currency. Leaving
	// never pays if ValuePerSecond is zero and CostPerGB is not.
	CostPerGB, ValuePerSecond float64
	// Latency is the additional latency; zero means the default.
	Latency time.Duration
}

// Price returns the wait that is worth as much as sending the bytes to another zone.
func (config Config) Price(bytes float64) time.Duration {
	cost := max(bytes, 0) / bytesPerGB * config.CostPerGB
	if cost <= 0 {
		return 0
	}
	return time.Duration(min(cost/config.ValuePerSecond*float64(time.Second), float64(time.Hour)))
}

// LeavingCost is the wait that is worth as much as sending a request of that size to
// another zone.
func (config Config) LeavingCost(bytes int64) time.Duration {
	return cmp.Or(config.Latency, DefaultLatency) + config.Price(float64(bytes))
}

// Wait is the expected wait at the upstreams of a zone.
type Wait struct {
	Zone     string
	Expected time.Duration
	// Age is that of the reports on which the wait rests.
	Age time.Duration
	// Capacity is the relative capacity of the zone's upstreams.
	Capacity float64
}

// View is what a router knows of the zones.
type View struct {
	// Home is nil if the home zone has no upstream.
	Home   *Wait
	Others []Wait
	// MeanBytes is the mean size of a request.
	MeanBytes float64
}

// Request is what is known of one request.
type Request struct {
	Bytes int64
}

// Decision says where a request is to be sent; an empty zone means the home zone.
type Decision struct {
	Zone   string
	Reason Reason
}

// Change is a change of state: requests begin to leave for a zone, or no longer do.
type Change struct {
	Zone    string
	Leaving bool
	Reason  Reason
	// Home and Other are the waits that decided; Home is nil if the home zone has no
	// upstream.
	Home  *Wait
	Other Wait
}

// route is the state of the decision for one other zone.
type route struct {
	// share is the share of requests that goes to the zone, and base its part that
	// doesn't follow the waits at once. saving is what leaving saves an average request.
	share, base float64
	saving      time.Duration
	reason      Reason
	// announced is whether the last Change said that requests leave.
	announced   bool
	announcedAt time.Time
}

// Gate decides for one service of a router. It isn't safe for concurrent use.
type Gate struct {
	config    Config
	routes    map[string]*route
	updatedAt time.Time
}

// NewGate returns a gate through which nothing leaves yet.
func NewGate(config Config) *Gate {
	config.Latency = cmp.Or(config.Latency, DefaultLatency)
	return &Gate{config: config, routes: make(map[string]*route)}
}

// Update adjusts the shares that leave. It returns the changes of state.
func (gate *Gate) Update(view View, now time.Time) []Change {
	step := min(max(now.Sub(gate.updatedAt), 0), maxStep)
	gate.updatedAt = now
	var changes []Change
	maps.DeleteFunc(gate.routes, func(zone string, _ *route) bool {
		return !slices.ContainsFunc(view.Others, func(other Wait) bool { return other.Zone == zone })
	})
	total, totalCapacity := 0.0, 0.0
	for _, other := range view.Others {
		totalCapacity += other.Capacity
	}
	for _, other := range view.Others {
		current, ok := gate.routes[other.Zone]
		if !ok {
			current = &route{}
			gate.routes[other.Zone] = current
		}
		if view.Home == nil {
			share := other.Capacity / max(totalCapacity, math.SmallestNonzeroFloat64)
			current.share, current.base, current.reason = share, share, NoUpstream
		} else {
			gate.adjust(current, view, other, step)
		}
		if leaving := current.share > 0; leaving != current.announced && now.Sub(current.announcedAt) >= minChangeInterval {
			current.announced, current.announcedAt = leaving, now
			changes = append(changes, Change{Zone: other.Zone, Leaving: leaving, Reason: current.reason, Home: view.Home, Other: other})
		}
		total += current.share
	}
	if total > 1 {
		for _, current := range gate.routes {
			current.share /= total
		}
	}
	return changes
}

// adjust sets the share of one zone.
func (gate *Gate) adjust(current *route, view View, other Wait, step time.Duration) {
	if current.reason == NoUpstream {
		current.reason = Returning
	}
	costs := gate.config.Latency + gate.config.Price(view.MeanBytes)
	margin := max(minMargin, time.Duration(marginShare*float64(view.Home.Expected)))
	known := math.Exp2(-(max(other.Age, 0) + max(view.Home.Age, 0)).Seconds() / waitHalfLife.Seconds())
	current.saving = time.Duration(known*float64(view.Home.Expected-other.Expected)) - costs
	if current.reason == Returning {
		current.base = max(0, current.base-returnRate*step.Seconds())
		current.share = current.base
		if current.base == 0 {
			current.reason = None
		}
		return
	}
	isUnknown := other.Age > maxWaitAge && view.Home.Age <= maxWaitAge
	excess := max(current.saving-margin, 0).Seconds()
	switch {
	case isUnknown, current.saving <= 0:
		excess = 0
		current.base = max(0, current.base-baseFall*step.Seconds())
	case excess > 0:
		current.reason = Shorter
		current.base = min(1, current.base+baseGain*excess*step.Seconds())
	}
	current.share = min(1, current.base+proportionalGain*excess)
	if isUnknown && view.Home.Expected > margin+costs && current.share < probeShare {
		current.share, current.reason = probeShare, Probe
	}
	if current.share == 0 {
		current.reason = None
	}
}

// Decide decides for one request; the draw is a random number in [0, 1). A request stays
// if what is cached for it in the home zone, or its size, costs more than leaving saves.
func (gate *Gate) Decide(request Request, meanBytes, draw float64) Decision {
	for _, zone := range slices.Sorted(maps.Keys(gate.routes)) {
		current := gate.routes[zone]
		if draw -= current.share; draw >= 0 || current.share == 0 {
			continue
		}
		additional := gate.config.Price(float64(request.Bytes)) - gate.config.Price(meanBytes)
		if current.reason == Shorter && max(additional, 0) > max(current.saving, 0) {
			return Decision{}
		}
		return Decision{Zone: zone, Reason: current.reason}
	}
	return Decision{}
}

// Share returns the share of requests that leave.
func (gate *Gate) Share() float64 {
	total := 0.0
	for _, current := range gate.routes {
		total += current.share
	}
	return total
}
