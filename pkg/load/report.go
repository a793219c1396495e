package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	minLatencyMicros         = int64(1)
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
	maxReportedFindings      = 20
)

// Percentiles summarizes a latency distribution in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// TeamReport summarizes the requests of one team. Answered and Tokens count
// correct answers and their completion tokens.
type TeamReport struct {
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Tokens   int64   `json:"tokens"`
	Weight   float64 `json:"weight"`
}

// Report is the result of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Mix      string `json:"mix"`
	Requests int    `json:"requests"`
	// DroppedByDriver counts arrivals above Config.MaxInFlight, which were not
	// sent.
	DroppedByDriver int     `json:"dropped_by_driver"`
	Seconds         float64 `json:"seconds"`
	// OfferedPerSecond is the actual arrival rate, including dropped arrivals.
	OfferedPerSecond float64               `json:"offered_per_second"`
	Outcomes         map[fault.Outcome]int `json:"outcomes"`
	// Refusals counts the requests without an answer by the kind of their last
	// error.
	Refusals map[fault.Kind]int `json:"refusals"`
	// BudgetRefusals counts refusals because of an exhausted budget. If the budgets
	// cover the whole run, each of them is a false refusal.
	BudgetRefusals int `json:"budget_refusals"`
	// GoodputPerSecond and GoodputTokensPerSecond are correct answers and their
	// completion tokens per second.
	GoodputPerSecond       float64 `json:"goodput_per_second"`
	GoodputTokensPerSecond float64 `json:"goodput_tokens_per_second"`
	Retries                int     `json:"retries"`
	Resumes                int     `json:"resumes"`
	Stalls                 int     `json:"stalls"`
	// Reruns counts the runs of idempotent requests beyond the first of each.
	Reruns int `json:"reruns"`
	// NotRunAfterUnknown counts idempotent requests that ran, had an attempt with
	// an unknown outcome, and got not_run for the last attempt.
	NotRunAfterUnknown int         `json:"not_run_after_unknown"`
	TimeToFirstToken   Percentiles `json:"first_token"`
	TokenGap           Percentiles `json:"between_tokens"`
	TotalTime          Percentiles `json:"total"`
	// Fairness is Jain's fairness index of the teams' tokens divided by weight; 1
	// is perfectly fair.
	Fairness float64               `json:"fairness"`
	Teams    map[string]TeamReport `json:"teams"`
	// PrefixHitRate is the fraction of prompt tokens that engines found in their
	// prefix caches, or -1 without a run record or prompt tokens.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// CheckedAgainstRecord reports whether outcomes were checked against run
	// records.
	CheckedAgainstRecord bool              `json:"recorded"`
	Violations           map[Violation]int `json:"violations"`
	// Findings describes the first violations.
	Findings []Finding `json:"findings"`
}

// collector aggregates results into a report.
type collector struct {
	report           Report
	timeToFirstToken *hdrhistogram.Histogram
	tokenGap         *hdrhistogram.Histogram
	totalTime        *hdrhistogram.Histogram
	correctTokens    int64
	correctAnswers   int
}

