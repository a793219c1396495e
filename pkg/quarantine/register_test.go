package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// maxRowBytes is the size that the users' store allows for a row.
const maxRowBytes = 64 << 10

// manualClock is a register with a clock that only the test moves.
type manualClock struct {
	*Register
	now time.Duration
}

func newManualClock() *manualClock {
	clock := &manualClock{}
	clock.Register = NewRegister(Config{Now: func() time.Duration { return clock.now }, Logger: log.NewNopLogger()})
	return clock
}

// crash lets engines crash under prompts with the parts, one a second.
func (clock *manualClock) crash(count int, parts ...uint64) {
	for range count {
		clock.now += time.Second
		clock.Crashed(fmt.Sprintf("engine/%d", clock.now), parts, true)
	}
	clock.now += time.Second
}

// TestLateReportReleasesSoundPart guards against sound requests that are refused for
// minutes, because the success of another router was reported after the part had
// gone into quarantine.
func TestLateReportReleasesSoundPart(t *testing.T) {
	clock := newManualClock()
	clock.now = time.Minute
	clock.crash(minCrashes, 7, 1000)
	require.True(t, clock.Blocks([]uint64{7, 1001}))
	succeededAt := clock.now - 3*time.Second
	clock.Merge(map[string]Report{"another": {Successes: map[uint64]time.Duration{7: succeededAt}}})
	clock.now += time.Second
	require.False(t, clock.Blocks([]uint64{7, 1001}))
}

// TestSuccessBeforeTheCrashesReleasesNothing guards against a deadly part that is
// released by the report of a success from before it was deadly.
func TestSuccessBeforeTheCrashesReleasesNothing(t *testing.T) {
	clock := newManualClock()
	clock.now = time.Minute
	succeededAt := clock.now - soundPeriod
	clock.crash(minCrashes, 7, 1000)
	clock.Merge(map[string]Report{"another": {Successes: map[uint64]time.Duration{7: succeededAt}}})
	clock.now += time.Second
	require.True(t, clock.Blocks([]uint64{7, 1001}))
}

// TestPartIsJudgedWhenItsThirdCrashHasSettled guards against engines that crash while
// the evaluation waits for longer than the reports of others may take: an earlier
// evaluation must not delay the one of a later crash.
func TestPartIsJudgedWhenItsThirdCrashHasSettled(t *testing.T) {
	clock := newManualClock()
	prompt := []uint64{7, 1000}
	const firstCrash, interval = time.Minute, 200 * time.Millisecond
	for number := range minCrashes {
		clock.now = firstCrash + time.Duration(number)*interval
		require.False(t, clock.Blocks(prompt))
		clock.Crashed(fmt.Sprintf("engine/%d", number), prompt, true)
	}
	thirdCrash := clock.now
	clock.now = thirdCrash + settleTime - time.Millisecond // evaluates the crashes before
	require.False(t, clock.Blocks(prompt))
	clock.now = thirdCrash + settleTime
	require.True(t, clock.Blocks(prompt))
}

// TestDeadlyPromptsInSeriesCrashFewEngines guards against one engine more than the
// bound, which depended on how long an engine takes to crash: the evaluations then
// came just before a crash had settled, and half a second later again.
func TestDeadlyPromptsInSeriesCrashFewEngines(t *testing.T) {
	const pause, answerTime = 150 * time.Millisecond, 2 * time.Millisecond
	for crashTime := 50 * time.Millisecond; crashTime <= 400*time.Millisecond; crashTime += time.Millisecond {
		clock := newManualClock()
		clock.now = time.Minute
		crashes := 0
		for number := range 20 {
			if !clock.Blocks([]uint64{7, 1000}) {
				clock.now += crashTime
				clock.Crashed(fmt.Sprintf("engine/%d", number), []uint64{7, 1000}, true)
				clock.MayRetry([]uint64{7, 1000})
				crashes++
			}
			require.False(t, clock.Blocks([]uint64{8, 1000}))
			clock.now += answerTime
			clock.Succeeded([]uint64{8, 1000})
			clock.now += pause
		}
		require.LessOrEqual(t, crashes, boundedCrashes, "engines crash after %s", crashTime)
	}
}

