package directory

import "time"

const (
	// maxConnectedGap is the maximum connected time between two reads.
	maxConnectedGap = 2500 * time.Millisecond
	// detectionIntervals is the number of intervals in which the death of a router may go
	// unnoticed in addition to the time for which its row may stay unchanged: the last
	// change may be read one interval late, and the lapse of the time another one. The
	// third is for slow calls.
	detectionIntervals = 3
	// minUnchangedIntervals is the least number of intervals for which a row may stay
	// unchanged: two lost writes must not declare a router dead.
	minUnchangedIntervals = 3
	// returnIntervals is the number of intervals in which routers must write their rows
	// once the table is reachable again. returnMarginDivisor takes off a part of an
	// interval, as reads are made in step with the intervals.
	returnIntervals     = 2
	returnMarginDivisor = 10
)

// detection is how soon a router that has stopped is declared dead, and what that costs.
type detection struct {
	// maxUnchanged is the connected time for which a row may stay unchanged before its
	// router is declared dead. A standby router only takes the place of another one if its
	// row is not older.
	maxUnchanged time.Duration
	// maxGap is the maximum connected time between two reads: during a longer gap, the
	// table was unreachable.
	maxGap time.Duration
	// returnTime is the connected time after a gap in which a serving router must change
	// its row, whatever was read at the end of the gap: a router may have written just
	// before the gap and stopped during it. Zero means maxUnchanged.
	returnTime time.Duration
	// intervalsPerWrite is the number of intervals between two periodic writes of the row
	// of a serving router.
	intervalsPerWrite int
	// standbyIntervalsPerRead is the number of intervals between two reads of the serving
	// routers by a standby router.
	standbyIntervalsPerRead int
}

// newDetection returns the detection for the configuration. With a bound, rows are
// written and read each interval.
func newDetection(config Config) detection {
	if config.LossBound <= 0 {
		return detection{
			maxUnchanged: 6 * time.Second, maxGap: maxConnectedGap, intervalsPerWrite: 2, standbyIntervalsPerRead: 2,
		}
	}
	maxUnchanged := max(config.LossBound-detectionIntervals*config.Interval, minUnchangedIntervals*config.Interval)
	return detection{
		maxUnchanged: maxUnchanged, maxGap: min(maxUnchanged, maxConnectedGap),
		returnTime:        returnIntervals*config.Interval - config.Interval/returnMarginDivisor,
		intervalsPerWrite: 1, standbyIntervalsPerRead: 1,
	}
}

// limitAfterGap makes the serving routers change their rows within returnTime, if these
// rows were just read for the first time after a gap.
func (directory *Directory) limitAfterGap() {
	afterGap := directory.afterGap
	directory.afterGap = false
	if !afterGap || directory.detection.returnTime == 0 {
		return
	}
	latest := directory.connectedTime - directory.detection.maxUnchanged + directory.detection.returnTime
	for _, state := range directory.others {
		if !state.standby {
			state.changedAt = min(state.changedAt, latest)
		}
	}
}
