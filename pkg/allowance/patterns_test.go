package allowance

// The loads and troubles that users meet, one test a pattern.

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// TestPacedGrantsOutliveTheLossOfAllRouters shows what a team can still spend
// after all routers were killed with most of the budget in their hands: the
// pattern of a power failure of the whole fleet.
func TestPacedGrantsOutliveTheLossOfAllRouters(t *testing.T) {
	const prepaid, request = 1_000_000, 1_000 // lasts about 30 s
	fleet := newFleet(8, 8, map[string]int64{"cooks": prepaid})
	fleet.quiesce()
	for range 60 {
		for _, vm := range fleet.vms {
			require.True(t, vm.ask("cooks", request))
			fleet.settle(vm, request)
			vm.step()
		}
		fleet.pass(defaultSettleInterval)
	}
	before := prepaid - fleet.committed("cooks")
	fleet.pass(1500 * time.Millisecond) // the time to the start of the next processes
	for _, vm := range fleet.vms {
		fleet.start(vm)
	}
	fleet.quiesce()
	left := prepaid - fleet.table.share("cooks").Charged
	require.Greater(t, left, before-before/5, "at least four fifths of what was left are still there")
	require.LessOrEqual(t, left, before)
}

// TestSpendIsKnownBesideACrowdedPool is the pattern of a cut that ends while the store is slow: the
// pool's partition turns calls away for longer than the router lives.
func TestSpendIsKnownBesideACrowdedPool(t *testing.T) {
	const prepaid, request = 400_000, 1_000
	fleet := newFleet(1, 8, map[string]int64{"cooks": prepaid})
	fleet.quiesce()
	vm := fleet.vms[0]
	vm.path.mode = silent
	fleet.pass(8 * time.Second)
	vm.step()
	vm.path.mode = crowded
	for range 4 {
		vm.step()
		vm.reserve("cooks", request)
		fleet.settle(vm, request)
		fleet.pass(defaultSettleInterval)
	}
	spent := fleet.committed("cooks")
	fleet.start(vm)
	fleet.quiesce()
	require.LessOrEqual(t, fleet.table.share("cooks").Charged-spent, int64(prepaid/10))
}

// TestStopBesideACrowdedPoolCostsNothing is the pattern of a rolling restart while the store is slow:
// what can't be given back in time is not lost.
func TestStopBesideACrowdedPoolCostsNothing(t *testing.T) {
	fleet := newFleet(1, 8, map[string]int64{"cooks": 100_000})
	fleet.quiesce()
	vm := fleet.vms[0]
	vm.path.mode = crowded
	vm.keeper.cancel = func() {}
	close(vm.keeper.done)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, vm.keeper.Close(ctx))
	fleet.pass(10 * time.Second)
	fleet.start(vm)
	fleet.quiesce()
	require.Zero(t, fleet.table.share("cooks").Charged)
}

// TestLeavingRouterGivesBackBeforeItStops is the pattern of a rolling restart that meets a cut: one team's
// callers all keep to the router that stops.
func TestLeavingRouterGivesBackBeforeItStops(t *testing.T) {
	const prepaid, request = 1_000_000, 5_000
	fleet := newFleet(4, 8, map[string]int64{"cooks": prepaid})
	fleet.quiesce()
	vm := fleet.vms[0]
	for range 40 {
		require.True(t, vm.ask("cooks", request))
		fleet.settle(vm, request)
		for _, other := range fleet.vms {
			other.step()
		}
		fleet.pass(defaultSettleInterval)
	}
	vm.keeper.Leave()
	vm.keeper.untilUrgent()
	vm.step()
	vm.path.mode = silent
	require.LessOrEqual(t, vm.keeper.holder.unspent("cooks"), int64(prepaid/10))
	require.True(t, vm.reserve("cooks", request))
}