func newCollector(config Config) *collector {
	return &collector{
		timeToFirstToken: newHistogram(),
		tokenGap:         newHistogram(),
		totalTime:        newHistogram(),
		report: Report{
			Seed:          config.Seed,
			Mix:           config.Mix,
			Outcomes:      make(map[fault.Outcome]int),
			Refusals:      make(map[fault.Kind]int),
			Teams:         make(map[string]TeamReport),
			Violations:    make(map[Violation]int),
			Findings:      []Finding{},
			PrefixHitRate: -1,
		},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
}

// observe records a latency, clamped to the histogram's range.
func observe(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// add adds one result. runCount is the number of times the request ran, or -1
// without a run record.
func (collector *collector) add(result Result, runCount int) {
	report := &collector.report
	report.Requests++
	report.Outcomes[result.Outcome]++
	report.Retries += result.Attempts - 1
	report.Resumes += result.Resumes
	report.Stalls += result.Stalls
	if result.Request.idempotent() {
		report.Reruns += max(runCount-1, 0)
	}
	if ranDespiteNotRun(result, runCount) && idempotentAfterUnknown(result) {
		report.NotRunAfterUnknown++
	}
	if !isAnswered(result) {
		report.Refusals[result.ErrorKind]++
	}
	if result.ErrorKind == fault.BudgetExhausted {
		report.BudgetRefusals++
	}
	collector.addTeam(result)
	collector.addLatency(result)
	for _, finding := range findViolations(result, runCount) {
		report.Violations[finding.Violation]++
		if len(report.Findings) < maxReportedFindings {
			report.Findings = append(report.Findings, finding)
		}
	}
}

func (collector *collector) addTeam(result Result) {
	team := collector.report.Teams[result.Request.Team.Name]
	team.Weight = result.Request.Team.Weight
	team.Requests++
	if isAnswered(result) && isCorrectAnswer(result) {
		tokens := tokensOf(result)
		team.Answered++
		team.Tokens += tokens
		collector.correctTokens += tokens
		collector.correctAnswers++
	}
	collector.report.Teams[result.Request.Team.Name] = team
}

func (collector *collector) addLatency(result Result) {
	if !isAnswered(result) {
		return
	}
	observe(collector.totalTime, result.TotalTime)
	if !kindTable[result.Request.Kind].isStream {
		return
	}
	observe(collector.timeToFirstToken, result.TimeToFirstToken)
	for _, gap := range result.tokenGaps {
		observe(collector.tokenGap, gap)
	}
}

// addRunRecord adds the prefix hit rate, which only the run record contains.
func (collector *collector) addRunRecord(record Record) {
	collector.report.CheckedAgainstRecord = true
	cached, prompt := 0, 0
	for _, run := range record.Runs {
		cached += run.CachedTokens
		prompt += run.PromptTokens
	}
	if prompt > 0 {
		collector.report.PrefixHitRate = float64(cached) / float64(prompt)
	}
}

// finish returns the report of a run that lasted for elapsed and whose requests
// arrived within arrivalPeriod.
func (collector *collector) finish(elapsed, arrivalPeriod time.Duration) Report {
	report := collector.report
	report.Seconds = elapsed.Seconds()
	report.OfferedPerSecond = float64(report.Requests+report.DroppedByDriver) / arrivalPeriod.Seconds()
	report.GoodputPerSecond = float64(collector.correctAnswers) / elapsed.Seconds()
	report.GoodputTokensPerSecond = float64(collector.correctTokens) / elapsed.Seconds()
	report.TimeToFirstToken = percentilesOf(collector.timeToFirstToken)
	report.TokenGap = percentilesOf(collector.tokenGap)
	report.TotalTime = percentilesOf(collector.totalTime)
	report.Fairness = jainIndex(report.Teams)
	return report
}

func percentilesOf(histogram *hdrhistogram.Histogram) Percentiles {
	percentile := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
	}
	return Percentiles{Count: histogram.TotalCount(), P50MS: percentile(50), P95MS: percentile(95), P99MS: percentile(99), MaxMS: percentile(100)}
}

// jainIndex returns Jain's fairness index of the teams' tokens divided by weight,
// or 0 if no team has tokens.
func jainIndex(teams map[string]TeamReport) float64 {
	sum, squares := 0.0, 0.0
	for _, team := range teams {
		tokensPerWeight := float64(team.Tokens) / team.Weight
		sum += tokensPerWeight
		squares += tokensPerWeight * tokensPerWeight
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(teams)) * squares)
}

// WriteJSON writes the report as JSON.
func (report Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// WriteTable writes the report as an aligned text table.
func (report Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("requests", "%d in %.1f s, %.1f/s offered, %d dropped by the driver", report.Requests, report.Seconds, report.OfferedPerSecond, report.DroppedByDriver)
	row("outcomes", "%d answered, %d not run, %d unknown", report.Outcomes[fault.Answered], report.Outcomes[fault.NotRun], report.Outcomes[fault.OutcomeUnknown])
	row("goodput", "%.1f answers/s, %.0f tokens/s", report.GoodputPerSecond, report.GoodputTokensPerSecond)
	row("first token", "%s", report.TimeToFirstToken)
	row("between tokens", "%s", report.TokenGap)
	row("whole request", "%s", report.TotalTime)
	row("retries", "%d, of which %d resumed a stream; %d stalls; %d reruns", report.Retries, report.Resumes, report.Stalls, report.Reruns)
	row("not run after unknown attempt", "%d", report.NotRunAfterUnknown)
	row("fairness", "%.3f", report.Fairness)
	row("prefix hits", "%.3f", report.PrefixHitRate)
	row("budget refusals", "%d", report.BudgetRefusals)
	for _, kind := range slices.Sorted(maps.Keys(report.Refusals)) {
		row("refused: "+string(kind), "%d", report.Refusals[kind])
	}
	row("checked against record", "%t", report.CheckedAgainstRecord)
	for _, violation := range slices.Sorted(maps.Keys(violationChecks)) {
		row("violation: "+string(violation), "%d", report.Violations[violation])
	}
	for _, finding := range report.Findings {
		row("finding", "%s %s %s, %d runs, %d attempts, %d unknown, %s", finding.Violation, finding.Kind, finding.Key, finding.Runs, finding.Attempts, finding.UnknownOutcomes, finding.Message)
	}
	return table.Flush()
}

// String returns the percentiles on one line.
func (percentiles Percentiles) String() string {
	return fmt.Sprintf("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms", percentiles.P50MS, percentiles.P95MS, percentiles.P99MS, percentiles.MaxMS)
}

// HasViolations reports whether the run found a violation.
func (report Report) HasViolations() bool { return len(report.Violations) > 0 }
