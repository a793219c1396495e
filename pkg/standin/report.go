package standin

import "time"

// reportSamples is how many samples a load report keeps within its lag.
const reportSamples = 4

// LoadReport is what an upstream tells of its load.
type LoadReport struct {
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// AgeMS is how old the report is, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// laggedReport shows load as it was up to a lag ago. It is guarded by the mutex
// of its owner.
type laggedReport struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at     time.Time
	report LoadReport
}

// read returns the report that a reader sees now, given the true one.
func (laggedReport *laggedReport) read(truth LoadReport, now time.Time) LoadReport {
	if laggedReport.lag <= 0 {
		return truth
	}
	laggedReport.observe(truth, now)
	sample := laggedReport.samples[0]
	sample.report.AgeMS = now.Sub(sample.at).Milliseconds()
	return sample.report
}

// observe takes a sample when one is due and drops those past the lag, but for
// the youngest of these.
func (laggedReport *laggedReport) observe(truth LoadReport, now time.Time) {
	if laggedReport.lag <= 0 {
		return
	}
	last := len(laggedReport.samples) - 1
	if last < 0 || now.Sub(laggedReport.samples[last].at) >= laggedReport.lag/reportSamples {
		laggedReport.samples = append(laggedReport.samples, loadSample{at: now, report: truth})
	}
	for len(laggedReport.samples) > 1 && now.Sub(laggedReport.samples[1].at) >= laggedReport.lag {
		laggedReport.samples = laggedReport.samples[1:]
	}
}