// TestCutsNextRequestWaitsForThePace is the pattern of a cut's first seconds: a request that the base
// doesn't cover waits for the pace when that is near, and is refused when it is not.
func TestCutsNextRequestWaitsForThePace(t *testing.T) {
	const request = 1_000
	fleet := newFleet(1, 8, map[string]int64{"cooks": 60_000})
	fleet.quiesce()
	vm := fleet.vms[0]
	vm.path.mode = silent
	for vm.reserve("cooks", request) {
		fleet.settle(vm, request)
	}
	_, soon := vm.keeper.holder.until("cooks", request, vm.local, time.Millisecond)
	require.False(t, soon)
	fleet.pass(earlyTime)
	for vm.reserve("cooks", request) {
		fleet.settle(vm, request)
	}
	wait, soon := vm.keeper.holder.until("cooks", request, vm.local, time.Second)
	require.True(t, soon)
	fleet.pass(wait)
	require.True(t, vm.reserve("cooks", request))
}

// TestSharesServeAHotTeamThroughACut is the pattern of a cut with one hot team: every router can
// spend its part of the budget without the table.
func TestSharesServeAHotTeamThroughACut(t *testing.T) {
	const prepaid, request = 800_000, 5_000
	fleet := newFleet(8, 8, map[string]int64{"cooks": prepaid})
	fleet.quiesce()
	for _, vm := range fleet.vms {
		require.True(t, vm.ask("cooks", request))
		fleet.settle(vm, request)
		vm.step()
		vm.path.mode = silent
	}
	served := 0
	for range 36 { // 9 s of 250 ms, each with a request at every router
		for _, vm := range fleet.vms {
			if vm.reserve("cooks", request) {
				fleet.settle(vm, request)
				served++
			}
		}
		fleet.pass(250 * time.Millisecond)
	}
	require.LessOrEqual(t, served*request, prepaid)
	require.GreaterOrEqual(t, served*request, prepaid/2, "a cut leaves more than half of the budget usable")
}

// TestStartBesideABusyPool is the pattern of a whole fleet that starts at once:
// a holder that has no row yet meets conflicts on the pool row.
func TestStartBesideABusyPool(t *testing.T) {
	fleet := newFleet(2, 8, map[string]int64{"cooks": 100_000})
	first, second := fleet.vms[0], fleet.vms[1]
	for range 3 {
		first.step()
		fleet.pass(time.Second)
	}
	stale, err := newPool([]platform.Item{fleet.table.items[sliceKey(0)]}, second.name)
	require.NoError(t, err)
	stale.items[0].Version-- // as it was before the first holder's exchange
	second.keeper.seen = stale
	second.step()
	require.True(t, second.keeper.holder.Started())
}

// TestCloseReturnsGrantsAfterALostAnswer is the pattern of a graceful stop
// while a commit of the holder had no answer.
func TestCloseReturnsGrantsAfterALostAnswer(t *testing.T) {
	fleet := newFleet(1, 8, map[string]int64{"cooks": 100_000})
	fleet.quiesce()
	vm := fleet.vms[0]
	vm.path.mode = loses
	vm.step()
	vm.path.mode = answers
	vm.keeper.cancel = func() {}
	close(vm.keeper.done)
	require.NoError(t, vm.keeper.Close(t.Context()))
	require.Zero(t, fleet.table.share("cooks").Granted)
}

// TestGivenBackIsNotSpentAfterALostAnswer is the pattern of a holder that gives
// tokens back while the store's answers are lost: they may be another's already.
func TestGivenBackIsNotSpentAfterALostAnswer(t *testing.T) {
	fleet := newFleet(2, 8, map[string]int64{"cooks": 100_000})
	fleet.quiesce()
	vm := fleet.vms[0]
	require.True(t, vm.ask("cooks", 500))
	fleet.settle(vm, 500)
	vm.step()
	fleet.prepaid["cooks"] = 2_000
	vm.path.mode = loses
	vm.keeper.exchangeAt = time.Time{}
	vm.step()
	fleet.pass(time.Minute)
	for vm.reserve("cooks", 500) {
		fleet.settle(vm, 500)
	}
	row, err := decode[Row](fleet.table.items[holderKey(vm.name)].Value)
	require.NoError(t, err)
	require.Less(t, row.Teams["cooks"].Granted, int64(10_000), "the row that gives back is in the table")
	require.LessOrEqual(t, vm.keeper.holder.team("cooks").charged(), row.Teams["cooks"].Granted)
}

