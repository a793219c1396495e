package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// minCrashes is the number of crashes from which a part is taken for the cause. A
	// crash of which only suspects that still waited are known counts half: the one that
	// caused it had begun, and is missing among them.
	minCrashes = 3
	// crashGap separates crashes: upstreams that crash closer together have a common
	// cause, such as a loss of power, which is no evidence against a prompt.
	crashGap = 100 * time.Millisecond
	// soundPeriod is how long after a success a part is taken for sound, and for how
	// long before a crash its successes count.
	soundPeriod = 5 * time.Second
	// noticeTime is how long after a crash its last suspects may be noticed.
	noticeTime = 500 * time.Millisecond
	// settleTime is how long a crash waits for the reports of other routers.
	settleTime = 500 * time.Millisecond
)

// longAgo is before all times of the clock.
const longAgo = time.Duration(math.MinInt64 / 2)

// exonerates reports whether a part that succeeded at that time isn't the cause of a
// crash.
func exonerates(succeededAt, crashedAt time.Duration) bool {
	return succeededAt > crashedAt-soundPeriod
}

// crash is the crash of one upstream with its suspects.
type crash struct {
	at time.Duration
	// begun is set when the upstream had begun to answer the suspects.
	begun    bool
	suspects []Suspect
}

// has reports whether one of the suspects has the part.
func (crash crash) has(part uint64) bool {
	return slices.ContainsFunc(crash.suspects, func(suspect Suspect) bool { return slices.Contains(suspect.Parts, part) })
}

// evidence are the crashes that a part may have caused, by whether the upstream had
// begun to answer the suspects with the part.
type evidence struct {
	begun, waiting []time.Duration
}

// with returns the evidence with a later crash, unless it is too close to the last one.
func (evidence evidence) with(crash crash) evidence {
	isNear := func(times []time.Duration) bool { return len(times) > 0 && crash.at-times[len(times)-1] < crashGap }
	switch {
	case isNear(evidence.begun), !crash.begun && isNear(evidence.waiting):
	case !crash.begun:
		evidence.waiting = append(evidence.waiting, crash.at)
	default:
		if isNear(evidence.waiting) {
			evidence.waiting = evidence.waiting[:len(evidence.waiting)-1]
		}
		evidence.begun = append(evidence.begun, crash.at)
	}
	return evidence
}

// isEnough reports whether the evidence is that of minCrashes crashes.
func (evidence evidence) isEnough() bool {
	return 2*len(evidence.begun)+len(evidence.waiting) >= 2*minCrashes
}

// count returns the number of crashes.
func (evidence evidence) count() int { return len(evidence.begun) + len(evidence.waiting) }

// times returns the times of the crashes in order.
func (evidence evidence) times() []time.Duration {
	times := slices.Concat(evidence.begun, evidence.waiting)
	slices.Sort(times)
	return times
}

// candidate is a part with the crashes that it may have caused.
type candidate struct {
	part    uint64
	crashes evidence
	// requests counts the suspects that have the part.
	requests int
	// companions are the parts that all of them have.
	companions []uint64
}

func (register *Register) scheduleEvaluation(now time.Duration) {
	if register.evaluateAt == 0 {
		register.evaluateAt = now + settleTime
	}
}

func (register *Register) evaluateIfDue() {
	now := register.config.Now()
	if register.evaluateAt == 0 || now < register.evaluateAt {
		return
	}
	register.evaluateAt = 0
	register.forget(now)
	register.refineRules(now)
	for register.addNextRule(now) {
	}
}

// addNextRule adds a rule for the part that explains the most crashes, and reports
// whether there was one.
func (register *Register) addNextRule(now time.Duration) bool {
	crashes := register.settledCrashes(now)
	candidates := register.candidates(crashes)
	clear(register.crashCounts)
	var best *candidate
	var bestRule Rule
	for i := range candidates {
		candidate := &candidates[i]
		register.crashCounts[candidate.part] = candidate.crashes.count()
		if !candidate.crashes.isEnough() || (best != nil && candidate.compare(*best) <= 0) || register.isExplained(*candidate, candidates, crashes) {
			continue
		}
		if rule := candidate.rule(candidates); !register.blocksMost(rule) {
			best, bestRule = candidate, rule
		}
	}
	return best != nil && register.addRule(bestRule, now)
}

