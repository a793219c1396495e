package standin

import "time"

// samplesPerDelay is the number of load samples taken per delay period.
const samplesPerDelay = 4

// LoadReport is the load that an upstream reports: running and waiting requests,
// and the maximum number of running ones.
type LoadReport struct {
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// loadHistory stores samples of the load, from which it reports the load as it was
// about one delay ago. It is guarded by the mutex of its owner.
type loadHistory struct {
	delay   time.Duration
	samples []loadSample
}

type loadSample struct {
	takenAt time.Time
	report  LoadReport
}

// delayedReport returns the delayed load report. With a delay of zero, this is the
// current load.
func (loadHistory *loadHistory) delayedReport(current LoadReport, now time.Time) LoadReport {
	if loadHistory.delay <= 0 {
		return current
	}
	loadHistory.addSample(current, now)
	sample := loadHistory.samples[0]
	sample.report.AgeMS = now.Sub(sample.takenAt).Milliseconds()
	return sample.report
}

// addSample stores the current load when a sample is due. It drops samples older
// than the delay, except the newest of them.
func (loadHistory *loadHistory) addSample(current LoadReport, now time.Time) {
	if loadHistory.delay <= 0 {
		return
	}
	lastIndex := len(loadHistory.samples) - 1
	if lastIndex < 0 || now.Sub(loadHistory.samples[lastIndex].takenAt) >= loadHistory.delay/samplesPerDelay {
		loadHistory.samples = append(loadHistory.samples, loadSample{takenAt: now, report: current})
	}
	for len(loadHistory.samples) > 1 && now.Sub(loadHistory.samples[1].takenAt) >= loadHistory.delay {
		loadHistory.samples = loadHistory.samples[1:]
	}
}
