package directory

// The two tiers of a fleet: the routers that callers are directed to, and those on
// standby, which take their place when the load grows or some of them are gone.
//
// All routers select from the same rows, so they agree without messages once they have
// read a change. A router that selects itself moves its row into the partition of the
// serving routers; one that no longer does moves it back. Others may direct callers to
// it before they see the move, as they select it, too.

import (
	"context"
	"math/rand/v2"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

const (
	// standbyIntervalsPerWrite is the number of intervals between two periodic writes of
	// the row of a standby router.
	standbyIntervalsPerWrite = 5
	// intervalsPerStandbyList is the number of intervals between two reads of the
	// standby routers.
	intervalsPerStandbyList = 30
	// intervalsPerStartList is the number of intervals between the start and the second
	// list: long enough that routers which started at the same time have written their
	// rows.
	intervalsPerStartList = 2
	// listsAfterLoss is the number of reads of the standby routers after the loss of a
	// serving one, and intervalsPerLossList that of the intervals between them: long
	// enough that the rows of routers which died with it have become too old.
	listsAfterLoss       = 2
	intervalsPerLossList = 5
	// maxListDelay is the longest random delay of a read of the standby routers that
	// many routers make for the same reason.
	maxListDelay = 500 * time.Millisecond
)

// run writes the own row and reads those of the others until the context ends. Whether
// callers are directed to this router decides how often.
func (directory *Directory) run(ctx context.Context) {
	ticker := time.NewTicker(directory.config.Interval)
	defer ticker.Stop()
	// The intervals since the last calls. The third list of standby routers follows the
	// second after a random time, so that not all routers read it at the same time.
	sinceRead, sinceWrite, sinceList := directory.detection.intervalsPerWrite, standbyIntervalsPerWrite, intervalsPerStandbyList
	afterLists := []int{intervalsPerStandbyList - intervalsPerStartList, rand.IntN(intervalsPerStandbyList), 0}
	for {
		readPeriod, writePeriod := 1, directory.detection.intervalsPerWrite
		if directory.isStandby() {
			readPeriod, writePeriod = directory.detection.standbyIntervalsPerRead, standbyIntervalsPerWrite
		}
		// What fails is tried again in the next interval.
		if sinceRead >= readPeriod && directory.succeeds("directory_read_failed", directory.read(ctx, partition, directory.applyRows)) {
			sinceRead = 0
		}
		if sinceList >= intervalsPerStandbyList || directory.takeStandbyWanted(ctx, sinceList) {
			if directory.succeeds("directory_read_failed", directory.read(ctx, standbyPartition, directory.applyStandbyRows)) {
				sinceList, afterLists = afterLists[0], afterLists[min(1, len(afterLists)-1):]
			}
		}
		mustWrite := directory.changeTier() || sinceWrite >= writePeriod && directory.knowsFleet()
		if mustWrite && directory.succeeds("directory_write_failed", directory.write(ctx)) {
			sinceWrite = 0
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sinceRead++
			sinceWrite++
			sinceList++
		case <-directory.writeNow:
			sinceRead, sinceWrite = readPeriod, standbyIntervalsPerWrite
		}
	}
}

func (directory *Directory) isStandby() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.standby
}

// takeStandbyWanted reports whether the standby routers are to be read out of turn, and
// waits for a random time if so, as all routers read them for the same reason.
func (directory *Directory) takeStandbyWanted(ctx context.Context, sinceList int) bool {
	directory.mutex.Lock()
	isDue := directory.standbyWanted == listsAfterLoss || directory.standbyWanted > 0 && sinceList >= intervalsPerLossList
	if isDue {
		directory.standbyWanted--
	}
	directory.mutex.Unlock()
	if !isDue {
		return false
	}
	timer := time.NewTimer(rand.N(min(maxListDelay, directory.config.Interval/2)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return true
}

// changeTier moves the own row to the other partition with the next write, if the
// selection says so. It reports whether it does.
func (directory *Directory) changeTier() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	standby := !directory.isSelected
	if !directory.hasReadAll() || standby == directory.standby || directory.self.Leaving {
		return false
	}
	directory.standby, directory.stale = standby, true
	_ = directory.config.Logger.Log("event", "tier_changed", "standby", standby, "serving", len(directory.selected), "known", len(directory.others)+1)
	return true
}

// applyStandbyRows updates the states of the other routers from the rows of standby
// routers.
func (directory *Directory) applyStandbyRows(items []platform.Item, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if !directory.lastReadAt.IsZero() {
		directory.advance(now)
	}
	directory.standbyRead = true
	listed := directory.applyItems(items, true)
	for name, state := range directory.others {
		if state.standby && (listed[name] || state.version == 0) {
			state.doubtful = directory.connectedTime-state.changedAt > directory.detection.maxUnchanged
			directory.checkAlive(name, state)
		}
	}
	directory.updateSelection()
}

// knowsFleet is hasReadAll for the goroutine of run. Before, the own row could get into
// the wrong partition.
func (directory *Directory) knowsFleet() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.hasReadAll()
}

// hasReadAll reports whether the rows of both partitions have been read once. Until
// then, most of the fleet may be unknown.
func (directory *Directory) hasReadAll() bool {
	return directory.standbyRead && !directory.lastReadAt.IsZero()
}

// checkTakesPart declares a standby router dead if callers are directed to it and its
// row has not become that of a serving router in time.
func (directory *Directory) checkTakesPart(name string, state *routerState) {
	if state.alive && state.selectedAt > 0 && directory.connectedTime-state.selectedAt > directory.detection.maxUnchanged {
		state.alive = false
		_ = directory.config.Logger.Log("event", "router_gone", "router", name, "selected", directory.connectedTime-state.selectedAt, "standby", true)
	}
}

// updateSelection selects the routers that callers are directed to among those that are
// alive and not leaving. If there are none, it is this router, so that callers always
// get an address.
func (directory *Directory) updateSelection() {
	candidates := make([]candidate, 0, len(directory.others)+1)
	if !directory.self.Leaving {
		candidates = append(candidates, candidate{Member: directory.self, serving: !directory.standby})
	}
	for _, other := range directory.others {
		if other.alive && !other.member.Leaving {
			candidates = append(candidates, candidate{Member: other.member, serving: !other.standby, doubtful: other.doubtful})
		}
	}
	if len(candidates) == 0 {
		candidates = append(candidates, candidate{Member: directory.self})
	}
	directory.selected = selectMembers(candidates)
	addresses := make(map[string]bool, len(directory.selected))
	for _, member := range directory.selected {
		addresses[member.Address] = true
	}
	directory.isSelected = addresses[directory.config.Self.Address]
	for _, other := range directory.others {
		switch {
		case !other.standby || !addresses[other.member.Address]:
			other.selectedAt = 0
		case other.selectedAt == 0:
			other.selectedAt = max(directory.connectedTime, 1)
		}
	}
}
