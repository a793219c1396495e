package upstream

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

func upstreams(count int) []configuration.Upstream {
	list := make([]configuration.Upstream, count)
	for index := range list {
		list[index].Address = fmt.Sprintf("127.0.%d.%d:8000", index/250, 1+index%250)
	}
	return list
}

// clock is a clock that tests move.
type clock struct {
	now time.Time
}

func newTestPool(tb testing.TB, config Config, list []configuration.Upstream) (*Pool, *clock) {
	tb.Helper()
	clock := &clock{now: time.Unix(1000, 0)}
	config.Service = "advice"
	config.Now = func() time.Time { return clock.now }
	if config.Upstreams == nil {
		config.Upstreams = func(string) []configuration.Upstream { return list }
	}
	pool, err := NewPool(config)
	require.NoError(tb, err)
	return pool, clock
}

func take(tb testing.TB, pool *Pool, demand Criteria) *Member {
	tb.Helper()
	member, err := pool.Acquire(demand)
	require.NoError(tb, err)
	return member
}

// poolMachine applies events to a pool whose configuration changes.
type poolMachine struct {
	clock clock
	list  []configuration.Upstream
	// current is the part of the list that the configuration has.
	current []configuration.Upstream
	pool    *Pool
	running []*Member
}

func newPoolMachine(t *rapid.T) *poolMachine {
	list := upstreams(5)
	machine := &poolMachine{clock: clock{now: time.Unix(1000, 0)}, list: list, current: list}
	policy := rapid.SampledFrom(Policies).Draw(t, "policy")
	pool, err := NewPool(Config{
		Service: "advice", Policy: policy.Name, Limit: LimitConfig{Initial: 4, Min: 2},
		Upstreams: func(string) []configuration.Upstream { return machine.current },
		Now:       func() time.Time { return machine.clock.now },
	})
	require.NoError(t, err)
	machine.pool = pool
	return machine
}

func (poolMachine *poolMachine) take(t *rapid.T) {
	prefix := rapid.Uint64Range(0, 5).Draw(t, "prefix")
	member, err := poolMachine.pool.Acquire(Criteria{PrefixHash: prefix, Avoid: []string{poolMachine.list[0].Address}})
	if err != nil {
		require.Empty(t, poolMachine.pool.set.open)
		return
	}
	require.False(t, member.draining)
	require.LessOrEqual(t, member.inFlight, member.allowance(poolMachine.clock.now))
	poolMachine.running = append(poolMachine.running, member)
}

func (poolMachine *poolMachine) put(t *rapid.T) {
	if len(poolMachine.running) == 0 {
		t.Skip("nothing runs")
	}
	member := poolMachine.running[0]
	poolMachine.running = poolMachine.running[1:]
	poolMachine.pool.ObserveFirstPart(member, time.Duration(rapid.IntRange(1, 900).Draw(t, "latency"))*time.Millisecond)
	poolMachine.pool.Release(member, rapid.SampledFrom([]AttemptResult{Neutral, Success, Failure}).Draw(t, "verdict"), time.Second)
}

func (poolMachine *poolMachine) drain(t *rapid.T) {
	changed := slices.Clone(poolMachine.list)
	changed[rapid.IntRange(0, 4).Draw(t, "drained")].Draining = true
	poolMachine.current = changed[:rapid.IntRange(1, 5).Draw(t, "kept")]
}

func (poolMachine *poolMachine) report(t *rapid.T) {
	for _, member := range poolMachine.pool.members {
		poolMachine.pool.Observe(member, exchange.LoadReport{
			Running:  rapid.Int64Range(0, 20).Draw(t, "running"),
			Capacity: rapid.Int64Range(0, 10).Draw(t, "capacity"),
		}, member.inFlight)
	}
}

func (poolMachine *poolMachine) pass(t *rapid.T) {
	passed := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
	poolMachine.clock.now = poolMachine.clock.now.Add(passed)
	poolMachine.pool.reconsider()
}

// Whatever the policy and the order of events, a pool's index agrees with its
// members, nobody is above the limit, and draining members get no work.
func TestPoolAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newPoolMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"take":   machine.take,
			"put":    machine.put,
			"drain":  machine.drain,
			"report": machine.report,
			"pass":   machine.pass,
			"":       func(t *rapid.T) { checkIndex(t, machine.pool) },
		})
	})
}

func checkIndex(t *rapid.T, pool *Pool) {
	open := 0
	for _, member := range pool.set.eligible {
		if member.filing.open == notOpen {
			continue
		}
		open++
		require.Same(t, member, pool.set.open[member.filing.open])
	}
	require.Len(t, pool.set.open, open)
	if pool.set.byLoad != nil {
		require.Equal(t, open, pool.set.byLoad.Len())
	}
}

