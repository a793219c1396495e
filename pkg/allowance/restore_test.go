package allowance

// A table that comes back from an older copy.

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// exhaust serves requests until no router can reserve any more, and returns the
// tokens spent or reserved.
func (fleet *fleet) exhaust(team string, requestTokens int64) int64 {
	for fleet.serve(1, team, requestTokens) > 0 {
	}
	fleet.reconnectAll()
	for fleet.serve(4, team, requestTokens) > 0 {
	}
	return fleet.spentOrReserved(team)
}

// requireNoLeak requires that the slices have the same grants as the holders.
func (fleet *fleet) requireNoLeak(t require.TestingT) {
	for team, prepaid := range fleet.prepaid {
		total := fleet.table.totalOfSlices(team)
		require.Equal(t, fleet.totalGranted(t, team), total.Granted, "tokens of %s leaked", team)
		require.LessOrEqual(t, total.Granted, prepaid)
		require.Zero(t, total.Moved)
	}
}

// TestBudgetIsKeptWhenTableIsRestored guards against tokens that are spent twice
// because the table came back from an older copy, in which the exchanges of some
// seconds are missing. All routers are alive, so no token may be held back either.
func TestBudgetIsKeptWhenTableIsRestored(t *testing.T) {
	const prepaid, requestTokens = 1_000_000, 1_000
	for _, holdersPerSlice := range []int{8, 2} {
		for _, lostRounds := range []int{1, 4, 12, 36} {
			fleet := newFleet(8, holdersPerSlice, map[string]int64{"cooks": prepaid})
			fleet.reconnectAll()
			fleet.serve(40, "cooks", requestTokens)
			copied := fleet.table.copy()
			fleet.serve(lostRounds, "cooks", requestTokens)
			fleet.advance(time.Second)
			fleet.table.restore(copied)
			spent := fleet.exhaust("cooks", requestTokens)
			require.LessOrEqual(t, spent, int64(prepaid), "%d holders a slice, %d rounds", holdersPerSlice, lostRounds)
			require.Greater(t, spent, int64(prepaid-prepaid/50), "%d holders a slice, %d rounds", holdersPerSlice, lostRounds)
			fleet.requireNoLeak(t)
		}
	}
}

