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
	lowestLatency    = int64(1)
	highestLatency   = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
	reportedFindings = 20
)

// Percentiles are of a latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// TeamReport is what one team got.
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
	// DroppedByDriver counts arrivals beyond MaxInFlight, which were not sent.
	DroppedByDriver int     `json:"dropped_by_driver"`
	Seconds         float64 `json:"seconds"`
	// OfferedPerSecond is the rate of arrivals as they came about.
	OfferedPerSecond float64               `json:"offered_per_second"`
	Outcomes         map[fault.Outcome]int `json:"outcomes"`
	// Refusals counts the final errors by their kind.
	Refusals map[fault.Kind]int `json:"refusals"`
	// BudgetRefusals counts refusals for want of budget; all of them are false
	// when the budgets suffice for the run.
	BudgetRefusals int `json:"budget_refusals"`
	// Goodput is right answers per second, and their tokens per second.
	GoodputPerSecond       float64 `json:"goodput_per_second"`
	GoodputTokensPerSecond float64 `json:"goodput_tokens_per_second"`
	Retries                int     `json:"retries"`
	Resumes                int     `json:"resumes"`
	Stalls                 int     `json:"stalls"`
	// Reruns counts runs of idempotent completions beyond the first.
	Reruns int `json:"reruns"`
	// NotRunAfterUnknown counts idempotent requests that ran in a lost try and
	// whose last try was told not_run.
	NotRunAfterUnknown int         `json:"not_run_after_unknown"`
	FirstToken         Percentiles `json:"first_token"`
	BetweenTokens      Percentiles `json:"between_tokens"`
	Total              Percentiles `json:"total"`
	// Fairness is the Jain index of the teams' tokens by weight, 1 at best.
	Fairness float64               `json:"fairness"`
	Teams    map[string]TeamReport `json:"teams"`
	// PrefixHitRate is the share of prompt tokens that engines had cached, or -1
	// without a record.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// Recorded is false when outcomes were not checked against a record.
	Recorded   bool              `json:"recorded"`
	Violations map[Violation]int `json:"violations"`
	// Findings are the first of the violations.
	Findings []Finding `json:"findings"`
}

// collector makes a report of results.
type collector struct {
	report     Report
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	tokens     int64
	right      int
}