func TestPrefixesStayWhereTheyAreAsLongAsLoadAllows(t *testing.T) {
	pool, _ := newTestPool(t, Config{Policy: "prefix_affinity"}, upstreams(10))
	homes := make(map[uint64]string)
	for prefix := uint64(1); prefix <= 200; prefix++ {
		member := take(t, pool, Criteria{PrefixHash: prefix})
		homes[prefix] = member.Address()
		pool.Release(member, Success, time.Second)
	}
	for prefix, home := range homes {
		member := take(t, pool, Criteria{PrefixHash: prefix})
		require.Equal(t, home, member.Address())
		pool.Release(member, Success, time.Second)
	}
	used := make(map[string]int)
	for range 40 {
		used[take(t, pool, Criteria{PrefixHash: 7}).Address()]++
	}
	require.Greater(t, len(used), rankedMembers, "one prefix filled its members above the mean")
	for _, attempts := range used {
		require.LessOrEqual(t, attempts, 8)
	}
}

func TestBetterOfTwoAvoidsTheLoadThatOthersCause(t *testing.T) {
	pool, clock := newTestPool(t, Config{Policy: "better_of_two", Limit: LimitConfig{Initial: 64}}, upstreams(2))
	loaded := take(t, pool, Criteria{})
	pool.Release(loaded, Success, time.Second)
	other := take(t, pool, Criteria{Avoid: []string{loaded.Address()}})
	pool.Release(other, Success, time.Second)
	pool.Observe(loaded, exchange.LoadReport{Running: 30, Capacity: 32}, 0)
	pool.Observe(other, exchange.LoadReport{Capacity: 32}, 0)
	fresh := share(t, pool, loaded)
	clock.now = clock.now.Add(20 * time.Second)
	require.Less(t, fresh, 30)
	require.InDelta(t, 50, share(t, pool, loaded), 25)
}

// A member that still answers, but slowly, loses most of its work, also that of
// its prefixes, and gets it back within seconds of being as fast as the others.
func TestSlowMemberGetsLittleWork(t *testing.T) {
	for _, policy := range []string{"better_of_two", "prefix_affinity"} {
		pool, clock := newTestPool(t, Config{Policy: policy}, upstreams(5))
		var slow *Member
		serve := func(slowDuration time.Duration) int {
			got := 0
			for index := range 500 {
				clock.now = clock.now.Add(20 * time.Millisecond)
				member := take(t, pool, Criteria{PrefixHash: uint64(1 + index)})
				if slow == nil {
					slow = member
				}
				duration := 100 * time.Millisecond
				if member == slow {
					duration = slowDuration
					got++
				}
				pool.Release(member, Success, duration)
			}
			return got
		}
		require.Less(t, serve(time.Second), 60, policy)
		serve(100 * time.Millisecond)
		require.InDelta(t, 100, serve(100*time.Millisecond), 50, policy)
	}
}

// share returns how many of 100 attempts, one at a time, the member gets.
func share(t *testing.T, pool *Pool, member *Member) int {
	t.Helper()
	got := 0
	for range 100 {
		taken := take(t, pool, Criteria{})
		if taken == member {
			got++
		}
		pool.Release(taken, Success, time.Second)
	}
	return got
}

func TestLimitFollowsLatencyAndReports(t *testing.T) {
	pool, clock := newTestPool(t, Config{Limit: LimitConfig{Initial: 20, LatencyTarget: 300 * time.Millisecond}}, upstreams(1))
	var member *Member
	for range 20 {
		member = take(t, pool, Criteria{})
	}
	_, err := pool.Acquire(Criteria{})
	require.ErrorIs(t, err, ErrAtLimit)
	for range 3 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		pool.ObserveFirstPart(member, 500*time.Millisecond)
	}
	require.Equal(t, 18, member.allowance(clock.now), "one decrease in one latency")
	pool.Observe(member, exchange.LoadReport{Running: 20, Capacity: 10}, 20)
	require.Equal(t, 11, member.allowance(clock.now))
	pool.Observe(member, exchange.LoadReport{Running: 28, Capacity: 10}, 20)
	require.Equal(t, 3, member.allowance(clock.now))
	clock.now = clock.now.Add(time.Minute)
	require.Equal(t, 11, member.allowance(clock.now), "an old report of others' load counts no more")
}

