package notice

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestRetryAfter guards against pauses of odd length: the script lists texts of the
// header with the pause that each one asks for.
func TestRetryAfter(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("testdata", "retry_after"), func(_ *testing.T, data *datadriven.TestData) string {
		var lines []string
		for text := range strings.SplitSeq(data.Input, "\n") {
			text = strings.Trim(text, `"`)
			lines = append(lines, fmt.Sprintf("%q: %s", text, ParseRetryAfter(text)))
		}
		return strings.Join(lines, "\n")
	})
}

// Guards against a pause that a shorter one, asked for later, ends early, and against
// a first sign of leaving that later ones replace.
func TestLatestPauseAndFirstLeavingHold(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := Process{ID: "a", StartedAt: 5}, Process{ID: "b", StartedAt: 5}
	var changes []string
	register := NewRegister(RegisterConfig{OnChange: func(change Change) {
		changes = append(changes, fmt.Sprintf("%s %s by %s", change.Process.ID, change.Kind, change.Source))
	}})
	register.Record(a, Request{Pause: 4 * time.Second, Source: "1"}, now)
	register.Record(a, Request{Pause: time.Second, Leaving: true, Source: "2"}, now.Add(time.Second))
	register.Record(a, Request{Leaving: true, Source: "3"}, now.Add(2*time.Second))
	register.Record(b, Request{Source: "4"}, now)
	require.Equal(t, Notice{LeavingSince: now.Add(time.Second), PausedUntil: now.Add(4 * time.Second)}, register.Of(a))
	require.True(t, register.Of(a).IsPaused(now.Add(4*time.Second-1)))
	require.False(t, register.Of(a).IsPaused(now.Add(4*time.Second)))
	require.Equal(t, Notice{}, register.Of(b))
	require.Equal(t, register.Of(a), register.Of(Process{ID: "a", StartedAt: 4}))
	require.Equal(t, Notice{}, register.Of(Process{ID: "a", StartedAt: 6}), "a later process")
	require.Equal(t, []string{"a paused by 1", "a leaving by 2"}, changes, "one change each")
	register.Forget("a")
	require.Equal(t, Notice{}, register.Of(a))
}

// Guards against a register that grows with each process that ever left.
func TestRegisterIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	register := NewRegister(RegisterConfig{})
	for process := range maxProcesses + 10 {
		register.Record(Process{ID: strconv.Itoa(process)}, Request{Leaving: true}, now.Add(time.Duration(process)))
	}
	require.Len(t, register.entries, maxProcesses)
	require.False(t, register.Of(Process{ID: "9"}).IsLeaving())
	require.True(t, register.Of(Process{ID: "10"}).IsLeaving())
}
