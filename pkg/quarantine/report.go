package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReportedSuccesses limits the successes of a report.
	maxReportedSuccesses = 128
	// maxClockError is by how much the clock of another router may be ahead. What is
	// reported for a later time would count for too long, and is ignored.
	maxClockError = time.Minute
	// maxReportedParts limits the parts of all suspects of a report, and those of all
	// its rules, so that a report fits in a row of the store.
	maxReportedParts = 512
	// maxReports limits the routers whose reports are kept, of which there are to be 360 in
	// two years. Those that were merged first stay.
	maxReports = 512
)

// Report is what a router tells the others.
type Report struct {
	Suspects []Suspect `json:"suspects,omitempty"`
	// Successes are the times of the last successes with parts that would be taken for
	// the cause of crashes without them.
	Successes map[uint64]time.Duration `json:"successes,omitempty"`
	Rules     []Rule                   `json:"rules,omitempty"`
}

// IsEmpty reports whether the report tells nothing.
func (report Report) IsEmpty() bool {
	return len(report.Suspects) == 0 && len(report.Successes) == 0 && len(report.Rules) == 0
}

// Report returns the report of this router. It is the same as the last one unless
// something has changed that others need.
func (register *Register) Report() Report {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	now := register.config.Now()
	register.evaluateIfDue()
	register.forget(now)
	maps.DeleteFunc(register.published, func(_ uint64, at time.Duration) bool { return isOldSuccess(at, now) })
	for part, at := range register.unreportedSuccesses() {
		if len(register.published) < maxReportedSuccesses {
			register.published[part] = at
		}
	}
	return Report{Suspects: slices.Clone(register.suspects), Successes: maps.Clone(register.published), Rules: slices.Clone(register.rules)}
}

// unreportedSuccesses returns the successes of this router with parts that, as far
// as the routers have told each other, could be the cause of crashes. A part with
// fewer crashes can't become a rule before the next one.
func (register *Register) unreportedSuccesses() map[uint64]time.Duration {
	successes := make(map[uint64]time.Duration)
	for _, rule := range register.rules {
		for _, part := range rule.Parts {
			if at, ok := register.successes.Peek(part); ok && at > rule.Since && register.reportedSuccess(part) <= rule.Since {
				successes[part] = at
			}
		}
	}
	for part, crashes := range register.crashesByPart() {
		at, ok := register.successes.Peek(part)
		if !ok || len(crashes) < minCrashes-1 {
			continue
		}
		reported := register.reportedSuccess(part)
		open := slices.DeleteFunc(crashes, func(crashedAt time.Duration) bool { return exonerates(reported, crashedAt) })
		if len(open) >= minCrashes-1 && exonerates(at, open[0]) {
			successes[part] = at
		}
	}
	return successes
}

// reportedSuccess returns when a part last succeeded, as far as the routers have
// told each other. It is long ago if they have not.
func (register *Register) reportedSuccess(part uint64) time.Duration {
	last := longAgo
	if at, ok := register.published[part]; ok {
		last = at
	}
	for _, report := range register.reports {
		if at, ok := report.Successes[part]; ok {
			last = max(last, at)
		}
	}
	return last
}

// Merge replaces the reports of other routers, or of this router's predecessor, by
// router.
func (register *Register) Merge(reports map[string]Report) {
	register.mutex.Lock()
	now := register.config.Now()
	excess := 0
	for router, report := range reports {
		report = report.at(now)
		if _, isKnown := register.reports[router]; isKnown || len(register.reports) < maxReports {
			register.reports[router] = report
		} else if !report.IsEmpty() {
			excess++
			continue
		}
		for _, rule := range report.Rules {
			register.addRule(rule, now)
		}
	}
	hasNews := len(register.unreportedSuccesses()) > 0
	register.scheduleEvaluation(now)
	register.mutex.Unlock()
	if excess > 0 {
		_ = register.config.Logger.Log("event", "quarantine_reports_ignored", "reports", excess, "kept", maxReports)
	}
	if hasNews {
		register.config.OnChange()
	}
}

// MergeRestored merges reports of a table that came back from an older copy: what is
// known of other routers stays, as it may be newer.
func (register *Register) MergeRestored(reports map[string]Report) {
	register.mutex.Lock()
	merged := make(map[string]Report, len(reports))
	for router, report := range reports {
		merged[router] = report.with(register.reports[router])
	}
	register.mutex.Unlock()
	register.Merge(merged)
}

