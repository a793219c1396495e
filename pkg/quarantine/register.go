// Package quarantine finds the prompt parts that crash engines and keeps requests
// with them away from engines.
//
// The flow: Register.Crashed gets the requests whose answers broke off when an
// upstream crashed, and Succeeded the parts of the answers that were complete.
// Routers exchange both as Reports (report.go): Report returns that of this
// router, and Merge gets those of the others. Once a part was part of such
// requests in several crashes, and of no success near them, it becomes a Rule
// (evaluate.go). Blocks tells which requests match a rule.
//
// All times are those of a clock that the routers share.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	lru "github.com/hashicorp/golang-lru/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// maxSuccesses limits the parts whose last success is remembered.
	maxSuccesses = 8192
	// maxSuspects limits the suspects of one report; the newest stay.
	maxSuspects = 64
	// maxSuspectParts limits the parts of a suspect; the first stay.
	maxSuspectParts = 128
	// maxRules limits the rules; the newest stay.
	maxRules = 64
	// evidenceLifetime is how long a crash counts.
	evidenceLifetime = time.Minute
	// ruleLifetime is how long a part stays in quarantine. As a part is tried again
	// only after that, and may then crash several engines, it is long.
	ruleLifetime = 10 * time.Minute
	// refusalRetryAfter is the Retry-After value of a request that Check refuses.
	refusalRetryAfter = 30 * time.Second
	// maxPrompts limits the last prompts that are remembered, and minPrompts is the
	// number from which they tell what most prompts have.
	maxPrompts = 64
	minPrompts = 16
	// maxBlockedShare is the share of all prompts that no rule may reach. What they all
	// have can't be told apart from other causes, and blocking it would refuse everything.
	maxBlockedShare = 0.9
	// MaxSuspectEvents is the number of events up to which an answer that broke off
	// counts as just begun. With more, its prompt isn't the cause of a crash.
	MaxSuspectEvents = 1
)

// Suspect is a request that ran at an upstream when this crashed.
type Suspect struct {
	// Upstream identifies the process that crashed.
	Upstream string `json:"upstream"`
	// At is when the router noticed the crash.
	At time.Duration `json:"at"`
	// Begun is set when the upstream had begun to answer.
	Begun bool `json:"begun,omitempty"`
	// Parts are the IDs of those parts of the prompt that other requests may share.
	Parts []uint64 `json:"parts"`
}

// isOld compares so that no time of another writer can overflow.
func (suspect Suspect) isOld(now time.Duration) bool { return suspect.At < now-evidenceLifetime }

// Rule says that requests with all of the parts crash engines.
type Rule struct {
	Parts []uint64 `json:"parts"`
	// Since is before the crashes that made the rule. A part that has succeeded since
	// isn't their cause.
	Since time.Duration `json:"since"`
}

func (rule Rule) isOld(now time.Duration) bool { return rule.Since < now-ruleLifetime }

func (rule Rule) matches(parts []uint64) bool {
	return !slices.ContainsFunc(rule.Parts, func(part uint64) bool { return !slices.Contains(parts, part) })
}

// Config configures a Register.
type Config struct {
	// Now returns the time of the shared clock.
	Now    func() time.Duration
	Logger log.Logger
	// OnChange is called when Report would return something urgent; nil means never.
	// It must not block or call the Register.
	OnChange func()
}

// prompt has the parts of one request's prompt.
type prompt struct {
	// own is the part that no other request has, and shared are the others.
	own    uint64
	shared []uint64
}

// Register is one router's knowledge of crashes. It is safe for concurrent use.
type Register struct {
	config Config

	mutex sync.Mutex
	// successes are the times of the last successes at this router, by part.
	successes *lru.Cache[uint64, time.Duration]
	// prompts are the last ones that Blocks was asked for; the next one replaces that at
	// nextPrompt.
	prompts    []prompt
	nextPrompt int
	// suspects are those of this router.
	suspects []Suspect
	rules    []Rule
	// reports are the last reports of the other routers.
	reports map[string]Report
	// published are the successes of this router that the others have been told.
	published map[uint64]time.Duration
	// evaluateAt is when the evidence is next evaluated, zero if it hasn't changed.
	evaluateAt time.Duration
	// crashCounts are the crashes of each part that is still suspected, as of the last
	// evaluation.
	crashCounts map[uint64]int
}

// NewRegister returns a register without evidence.
func NewRegister(config Config) *Register {
	if config.OnChange == nil {
		config.OnChange = func() {}
	}
	successes, err := lru.New[uint64, time.Duration](maxSuccesses)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Register{
		config: config, successes: successes, reports: make(map[string]Report), published: make(map[uint64]time.Duration),
		crashCounts: make(map[uint64]int),
	}
}