// rule returns the rule for a part that is taken for the cause.
func (candidate candidate) rule(candidates []candidate) Rule {
	// A success that leaves too few of the crashes disproves the rule.
	times := candidate.crashes.times()
	rule := Rule{Parts: []uint64{candidate.part}, Since: times[len(times)-minCrashes] - soundPeriod}
	// Parts that always come together can't be told apart yet: refineRules does it
	// when one of them comes alone.
	for _, other := range candidates {
		if other.part != candidate.part && other.crashes.count() >= candidate.crashes.count() && slices.Contains(candidate.companions, other.part) {
			rule.Parts = append(rule.Parts, other.part)
		}
	}
	return rule
}

// isExplained reports whether another part may have caused crashes of the candidate,
// one that never comes without it, and the crashes without that one aren't enough.
func (register *Register) isExplained(suspected candidate, candidates []candidate, crashes []crash) bool {
	for _, other := range candidates {
		isNarrower := slices.Contains(other.companions, suspected.part) && !slices.Contains(suspected.companions, other.part)
		if !isNarrower || len(other.crashes.begun) < minCrashes-1 {
			continue
		}
		var rest evidence
		for _, crash := range crashes {
			if crash.has(suspected.part) && !crash.has(other.part) && !exonerates(register.lastSuccess(suspected.part), crash.at) {
				rest = rest.with(crash)
			}
		}
		if !rest.isEnough() {
			return true
		}
	}
	return false
}

// compare orders candidates: more crashes first, then fewer requests, as the first
// request with a deadly part ends its upstream.
func (candidate candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(len(candidate.crashes.begun), len(other.crashes.begun)),
		cmp.Compare(len(candidate.crashes.waiting), len(other.crashes.waiting)),
		cmp.Compare(other.requests, candidate.requests),
	)
}

// candidates returns the parts that may have caused the crashes.
func (register *Register) candidates(crashes []crash) []candidate {
	byPart := make(map[uint64]*candidate)
	for _, crash := range crashes {
		for _, suspect := range crash.suspects {
			for _, part := range suspect.Parts {
				if exonerates(register.lastSuccess(part), crash.at) {
					continue
				}
				found, ok := byPart[part]
				if !ok {
					found = &candidate{part: part, companions: suspect.Parts}
					byPart[part] = found
				}
				found.requests++
				found.companions = intersect(found.companions, suspect.Parts)
				found.crashes = found.crashes.with(crash)
			}
		}
	}
	candidates := make([]candidate, 0, len(byPart))
	for _, found := range byPart {
		candidates = append(candidates, *found)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.part, b.part) })
	return candidates
}

// appendCrash adds the time of a crash unless the one before was too close.
func appendCrash(crashes []time.Duration, at time.Duration) []time.Duration {
	if count := len(crashes); count > 0 && at-crashes[count-1] < crashGap {
		return crashes
	}
	return append(crashes, at)
}

// crashesByPart returns the times of the crashes that no rule explains, by the parts
// of their suspects.
func (register *Register) crashesByPart() map[uint64][]time.Duration {
	crashesByPart := make(map[uint64][]time.Duration)
	for _, crash := range register.unexplainedCrashes() {
		for _, suspect := range crash.suspects {
			for _, part := range suspect.Parts {
				crashesByPart[part] = appendCrash(crashesByPart[part], crash.at)
			}
		}
	}
	return crashesByPart
}

// settledCrashes returns the unexplained crashes that other routers have had the
// time to report, too.
func (register *Register) settledCrashes(now time.Duration) []crash {
	crashes := register.unexplainedCrashes()
	for i, crash := range crashes {
		if now-crash.at < settleTime {
			register.scheduleEvaluation(crash.at)
			return crashes[:i]
		}
	}
	return crashes
}

