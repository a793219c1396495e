package upstream

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

func testUpstreams(count int) []configuration.Upstream {
	upstreams := make([]configuration.Upstream, count)
	for index := range upstreams {
		upstreams[index].Address = fmt.Sprintf("127.0.%d.%d:8000", index/250, 1+index%250)
	}
	return upstreams
}

// clock is a clock that tests advance.
type clock struct {
	now time.Time
}

func newTestPool(tb testing.TB, config Config, upstreams []configuration.Upstream) (*Pool, *clock) {
	tb.Helper()
	clock := &clock{now: time.Unix(1000, 0)}
	config.Service = "advice"
	config.Now = func() time.Time { return clock.now }
	if config.Upstreams == nil {
		config.Upstreams = func(string) []configuration.Upstream { return upstreams }
	}
	pool, err := NewPool(config)
	require.NoError(tb, err)
	return pool, clock
}

func mustAcquire(tb testing.TB, pool *Pool, criteria Criteria) *Member {
	tb.Helper()
	member, err := pool.Acquire(criteria)
	require.NoError(tb, err)
	return member
}

// poolStateMachine applies random operations to a pool and its configuration.
type poolStateMachine struct {
	clock        clock
	allUpstreams []configuration.Upstream
	// configuredUpstreams are those of allUpstreams in the configuration.
	configuredUpstreams []configuration.Upstream
	pool                *Pool
	running             []*Member
}

func newPoolStateMachine(t *rapid.T) *poolStateMachine {
	upstreams := testUpstreams(5)
	machine := &poolStateMachine{clock: clock{now: time.Unix(1000, 0)}, allUpstreams: upstreams, configuredUpstreams: upstreams}
	policy := rapid.SampledFrom(Policies).Draw(t, "policy")
	pool, err := NewPool(Config{
		Service: "advice", Policy: policy.Name, Limit: LimitConfig{Initial: 4, Min: 2},
		Upstreams: func(string) []configuration.Upstream { return machine.configuredUpstreams },
		Now:       func() time.Time { return machine.clock.now },
	})
	require.NoError(t, err)
	machine.pool = pool
	return machine
}

func (poolStateMachine *poolStateMachine) acquire(t *rapid.T) {
	prefix := rapid.Uint64Range(0, 5).Draw(t, "prefix")
	member, err := poolStateMachine.pool.Acquire(Criteria{PrefixHash: prefix, Avoid: []string{poolStateMachine.allUpstreams[0].Address}})
	if err != nil {
		require.Empty(t, poolStateMachine.pool.memberSet.available)
		return
	}
	require.False(t, member.draining)
	notice := poolStateMachine.pool.noticeOf(member.address)
	require.False(t, notice.IsLeaving() || notice.IsPaused(poolStateMachine.clock.now))
	require.LessOrEqual(t, member.inFlight, member.maxInFlight(poolStateMachine.clock.now))
	poolStateMachine.running = append(poolStateMachine.running, member)
}

func (poolStateMachine *poolStateMachine) release(t *rapid.T) {
	if len(poolStateMachine.running) == 0 {
		t.Skip("nothing runs")
	}
	member := poolStateMachine.running[0]
	poolStateMachine.running = poolStateMachine.running[1:]
	poolStateMachine.pool.ObserveFirstPart(member, time.Duration(rapid.IntRange(1, 900).Draw(t, "latency"))*time.Millisecond)
	poolStateMachine.pool.Release(member, rapid.SampledFrom([]AttemptResult{Neutral, Success, Failure}).Draw(t, "verdict"), time.Second)
}

func (poolStateMachine *poolStateMachine) changeConfiguration(t *rapid.T) {
	changed := slices.Clone(poolStateMachine.allUpstreams)
	changed[rapid.IntRange(0, 4).Draw(t, "drained")].Draining = true
	poolStateMachine.configuredUpstreams = changed[:rapid.IntRange(1, 5).Draw(t, "kept")]
}

func (poolStateMachine *poolStateMachine) observeLoad(t *rapid.T) {
	for _, member := range poolStateMachine.pool.members {
		poolStateMachine.pool.ObserveLoad(member, exchange.LoadReport{
			Running:  rapid.Int64Range(0, 20).Draw(t, "running"),
			Capacity: rapid.Int64Range(0, 10).Draw(t, "capacity"),
		}, member.inFlight)
	}
}

func (poolStateMachine *poolStateMachine) recordNotice(t *rapid.T) {
	address := rapid.SampledFrom(poolStateMachine.allUpstreams).Draw(t, "upstream").Address
	poolStateMachine.pool.recordNotice(address, notice.Request{
		Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		Pause:   time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond,
	})
}