// TestBudgetIsKeptWhenTableIsRestoredDuringRepair guards against a second restore
// that undoes a part of what the routers wrote again after the first.
func TestBudgetIsKeptWhenTableIsRestoredDuringRepair(t *testing.T) {
	const prepaid, requestTokens = 600_000, 1_000
	fleet := newFleet(6, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	fleet.serve(20, "cooks", requestTokens)
	first := fleet.table.copy()
	fleet.serve(10, "cooks", requestTokens)
	fleet.table.restore(first)
	for _, vm := range fleet.vms[:3] {
		vm.step()
	}
	duringRepair := fleet.table.copy()
	for _, vm := range fleet.vms {
		vm.step()
		vm.reserveWithExchange("cooks", requestTokens)
	}
	fleet.table.restore(duringRepair)
	require.LessOrEqual(t, fleet.exhaust("cooks", requestTokens), int64(prepaid))
	fleet.requireNoLeak(t)
}

// TestLateCommitOfEarlierEraChangesNothing guards against a commit that was sent
// before a restore and is applied after it, because the versions in its conditions
// were given out again to other rows.
func TestLateCommitOfEarlierEraChangesNothing(t *testing.T) {
	for steps := range 40 {
		fleet := newFleet(1, 8, map[string]int64{"cooks": 100_000})
		fleet.reconnectAll()
		vm := fleet.vms[0]
		copied := fleet.table.copy()
		fleet.serve(3, "cooks", 1_000)
		vm.tableClient.mode = modeApplyLater
		vm.keeper.nextExchangeAt = time.Time{}
		vm.step()
		vm.tableClient.mode = modeAnswer
		fleet.table.restore(copied)
		for range steps { // one of these numbers leads to the versions of the late commit
			vm.step()
		}
		before := maps.Clone(fleet.table.items)
		fleet.table.applyDelayed()
		if steps > 1 {
			require.Equal(t, before, fleet.table.items, "%d steps", steps)
		}
	}
}

// TestCommitAcrossRestoreIsNotTrusted guards against tokens taken by an exchange that
// was sent before a restore and met the copy, in which the exchanges of others are
// missing.
func TestCommitAcrossRestoreIsNotTrusted(t *testing.T) {
	const prepaid = 100_000
	fleet := newFleet(2, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	first, second := fleet.vms[0], fleet.vms[1]
	copied := fleet.table.copy()
	require.True(t, second.reserveWithExchange("cooks", 60_000), "taken in the seconds that are lost")
	first.tableClient.beforeCommit = func() {
		first.tableClient.beforeCommit = nil
		fleet.table.restore(copied)
	}
	first.reserveWithExchange("cooks", 60_000)
	require.LessOrEqual(t, fleet.spentOrReserved("cooks"), int64(prepaid))
	require.LessOrEqual(t, fleet.exhaust("cooks", 1_000), int64(prepaid))
	fleet.requireNoLeak(t)
}

// TestBudgetIsKeptWhenRouterIsCutOffDuringRestore guards against granting tokens that
// a router took in the lost seconds, while it is cut off and can't say so.
func TestBudgetIsKeptWhenRouterIsCutOffDuringRestore(t *testing.T) {
	const prepaid, requestTokens = 500_000, 1_000
	for _, roundsCutOffBefore := range []int{0, 2, 20} {
		fleet := newFleet(6, 8, map[string]int64{"cooks": prepaid})
		fleet.reconnectAll()
		fleet.serve(20, "cooks", requestTokens)
		copied := fleet.table.copy()
		fleet.serve(20, "cooks", requestTokens)
		cutOff := fleet.vms[0]
		cutOff.tableClient.mode = modeNoAnswer
		fleet.serve(roundsCutOffBefore, "cooks", requestTokens)
		fleet.table.restore(copied)
		require.LessOrEqual(t, fleet.exhaust("cooks", requestTokens), int64(prepaid), "cut off %d rounds before", roundsCutOffBefore)
		fleet.requireNoLeak(t)
	}
}

// TestBudgetIsKeptWhenRouterDiesDuringRestore guards against tokens that a router
// spent in the lost seconds before it was killed. Its successor knows only the copy,
// the others what the slice stated of it.
func TestBudgetIsKeptWhenRouterDiesDuringRestore(t *testing.T) {
	const prepaid, requestTokens = 500_000, 1_000
	for _, othersFirst := range []bool{true, false} {
		fleet := newFleet(6, 8, map[string]int64{"cooks": prepaid})
		fleet.reconnectAll()
		fleet.serve(20, "cooks", requestTokens)
		copied := fleet.table.copy()
		fleet.serve(24, "cooks", requestTokens)
		spentBefore := fleet.spentOrReserved("cooks")
		fleet.advance(time.Second)
		fleet.startProcess(fleet.vms[0])
		fleet.table.restore(copied)
		if othersFirst {
			for _, vm := range fleet.vms[1:] {
				vm.step()
			}
		}
		fleet.reconnectAll()
		charged := fleet.table.totalOfSlices("cooks").Charged
		require.GreaterOrEqual(t, charged, spentBefore, "others first: %v", othersFirst)
		require.LessOrEqual(t, charged, spentBefore+prepaid/10, "others first: %v", othersFirst)
		require.LessOrEqual(t, fleet.exhaust("cooks", requestTokens), int64(prepaid))
		fleet.requireNoLeak(t)
	}
}

// TestBudgetIsKeptWhenAllRoutersDieInLostSeconds guards against counting nothing of
// what was spent in the lost seconds when no router is left that knows it.
func TestBudgetIsKeptWhenAllRoutersDieInLostSeconds(t *testing.T) {
	const prepaid, requestTokens = 500_000, 1_000
	fleet := newFleet(6, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	fleet.serve(20, "cooks", requestTokens)
	copied := fleet.table.copy()
	fleet.serve(24, "cooks", requestTokens)
	spentBefore := fleet.spentOrReserved("cooks")
	fleet.table.restore(copied)
	fleet.advance(time.Second)
	for _, vm := range fleet.vms {
		fleet.startProcess(vm)
	}
	fleet.reconnectAll()
	require.GreaterOrEqual(t, fleet.table.totalOfSlices("cooks").Charged, spentBefore)
	require.LessOrEqual(t, fleet.exhaust("cooks", requestTokens), int64(prepaid))
}

// TestRestartWithoutLossDeclaresNothing guards against taking a table that was only
// away, or whose routers were restarted, for one that lost writes.
func TestRestartWithoutLossDeclaresNothing(t *testing.T) {
	fleet := newFleet(4, 8, map[string]int64{"cooks": 200_000})
	fleet.reconnectAll()
	fleet.serve(8, "cooks", 1_000)
	for _, vm := range fleet.vms {
		vm.tableClient.mode = modeNoAnswer
	}
	fleet.serve(8, "cooks", 1_000)
	fleet.startProcess(fleet.vms[0])
	fleet.reconnectAll()
	for _, vm := range fleet.vms {
		require.Zero(t, vm.keeper.RestoreStatistics())
	}
	fleet.requireInvariants(t)
}

// TestSplitIsRepeatedWhenItIsUndone guards against another number of slices after a
// restore that undid the split of the pool.
func TestSplitIsRepeatedWhenItIsUndone(t *testing.T) {
	const prepaid, requestTokens = 200_000, 1_000
	fleet := newFleet(6, 2, map[string]int64{"cooks": prepaid})
	copied := fleet.table.copy()
	fleet.reconnectAll()
	fleet.serve(12, "cooks", requestTokens)
	count := fleet.table.items[platform.Key{Partition: poolPartition, Sort: countSortKey}]
	fleet.table.restore(copied)
	for _, vm := range fleet.vms {
		vm.keeper.config.HoldersPerSlice = 3
	}
	require.LessOrEqual(t, fleet.exhaust("cooks", requestTokens), int64(prepaid))
	require.Equal(t, count.Value, fleet.table.items[count.Key].Value)
	fleet.requireNoLeak(t)
}

// TestRandomRestoresDoNotOverspend guards against budgets that are overspent, or
// tokens that leak, when the table is restored at any moment, several times, with
// lost and late commits around it. All routers are alive and connected when the
// table is back; they have lost answers, were cut off or paused before.
func TestRandomRestoresDoNotOverspend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(4, rapid.SampledFrom([]int{2, 8}).Draw(t, "holders per slice"), map[string]int64{"cooks": 40_000, "shops": 9_000})
		team := rapid.SampledFrom([]string{"cooks", "shops"})
		pick := func() *vm { return rapid.SampledFrom(fleet.vms).Draw(t, "vm") }
		fleet.reconnectAll()
		copies := []tableCopy{fleet.table.copy()}
		actions := map[string]func(){
			"round": func() {
				for _, vm := range fleet.vms {
					vm.step()
				}
				fleet.advance(defaultWriteInterval)
			},
			"step": func() { pick().step() },
			"mode": func() { pick().tableClient.mode = rapid.SampledFrom(randomModes).Draw(t, "mode") },
			"mend": func() { pick().tableClient.mode = modeAnswer },
			"late": func() { fleet.table.applyDelayed() },
			"copy": func() { copies = append(copies, fleet.table.copy()) },
			"restore": func() {
				number := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				fleet.table.restore(copies[number])
				copies = append(copies[:number+1], fleet.table.copy())
				for _, vm := range fleet.vms {
					vm.tableClient.mode, vm.frozen = modeAnswer, false
				}
				for range 2 { // the commits of one round may conflict
					for _, vm := range fleet.vms {
						vm.step()
					}
				}
			},
			"topup": func() { fleet.prepaid[team.Draw(t, "team")] += 500 },
			"reserve": func() {
				pick().reserveWithExchange(team.Draw(t, "team"), int64(rapid.IntRange(1, 4000).Draw(t, "tokens")))
			},
			"settle": func() { fleet.settle(pick(), int64(rapid.IntRange(0, 4000).Draw(t, "used"))) },
		}
		names := slices.Sorted(maps.Keys(actions))
		for range actionsPerRun {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
			for teamName, prepaid := range fleet.prepaid {
				require.LessOrEqual(t, fleet.spentOrReserved(teamName), prepaid, "overspent %s", teamName)
			}
		}
		fleet.reconnectAll()
		fleet.requireNoLeak(t)
	})
}