func TestFailingMemberIsEjectedAndAllNever(t *testing.T) {
	pool, _ := newTestPool(t, Config{Policy: "round_robin"}, upstreams(3))
	fail := func(address string) {
		for range 60 {
			member := take(t, pool, Criteria{})
			verdict := Success
			if member.Address() == address {
				verdict = Failure
			}
			pool.Release(member, verdict, time.Millisecond)
		}
	}
	fail("none")
	list := pool.source
	fail(list[0].Address)
	require.Equal(t, 1, pool.EjectedCount())
	fail(list[1].Address)
	require.Len(t, pool.set.eligible, 1)
	fail(list[2].Address)
	require.Equal(t, 3, pool.EjectedCount())
	require.Len(t, pool.set.eligible, 3, "with all ejected, none is")
}

func TestProbeReturnsAnEjectedMember(t *testing.T) {
	var well atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !well.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	list := []configuration.Upstream{{Address: server.Listener.Addr().String()}}
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return list }})
	require.NoError(t, err)
	defer pool.Close()
	for range breakerFailures {
		pool.Release(take(t, pool, Criteria{}), Failure, time.Millisecond)
	}
	require.Equal(t, 1, pool.EjectedCount())
	monitor := NewMonitor(MonitorConfig{
		Pools: func() []*Pool { return []*Pool{pool} }, Logger: log.NewNopLogger(), PollInterval: 10 * time.Millisecond, PollRate: 1000,
	})
	defer monitor.Close()
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, 1, pool.EjectedCount())
	well.Store(true)
	require.Eventually(t, func() bool { return pool.EjectedCount() == 0 }, time.Minute, 5*time.Millisecond)
	require.Equal(t, defaultMinLimit, int(take(t, pool, Criteria{}).limiter.limit), "a member that came back begins small")
}

func TestMonitorReadsLoadReports(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, `{"running":3,"waiting":1,"capacity":8,"age_ms":100}`)
	}))
	defer server.Close()
	list := []configuration.Upstream{{Address: server.Listener.Addr().String()}}
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return list }})
	require.NoError(t, err)
	defer pool.Close()
	member := take(t, pool, Criteria{})
	var woken atomic.Int64
	monitor := NewMonitor(MonitorConfig{
		Pools: func() []*Pool { return []*Pool{pool} }, Logger: log.NewNopLogger(), PollInterval: 10 * time.Millisecond, PollRate: 1000,
		OnChange: func(*Pool) { woken.Add(1) },
	})
	defer monitor.Close()
	require.Eventually(t, func() bool { return woken.Load() > 0 }, time.Minute, time.Millisecond)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	require.InDelta(t, 8, member.capacity(), 0)
	require.Greater(t, member.foreign(time.Now()), 1.0)
}

// BenchmarkTake is the cost of a choice with the counting in and out, while a
// tenth of the room is in use.
func BenchmarkTake(b *testing.B) {
	for _, count := range []int{10, 400, 3800} {
		for _, policy := range Policies {
			b.Run(fmt.Sprintf("%s/%d", policy.Name, count), func(b *testing.B) {
				list := upstreams(count)
				pool, err := NewPool(Config{Policy: policy.Name, Upstreams: func(string) []configuration.Upstream { return list }})
				require.NoError(b, err)
				for range count * 3 {
					take(b, pool, Criteria{})
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

// BenchmarkRank is the cost of ranking the members for a prefix that was not met
// before.
func BenchmarkRank(b *testing.B) {
	list := upstreams(3800)
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return list }})
	require.NoError(b, err)
	for index := 0; b.Loop(); index++ {
		member, err := pool.Acquire(Criteria{PrefixHash: uint64(index + 1)})
		if err != nil {
			b.Fatal(err)
		}
		pool.Release(member, Success, time.Second)
	}
}

// BenchmarkReconsider is the cost of a monitor's look at all members.
func BenchmarkReconsider(b *testing.B) {
	list := upstreams(3800)
	pool, err := NewPool(Config{Upstreams: func(string) []configuration.Upstream { return list }})
	require.NoError(b, err)
	for b.Loop() {
		pool.reconsider()
		pool.due(time.Second)
	}
}

func ExamplePool() {
	list := []configuration.Upstream{{Address: "127.0.0.1:8000"}, {Address: "127.0.0.2:8000", Draining: true}}
	pool, err := NewPool(Config{Service: "advice", Upstreams: func(string) []configuration.Upstream { return list }})
	if err != nil {
		fmt.Println(err)
		return
	}
	member, err := pool.Acquire(Criteria{})
	fmt.Println(member.Address(), err)
	pool.Release(member, Success, time.Second)
	// Output: 127.0.0.1:8000 <nil>
}