// TestCommonPartIsNotBlockedAfterRestarts guards against all requests of a service being
// refused for minutes: routers that have restarted know no success, and one crash
// whose culprit nobody reported leaves the part that all prompts have as the likeliest.
func TestCommonPartIsNotBlockedAfterRestarts(t *testing.T) {
	const common, deadly = 7, 8
	clock := newManualClock()
	clock.now = time.Minute
	clock.crash(minCrashes-1, common, deadly, 1000)
	clock.Crashed("engine/of a culprit that nobody reported", []uint64{common, 9, 1001}, false)
	clock.now += time.Second
	require.False(t, clock.Blocks([]uint64{common, 10, 1002}))
}

// TestCulpritIsFoundAfterRestarts guards against the opposite of the test above, a
// deadly part that is taken for innocent because a common one was in more crashes.
func TestCulpritIsFoundAfterRestarts(t *testing.T) {
	const common, deadly = 7, 8
	clock := newManualClock()
	clock.now = time.Minute
	for number := range minCrashes {
		clock.Crashed(fmt.Sprintf("engine/of a culprit that nobody reported/%d", number), []uint64{common, 9, 1001}, false)
		clock.crash(1, common, deadly, 1000)
	}
	require.True(t, clock.Blocks([]uint64{common, deadly, 1002}))
	require.False(t, clock.Blocks([]uint64{common, 10, 1002}))
}

// TestCrashesAtOnceCountOnce guards against a part that is blocked because many engines
// lost their power at the same moments, while requests with it had begun at some and
// waited at others.
func TestCrashesAtOnceCountOnce(t *testing.T) {
	clock := newManualClock()
	clock.now = time.Minute
	for moment := range minCrashes - 1 {
		for engine := range 6 {
			clock.now += crashGap / 10
			clock.Crashed(fmt.Sprintf("engine/%d/%d", moment, engine), []uint64{7, 1000}, engine%2 == 0)
		}
		clock.now += time.Second
	}
	require.False(t, clock.Blocks([]uint64{7, 1001}))
}

// TestOneCrashDoesNotWidenRule guards against a rule for a deadly part and a common one
// that blocks all prompts with the common one, after one engine has crashed by itself.
func TestOneCrashDoesNotWidenRule(t *testing.T) {
	const common, deadly = 7, 8
	clock := newManualClock()
	clock.now = time.Minute
	clock.crash(minCrashes, common, deadly, 1000)
	require.True(t, clock.Blocks([]uint64{common, deadly, 1001}))
	clock.crash(1, common, 9, 1002)
	require.False(t, clock.Blocks([]uint64{common, 10, 1003}))
	require.True(t, clock.Blocks([]uint64{common, deadly, 1004}))
}

// TestSeriesOfCrashesWidensRule guards against a deadly part that crashes engines for
// good in prompts without the other part of its rule.
func TestSeriesOfCrashesWidensRule(t *testing.T) {
	const other, deadly = 7, 8
	clock := newManualClock()
	clock.now = time.Minute
	clock.crash(minCrashes, other, deadly, 1000)
	clock.Blocks([]uint64{1})
	clock.crash(minCrashes-1, 9, deadly, 1001)
	require.True(t, clock.Blocks([]uint64{10, deadly, 1002}))
}

// TestPartOfMostPromptsIsNotBlocked guards against all requests being refused for
// minutes, because engines crashed by themselves while no success was known.
func TestPartOfMostPromptsIsNotBlocked(t *testing.T) {
	const common, deadly = 7, 8
	clock := newManualClock()
	clock.now = time.Minute
	for number := range uint64(minPrompts) {
		clock.Blocks([]uint64{common, 100 + number, 1000 + number})
		clock.Blocks([]uint64{deadly, 2000}) // one request that is tried again and again
	}
	for number := range uint64(minCrashes) {
		clock.crash(1, common, 200+number, 3000+number)
	}
	require.False(t, clock.Blocks([]uint64{common, 300, 4000}))
	clock.Merge(map[string]Report{"another": {Rules: []Rule{{Parts: []uint64{common}, Since: clock.now}}}})
	require.False(t, clock.Blocks([]uint64{common, 301, 4001}))
	clock.crash(minCrashes, common, deadly, 5000)
	require.True(t, clock.Blocks([]uint64{common, deadly, 4002}))
	require.False(t, clock.Blocks([]uint64{common, 302, 4003}))
}

