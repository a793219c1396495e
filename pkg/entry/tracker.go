package entry

import (
	"cmp"
	"slices"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

const (
	// defaultWidenThreshold is the default of TrackerConfig.WidenThreshold.
	defaultWidenThreshold = 64
	// maxWidth is the maximum number of routers per zone that serve a profile.
	maxWidth = 64
)

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	// Width is the number of routers per zone that serve a profile that is not
	// busy; zero means 2.
	Width int
	// WidenThreshold is the number of running requests of one profile on this
	// router above which the profile is busy and needs more routers; zero means 64.
	WidenThreshold int
	// BusyWidth returns the number of routers per zone that the fleet has recorded
	// for a busy profile, or zero if the profile is not busy. Nil means always zero.
	BusyWidth func(profile string) int
}

// Tracker counts the running requests of each profile on this router and reports
// which profiles need more routers.
type Tracker struct {
	config  TrackerConfig
	mutex   sync.Mutex
	running map[string]int
}

// NewTracker returns a Tracker. It replaces zero fields of the configuration with
// their defaults.
func NewTracker(config TrackerConfig) *Tracker {
	if config.Width <= 0 {
		config.Width = defaultWidth
	}
	if config.WidenThreshold <= 0 {
		config.WidenThreshold = defaultWidenThreshold
	}
	if config.BusyWidth == nil {
		config.BusyWidth = func(string) int { return 0 }
	}
	return &Tracker{config: config, running: make(map[string]int)}
}

// Begin adds a running request. End must be called once when the request ends.
func (tracker *Tracker) Begin(profile string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.running[profile]++
}

// End removes a running request.
func (tracker *Tracker) End(profile string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.running[profile]--
	if tracker.running[profile] <= 0 {
		delete(tracker.running, profile)
	}
}

// Width returns the current number of routers per zone that serve a profile, at
// most 64.
func (tracker *Tracker) Width(profile string) int {
	return min(max(tracker.config.Width, tracker.config.BusyWidth(profile)), maxWidth)
}

// Busy returns the profiles that need more routers per zone than the configured
// width, with the widths that they need, in descending order of width. A profile
// that is already busy is returned with its current width while its running requests
// on this router exceed half of WidenThreshold, so that the width does not oscillate.
func (tracker *Tracker) Busy() []fleet.BusyProfile {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var busy []fleet.BusyProfile
	for profile, running := range tracker.running {
		if width := tracker.requiredWidth(profile, running); width > tracker.config.Width {
			busy = append(busy, fleet.BusyProfile{Profile: profile, Width: width})
		}
	}
	slices.SortFunc(busy, func(a, b fleet.BusyProfile) int {
		return cmp.Or(cmp.Compare(b.Width, a.Width), cmp.Compare(a.Profile, b.Profile))
	})
	return busy
}

// requiredWidth returns the width that the profile needs for its running requests
// on this router, or zero if there are at most half of WidenThreshold.
func (tracker *Tracker) requiredWidth(profile string, running int) int {
	width := tracker.Width(profile)
	threshold := tracker.config.WidenThreshold
	switch {
	case running > threshold:
		return min(width*((running+threshold-1)/threshold), maxWidth)
	case running > threshold/2:
		return width
	default:
		return 0
	}
}
