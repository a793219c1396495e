package congestion

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCongestion guards against a router that turns callers away because of
// upstreams that are slow or unreachable themselves.
func TestCongestion(t *testing.T) {
	const fast, slow = time.Millisecond, 400 * time.Millisecond
	now := time.Unix(1, 0)
	for name, test := range map[string]struct {
		setups   map[string]time.Duration
		refusals int
		age      time.Duration
		expected bool
	}{
		"no connection was opened":        {},
		"all setups are slow":             {setups: map[string]time.Duration{"a": slow, "b": slow, "c": slow}, expected: true},
		"some upstreams are unreachable":  {setups: map[string]time.Duration{"a": slow, "b": slow, "c": slow, "d": fast}},
		"the only upstreams are cut off":  {setups: map[string]time.Duration{"a": slow, "b": slow}},
		"some refuse while all are slow":  {setups: map[string]time.Duration{"a": slow, "b": slow, "c": slow}, refusals: 3, expected: true},
		"the slow setups are long past":   {setups: map[string]time.Duration{"a": slow, "b": slow, "c": slow}, age: time.Second},
		"the setups are somewhat delayed": {setups: map[string]time.Duration{"a": 60 * fast, "b": 60 * fast, "c": 70 * fast}},
	} {
		t.Run(name, func(t *testing.T) {
			monitor := NewMonitor(Config{})
			for address, duration := range test.setups {
				monitor.Record(address, duration, nil, now)
			}
			for number := range test.refusals {
				monitor.Record(fmt.Sprint("refusing", number), fast, syscall.ECONNREFUSED, now)
			}
			require.Equal(t, test.expected, monitor.Congested(now.Add(test.age)))
		})
	}
}

// TestPausesEnd guards against a router that refuses all callers for as long as it
// is congested, although some of them know no other router.
func TestPausesEnd(t *testing.T) {
	pauses := Pauses{}
	start := time.Unix(1, 0)
	openFor, pausedFor, longestPause := time.Duration(0), time.Duration(0), time.Duration(0)
	const step = 50 * time.Millisecond
	for at := time.Duration(0); at < time.Minute; at += step {
		if pauses.Update(true, start.Add(at)) {
			pausedFor += step
			longestPause = max(longestPause, pausedFor)
			continue
		}
		pausedFor = 0
		openFor += step
	}
	require.LessOrEqual(t, longestPause, maxPause)
	require.Greater(t, openFor, 8*time.Second)
	require.False(t, pauses.Update(false, start.Add(2*time.Minute)))
}
