package fleet

import "time"

// BusyProfile is a profile whose load needs more routers than the default.
type BusyProfile struct {
	Profile string
	// Width is the number of routers per zone that serve the profile.
	Width int
}

// Limits on busy profiles.
const (
	// busyRetention is how long a profile keeps its width after the last report.
	busyRetention = time.Minute
	// maxBusyPerMessage is the number of busy profiles that one message carries.
	maxBusyPerMessage = 4
	// maxBusyProfiles is the number of busy profiles that one router records.
	maxBusyProfiles = 1024
)

// busyEntry is the reported width of a profile and the time of the report.
type busyEntry struct {
	width      int
	reportedAt time.Time
}

// recordBusy records and gossips a busy profile. A report of the same or a
// smaller width is ignored until half of busyRetention has passed, so that
// repeated reports don't circulate forever.
func (roster *roster) recordBusy(busy BusyProfile, now time.Time) {
	entry, ok := roster.busyProfiles[busy.Profile]
	recent := ok && now.Sub(entry.reportedAt) < busyRetention/2
	if recent && entry.width >= busy.Width {
		return
	}
	if !ok && len(roster.busyProfiles) >= maxBusyProfiles {
		return
	}
	roster.changeCount++
	roster.busyProfiles[busy.Profile] = busyEntry{width: busy.Width, reportedAt: now}
	roster.busyGossip.add(busy.Profile, busy)
}

func (roster *roster) expireBusy(now time.Time) {
	for profile, entry := range roster.busyProfiles {
		if now.Sub(entry.reportedAt) > busyRetention {
			delete(roster.busyProfiles, profile)
		}
	}
}

// BusyWidth returns the number of routers per zone that serve a busy profile,
// or zero if no router reported the profile as busy.
func (membership *Membership) BusyWidth(profile string) int {
	return membership.latestSnapshot.Load().busyProfiles[profile].width
}

// ReportBusyProfiles records busy profiles and gossips them to the fleet.
func (membership *Membership) ReportBusyProfiles(profiles []BusyProfile) {
	if len(profiles) == 0 {
		return
	}
	membership.update(func() {
		for _, busy := range profiles {
			membership.roster.recordBusy(busy, time.Now())
		}
	})
}
