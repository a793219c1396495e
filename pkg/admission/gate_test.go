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

// slots is a pool of interchangeable resources. It records who took one.
type slots struct {
	mutex   sync.Mutex
	free    int
	takenBy []string
}

func (slots *slots) take(name string) (string, error) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	if slots.free == 0 {
		return "", errFull
	}
	slots.free--
	slots.takenBy = append(slots.takenBy, name)
	return name, nil
}

func (slots *slots) release(string) {
	slots.mutex.Lock()
	defer slots.mutex.Unlock()
	slots.free++
}

func newTestGate(slots *slots, queueCapacity int, now func() time.Time) *Gate[string, string] {
	return NewGate(Config[string, string]{
		Name: "advice", Capacity: queueCapacity, Take: slots.take, ErrFull: errFull, Return: slots.release, Now: now,
	})
}

// startWaiting calls Acquire in a goroutine, waits until the request is queued
// and returns the channel that gets the error of Acquire.
func startWaiting(ctx context.Context, t *testing.T, gate *Gate[string, string], request Request[string]) chan error {
	t.Helper()
	queuedBefore := gate.Waiting()
	result := make(chan error, 1)
	go func() {
		_, err := gate.Acquire(ctx, request)
		result <- err
	}()
	require.Eventually(t, func() bool { return gate.Waiting() > queuedBefore }, time.Minute, time.Millisecond)
	return result
}

func TestHigherPriorityIsGrantedFirst(t *testing.T) {
	slots := &slots{free: 1}
	gate := newTestGate(slots, 10, nil)
	_, err := gate.Acquire(t.Context(), Request[string]{Criteria: "first"})
	require.NoError(t, err)
	low := startWaiting(t.Context(), t, gate, Request[string]{Criteria: "low", Priority: 1})
	high := startWaiting(t.Context(), t, gate, Request[string]{Criteria: "high", Priority: 5})
	for _, result := range []chan error{high, low} {
		slots.release("")
		gate.Release(time.Millisecond)
		require.NoError(t, <-result)
	}
	require.Equal(t, []string{"first", "high", "low"}, slots.takenBy)
}

func TestRequestWithPredictedWaitPastDeadlineIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	slots := &slots{free: 1}
	gate := newTestGate(slots, 10, func() time.Time { return now })
	_, err := gate.Acquire(t.Context(), Request[string]{Criteria: "warm"})
	require.NoError(t, err)
	slots.release("")
	gate.Release(10 * time.Second)
	_, err = gate.Acquire(t.Context(), Request[string]{Criteria: "running"})
	require.NoError(t, err)
	_, err = gate.Acquire(t.Context(), Request[string]{Criteria: "late", Deadline: now.Add(13 * time.Second)})
	require.Equal(t, fault.Overloaded, fault.KindOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	require.Equal(t, 7*time.Second, fault.RetryAfterOf(err))
}

func TestNoGrantAfterDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	slots := &slots{}
	gate := newTestGate(slots, 10, func() time.Time { return now })
	result := startWaiting(t.Context(), t, gate, Request[string]{Criteria: "late", Deadline: now.Add(time.Second)})
	now = now.Add(time.Second)
	slots.release("")
	gate.DispatchWaiting()
	require.Equal(t, fault.DeadlineExceeded, fault.KindOf(<-result))
	require.Empty(t, slots.takenBy)
}

func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	slots := &slots{}
	gate := newTestGate(slots, 1, nil)
	ctx, cancel := context.WithCancel(t.Context())
	result := startWaiting(ctx, t, gate, Request[string]{Criteria: "leaves"})
	_, err := gate.Acquire(t.Context(), Request[string]{Criteria: "refused"})
	require.Equal(t, fault.Overloaded, fault.KindOf(err))
	cancel()
	require.Equal(t, fault.NotRun, fault.OutcomeOf(<-result))
	require.Zero(t, gate.Waiting())
}

// Guards against resources granted to a queued request that can no longer
// finish by its deadline, in place of one that can.
func TestWaitingRequestIsRefusedAtItsLatestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	slots := &slots{free: 1}
	gate := newTestGate(slots, 10, func() time.Time { return now })
	_, err := gate.Acquire(t.Context(), Request[string]{Criteria: "warm"})
	require.NoError(t, err)
	gate.Release(2 * time.Second)
	result := startWaiting(t.Context(), t, gate, Request[string]{Criteria: "hopeless", Deadline: now.Add(5 * time.Second)})
	now = now.Add(4 * time.Second)
	slots.release("")
	gate.DispatchWaiting()
	require.Equal(t, fault.Overloaded, fault.KindOf(<-result))
	require.Equal(t, []string{"warm"}, slots.takenBy)
}
