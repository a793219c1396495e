package allowance

// What a holder remembers, and what a successor finds, when the table is restored.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConflictAfterRestoreKeepsMemory guards against taking the copy's older slice,
// returned with a conflict, for what the holder knew before the restore, so that
// what a cut-off router took in the lost seconds is granted again.
func TestConflictAfterRestoreKeepsMemory(t *testing.T) {
	const prepaid = 500_000
	fleet := newFleet(2, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	copied := fleet.table.copy()
	fleet.advance(100 * time.Millisecond)
	first, cutOff := fleet.vms[0], fleet.vms[1]
	require.True(t, cutOff.reserveWithExchange("cooks", 250_000))
	fleet.advance(time.Second)
	for _, vm := range fleet.vms {
		vm.step()
	}
	cutOff.tableClient.mode = modeNoAnswer
	fleet.table.restore(copied)
	first.keeper.nextExchangeAt = time.Time{}
	first.step() // its exchange conflicts with the rows of the copy
	for range 20 {
		first.step()
		fleet.advance(defaultExchangeInterval)
	}
	for first.reserveWithExchange("cooks", 1_000) {
		fleet.advance(10 * time.Millisecond)
	}
	require.LessOrEqual(t, fleet.spentOrReserved("cooks"), int64(prepaid))
}

// TestSecondRestoreKeepsMemory guards against losing what a holder remembers of a
// cut-off one by a second restore to the same copy: after the holder has read the
// copy and written nothing, and after it has written its grants again.
func TestSecondRestoreKeepsMemory(t *testing.T) {
	const prepaid = 500_000
	for _, wroteBetween := range []bool{false, true} {
		fleet := newFleet(2, 8, map[string]int64{"cooks": prepaid})
		fleet.reconnectAll()
		copied := fleet.table.copy()
		fleet.advance(100 * time.Millisecond)
		first, cutOff := fleet.vms[0], fleet.vms[1]
		require.True(t, cutOff.reserveWithExchange("cooks", 250_000))
		fleet.advance(time.Second)
		for _, vm := range fleet.vms {
			vm.step()
		}
		cutOff.tableClient.mode = modeNoAnswer
		fleet.table.restore(copied)
		first.step() // learns of the restore
		if !wroteBetween {
			first.tableClient.beforeCommit = func() { first.tableClient.mode = modeNoAnswer }
		}
		first.step()
		first.tableClient.mode, first.tableClient.beforeCommit = modeAnswer, nil
		require.Equal(t, fleet.table.era, first.keeper.era)
		fleet.advance(100 * time.Millisecond)
		fleet.table.restore(copied)
		for range 20 {
			first.step()
			fleet.advance(defaultExchangeInterval)
		}
		for first.reserveWithExchange("cooks", 1_000) {
			fleet.advance(10 * time.Millisecond)
		}
		require.LessOrEqual(t, fleet.spentOrReserved("cooks"), int64(prepaid), "wrote between: %v", wroteBetween)
	}
}

// TestBudgetIsKeptWhenNewRouterDiesDuringRestore guards against counting nothing of a
// router whose first row was undone, though its slice states its share.
func TestBudgetIsKeptWhenNewRouterDiesDuringRestore(t *testing.T) {
	const prepaid = 500_000
	fleet := newFleet(3, 8, map[string]int64{"cooks": prepaid})
	started, others := fleet.vms[0], fleet.vms[1:]
	for range 6 {
		for _, vm := range others {
			vm.step()
		}
		fleet.advance(defaultExchangeInterval)
	}
	copied := fleet.table.copy()
	fleet.advance(100 * time.Millisecond)
	for range 2 {
		started.step()
		fleet.advance(defaultExchangeInterval)
	}
	require.True(t, started.reserveWithExchange("cooks", 150_000))
	fleet.advance(defaultExchangeInterval)
	for _, vm := range append([]*vm{started}, others...) {
		vm.step()
	}
	fleet.startProcess(started)
	fleet.table.restore(copied)
	for range 2 {
		for _, vm := range others {
			vm.step()
		}
	}
	fleet.reconnectAll()
	require.GreaterOrEqual(t, fleet.table.totalOfSlices("cooks").Charged, int64(150_000))
	require.LessOrEqual(t, fleet.exhaust("cooks", 1_000), int64(prepaid))
}

// TestStartingRouterKeepsWhatItReadBeforeRestore guards against replacing the row of
// the predecessor by the copy's older one if the store is restored before the first
// write.
func TestStartingRouterKeepsWhatItReadBeforeRestore(t *testing.T) {
	const prepaid = 500_000
	fleet := newFleet(1, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	copied := fleet.table.copy()
	fleet.advance(100 * time.Millisecond)
	restarted := fleet.vms[0]
	require.True(t, restarted.reserveWithExchange("cooks", 200_000))
	restarted.keeper.nextExchangeAt = time.Time{}
	restarted.step()
	fleet.startProcess(restarted)
	members := restarted.keeper.config.Holders
	restarted.keeper.config.Holders = func() (int, bool) { return 0, true } // not known yet
	restarted.tableClient.beforeCommit = func() {
		restarted.tableClient.beforeCommit = nil
		fleet.table.restore(copied)
	}
	restarted.step()
	restarted.keeper.config.Holders = members
	fleet.reconnectAll()
	require.GreaterOrEqual(t, fleet.table.totalOfSlices("cooks").Charged, int64(200_000))
}

// TestReplacedProcessDoesNotTakeRowBack guards against a process that was replaced
// while it was cut off, and that takes its row back after a restore.
func TestReplacedProcessDoesNotTakeRowBack(t *testing.T) {
	const prepaid = 500_000
	fleet := newFleet(3, 8, map[string]int64{"cooks": prepaid})
	fleet.table.era = 1
	fleet.reconnectAll()
	vm := fleet.vms[0]
	replaced := vm.keeper
	fleet.advance(time.Second)
	fleet.startProcess(vm)
	for range 3 {
		vm.step()
		fleet.advance(defaultExchangeInterval)
	}
	require.True(t, vm.reserveWithExchange("cooks", 50_000))
	vm.step()
	copied := fleet.table.copy()
	fleet.advance(100 * time.Millisecond)
	fleet.table.restore(copied)
	for range 4 {
		replaced.step(t.Context())
	}
	vm.step()
	require.False(t, replaced.holder.HasPublished(), "the replaced process goes on")
	require.True(t, vm.keeper.holder.HasPublished(), "the new process was fenced")
}

// TestEstimateOfRouterStoppedBeforeRestoreIsBounded guards against charging a router
// for the whole time that it was stopped, when only seconds were undone.
func TestEstimateOfRouterStoppedBeforeRestoreIsBounded(t *testing.T) {
	const prepaid, requestTokens = 1_000_000, 1_000
	fleet := newFleet(6, 8, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	fleet.serve(20, "cooks", requestTokens)
	stopped := fleet.vms[0]
	held := stopped.keeper.holder.Holdings(stopped.localTime)["cooks"]
	spentBefore := fleet.spentOrReserved("cooks")
	stopped.frozen = true
	for range 60 {
		fleet.advance(time.Second)
		for _, vm := range fleet.vms {
			vm.step()
		}
	}
	stopped.localTime = fleet.vms[1].localTime
	copied := fleet.table.copy()
	fleet.advance(100 * time.Millisecond)
	fleet.advance(time.Second)
	fleet.table.restore(copied)
	fleet.startProcess(stopped)
	fleet.reconnectAll()
	charged := fleet.table.totalOfSlices("cooks").Charged
	require.LessOrEqual(t, charged, spentBefore+held.Granted-held.Spent+prepaid/20)
}

// TestReservesEndForSlicesWithoutHolders guards against a reserve that grows with the
// time since the last exchange of a slice whose holders are gone, and against an
// estimate that does so for a router that was stopped long before a restore.
func TestReservesEndForSlicesWithoutHolders(t *testing.T) {
	const prepaid, requestTokens = 1_000_000, 1_000
	fleet := newFleet(6, 2, map[string]int64{"cooks": prepaid})
	fleet.reconnectAll()
	fleet.serve(20, "cooks", requestTokens)
	gone := fleet.vms[2]
	require.Zero(t, gone.keeper.pool.ownNumber, "the only holder of a slice")
	held := gone.keeper.holder.Holdings(gone.localTime)["cooks"]
	fleet.vms = append(fleet.vms[:2], fleet.vms[3:]...)
	copied := fleet.table.copy()
	fleet.advance(100 * time.Millisecond)
	fleet.advance(time.Second)
	fleet.table.restore(copied)
	fleet.reconnectAll()
	for range 100 {
		fleet.advance(6 * time.Second)
		for _, vm := range fleet.vms {
			vm.step()
		}
	}
	for _, vm := range fleet.vms {
		fleet.startProcess(vm)
	}
	fleet.reconnectAll()
	spent := fleet.exhaust("cooks", requestTokens)

	require.Greater(t, spent, int64(prepaid)-held.Granted-prepaid/10)
}

// TestBudgetIsKeptWhenSlicesAreUndone guards against taking a slice for empty because
// the copy is from before its first exchange. The router that is cut off shares its
// slice with others, or is the only one in it.
func TestBudgetIsKeptWhenSlicesAreUndone(t *testing.T) {
	const prepaid = 200_000
	for _, holdersPerSlice := range []int{8, 2} {
		for cutOff := range 6 {
			fleet := newFleet(6, holdersPerSlice, map[string]int64{"cooks": prepaid})
			fleet.table.era = 1
			fleet.advance(defaultExchangeInterval)
			fleet.vms[0].step() // splits the pool
			fleet.advance(defaultExchangeInterval)
			copied := fleet.table.copy()
			fleet.reconnectAll()
			require.True(t, fleet.vms[cutOff].reserveWithExchange("cooks", 40_000))
			fleet.advance(defaultExchangeInterval)
			for _, vm := range fleet.vms {
				vm.step()
			}
			fleet.vms[cutOff].tableClient.mode = modeNoAnswer
			fleet.table.restore(copied)
			for fleet.serve(4, "cooks", 1_000) > 0 {
				fleet.advance(defaultExchangeInterval)
			}
			require.LessOrEqual(t, fleet.spentOrReserved("cooks"), int64(prepaid), "%d holders a slice, %d cut off", holdersPerSlice, cutOff)
		}
	}
}

// TestSuccessorKilledBeforeItsExchangeLosesNoCharges guards against forgetting what a
// router had spent in the lost seconds when its successor dies, too, after it has
// written an estimate and before it has seen the share.
func TestSuccessorKilledBeforeItsExchangeLosesNoCharges(t *testing.T) {
	fleet := newFleet(3, 8, map[string]int64{"cooks": 500_000})
	fleet.reconnectAll()
	copied := fleet.table.copy()
	fleet.advance(100 * time.Millisecond)
	killed := fleet.vms[0]
	require.True(t, killed.reserveWithExchange("cooks", 200_000))
	fleet.advance(defaultExchangeInterval)
	for _, vm := range fleet.vms {
		vm.step()
	}
	fleet.startProcess(killed)
	fleet.table.restore(copied)
	for range 3 {
		for _, vm := range fleet.vms[1:] {
			vm.step()
		}
	}
	killed.keeper.config.Holders = func() (int, bool) { return 0, true }
	killed.step() // writes its row alone
	fleet.startProcess(killed)
	fleet.reconnectAll()
	require.GreaterOrEqual(t, fleet.table.totalOfSlices("cooks").Charged, int64(200_000))
}
