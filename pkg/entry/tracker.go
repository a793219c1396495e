package entry

import (
	"cmp"
	"slices"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

// Defaults and bounds of a tracker.
const (
	// defaultComfortable is the number of running requests of one profile that
	// one router serves without the profile being widened.
	defaultComfortable = 64
	// maxWidth bounds the routers of one zone that serve a profile.
	maxWidth = 64
)

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	// Width is how many routers of one zone serve a profile that is not busy;
	// zero means 2.
	Width int
	// Comfortable is the number of running requests of one profile on one
	// router up to which the profile is not widened; zero means 64.
	Comfortable int
	// BusyWidth returns the width that the fleet knows of a busy profile, or
	// zero. Nil means always zero.
	BusyWidth func(profile string) int
}

// Tracker counts the running requests of each profile on this router and says
// which profiles need more routers.
type Tracker struct {
	config  TrackerConfig
	mutex   sync.Mutex
	running map[string]int
}

// NewTracker returns a tracker.
func NewTracker(config TrackerConfig) *Tracker {
	if config.Width <= 0 {
		config.Width = defaultWidth
	}
	if config.Comfortable <= 0 {
		config.Comfortable = defaultComfortable
	}
	if config.BusyWidth == nil {
		config.BusyWidth = func(string) int { return 0 }
	}
	return &Tracker{config: config, running: make(map[string]int)}
}

// Begin counts a request in. The caller calls End once it has ended.
func (tracker *Tracker) Begin(profile string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.running[profile]++
}

// End counts a request out.
func (tracker *Tracker) End(profile string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.running[profile]--
	if tracker.running[profile] <= 0 {
		delete(tracker.running, profile)
	}
}

// Width returns how many routers of one zone serve a profile now.
func (tracker *Tracker) Width(profile string) int {
	return min(max(tracker.config.Width, tracker.config.BusyWidth(profile)), maxWidth)
}

// Busy returns the profiles that have to be wide, with their widths, the
// busiest first. A profile that is wide already stays so while more than half
// of what is comfortable runs here; then its width lapses.
func (tracker *Tracker) Busy() []fleet.BusyProfile {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var busy []fleet.BusyProfile
	for profile, running := range tracker.running {
		if width := tracker.wanted(profile, running); width > tracker.config.Width {
			busy = append(busy, fleet.BusyProfile{Profile: profile, Width: width})
		}
	}
	slices.SortFunc(busy, func(a, b fleet.BusyProfile) int {
		return cmp.Or(cmp.Compare(b.Width, a.Width), cmp.Compare(a.Profile, b.Profile))
	})
	return busy
}

// wanted returns the width for the requests that run here, or zero.
func (tracker *Tracker) wanted(profile string, running int) int {
	width := tracker.Width(profile)
	comfortable := tracker.config.Comfortable
	switch {
	case running > comfortable:
		return min(width*((running+comfortable-1)/comfortable), maxWidth)
	case running > comfortable/2:
		return width
	default:
		return 0
	}
}
