// Package congestion detects that a router's own network link or processor is
// overloaded, by the time that it takes to open connections to upstreams.
//
// The flow: Monitor.Record gets the setup time of each connection. As an upstream
// opens a connection without doing any work for it, the time is that of the
// network and of the router itself. If even the shortest setup within a short
// period took long, and upstreams at several addresses were contacted, packets
// queue at the router: Monitor.Congested returns true until a setup is fast
// again or no connection was opened for a while.
package congestion

import (
	"sync"
	"time"
)

const (
	// defaultTargetDelay is far above the setup time within a region, and far below
	// the time in which callers expect an answer.
	defaultTargetDelay = 100 * time.Millisecond
	// defaultPeriod is the age up to which a setup counts. A burst of requests that
	// fills the queue for less than that is not congestion.
	defaultPeriod = 500 * time.Millisecond
	// minAddresses is the minimum number of upstreams with a setup in the period:
	// fewer may be slow or unreachable themselves.
	minAddresses = 3
)

// Config configures a Monitor. Zero values select the defaults.
type Config struct {
	// TargetDelay is the setup time above which packets queue.
	TargetDelay time.Duration
	// Period is the age up to which a setup counts.
	Period time.Duration
}

// Monitor keeps the latest connection setup of each upstream. It is safe for
// concurrent use.
type Monitor struct {
	config Config
	mutex  sync.Mutex
	// setups are the setups by address. Those older than the period are removed.
	setups map[string]setup
}

// setup is the opening of a connection, or a failure that took long.
type setup struct {
	endedAt  time.Time
	duration time.Duration
}

// NewMonitor returns a monitor without setups.
func NewMonitor(config Config) *Monitor {
	if config.TargetDelay <= 0 {
		config.TargetDelay = defaultTargetDelay
	}
	if config.Period <= 0 {
		config.Period = defaultPeriod
	}
	return &Monitor{config: config, setups: make(map[string]setup)}
}

// Record records that a connection to the address was opened, or given up with an
// error. Fast errors are ignored: a refusal may come from this host itself and need
// not have crossed the link.
func (monitor *Monitor) Record(address string, duration time.Duration, err error, now time.Time) {
	if err != nil && duration <= monitor.config.TargetDelay {
		return
	}
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.setups[address] = setup{endedAt: now, duration: duration}
}

// Delay returns the shortest setup of the period, and the number of addresses
// with a setup in it. The delay is zero if there are none.
func (monitor *Monitor) Delay(now time.Time) (shortest time.Duration, addresses int) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	for address, setup := range monitor.setups {
		if now.Sub(setup.endedAt) > monitor.config.Period {
			delete(monitor.setups, address)
			continue
		}
		if addresses == 0 || setup.duration < shortest {
			shortest = setup.duration
		}
		addresses++
	}
	return shortest, addresses
}

// Congested reports whether packets queue at this router.
func (monitor *Monitor) Congested(now time.Time) bool {
	shortest, addresses := monitor.Delay(now)
	return addresses >= minAddresses && shortest > monitor.config.TargetDelay
}