func newCollector(config Config) *collector {
	return &collector{
		firstToken: newHistogram(),
		between:    newHistogram(),
		total:      newHistogram(),
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
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// observe records a latency; one out of range counts as the highest.
func observe(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
}

// add takes one result and how often the request ran, or -1.
func (collector *collector) add(result Result, runs int) {
	report := &collector.report
	report.Requests++
	report.Outcomes[result.Outcome]++
	report.Retries += result.Tries - 1
	report.Resumes += result.Resumes
	report.Stalls += result.Stalls
	if result.Request.idempotent() {
		report.Reruns += max(runs-1, 0)
	}
	if toldNotRunButRan(result, runs) && excused(result) {
		report.NotRunAfterUnknown++
	}
	if !answered(result) {
		report.Refusals[result.Refusal]++
	}
	if result.Refusal == fault.BudgetExhausted {
		report.BudgetRefusals++
	}
	collector.addTeam(result)
	collector.addLatency(result)
	for _, finding := range judge(result, runs) {
		report.Violations[finding.Violation]++
		if len(report.Findings) < reportedFindings {
			report.Findings = append(report.Findings, finding)
		}
	}
}

func (collector *collector) addTeam(result Result) {
	team := collector.report.Teams[result.Request.Team.Name]
	team.Weight = result.Request.Team.Weight
	team.Requests++
	if answered(result) && rightAnswer(result) {
		tokens := tokensOf(result)
		team.Answered++
		team.Tokens += tokens
		collector.tokens += tokens
		collector.right++
	}
	collector.report.Teams[result.Request.Team.Name] = team
}

func (collector *collector) addLatency(result Result) {
	if !answered(result) {
		return
	}
	observe(collector.total, result.Total)
	if !kinds[result.Request.Kind].stream {
		return
	}
	observe(collector.firstToken, result.FirstToken)
	for _, gap := range result.gaps {
		observe(collector.between, gap)
	}
}

// addRecord takes what only the record tells.
func (collector *collector) addRecord(record Record) {
	collector.report.Recorded = true
	cached, prompt := 0, 0
	for _, run := range record.Runs {
		cached += run.CachedTokens
		prompt += run.PromptTokens
	}
	if prompt > 0 {
		collector.report.PrefixHitRate = float64(cached) / float64(prompt)
	}
}

// finish returns the report of a run that lasted the duration.
func (collector *collector) finish(elapsed, arrivals time.Duration) Report {
	report := collector.report
	report.Seconds = elapsed.Seconds()
	report.OfferedPerSecond = float64(report.Requests+report.DroppedByDriver) / arrivals.Seconds()
	report.GoodputPerSecond = float64(collector.right) / elapsed.Seconds()
	report.GoodputTokensPerSecond = float64(collector.tokens) / elapsed.Seconds()
	report.FirstToken = percentilesOf(collector.firstToken)
	report.BetweenTokens = percentilesOf(collector.between)
	report.Total = percentilesOf(collector.total)
	report.Fairness = jain(report.Teams)
	return report
}

func percentilesOf(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
	}
	return Percentiles{Count: histogram.TotalCount(), P50MS: at(50), P95MS: at(95), P99MS: at(99), MaxMS: at(100)}
}

// jain returns the Jain index of the teams' tokens by weight.
func jain(teams map[string]TeamReport) float64 {
	sum, squares := 0.0, 0.0
	for _, team := range teams {
		share := float64(team.Tokens) / team.Weight
		sum += share
		squares += share * share
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

// WriteTable writes the report for people to read.
func (report Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("requests", "%d in %.1f s, %.1f/s offered, %d dropped by the driver", report.Requests, report.Seconds, report.OfferedPerSecond, report.DroppedByDriver)
	row("outcomes", "%d answered, %d not run, %d unknown", report.Outcomes[fault.Answered], report.Outcomes[fault.NotRun], report.Outcomes[fault.OutcomeUnknown])
	row("goodput", "%.1f answers/s, %.0f tokens/s", report.GoodputPerSecond, report.GoodputTokensPerSecond)
	row("first token", "%s", report.FirstToken)
	row("between tokens", "%s", report.BetweenTokens)
	row("whole request", "%s", report.Total)
	row("retries", "%d, of which %d resumed a stream; %d stalls; %d reruns", report.Retries, report.Resumes, report.Stalls, report.Reruns)
	row("not run after a lost try", "%d", report.NotRunAfterUnknown)
	row("fairness", "%.3f", report.Fairness)
	row("prefix hits", "%.3f", report.PrefixHitRate)
	row("budget refusals", "%d", report.BudgetRefusals)
	for _, kind := range slices.Sorted(maps.Keys(report.Refusals)) {
		row("refused: "+string(kind), "%d", report.Refusals[kind])
	}
	row("checked against record", "%t", report.Recorded)
	for _, violation := range slices.Sorted(maps.Keys(rules)) {
		row("violation: "+string(violation), "%d", report.Violations[violation])
	}
	for _, finding := range report.Findings {
		row("finding", "%s %s %s, %d runs, %d tries, %d lost, %s", finding.Violation, finding.Kind, finding.Key, finding.Runs, finding.Tries, finding.Unknowns, finding.Message)
	}
	return table.Flush()
}

// String returns the percentiles in one line.
func (percentiles Percentiles) String() string {
	return fmt.Sprintf("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms", percentiles.P50MS, percentiles.P95MS, percentiles.P99MS, percentiles.MaxMS)
}

// Broken reports whether the run found a broken promise.
func (report Report) Broken() bool { return len(report.Violations) > 0 }