// with returns what the two reports of a router tell together.
func (report Report) with(other Report) Report {
	suspects := slices.Clone(report.Suspects)
	for _, suspect := range other.Suspects {
		isSame := func(known Suspect) bool {
			return known.Upstream == suspect.Upstream && known.At == suspect.At && slices.Equal(known.Parts, suspect.Parts)
		}
		if !slices.ContainsFunc(suspects, isSame) {
			suspects = append(suspects, suspect)
		}
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.At, b.At) })
	successes := make(map[uint64]time.Duration, len(report.Successes))
	for _, reported := range []map[uint64]time.Duration{report.Successes, other.Successes} {
		for part, at := range reported {
			successes[part] = max(successes[part], at)
		}
	}
	return Report{Suspects: suspects, Successes: successes, Rules: slices.Concat(report.Rules, other.Rules)}
}

// limited returns a copy that has no more than a router reports. Other writers may put
// more into a row, and it takes more memory than the row.
func (report Report) limited() Report {
	successes := report.Successes
	if len(successes) > maxReportedSuccesses {
		successes = make(map[uint64]time.Duration, maxReportedSuccesses)
		for part, at := range report.Successes {
			if len(successes) == maxReportedSuccesses {
				break
			}
			successes[part] = at
		}
	}
	return Report{
		Suspects:  slices.Clone(newest(report.Suspects, maxSuspects, func(suspect Suspect) int { return len(suspect.Parts) })),
		Successes: successes,
		Rules:     slices.Clone(newest(report.Rules, maxRules, func(rule Rule) int { return len(rule.Parts) })),
	}
}

// at returns a copy without what is reported for a later time, or is too old to count.
func (report Report) at(now time.Duration) Report {
	latest := now + maxClockError
	suspects := slices.Clone(report.Suspects[max(len(report.Suspects)-maxSuspects, 0):])
	successes := maps.Clone(report.Successes)
	maps.DeleteFunc(successes, func(_ uint64, at time.Duration) bool { return at > latest || isOldSuccess(at, now) })
	return Report{
		Suspects:  slices.DeleteFunc(suspects, func(suspect Suspect) bool { return suspect.At > latest || suspect.isOld(now) }),
		Successes: successes,
		Rules:     slices.DeleteFunc(slices.Clone(report.Rules), func(rule Rule) bool { return rule.Since > latest || rule.isOld(now) }),
	}
}

// forget removes what is too old.
func (register *Register) forget(now time.Duration) {
	isOld := func(suspect Suspect) bool { return suspect.isOld(now) }
	register.suspects = slices.DeleteFunc(register.suspects, isOld)
	for router, report := range register.reports {
		report.Suspects = slices.DeleteFunc(report.Suspects, isOld)
		maps.DeleteFunc(report.Successes, func(_ uint64, at time.Duration) bool { return isOldSuccess(at, now) })
		if len(report.Suspects) == 0 && len(report.Successes) == 0 {
			delete(register.reports, router) // its rules were added when it was merged
			continue
		}
		register.reports[router] = report
	}
	register.rules = slices.DeleteFunc(register.rules, func(rule Rule) bool { return rule.isOld(now) })
}

// IsOutdated reports whether a report has nothing that still counts.
func (register *Register) IsOutdated(report Report) bool {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	now := register.config.Now()
	for _, at := range report.Successes {
		if !isOldSuccess(at, now) {
			return false
		}
	}
	return !slices.ContainsFunc(report.Suspects, func(suspect Suspect) bool { return !suspect.isOld(now) }) &&
		!slices.ContainsFunc(report.Rules, func(rule Rule) bool { return !rule.isOld(now) })
}

// isOldSuccess reports whether a success is too old to exonerate a part of a crash
// that still counts.
func isOldSuccess(at, now time.Duration) bool { return at < now-evidenceLifetime-soundPeriod }

// allSuspects returns the suspects of all routers.
func (register *Register) allSuspects() []Suspect {
	suspects := slices.Clone(register.suspects)
	for _, report := range register.reports {
		suspects = append(suspects, report.Suspects...)
	}
	return suspects
}

// lastSuccess returns when a part last succeeded at any router, as far as this one
// knows. It is long ago if it has not.
func (register *Register) lastSuccess(part uint64) time.Duration {
	last := register.reportedSuccess(part)
	if at, ok := register.successes.Peek(part); ok {
		last = max(last, at)
	}
	return last
}
