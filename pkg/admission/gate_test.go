package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var errFull = errors.New("full")

// slots is a number of equal resources.
type slots struct {
	mutex sync.Mutex
	free  int
	taken []string
}

func (slots *slots) take(name string) (string, error) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if slots.free == 0 {
		return "", errFull
	}
	slots.free--
	slots.taken = append(slots.taken, name)
	return name, nil
}

func (slots *slots) put(string) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	slots.free++
}

func newTestGate(slots *slots, capacity int, now func() time.Time) *Gate[string, string] {
	return NewGate(Config[string, string]{
		Name: "advice", Capacity: capacity, Take: slots.take, ErrFull: errFull, Return: slots.put, Now: now,
	})
}

// wait starts Acquire and returns its error's channel once the request waits.
func wait(ctx context.Context, t *testing.T, gate *Gate[string, string], request Request[string]) chan error {
	t.Helper()
	before := gate.Waiting()
	done := make(chan error, 1)
	go func() {
		_, err := gate.Acquire(ctx, request)
		done <- err
	}()
	require.Eventually(t, func() bool { return gate.Waiting() > before }, time.Minute, time.Millisecond)
	return done
}

func TestHigherPriorityIsGrantedFirst(t *testing.T) {
	slots := &slots{free: 1}
	gate := newTestGate(slots, 10, nil)
	_, err := gate.Acquire(t.Context(), Request[string]{Demand: "first"})
	require.NoError(t, err)
	low := wait(t.Context(), t, gate, Request[string]{Demand: "low", Priority: 1})
	high := wait(t.Context(), t, gate, Request[string]{Demand: "high", Priority: 5})
	for _, done := range []chan error{high, low} {
		slots.put("")
		gate.Release(time.Millisecond)
		require.NoError(t, <-done)
	}
	require.Equal(t, []string{"first", "high", "low"}, slots.taken)
}

func TestPredictedWaitPastTheDeadlineIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	slots := &slots{free: 1}
	gate := newTestGate(slots, 10, func() time.Time { return now })
	_, err := gate.Acquire(t.Context(), Request[string]{Demand: "warm"})
	require.NoError(t, err)
	slots.put("")
	gate.Release(10 * time.Second)
	_, err = gate.Acquire(t.Context(), Request[string]{Demand: "running"})
	require.NoError(t, err)
	_, err = gate.Acquire(t.Context(), Request[string]{Demand: "late", Deadline: now.Add(13 * time.Second)})
	require.Equal(t, fault.Overloaded, fault.KindOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	require.Equal(t, 7*time.Second, fault.RetryAfterOf(err))
}

func TestNothingIsGrantedPastItsDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	slots := &slots{}
	gate := newTestGate(slots, 10, func() time.Time { return now })
	done := wait(t.Context(), t, gate, Request[string]{Demand: "late", Deadline: now.Add(time.Second)})
	now = now.Add(time.Second)
	slots.put("")
	gate.DispatchWaiting()
	require.Equal(t, fault.DeadlineExceeded, fault.KindOf(<-done))
	require.Empty(t, slots.taken)
}

func TestCallerThatLeavesGivesItsPlaceUp(t *testing.T) {
	slots := &slots{}
	gate := newTestGate(slots, 1, nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := wait(ctx, t, gate, Request[string]{Demand: "leaves"})
	_, err := gate.Acquire(t.Context(), Request[string]{Demand: "refused"})
	require.Equal(t, fault.Overloaded, fault.KindOf(err))
	cancel()
	require.Equal(t, fault.NotRun, fault.OutcomeOf(<-done))
	require.Zero(t, gate.Waiting())
}

// A request that can't be done by its deadline any more must not take the place
// of one that can.
func TestWaitingRequestIsRefusedAtItsLatestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	slots := &slots{free: 1}
	gate := newTestGate(slots, 10, func() time.Time { return now })
	_, err := gate.Acquire(t.Context(), Request[string]{Demand: "warm"})
	require.NoError(t, err)
	gate.Release(2 * time.Second)
	done := wait(t.Context(), t, gate, Request[string]{Demand: "hopeless", Deadline: now.Add(5 * time.Second)})
	now = now.Add(4 * time.Second)
	slots.put("")
	gate.DispatchWaiting()
	require.Equal(t, fault.Overloaded, fault.KindOf(<-done))
	require.Equal(t, []string{"warm"}, slots.taken)
}