// unexplainedCrashes returns the crashes, in order, that no rule explains. Once an
// upstream had begun to answer a suspect, those that still waited there aren't the
// cause.
func (register *Register) unexplainedCrashes() []crash {
	var crashes []crash
	for _, found := range register.crashes() {
		if slices.ContainsFunc(found.suspects, func(suspect Suspect) bool { return register.matchingRule(suspect.Parts) != nil }) {
			continue
		}
		if slices.ContainsFunc(found.suspects, func(suspect Suspect) bool { return suspect.Begun }) {
			found.begun = true
			found.suspects = slices.DeleteFunc(found.suspects, func(suspect Suspect) bool { return !suspect.Begun })
		}
		crashes = append(crashes, *found)
	}
	return crashes
}

// crashes returns the crashes in order. Suspects at one upstream are of the same
// crash if they were noticed within noticeTime: a process that starts again may
// keep its name.
func (register *Register) crashes() []*crash {
	suspects := register.allSuspects()
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.At, b.At) })
	var crashes []*crash
	lastByUpstream := make(map[string]*crash)
	for _, suspect := range suspects {
		last, ok := lastByUpstream[suspect.Upstream]
		if !ok || suspect.At-last.at > noticeTime {
			last = &crash{at: suspect.At}
			lastByUpstream[suspect.Upstream] = last
			crashes = append(crashes, last)
		}
		last.suspects = append(last.suspects, suspect)
	}
	return crashes
}

// addRule adds a rule unless another one covers it, removes the rules that it
// covers, and reports whether it was added.
func (register *Register) addRule(rule Rule, now time.Duration) bool {
	isUsable := len(rule.Parts) > 0 && len(rule.Parts) <= maxReportedParts && !rule.isOld(now)
	if !isUsable || register.disproved(rule) || register.blocksMost(rule) || register.matchingRule(rule.Parts) != nil {
		return false
	}
	slices.Sort(rule.Parts)
	register.rules = slices.DeleteFunc(register.rules, func(other Rule) bool { return rule.matches(other.Parts) })
	register.rules = newest(append(register.rules, rule), maxRules, func(rule Rule) int { return len(rule.Parts) })
	_ = register.config.Logger.Log("event", "part_quarantined", "parts", Names(rule.Parts), "since", rule.Since,
		"suspects", len(register.allSuspects()), "rules", len(register.rules))
	register.config.OnChange()
	return true
}

// disproved reports whether each part of the rule has succeeded since.
func (register *Register) disproved(rule Rule) bool {
	return !slices.ContainsFunc(rule.Parts, func(part uint64) bool { return register.lastSuccess(part) <= rule.Since })
}

// refineRules removes parts from rules that have succeeded without the others, or
// without which an upstream has crashed under the others. A rule of which each
// part has succeeded is dropped.
func (register *Register) refineRules(now time.Duration) {
	crashes := register.settledCrashes(now)
	rules := register.rules
	register.rules = nil
	for _, rule := range rules {
		if register.disproved(rule) {
			_ = register.config.Logger.Log("event", "part_released", "parts", Names(rule.Parts))
			continue
		}
		parts := register.necessaryParts(rule, crashes)
		if len(parts) == len(rule.Parts) {
			register.rules = append(register.rules, rule)
			continue
		}
		register.addRule(Rule{Parts: parts, Since: rule.Since}, now)
	}
}

// necessaryParts returns the parts of the rule that can't be left out. One crash
// without a part is not enough to leave it out, as its cause may be unknown.
func (register *Register) necessaryParts(rule Rule, crashes []crash) []uint64 {
	parts := slices.DeleteFunc(slices.Clone(rule.Parts), func(part uint64) bool { return register.lastSuccess(part) > rule.Since })
	without := make(map[uint64]evidence)
	for _, crash := range crashes {
		if crash.at <= rule.Since || len(crash.suspects) != 1 || !crash.begun {
			continue
		}
		if common := intersect(parts, crash.suspects[0].Parts); len(common) > 0 {
			for _, part := range parts {
				if !slices.Contains(common, part) {
					without[part] = without[part].with(crash)
				}
			}
		}
	}
	necessary := slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return without[part].count() >= minCrashes-1 })
	if len(necessary) == 0 {
		return parts
	}
	return necessary
}

func intersect(a, b []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(a), func(part uint64) bool { return !slices.Contains(b, part) })
}

// Names returns the IDs of parts in hexadecimal, separated by commas.
func Names(parts []uint64) string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, strconv.FormatUint(part, 16))
	}
	return strings.Join(names, ",")
}
