package allowance

// Patterns of load and faults that occur in production, one test for each.

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// TestBudgetSurvivesCrashOfAllRouters guards against losing unspent tokens in a
// power failure of the whole fleet: all routers are killed while they hold most
// of the budget.
func TestBudgetSurvivesCrashOfAllRouters(t *testing.T) {
	const prepaid, requestTokens = 1_000_000, 1_000 // spent in about 30 s
	fleet := newFleet(8, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	for range 60 {
		for _, vm := range fleet.vms {
			require.True(t, vm.reserveWithExchange("cooks", requestTokens))
			fleet.settle(vm, requestTokens)
			vm.step()
		}
		fleet.advance(defaultWriteInterval)
	}
	remainingBefore := prepaid - fleet.spentOrReserved("cooks")
	fleet.advance(1500 * time.Millisecond) // the time until the next processes start
	for _, vm := range fleet.vms {
		fleet.startProcess(vm)
	}
	fleet.reconnectAll()
	remainingAfter := prepaid - fleet.table.totalOfSlices("cooks").Charged
	require.Greater(t, remainingAfter, remainingBefore-remainingBefore/5, "at least four fifths of the remaining tokens are still available")
	require.LessOrEqual(t, remainingAfter, remainingBefore)
}

// TestSpendIsPublishedWhilePoolIsOverloaded guards against counting unspent
// tokens as spent when a network partition ends while the store is slow: the
// table rejects writes of the pool until the router is replaced, and only the
// holder's row can be written.
func TestSpendIsPublishedWhilePoolIsOverloaded(t *testing.T) {
	const prepaid, requestTokens = 400_000, 1_000
	fleet := newFleet(1, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	vm := fleet.vms[0]
	vm.tableClient.mode = modeNoAnswer
	fleet.advance(8 * time.Second)
	vm.step()
	vm.tableClient.mode = modePoolOverloaded
	for range 4 {
		vm.step()
		vm.reserve("cooks", requestTokens)
		fleet.settle(vm, requestTokens)
		fleet.advance(defaultWriteInterval)
	}
	spent := fleet.spentOrReserved("cooks")
	fleet.startProcess(vm)
	fleet.reconnectAll()
	require.LessOrEqual(t, fleet.table.totalOfSlices("cooks").Charged-spent, int64(prepaid/10))
}

// TestShutdownWhilePoolIsOverloadedLosesNothing guards against losing tokens in
// a rolling restart while the store is slow: the router can't return its tokens
// before it stops.
func TestShutdownWhilePoolIsOverloadedLosesNothing(t *testing.T) {
	fleet := newFleet(1, 8, map[string]int64{"cooks": 100_000})
	fleet.reconnectAll()
	vm := fleet.vms[0]
	vm.tableClient.mode = modePoolOverloaded
	vm.keeper.cancel = func() {}
	close(vm.keeper.done)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, vm.keeper.Close(ctx))
	fleet.advance(10 * time.Second)
	fleet.startProcess(vm)
	fleet.reconnectAll()
	require.Zero(t, fleet.table.totalOfSlices("cooks").Charged)
}

// TestLeavingRouterReturnsTokensBeforeItStops guards against tokens that become
// unusable when a network partition begins during a rolling restart, while one
// team's callers all use the router that stops.
func TestLeavingRouterReturnsTokensBeforeItStops(t *testing.T) {
	const prepaid, requestTokens = 1_000_000, 5_000
	fleet := newFleet(4, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	vm := fleet.vms[0]
	for range 40 {
		require.True(t, vm.reserveWithExchange("cooks", requestTokens))
		fleet.settle(vm, requestTokens)
		for _, other := range fleet.vms {
			other.step()
		}
		fleet.advance(defaultWriteInterval)
	}
	vm.keeper.Leave()
	vm.keeper.delayUntilUrgentStep()
	vm.step()
	vm.tableClient.mode = modeNoAnswer
	require.LessOrEqual(t, vm.keeper.holder.unspent("cooks"), int64(prepaid/10))
	require.True(t, vm.reserve("cooks", requestTokens))
}

// TestRequestWaitsForSpendRateInPartition guards against refused requests in
// the first seconds of a network partition: a request that the base doesn't
// cover waits if the spend rate soon makes its tokens available, and is refused
// otherwise.
func TestRequestWaitsForSpendRateInPartition(t *testing.T) {
	const requestTokens = 1_000
	fleet := newFleet(1, 8, map[string]int64{"cooks": 60_000})
	fleet.reconnectAll()
	vm := fleet.vms[0]
	vm.tableClient.mode = modeNoAnswer
	for vm.reserve("cooks", requestTokens) {
		fleet.settle(vm, requestTokens)
	}
	_, withinLimit := vm.keeper.holder.timeUntilAvailable("cooks", requestTokens, vm.localTime, time.Millisecond)
	require.False(t, withinLimit)
	fleet.advance(earlyPeriod)
	for vm.reserve("cooks", requestTokens) {
		fleet.settle(vm, requestTokens)
	}
	wait, withinLimit := vm.keeper.holder.timeUntilAvailable("cooks", requestTokens, vm.localTime, time.Second)
	require.True(t, withinLimit)
	fleet.advance(wait)
	require.True(t, vm.reserve("cooks", requestTokens))
}

// TestHotTeamIsServedThroughPartition guards against refusing a team with high
// demand during a network partition: every router can spend its part of the
// budget without the table.
func TestHotTeamIsServedThroughPartition(t *testing.T) {
	const prepaid, requestTokens = 800_000, 5_000
	fleet := newFleet(8, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	for _, vm := range fleet.vms {
		require.True(t, vm.reserveWithExchange("cooks", requestTokens))
		fleet.settle(vm, requestTokens)
		vm.step()
		vm.tableClient.mode = modeNoAnswer
	}
	served := 0
	for range 36 { // 9 s in rounds of 250 ms, each with one request to every router
		for _, vm := range fleet.vms {
			if vm.reserve("cooks", requestTokens) {
				fleet.settle(vm, requestTokens)
				served++
			}
		}
		fleet.advance(250 * time.Millisecond)
	}
	require.LessOrEqual(t, served*requestTokens, prepaid)
	require.GreaterOrEqual(t, served*requestTokens, prepaid/2, "at least half of the budget is usable in a partition")
}

// TestStartMeetsConflictOnPoolRow guards against a router that doesn't start
// when a whole fleet starts at once: the first commit of a holder without a row
// meets a conflict on the row of its slice.
func TestStartMeetsConflictOnPoolRow(t *testing.T) {
	fleet := newFleet(2, 8, map[string]int64{"cooks": 100_000})
	firstVM, secondVM := fleet.vms[0], fleet.vms[1]
	for range 3 {
		firstVM.step()
		fleet.advance(time.Second)
	}
	outdatedPool, err := newPool([]platform.Item{fleet.table.items[sliceKey(0, 0)]}, secondVM.name)
	require.NoError(t, err)
	outdatedPool.items[0].Version-- // the version before the first holder's exchange
	secondVM.keeper.pool = outdatedPool
	secondVM.step()
	require.True(t, secondVM.keeper.holder.HasPublished())
}

// TestCloseReturnsGrantsAfterLostAnswer guards against grants that are not
// returned in a graceful stop because the answer to an earlier commit was lost.
func TestCloseReturnsGrantsAfterLostAnswer(t *testing.T) {
	fleet := newFleet(1, 8, map[string]int64{"cooks": 100_000})
	fleet.reconnectAll()
	vm := fleet.vms[0]
	vm.tableClient.mode = modeLoseAnswer
	vm.step()
	vm.tableClient.mode = modeAnswer
	vm.keeper.cancel = func() {}
	close(vm.keeper.done)
	require.NoError(t, vm.keeper.Close(t.Context()))
	require.Zero(t, fleet.table.totalOfSlices("cooks").Granted)
}

// TestReturnedTokensAreNotSpentAfterLostAnswer guards against overspend when
// the answer to a commit that returns tokens is lost: another holder may have
// been granted them already.
func TestReturnedTokensAreNotSpentAfterLostAnswer(t *testing.T) {
	fleet := newFleet(2, 8, map[string]int64{"cooks": 100_000})
	fleet.reconnectAll()
	vm := fleet.vms[0]
	require.True(t, vm.reserveWithExchange("cooks", 500))
	fleet.settle(vm, 500)
	vm.step()
	fleet.prepaid["cooks"] = 2_000
	vm.tableClient.mode = modeLoseAnswer
	vm.keeper.nextExchangeAt = time.Time{}
	vm.step()
	fleet.advance(time.Minute)
	for vm.reserve("cooks", 500) {
		fleet.settle(vm, 500)
	}
	row, err := decode[HolderRow](fleet.table.items[holderKey(vm.name, 0)].Value)
	require.NoError(t, err)
	require.Less(t, row.Teams["cooks"].Granted, int64(10_000), "the row that returns tokens is in the table")
	require.LessOrEqual(t, vm.keeper.holder.account("cooks").charged(), row.Teams["cooks"].Granted)
}

// TestSlowHolderExchangesInLargeFleet guards against a holder that never
// completes an exchange in a large fleet. Its VM's link is saturated, so that
// its calls take longer than the others need to change the pool.
func TestSlowHolderExchangesInLargeFleet(t *testing.T) {
	fleet := newFleet(30, 0, map[string]int64{"cooks": 10_000_000})
	fleet.reconnectAll()
	slow := fleet.vms[0]
	slow.keeper.requestExchange("cooks", 400_000)
	turns := 0
	for slow.keeper.holder.unspent("cooks") < 400_000 {
		turns++
		require.Less(t, turns, 40, "one of the slow holder's exchanges succeeds")
		slow.keeper.nextExchangeAt = time.Time{}
		slow.tableClient.beforeCommit = func() {
			for i := range 10 { // a third of the other holders change the pool first
				vm := fleet.vms[1+(turns*7+i)%29]
				vm.keeper.nextExchangeAt = time.Time{}
				vm.step()
			}
		}
		slow.step()
		fleet.advance(defaultExchangeInterval)
	}
}

// TestTopUpIsUsedAfterPartitionWithHotTeam guards against a top-up that stays
// unused after a network partition of 9 s. A team with high demand uses up its
// budget in the partition, and only the connected routers receive the top-up.
func TestTopUpIsUsedAfterPartitionWithHotTeam(t *testing.T) {
	const prepaid, topUp, requestTokens = 400_000, 200_000, 5_000
	fleet := newFleet(8, 0, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	fleet.serve(8, "cooks", requestTokens)
	for _, vm := range fleet.vms[:6] {
		vm.tableClient.mode = modeNoAnswer
	}
	fleet.serve(18, "cooks", requestTokens)
	fleet.prepaid["cooks"] += topUp
	fleet.serve(18, "cooks", requestTokens)
	require.LessOrEqual(t, fleet.spentOrReserved("cooks"), int64(prepaid+topUp))
	fleet.reconnectAll()
	spentBefore := fleet.spentOrReserved("cooks")
	fleet.serve(40, "cooks", requestTokens)
	remaining := prepaid + topUp - spentBefore
	require.LessOrEqual(t, fleet.spentOrReserved("cooks"), int64(prepaid+topUp))
	require.GreaterOrEqual(t, fleet.spentOrReserved("cooks")-spentBefore, remaining*9/10, "nine tenths of the remaining tokens are served after the partition")
}

// TestNearlySpentBudgetSurvivesCrashOfAllRouters guards against losing the rest
// of a budget of which 85 % are spent, when a power failure stops all routers.
func TestNearlySpentBudgetSurvivesCrashOfAllRouters(t *testing.T) {
	const prepaid, requestTokens = 1_000_000, 2_000
	fleet := newFleet(8, 0, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	for fleet.spentOrReserved("cooks") < prepaid*85/100 {
		fleet.serve(1, "cooks", requestTokens)
	}
	remaining := prepaid - fleet.spentOrReserved("cooks")
	fleet.advance(1200 * time.Millisecond) // the time until the next processes start
	for _, vm := range fleet.vms {
		fleet.startProcess(vm)
	}
	fleet.reconnectAll()
	spentBefore := fleet.spentOrReserved("cooks")
	fleet.serve(100, "cooks", requestTokens)
	require.LessOrEqual(t, fleet.spentOrReserved("cooks"), int64(prepaid))
	require.GreaterOrEqual(t, fleet.spentOrReserved("cooks")-spentBefore, remaining/4, "a quarter of the remaining tokens is served after the crash")
}

// TestRouterIsNotReadyBeforeItsFirstExchange guards against a router that
// reports ready without tokens when a whole fleet starts at once: it has read
// the pool, but its first exchange fails.
func TestRouterIsNotReadyBeforeItsFirstExchange(t *testing.T) {
	fleet := newFleet(1, 8, map[string]int64{"cooks": 100_000})
	vm := fleet.vms[0]
	vm.step()
	vm.tableClient.mode = modePoolOverloaded
	fleet.advance(defaultExchangeInterval)
	vm.step()
	require.True(t, vm.keeper.holder.HasPublished())
	require.False(t, vm.keeper.Ready())
	fleet.reconnectAll()
	require.True(t, vm.keeper.Ready())
}

// TestOddSliceCountEndsNoRouter guards against a router that ends at each start because
// another writer left an impossible number of slices.
func TestOddSliceCountEndsNoRouter(t *testing.T) {
	for _, odd := range []string{`{"slices":-1}`, `{"slices":1000000000000}`, `{"slices":1e300}`, `[`} {
		fleet := newFleet(1, 8, map[string]int64{"cooks": 10_000})
		key := countKey()
		fleet.table.items[key] = platform.Item{Key: key, Value: []byte(odd), Version: 1}
		require.NotPanics(t, fleet.reconnectAll, odd)
		require.False(t, fleet.vms[0].reserve("cooks", 1), odd)
		delete(fleet.table.items, key)
		fleet.reconnectAll()
		require.True(t, fleet.vms[0].reserveWithExchange("cooks", 1), odd)
	}
}

// TestStandbyHolderStaysConnected guards against refusals for want of tokens at a router
// that callers are not directed to and that writes its row seldom: it is connected
// between two writes, and takes tokens for a request at once.
func TestStandbyHolderStaysConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &tableClient{table: newMemoryTable(), mode: modeAnswer}
		table.table.now = time.Hour
		table.table.items[countKey()] = platform.Item{Key: countKey(), Value: encode(sliceCountRow{Slices: 8}), Version: 1}
		var commits atomic.Int64
		table.beforeCommit = func() { commits.Add(1) }
		keeper := NewKeeper(KeeperConfig{
			Table: table, Name: "standby", Process: "standby-1", Logger: log.NewNopLogger(), StartedAt: time.Now(), SplitDelay: time.Nanosecond,
			Prepaid: func() map[string]int64 { return map[string]int64{"cooks": 100_000} },
			Holders: func() (int, bool) { return 25, false },
		})
		time.Sleep(time.Minute)
		require.Less(t, commits.Load(), int64(30), "an empty row is written seldom")
		for range 50 {
			time.Sleep(130 * time.Millisecond)
			require.True(t, keeper.connected())
		}
		reservation, shortage := keeper.Reserve(t.Context(), "cooks", 1_000)
		require.Empty(t, shortage)
		keeper.Holder().Settle(reservation, 900)
		time.Sleep(10 * time.Second)
		require.NoError(t, keeper.Close(t.Context()))
	})
}

// TestKnownShortageCausesNoExchanges guards against a pool that is busy with exchanges
// which can't help, when a team sends many requests and other holders have the rest of
// its budget: the requests are refused at once, and those of other teams are served.
func TestKnownShortageCausesNoExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		table.now = time.Hour
		prepaid := map[string]int64{"cooks": 100_000, "shops": 100_000}
		start := func(name string, client *tableClient) *Keeper {
			return NewKeeper(KeeperConfig{
				Table: client, Name: name, Process: name + "-1", Logger: log.NewNopLogger(), StartedAt: time.Now(), SplitDelay: time.Nanosecond,
				Prepaid: func() map[string]int64 { return prepaid }, Holders: func() (int, bool) { return 2, true },
			})
		}
		otherClient := &tableClient{table: table, mode: modeAnswer}
		other := start("other", otherClient)
		time.Sleep(2 * time.Second)
		reservation, shortage := other.Reserve(t.Context(), "cooks", 60_000)
		require.Empty(t, shortage)
		other.Holder().Settle(reservation, 0)
		otherClient.setMode(modeNoAnswer) // it is cut off, and keeps what it holds
		var commits atomic.Int64
		short := start("short", &tableClient{table: table, mode: modeAnswer, beforeCommit: func() { commits.Add(1) }})
		time.Sleep(2 * time.Second)
		commits.Store(0)
		for range 200 {
			startedAt := time.Now()
			_, shortage := short.Reserve(t.Context(), "cooks", 50_000)
			require.Equal(t, Elsewhere, shortage)
			require.Less(t, time.Since(startedAt), maxExchangeWait)
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, commits.Load(), int64(25), "in two seconds, with the regular ones")
		_, shortage = short.Reserve(t.Context(), "shops", 900)
		require.Empty(t, shortage)
		otherClient.setMode(modeAnswer)
		time.Sleep(4 * time.Second)
		_, shortage = short.Reserve(t.Context(), "cooks", 50_000)
		require.Empty(t, shortage, "the other holder has returned tokens")
		require.NoError(t, short.Close(t.Context()))
		require.NoError(t, other.Close(t.Context()))
	})
}