// TestReportedRuleForMostPromptsIsDropped guards against a router that starts, reads
// the rule of another for a part of all prompts, and refuses them all.
func TestReportedRuleForMostPromptsIsDropped(t *testing.T) {
	const common = 7
	clock := newManualClock()
	clock.now = time.Minute
	clock.Merge(map[string]Report{"another": {Rules: []Rule{{Parts: []uint64{common}, Since: clock.now}}}})
	for number := range uint64(minPrompts) - 1 {
		require.True(t, clock.Blocks([]uint64{common, 100 + number, 1000 + number}))
	}
	require.False(t, clock.Blocks([]uint64{common, 300, 4000}))
}

// TestReportFitsInARow guards against reports that the store refuses for their size,
// so that a router that sees crashes under long prompts tells nobody.
func TestReportFitsInARow(t *testing.T) {
	for _, partCount := range []int{1, 4, 40, 4000} {
		clock := newManualClock()
		clock.now = time.Hour
		for prompt := range 80 {
			parts := make([]uint64, 0, partCount+1)
			for part := range partCount + 1 {
				parts = append(parts, 1<<63+uint64(prompt/4*partCount+part))
			}
			if prompt%4 == 0 {
				clock.Succeeded(parts)
				clock.now += soundPeriod
			}
			clock.crash(1, parts...)
			clock.Blocks(parts)
		}
		content, err := json.Marshal(clock.Report())
		require.NoError(t, err)
		require.Less(t, len(content), maxRowBytes, "%d parts a prompt", partCount)
		require.NotEmpty(t, clock.Report().Suspects)
	}
}

// TestReportsAreForgotten guards against evidence that is kept for good.
func TestReportsAreForgotten(t *testing.T) {
	clock := newManualClock()
	clock.crash(minCrashes, 7, 1000)
	require.True(t, clock.Blocks([]uint64{7, 1001}))
	report := clock.Report()
	require.False(t, clock.IsOutdated(report))
	clock.now += evidenceLifetime
	require.Empty(t, clock.Report().Suspects)
	require.False(t, clock.IsOutdated(report), "the rule still counts")
	clock.now += ruleLifetime
	require.True(t, clock.IsOutdated(report))
	require.True(t, clock.Report().IsEmpty())
	require.False(t, clock.Blocks([]uint64{7, 1001}))
}

// TestReportOfSuccessesIsNotOutdated guards against deleting a report that
// exonerates a part which other routers suspect.
func TestReportOfSuccessesIsNotOutdated(t *testing.T) {
	clock := newManualClock()
	clock.now = time.Hour
	report := Report{Successes: map[uint64]time.Duration{7: clock.now}}
	clock.now += evidenceLifetime
	require.False(t, clock.IsOutdated(report))
	clock.now += soundPeriod + 1
	require.True(t, clock.IsOutdated(report))
}

// TestReportOfTooManyPartsIsSurvived guards against a router that hangs, because
// another one reports crashes under prompts with more parts than a rule may have.
func TestReportOfTooManyPartsIsSurvived(t *testing.T) {
	clock := newManualClock()
	clock.now = time.Hour
	parts := make([]uint64, maxReportedParts+1)
	for number := range parts {
		parts[number] = uint64(number)
	}
	report := Report{Rules: []Rule{{Parts: parts, Since: clock.now}}}
	for crash := range minCrashes {
		report.Suspects = append(report.Suspects, Suspect{Upstream: fmt.Sprint(crash), At: clock.now + time.Duration(crash)*time.Second, Parts: parts})
	}
	clock.now += time.Minute / 2
	clock.Merge(map[string]Report{"another": report})
	clock.now += time.Second
	evaluated := make(chan bool)
	go func() { evaluated <- clock.Blocks([]uint64{1, 2}) }()
	select {
	case blocked := <-evaluated:
		require.False(t, blocked)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the evaluation does not end")
	}
}

