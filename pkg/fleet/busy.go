package fleet

import "time"

// Busy tells that a profile needs more routers than others do.
type BusyProfile struct {
	Profile string
	// Width is how many routers of one zone serve the profile.
	Width int
}

// Bounds of what is known of busy profiles.
const (
	// busyKept is how long a profile stays wide after the last report.
	busyKept = time.Minute
	// busyPerMessage bounds the profiles of a message.
	busyPerMessage = 4
	// maxBusy bounds the profiles that one router holds for busy.
	maxBusy = 1024
)

// busyEntry is a width and when it was reported last.
type busyEntry struct {
	width int
	heard time.Time
}

// learnBusy takes in that a profile is busy. As with leaving VMs, the same
// width becomes news again only half way to its end.
func (roster *roster) learnBusy(busy BusyProfile, now time.Time) {
	entry, ok := roster.busy[busy.Profile]
	fresh := ok && now.Sub(entry.heard) < busyKept/2
	if fresh && entry.width >= busy.Width {
		return
	}
	if !ok && len(roster.busy) >= maxBusy {
		return
	}
	roster.changes++
	roster.busy[busy.Profile] = busyEntry{width: busy.Width, heard: now}
	roster.busyNews.add(busy.Profile, busy)
}

func (roster *roster) expireBusy(now time.Time) {
	for profile, entry := range roster.busy {
		if now.Sub(entry.heard) > busyKept {
			delete(roster.busy, profile)
		}
	}
}

// BusyWidth returns how many routers of one zone serve a profile, or zero if
// nobody reported it as busy.
func (membership *Membership) BusyWidth(profile string) int {
	return membership.latest.Load().busy[profile].width
}

// ReportBusy tells the fleet of busy profiles.
func (membership *Membership) ReportBusyProfiles(profiles []BusyProfile) {
	if len(profiles) == 0 {
		return
	}
	membership.do(func() {
		for _, busy := range profiles {
			membership.roster.learnBusy(busy, time.Now())
		}
	})
}