// TestSlowHolderGetsItsTurn is the pattern of a small VM whose link is full, in a large fleet: its calls
// take longer than the others need for a change of the pool.
func TestSlowHolderGetsItsTurn(t *testing.T) {
	fleet := newFleet(30, 0, map[string]int64{"cooks": 10_000_000})
	fleet.quiesce()
	slow := fleet.vms[0]
	slow.keeper.want("cooks", 400_000)
	turns := 0
	for slow.keeper.holder.unspent("cooks") < 400_000 {
		turns++
		require.Less(t, turns, 40, "one of the slow holder's exchanges succeeds")
		slow.keeper.exchangeAt = time.Time{}
		slow.path.before = func() {
			for i := range 10 { // a third of the others meanwhile
				vm := fleet.vms[1+(turns*7+i)%29]
				vm.keeper.exchangeAt = time.Time{}
				vm.step()
			}
		}
		slow.step()
		fleet.pass(defaultExchangeInterval)
	}
}

// TestTopUpIsUsedAfterACutWithAHotTeam is the pattern of a cut of 9 s in which a hot team uses up its
// budget, and gets more that only the routers in touch hear of.
func TestTopUpIsUsedAfterACutWithAHotTeam(t *testing.T) {
	const prepaid, more, request = 400_000, 200_000, 5_000
	fleet := newFleet(8, 0, map[string]int64{"cooks": prepaid})
	fleet.quiesce()
	fleet.serve(8, "cooks", request)
	for _, vm := range fleet.vms[:6] {
		vm.path.mode = silent
	}
	fleet.serve(18, "cooks", request)
	fleet.prepaid["cooks"] += more
	fleet.serve(18, "cooks", request)
	require.LessOrEqual(t, fleet.committed("cooks"), int64(prepaid+more))
	fleet.quiesce()
	before := fleet.committed("cooks")
	fleet.serve(40, "cooks", request)
	left := prepaid + more - before
	require.LessOrEqual(t, fleet.committed("cooks"), int64(prepaid+more))
	require.GreaterOrEqual(t, fleet.committed("cooks")-before, left*9/10, "nine tenths of what was left are served after the cut")
}

// TestNearlySpentBudgetOutlivesTheLossOfAllRouters is the pattern of a power failure late in a day.
func TestNearlySpentBudgetOutlivesTheLossOfAllRouters(t *testing.T) {
	const prepaid, request = 1_000_000, 2_000
	fleet := newFleet(8, 0, map[string]int64{"cooks": prepaid})
	fleet.quiesce()
	for fleet.committed("cooks") < prepaid*85/100 {
		fleet.serve(1, "cooks", request)
	}
	left := prepaid - fleet.committed("cooks")
	fleet.pass(1200 * time.Millisecond) // the time to the start of the next processes
	for _, vm := range fleet.vms {
		fleet.start(vm)
	}
	fleet.quiesce()
	before := fleet.committed("cooks")
	fleet.serve(100, "cooks", request)
	require.LessOrEqual(t, fleet.committed("cooks"), int64(prepaid))
	require.GreaterOrEqual(t, fleet.committed("cooks")-before, left/4, "a quarter of what was left is served afterwards")
}

// TestRouterIsNotReadyBeforeItsFirstExchange is the pattern of a whole fleet that starts at once: the pool
// was read, and another router changed it first.
func TestRouterIsNotReadyBeforeItsFirstExchange(t *testing.T) {
	fleet := newFleet(1, 8, map[string]int64{"cooks": 100_000})
	vm := fleet.vms[0]
	vm.step()
	vm.path.mode = crowded
	fleet.pass(defaultExchangeInterval)
	vm.step()
	require.True(t, vm.keeper.holder.Started())
	require.False(t, vm.keeper.Ready())
	fleet.quiesce()
	require.True(t, vm.keeper.Ready())
}
