package congestion

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulated callers and link are those of a small VM: 10 Mbit/s, and requests
// that fill three quarters of it, two and a half times as many in a burst.
const (
	bytesPerSecond    = 1_250_000
	requestBytes      = 4_400
	answerBytes       = 1_200
	requestsPerSecond = 180
	burstFactor       = 2.5
	burstStart        = 2 * time.Second
	burstEnd          = 8 * time.Second
	simulationEnd     = 24 * time.Second
	serviceTime       = 50 * time.Millisecond
	callerTimeout     = 1200 * time.Millisecond
	connectTimeout    = 400 * time.Millisecond
	upstreamCount     = 90
	maxConnects       = 3
	// queueLimit is the delay from which the users call a machine choked, and
	// recoveryTime how long after a burst they excuse it.
	queueLimit   = 500 * time.Millisecond
	recoveryTime = 5 * time.Second
)

// queueingLink is a first-in first-out queue that drains at a constant rate.
type queueingLink struct {
	freeAt time.Duration
}

// send returns when bytes that are queued now have been transferred.
func (queueingLink *queueingLink) send(now time.Duration, bytes int) time.Duration {
	queueingLink.freeAt = max(queueingLink.freeAt, now) + time.Duration(bytes)*time.Second/bytesPerSecond
	return queueingLink.freeAt
}

func (queueingLink *queueingLink) delay(now time.Duration) time.Duration {
	return max(queueingLink.freeAt-now, 0)
}

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (eventQueue eventQueue) Len() int           { return len(eventQueue) }
func (eventQueue eventQueue) Less(i, j int) bool { return eventQueue[i].at < eventQueue[j].at }
func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}
func (eventQueue *eventQueue) Push(value any) { *eventQueue = append(*eventQueue, value.(event)) }
func (eventQueue *eventQueue) Pop() any {
	last := (*eventQueue)[len(*eventQueue)-1]
	*eventQueue = (*eventQueue)[:len(*eventQueue)-1]
	return last
}

// simulation is one router with a link, and callers that prefer this router to
// others and repeat a failed request once.
type simulation struct {
	events            eventQueue
	now               time.Duration
	random            *rand.Rand
	inbound, outbound queueingLink
	monitor           *Monitor
	pauses            Pauses
	usesPauses        bool
	paused            bool
	// longestDelay is the longest delay of the link after the recovery time.
	longestDelay time.Duration
	// sent, answered and refused count the requests after the recovery time.
	sent, answered, refused int
}

func newSimulation(seed uint64, usesPauses bool) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), monitor: NewMonitor(Config{}), usesPauses: usesPauses,
	}
	simulation.at(0, simulation.sendRequests)
	simulation.at(0, simulation.check)
	for len(simulation.events) > 0 && simulation.now < simulationEnd {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.run()
	}
	return simulation
}

func (simulation *simulation) at(at time.Duration, run func()) {
	heap.Push(&simulation.events, event{at: at, run: run})
}

func (simulation *simulation) time() time.Time { return time.Unix(1, 0).Add(simulation.now) }

func (simulation *simulation) recovered() bool { return simulation.now >= burstEnd+recoveryTime }

// sendRequests sends one request and schedules the next.
func (simulation *simulation) sendRequests() {
	rate := float64(requestsPerSecond)
	if simulation.now >= burstStart && simulation.now < burstEnd {
		rate *= burstFactor
	}
	simulation.at(simulation.now+time.Duration(simulation.random.ExpFloat64()/rate*float64(time.Second)), simulation.sendRequests)
	if simulation.recovered() {
		simulation.sent++
	}
	simulation.connectCaller(true)
}

// connectCaller sends a request once the router has accepted a connection.
func (simulation *simulation) connectCaller(mayRetry bool) {
	counts := simulation.recovered()
	simulation.at(simulation.now+simulation.inbound.delay(simulation.now), func() {
		if simulation.paused {
			if counts {
				simulation.refused++ // and served by another router
			}
			return
		}
		done := false
		simulation.at(simulation.now+callerTimeout, func() {
			if !done && mayRetry {
				simulation.connectCaller(false)
			}
			done = true
		})
		simulation.at(simulation.inbound.send(simulation.now, requestBytes), func() {
			simulation.connectUpstream(maxConnects, func() {
				if !done && counts {
					simulation.answered++
				}
				done = true
			})
		})
	})
}

func errorIf(failed bool) error {
	if failed {
		return context.DeadlineExceeded
	}
	return nil
}

// connectUpstream connects to an upstream, tries others after timeouts, and
// forwards the request and its answer.
func (simulation *simulation) connectUpstream(connects int, answered func()) {
	if connects == 0 {
		return
	}
	setup := simulation.outbound.delay(simulation.now) + simulation.inbound.delay(simulation.now) + time.Millisecond
	timedOut := setup > connectTimeout
	simulation.at(simulation.now+min(setup, connectTimeout), func() {
		address := string(rune('a' + simulation.random.IntN(upstreamCount)))
		simulation.monitor.Record(address, min(setup, connectTimeout), errorIf(timedOut), simulation.time())
		if timedOut {
			simulation.connectUpstream(connects-1, answered)
			return
		}
		simulation.at(simulation.outbound.send(simulation.now, requestBytes)+serviceTime, func() {
			simulation.at(simulation.inbound.send(simulation.now, answerBytes), func() {
				simulation.at(simulation.outbound.send(simulation.now, answerBytes), answered)
			})
		})
	})
}

// check updates the pauses as a listener does, and records the link's delay.
func (simulation *simulation) check() {
	congested := simulation.monitor.Congested(simulation.time())
	simulation.paused = simulation.usesPauses && simulation.pauses.Update(congested, simulation.time())
	if simulation.recovered() {
		simulation.longestDelay = max(simulation.longestDelay, simulation.inbound.delay(simulation.now), simulation.outbound.delay(simulation.now))
	}
	simulation.at(simulation.now+50*time.Millisecond, simulation.check)
}

// TestSaturatedLinkRecoversAfterBurst guards against configurations, registrations
// and answers that come seconds late, because a burst filled the queue of the
// router's link and the callers' retries keep it full.
func TestSaturatedLinkRecoversAfterBurst(t *testing.T) {
	for seed := range uint64(20) {
		without := newSimulation(seed, false)
		require.Greater(t, without.longestDelay, queueLimit, "the simulated fault is gone")
		with := newSimulation(seed, true)
		require.Less(t, with.longestDelay, queueLimit, "seed %d", seed)
		require.Greater(t, float64(with.answered), 0.8*float64(with.sent), "seed %d: %d refused", seed, with.refused)
	}
}