func (poolStateMachine *poolStateMachine) advanceClock(t *rapid.T) {
	elapsed := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
	poolStateMachine.clock.now = poolStateMachine.clock.now.Add(elapsed)
	poolStateMachine.pool.refresh()
}

// Guards against a missed update of the member set. With any policy and any order of
// operations, the set is consistent with the members, no attempt exceeds a member's
// limit, and draining, leaving and paused members get no attempts.
func TestPoolKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newPoolStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"take":   machine.acquire,
			"put":    machine.release,
			"drain":  machine.changeConfiguration,
			"report": machine.observeLoad,
			"notice": machine.recordNotice,
			"pass":   machine.advanceClock,
			"":       func(t *rapid.T) { checkMemberSet(t, machine.pool) },
		})
	})
}

func checkMemberSet(t *rapid.T, pool *Pool) {
	available := 0
	for _, member := range pool.memberSet.eligible {
		if member.setEntry.availableIndex == notAvailable {
			continue
		}
		available++
		require.Same(t, member, pool.memberSet.available[member.setEntry.availableIndex])
	}
	require.Len(t, pool.memberSet.available, available)
	if pool.memberSet.byInFlight != nil {
		require.Equal(t, available, pool.memberSet.byInFlight.Len())
	}
}

// Guards against prefixes that change their member without need, which would miss
// the prompt cache, and against one prefix that overloads its members.
func TestPrefixKeepsMemberUntilLoadBound(t *testing.T) {
	pool, _ := newTestPool(t, Config{Policy: "prefix_affinity"}, testUpstreams(10))
	addressByPrefix := make(map[uint64]string)
	for prefix := uint64(1); prefix <= 200; prefix++ {
		member := mustAcquire(t, pool, Criteria{PrefixHash: prefix})
		addressByPrefix[prefix] = member.Address()
		pool.Release(member, Success, time.Second)
	}
	for prefix, address := range addressByPrefix {
		member := mustAcquire(t, pool, Criteria{PrefixHash: prefix})
		require.Equal(t, address, member.Address())
		pool.Release(member, Success, time.Second)
	}
	attemptsByAddress := make(map[string]int)
	for range 40 {
		attemptsByAddress[mustAcquire(t, pool, Criteria{PrefixHash: 7}).Address()]++
	}
	require.Greater(t, len(attemptsByAddress), candidatesPerPrefix, "attempts for one prefix must spill over to members without affinity")
	for _, attempts := range attemptsByAddress {
		require.LessOrEqual(t, attempts, 8)
	}
}

// Guards against ignoring the load of other routers, which only load reports show,
// and against giving weight to a report that is 20 s old.
func TestBetterOfTwoAvoidsLoadOfOtherRouters(t *testing.T) {
	pool, clock := newTestPool(t, Config{Policy: "better_of_two", Limit: LimitConfig{Initial: 64}}, testUpstreams(2))
	loaded := mustAcquire(t, pool, Criteria{})
	pool.Release(loaded, Success, time.Second)
	other := mustAcquire(t, pool, Criteria{Avoid: []string{loaded.Address()}})
	pool.Release(other, Success, time.Second)
	pool.ObserveLoad(loaded, exchange.LoadReport{Running: 30, Capacity: 32}, 0)
	pool.ObserveLoad(other, exchange.LoadReport{Capacity: 32}, 0)
	attemptsWithFreshReport := countAttempts(t, pool, loaded)
	clock.now = clock.now.Add(20 * time.Second)
	require.Less(t, attemptsWithFreshReport, 30)
	require.InDelta(t, 50, countAttempts(t, pool, loaded), 25)
}

// Guards against sending a full share of the attempts to a slow member, which the
// circuit breaker does not eject since it does not fail. The member must get few
// attempts, also for prefixes that have affinity to it, and its full share again
// within seconds once it is as fast as the others.
func TestSlowMemberGetsLittleWork(t *testing.T) {
	for _, policy := range []string{"better_of_two", "prefix_affinity"} {
		pool, clock := newTestPool(t, Config{Policy: policy}, testUpstreams(5))
		var slow *Member
		serveAttempts := func(slowDuration time.Duration) int {
			attempts := 0
			for index := range 500 {
				clock.now = clock.now.Add(20 * time.Millisecond)
				member := mustAcquire(t, pool, Criteria{PrefixHash: uint64(1 + index)})
				if slow == nil {
					slow = member
				}
				duration := 100 * time.Millisecond
				if member == slow {
					duration = slowDuration
					attempts++
				}
				pool.Release(member, Success, duration)
			}
			return attempts
		}
		require.Less(t, serveAttempts(time.Second), 60, policy)
		serveAttempts(100 * time.Millisecond)
		require.InDelta(t, 100, serveAttempts(100*time.Millisecond), 50, policy)
	}
}