// TestRestartOfStandbyRoutersLeavesThePoolAlone guards against a pool that is busy for
// seconds after a power failure of a large fleet, because each router exchanges once at
// its start, also the many that callers are not directed to and that left no tokens.
func TestRestartOfStandbyRoutersLeavesThePoolAlone(t *testing.T) {
	table := newMemoryTable()
	table.now = time.Hour
	table.items[countKey()] = platform.Item{Key: countKey(), Value: encode(sliceCountRow{Slices: 1}), Version: 1}
	start := func(number int, serving bool) *Keeper {
		client := &tableClient{table: table, mode: modeAnswer}
		name := fmt.Sprintf("standby-%d", number)
		return newKeeper(KeeperConfig{
			Table: client, Name: name, Process: fmt.Sprintf("%s-%d", name, table.version), Logger: log.NewNopLogger(), StartedAt: time.Now(),
			Prepaid: func() map[string]int64 { return map[string]int64{"cooks": 100_000} },
			Holders: func() (int, bool) { return 6, serving },
		})
	}
	holder := start(0, true)
	holder.step(t.Context())
	holder.step(t.Context())
	require.Positive(t, holder.holder.unspent("cooks"))
	for number := range 60 {
		keeper := start(number, false)
		before := table.items[sliceKey(0, 0)].Version
		for range 3 {
			keeper.step(t.Context())
		}
		require.True(t, keeper.Ready(), "%d", number)
		require.Zero(t, keeper.holder.unspent("cooks"), "what the predecessor left goes back")
		exchanged := table.items[sliceKey(0, 0)].Version > before
		require.Equal(t, number == 0, exchanged, "%d", number)
	}
}