// TestReportsForLaterTimesAreIgnored guards against a router whose clock is ahead by
// hours and whose reports would count until then.
func TestReportsForLaterTimesAreIgnored(t *testing.T) {
	clock := newManualClock()
	clock.now = time.Hour
	later := clock.now + 2*maxClockError
	clock.Merge(map[string]Report{"ahead": {
		Suspects:  []Suspect{{Upstream: "engine", At: later, Parts: []uint64{8}}},
		Successes: map[uint64]time.Duration{7: later},
		Rules:     []Rule{{Parts: []uint64{9}, Since: later}},
	}})
	clock.crash(minCrashes, 7, 1000)
	require.True(t, clock.Blocks([]uint64{7, 1001}), "crashes without a success")
	require.False(t, clock.Blocks([]uint64{9, 1001}))
}

// TestOlderReportsTakeNothingBack guards against a part that crashes more engines, or a
// sound one that is refused again, because the table came back from an older copy of
// the report of a router that no longer runs.
func TestOlderReportsTakeNothingBack(t *testing.T) {
	clock := newManualClock()
	clock.now = time.Minute
	clock.crash(minCrashes-1, 7, 1000)
	crash := Suspect{Upstream: "engine", At: clock.now, Begun: true, Parts: []uint64{7}}
	clock.Merge(map[string]Report{"ended": {Suspects: []Suspect{crash}}})
	older := map[string]Report{"ended": {Suspects: []Suspect{{Upstream: "another", At: clock.now - time.Second, Parts: []uint64{9}}}}}
	clock.MergeRestored(older)
	clock.MergeRestored(older)
	clock.now += time.Second
	require.True(t, clock.Blocks([]uint64{7, 1001}), "the crash at the router that ended")
	require.Len(t, clock.reports["ended"].Suspects, 2)

	rule := Rule{Parts: []uint64{7}, Since: 50 * time.Second}
	clock.Merge(map[string]Report{"ended": {Successes: map[uint64]time.Duration{7: clock.now}}})
	clock.now += time.Second
	require.False(t, clock.Blocks([]uint64{7, 1001}), "the part has succeeded since")
	clock.MergeRestored(map[string]Report{"ended": {Rules: []Rule{rule}}})
	clock.now += time.Second
	require.False(t, clock.Blocks([]uint64{7, 1001}), "the older report has the rule, and not the success")
}

// TestOddReportsBlockNothing guards against reports of another writer that block sound
// prompts, are kept for good, or end the router.
func TestOddReportsBlockNothing(t *testing.T) {
	for _, odd := range []string{
		"", "?", "null", "[]", strings.Repeat("[", 20_000), `{"suspects":7}`, `{"suspects":[null]}`, `{"rules":[{}]}`, `{"rules":[null]}`,
		`{"rules":[{"parts":[7],"since":1e300}]}`, `{"rules":[{"parts":[-7],"since":0}]}`,
		`{"rules":[{"parts":[7],"since":9223372036854775807}]}`, `{"rules":[{"parts":[7],"since":-9223372036854775808}]}`,
		`{"successes":{"7":-9223372036854775808}}`, `{"successes":{"seven":1}}`,
		`{"suspects":[{"upstream":"a","at":-9223372036854775808,"begun":true,"parts":[7]},` +
			`{"upstream":"b","at":-9223372036000000000,"begun":true,"parts":[7]},{"upstream":"c","at":-9223372035000000000,"begun":true,"parts":[7]}]}`,
		`{"suspects":[{"upstream":"a","at":9223372036854775807,"begun":true,"parts":[7]}]}`,
	} {
		clock := newManualClock()
		clock.now = time.Hour
		exchange := NewExchange(ExchangeConfig{Router: "self", Now: func() time.Duration { return clock.now }, Commit: func(context.Context, platform.Transaction) error { return nil }})
		exchange.ReadAll([]platform.Item{{Key: platform.Key{Sort: "another"}, Value: []byte(odd), Version: 1}})
		exchange.Close()
		clock.now += time.Second
		require.False(t, exchange.Register().Blocks([]uint64{7, 1000}), odd)
		exchange.Register().Report()
		exchange.Register().mutex.Lock()
		require.Empty(t, exchange.Register().reports, odd)
		exchange.Register().mutex.Unlock()
	}
}
