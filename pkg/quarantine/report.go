package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxReportedSuccesses limits the successes of a report.
	maxReportedSuccesses = 128
	// maxReportedParts limits the parts of all suspects of a report, and those of all
	// its rules, so that a report fits in a row of the store.
	maxReportedParts = 512
)

// Report is what a router tells the others.
type Report struct {
	Suspects []Suspect `json:"suspects,omitempty"`
	// Successes are the times of the last successes with parts that any router
	// suspects.
	Successes map[uint64]time.Duration `json:"successes,omitempty"`
	Rules     []Rule                   `json:"rules,omitempty"`
}

// Report returns the report of this router. It is the same as the last one unless
// something has changed that others need.
func (register *Register) Report() Report {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	now := register.config.Now()
	register.evaluateIfDue()
	register.forget(now)
	published := make(map[uint64]time.Duration)
	for _, part := range register.namedParts() {
		at, ok := register.successes.Peek(part)
		if !ok || len(published) == maxReportedSuccesses {
			continue
		}
		if last, ok := register.published[part]; ok && at-last < publishedSuccessAge {
			at = last
		}
		published[part] = at
	}
	register.published = published
	return Report{Suspects: slices.Clone(register.suspects), Successes: published, Rules: slices.Clone(register.rules)}
}

// namedParts returns the parts of all suspects and rules.
func (register *Register) namedParts() []uint64 {
	var parts []uint64
	for _, suspect := range register.allSuspects() {
		parts = append(parts, suspect.Parts...)
	}
	for _, rule := range register.rules {
		parts = append(parts, rule.Parts...)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// Merge replaces the report of another router, or of this router's predecessor.
func (register *Register) Merge(router string, report Report) {
	register.mutex.Lock()
	now := register.config.Now()
	report.Suspects = slices.Clone(report.Suspects[max(len(report.Suspects)-maxSuspects, 0):])
	report.Successes = maps.Clone(report.Successes)
	register.reports[router] = report
	for _, rule := range report.Rules {
		register.addRule(rule, now)
	}
	hasNews := false
	for _, suspect := range report.Suspects {
		for _, part := range suspect.Parts {
			_, succeeded := register.successes.Peek(part)
			_, published := register.published[part]
			hasNews = hasNews || succeeded && !published
		}
	}
	register.scheduleEvaluation(now)
	register.mutex.Unlock()
	if hasNews {
		register.config.OnChange()
	}
}

// forget removes what is too old.
func (register *Register) forget(now time.Duration) {
	isOld := func(suspect Suspect) bool { return now-suspect.At > evidenceLifetime }
	register.suspects = slices.DeleteFunc(register.suspects, isOld)
	for router, report := range register.reports {
		report.Suspects = slices.DeleteFunc(report.Suspects, isOld)
		maps.DeleteFunc(report.Successes, func(_ uint64, at time.Duration) bool { return now-at > evidenceLifetime+soundPeriod })
		if len(report.Suspects) == 0 && len(report.Successes) == 0 {
			delete(register.reports, router) // its rules were added when it was merged
			continue
		}
		register.reports[router] = report
	}
	register.rules = slices.DeleteFunc(register.rules, func(rule Rule) bool { return now-rule.Since > ruleLifetime })
}

// allSuspects returns the suspects of all routers.
func (register *Register) allSuspects() []Suspect {
	suspects := slices.Clone(register.suspects)
	for _, report := range register.reports {
		suspects = append(suspects, report.Suspects...)
	}
	return suspects
}

// lastSuccess returns when a part last succeeded at any router, and whether it
// has.
func (register *Register) lastSuccess(part uint64) (time.Duration, bool) {
	last, ok := register.successes.Peek(part)
	for _, report := range register.reports {
		if at, reported := report.Successes[part]; reported && (!ok || at > last) {
			last, ok = at, true
		}
	}
	return last, ok
}