// sharedParts returns all parts but the last, which no other request has.
func sharedParts(parts []uint64) []uint64 { return parts[:max(len(parts)-1, 0)] }

// newest returns the last entries, at most count of them, and with at most
// maxReportedParts parts in all.
func newest[T any](entries []T, count int, partCount func(T) int) []T {
	first, parts := len(entries), 0
	for first > 0 && len(entries)-first < count && parts+partCount(entries[first-1]) <= maxReportedParts {
		first--
		parts += partCount(entries[first])
	}
	return entries[first:]
}

// Succeeded records that a request with the parts was answered completely.
func (register *Register) Succeeded(parts []uint64) {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	now := register.config.Now()
	for _, part := range sharedParts(parts) {
		register.successes.Add(part, now)
	}
}

// Crashed records that an upstream crashed while it ran a request with the parts.
// It must not be called for an answer with more than MaxSuspectEvents.
func (register *Register) Crashed(upstream string, parts []uint64, begun bool) {
	shared := sharedParts(parts)
	if len(shared) == 0 {
		return
	}
	register.mutex.Lock()
	now := register.config.Now()
	suspect := Suspect{Upstream: upstream, At: now, Begun: begun, Parts: slices.Clone(shared[:min(len(shared), maxSuspectParts)])}
	register.suspects = newest(append(register.suspects, suspect), maxSuspects, func(suspect Suspect) int { return len(suspect.Parts) })
	register.scheduleEvaluation(now)
	register.mutex.Unlock()
	register.config.OnChange()
}

// Blocks reports whether a request with the parts would crash an engine.
func (register *Register) Blocks(parts []uint64) bool {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	shared := sharedParts(parts)
	register.rememberPrompt(parts)
	register.evaluateIfDue()
	rule := register.matchingRule(shared)
	if rule != nil && register.blocksMost(*rule) {
		register.dropRule(*rule)
		rule = register.matchingRule(shared)
	}
	return rule != nil
}

// rememberPrompt adds to the last prompts. A request that is tried again counts once.
func (register *Register) rememberPrompt(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	shared := sharedParts(parts)
	next := prompt{own: parts[len(parts)-1], shared: slices.Clone(shared[:min(len(shared), maxSuspectParts)])}
	if slices.ContainsFunc(register.prompts, func(other prompt) bool { return other.own == next.own }) {
		return
	}
	if len(register.prompts) < maxPrompts {
		register.prompts = append(register.prompts, next)
		return
	}
	register.prompts[register.nextPrompt] = next
	register.nextPrompt = (register.nextPrompt + 1) % maxPrompts
}

// blocksMost reports whether most of the last prompts match the rule.
func (register *Register) blocksMost(rule Rule) bool {
	count := 0
	for _, prompt := range register.prompts {
		if rule.matches(prompt.shared) {
			count++
		}
	}
	return len(register.prompts) >= minPrompts && float64(count) >= maxBlockedShare*float64(len(register.prompts))
}

// dropRule removes a rule that would block most prompts. The crashes that it explained
// are evaluated again.
func (register *Register) dropRule(rule Rule) {
	register.rules = slices.DeleteFunc(register.rules, func(other Rule) bool { return slices.Equal(other.Parts, rule.Parts) })
	_ = register.config.Logger.Log("event", "part_released", "parts", Names(rule.Parts), "reason", "most prompts have it")
	register.scheduleEvaluation(register.config.Now() - settleTime)
}

// Check returns an error of kind Unavailable if Blocks returns true.
func (register *Register) Check(parts []uint64) error {
	if !register.Blocks(parts) {
		return nil
	}
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    "a part of the prompt has crashed several engines",
		Remedy:     "change the prompt, or send the request again after the stated time",
		RetryAfter: refusalRetryAfter,
	})
}

// MayRetry reports whether a request with the parts whose answer broke off may be
// sent to another engine. While a part is suspected, that could be the next crash.
func (register *Register) MayRetry(parts []uint64) bool {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	register.evaluateIfDue()
	shared := sharedParts(parts)
	return register.matchingRule(shared) == nil &&
		!slices.ContainsFunc(shared, func(part uint64) bool { return register.crashCounts[part] >= minCrashes-1 })
}

func (register *Register) matchingRule(parts []uint64) *Rule {
	for i := range register.rules {
		if register.rules[i].matches(parts) {
			return &register.rules[i]
		}
	}
	return nil
}