// countAttempts sends 100 attempts one at a time and returns how many the member
// gets.
func countAttempts(t *testing.T, pool *Pool, member *Member) int {
	t.Helper()
	attempts := 0
	for range 100 {
		chosen := mustAcquire(t, pool, Criteria{})
		if chosen == member {
			attempts++
		}
		pool.Release(chosen, Success, time.Second)
	}
	return attempts
}

// Guards against an adaptive limit that ignores slow answers, the reported
// capacity or the attempts of other routers.
func TestLimitFollowsLatencyAndReports(t *testing.T) {
	pool, clock := newTestPool(t, Config{Limit: LimitConfig{Initial: 20, LatencyTarget: 300 * time.Millisecond}}, testUpstreams(1))
	var member *Member
	for range 20 {
		member = mustAcquire(t, pool, Criteria{})
	}
	_, err := pool.Acquire(Criteria{})
	require.ErrorIs(t, err, ErrAtLimit)
	for range 3 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		pool.ObserveFirstPart(member, 500*time.Millisecond)
	}
	require.Equal(t, 18, member.maxInFlight(clock.now), "the limit decreases only once in the time of one attempt")
	pool.ObserveLoad(member, exchange.LoadReport{Running: 20, Capacity: 10}, 20)
	require.Equal(t, 11, member.maxInFlight(clock.now))
	pool.ObserveLoad(member, exchange.LoadReport{Running: 28, Capacity: 10}, 20)
	require.Equal(t, 3, member.maxInFlight(clock.now))
	clock.now = clock.now.Add(time.Minute)
	require.Equal(t, 11, member.maxInFlight(clock.now), "the load of other routers in an old report has no weight")
}

// A failing member is ejected. When all members fail, ejections are ignored, since
// otherwise a fault of the router's network would leave no upstream.
func TestEjectionIsIgnoredWhenAllMembersFail(t *testing.T) {
	pool, _ := newTestPool(t, Config{Policy: "round_robin"}, testUpstreams(3))
	failAttemptsAt := func(address string) {
		for range 60 {
			member := mustAcquire(t, pool, Criteria{})
			result := Success
			if member.Address() == address {
				result = Failure
			}
			pool.Release(member, result, time.Millisecond)
		}
	}
	failAttemptsAt("none")
	upstreams := pool.syncedUpstreams
	failAttemptsAt(upstreams[0].Address)
	require.Equal(t, 1, pool.EjectedCount())
	failAttemptsAt(upstreams[1].Address)
	require.Len(t, pool.memberSet.eligible, 1)
	failAttemptsAt(upstreams[2].Address)
	require.Equal(t, 3, pool.EjectedCount())
	require.Len(t, pool.memberSet.eligible, 3, "ejections must be ignored when all members are ejected")
}

// An ejected member stays ejected while its health check fails, and is readmitted
// with the minimum limit once the check succeeds.
func TestProbeReadmitsEjectedMember(t *testing.T) {
	var healthy atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	upstreams := []configuration.Upstream{{Address: server.Listener.Addr().String()}}
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return upstreams }})
	require.NoError(t, err)
	defer pool.Close()
	for range breakerFailureThreshold {
		pool.Release(mustAcquire(t, pool, Criteria{}), Failure, time.Millisecond)
	}
	require.Equal(t, 1, pool.EjectedCount())
	monitor := NewMonitor(MonitorConfig{
		Pools: func() []*Pool { return []*Pool{pool} }, Logger: log.NewNopLogger(), PollInterval: 10 * time.Millisecond, PollsPerSecond: 1000,
	})
	defer monitor.Close()
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, 1, pool.EjectedCount())
	healthy.Store(true)
	require.Eventually(t, func() bool { return pool.EjectedCount() == 0 }, time.Minute, 5*time.Millisecond)
	require.Equal(t, defaultMinLimit, int(mustAcquire(t, pool, Criteria{}).limiter.limit), "a readmitted member must start with the minimum limit")
}

// The monitor reads load reports of members in use and calls the callback that
// lets queued attempts try again.
func TestMonitorReadsLoadReports(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, `{"running":3,"waiting":1,"capacity":8,"age_ms":100}`)
	}))
	defer server.Close()
	upstreams := []configuration.Upstream{{Address: server.Listener.Addr().String()}}
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return upstreams }})
	require.NoError(t, err)
	defer pool.Close()
	member := mustAcquire(t, pool, Criteria{})
	var changeCount atomic.Int64
	monitor := NewMonitor(MonitorConfig{
		Pools: func() []*Pool { return []*Pool{pool} }, Logger: log.NewNopLogger(), PollInterval: 10 * time.Millisecond, PollsPerSecond: 1000,
		OnChange: func(*Pool) { changeCount.Add(1) },
	})
	defer monitor.Close()
	require.Eventually(t, func() bool { return changeCount.Load() > 0 }, time.Minute, time.Millisecond)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	require.InDelta(t, 8, member.capacity(), 0)
	require.Greater(t, member.otherRoutersLoad(time.Now()), 1.0)
}

