package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

func TestTrackerWidensBusyProfilesUntilLoadDrops(t *testing.T) {
	busyWidths := make(map[string]int)
	tracker := NewTracker(TrackerConfig{Width: 2, WidenThreshold: 10, BusyWidth: func(profile string) int { return busyWidths[profile] }})
	repeat := func(profile string, count int, call func(string)) {
		for range count {
			call(profile)
		}
	}
	repeat("calm", 10, tracker.Begin)
	repeat("busy", 25, tracker.Begin)
	require.Equal(t, []fleet.BusyProfile{{Profile: "busy", Width: 6}}, tracker.Busy())
	require.Equal(t, 2, tracker.Width("busy"), "the width changes only when the fleet has recorded it")
	busyWidths["busy"] = 6
	require.Equal(t, 6, tracker.Width("busy"))
	repeat("busy", 17, tracker.End)
	require.Equal(t, []fleet.BusyProfile{{Profile: "busy", Width: 6}}, tracker.Busy(), "8 running requests of a threshold of 10 keep the width")
	repeat("busy", 4, tracker.End)
	require.Empty(t, tracker.Busy())
	repeat("busy", 4, tracker.End)
	repeat("calm", 10, tracker.End)
	require.Empty(t, tracker.running)
}
