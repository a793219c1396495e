package relay

import (
	"sync"
	"time"
)

// RetryLimits limit the retries of all routers together: in each Window at most
// Ratio times the number of requests plus FixedRetries.
type RetryLimits struct {
	Ratio        float64
	FixedRetries float64
	Window       time.Duration
}

// usableShare is the part of the fleet's limit that routers use. The rest is a
// margin, because the routers' counting windows are not aligned with each other.
const usableShare = 0.8

// slidingWindow counts events in a sliding time window.
type slidingWindow struct {
	times []time.Time
}

func (slidingWindow *slidingWindow) add(now time.Time) {
	slidingWindow.times = append(slidingWindow.times, now)
}

// count removes the events older than length and returns how many remain.
func (slidingWindow *slidingWindow) count(now time.Time, length time.Duration) int {
	expired := 0
	for expired < len(slidingWindow.times) && now.Sub(slidingWindow.times[expired]) > length {
		expired++
	}
	slidingWindow.times = slidingWindow.times[expired:]
	return len(slidingWindow.times)
}

// RetryBudget is one router's part of the retry budget of each service. It is
// safe for concurrent use.
type RetryBudget struct {
	limits RetryLimits
	// maxRouters returns the maximum number of routers that may be alive.
	maxRouters func() int
	mutex      sync.Mutex
	requests   map[string]*slidingWindow
	retries    map[string]*slidingWindow
}

// NewRetryBudget returns a budget with nothing counted yet.
func NewRetryBudget(limits RetryLimits, maxRouters func() int) *RetryBudget {
	return &RetryBudget{
		limits: limits, maxRouters: maxRouters,
		requests: make(map[string]*slidingWindow), retries: make(map[string]*slidingWindow),
	}
}

func windowOf(windows map[string]*slidingWindow, service string) *slidingWindow {
	window, ok := windows[service]
	if !ok {
		window = &slidingWindow{}
		windows[service] = window
	}
	return window
}

// CountRequest counts a request to the service, not a retry.
func (retryBudget *RetryBudget) CountRequest(service string, now time.Time) {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	requests := windowOf(retryBudget.requests, service)
	requests.add(now)
	requests.count(now, retryBudget.limits.Window)
}

// AllowRetry reports whether the budget allows a retry at the service, and if so
// counts it.
func (retryBudget *RetryBudget) AllowRetry(service string, now time.Time) bool {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	requests := windowOf(retryBudget.requests, service).count(now, retryBudget.limits.Window)
	retries := windowOf(retryBudget.retries, service)
	limit := retryBudget.limits.Ratio*float64(requests) + retryBudget.limits.FixedRetries/float64(max(retryBudget.maxRouters(), 1))
	if float64(retries.count(now, retryBudget.limits.Window)+1) > usableShare*limit {
		return false
	}
	retries.add(now)
	return true
}