// Guards against load reports that no upstream can have: the member would get no
// attempts any more, or any number of them.
func TestOddLoadReportsAreIgnored(t *testing.T) {
	for _, odd := range []string{
		`{"running":9223372036854775807,"waiting":9223372036854775807}`, `{"running":1000000000000}`, `{"waiting":1000000000000}`,
		`{"running":-5}`, `{"capacity":-1}`, `{"capacity":4611686018427387904}`, `{"running":5,"age_ms":-1000000}`,
		`{"running":5,"age_ms":9223372036854775807}`, `{"running":1e300}`, `{"running":"5"}`, `[]`, `null`, `?`, strings.Repeat("[", 60_000),
	} {
		var polls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			polls.Add(1)
			fmt.Fprint(writer, odd)
		}))
		upstreams := []configuration.Upstream{{Address: server.Listener.Addr().String()}}
		pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return upstreams }})
		require.NoError(t, err)
		member := mustAcquire(t, pool, Criteria{})
		monitor := NewMonitor(MonitorConfig{
			Pools: func() []*Pool { return []*Pool{pool} }, Logger: log.NewNopLogger(), PollInterval: 10 * time.Millisecond, PollsPerSecond: 1000,
		})
		require.Eventually(t, func() bool { return polls.Load() > 3 }, time.Minute, time.Millisecond)
		pool.mutex.Lock()
		load, limit, wait := member.load(time.Now()), member.maxInFlight(time.Now()), member.expectedWaitSeconds(time.Now(), 1)
		minLimit := member.minLimit(pool.config.Limit)
		pool.mutex.Unlock()
		monitor.Close()
		pool.Close()
		server.Close()
		require.InDelta(t, 1, load, 0, odd)
		require.Equal(t, defaultInitialLimit, limit, odd)
		require.Less(t, wait, 1.0, odd)
		require.LessOrEqual(t, minLimit, float64(defaultMaxLimit), odd)
	}
}

// BenchmarkAcquire measures the choice of a member and the end of the attempt, while
// a tenth of the allowed attempts is in flight.
func BenchmarkAcquire(b *testing.B) {
	for _, count := range []int{10, 400, 3800} {
		for _, policy := range Policies {
			b.Run(fmt.Sprintf("%s/%d", policy.Name, count), func(b *testing.B) {
				upstreams := testUpstreams(count)
				pool, err := NewPool(Config{Policy: policy.Name, Upstreams: func(string) []configuration.Upstream { return upstreams }})
				require.NoError(b, err)
				for range count * 3 {
					mustAcquire(b, pool, Criteria{})
				}
				b.ReportAllocs()
				for index := 0; b.Loop(); index++ {
					member, err := pool.Acquire(Criteria{PrefixHash: uint64(1 + index%1000)})
					if err != nil {
						b.Fatal(err)
					}
					pool.Release(member, Success, time.Second)
				}
			})
		}
	}
}

// BenchmarkRankUncachedPrefix measures the ranking of members for a prefix that
// is not in the cache.
func BenchmarkRankUncachedPrefix(b *testing.B) {
	upstreams := testUpstreams(3800)
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return upstreams }})
	require.NoError(b, err)
	for index := 0; b.Loop(); index++ {
		member, err := pool.Acquire(Criteria{PrefixHash: uint64(index + 1)})
		if err != nil {
			b.Fatal(err)
		}
		pool.Release(member, Success, time.Second)
	}
}

// BenchmarkRefresh measures one pass of the monitor over all members.
func BenchmarkRefresh(b *testing.B) {
	upstreams := testUpstreams(3800)
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return upstreams }})
	require.NoError(b, err)
	for b.Loop() {
		pool.refresh()
		pool.dueChecks(time.Second)
	}
}

func ExamplePool() {
	upstreams := []configuration.Upstream{{Address: "127.0.0.1:8000"}, {Address: "127.0.0.2:8000", Draining: true}}
	pool, err := NewPool(Config{Service: "advice", Upstreams: func(string) []configuration.Upstream { return upstreams }})
	if err != nil {
		fmt.Println(err)
		return
	}
	member, err := pool.Acquire(Criteria{})
	fmt.Println(member.Address(), err)
	pool.Release(member, Success, time.Second)
	// Output: 127.0.0.1:8000 <nil>
}
