package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

func TestTrackerWidensBusyProfilesAndLetsThemLapse(t *testing.T) {
	known := make(map[string]int)
	tracker := NewTracker(TrackerConfig{Width: 2, Comfortable: 10, BusyWidth: func(profile string) int { return known[profile] }})
	change := func(profile string, count int, one func(string)) {
		for range count {
			one(profile)
		}
	}
	change("calm", 10, tracker.Begin)
	change("busy", 25, tracker.Begin)
	require.Equal(t, []fleet.BusyProfile{{Profile: "busy", Width: 6}}, tracker.Busy())
	require.Equal(t, 2, tracker.Width("busy"), "the width is what the fleet knows")
	known["busy"] = 6
	require.Equal(t, 6, tracker.Width("busy"))
	change("busy", 17, tracker.End)
	require.Equal(t, []fleet.BusyProfile{{Profile: "busy", Width: 6}}, tracker.Busy(), "8 of 10 keep the width")
	change("busy", 4, tracker.End)
	require.Empty(t, tracker.Busy())
	change("busy", 4, tracker.End)
	change("calm", 10, tracker.End)
	require.Empty(t, tracker.running)
}
