package allowance

// Random restores of the table beside other faults.

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// latestRow returns the row of a holder in the latest era among the items.
func latestRow(t require.TestingT, items map[platform.Key]platform.Item, name string) HolderRow {
	var latest HolderRow
	latestEra := uint64(0)
	for key, item := range items {
		if era, ok := eraOf(holderSortKey, key.Sort); ok && key.Partition == holderPrefix+name && era >= latestEra {
			row, err := decode[HolderRow](item.Value)
			require.NoError(t, err)
			latest, latestEra = row, era
		}
	}
	return latest
}

// undoneGrants returns what holders may have spent without a record in the copy.
func (fleet *fleet) undoneGrants(t require.TestingT, copied tableCopy, team string) int64 {
	total := int64(0)
	for _, vm := range fleet.vms {
		granted := max(latestRow(t, fleet.table.items, vm.name).Teams[team].Granted, vm.keeper.holder.Holdings(vm.localTime)[team].Granted)
		total += max(granted-latestRow(t, copied.items, vm.name).Teams[team].Charged, 0)
	}
	return total
}

// TestRandomFaultsAroundRestoresStayInBound guards against a restore that costs more
// than what the routers held at that moment and the copy doesn't show as charged, and
// against tokens that leak, when routers are killed, paused or cut off at any moment.
func TestRandomFaultsAroundRestoresStayInBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxSliceBytes := rapid.SampledFrom([]int{0, 1}).Draw(t, "max slice bytes")
		fleet := newFoldingFleet(
			4, rapid.SampledFrom([]int{2, 8}).Draw(t, "holders per slice"), maxSliceBytes, map[string]int64{"cooks": 40_000, "shops": 9_000},
		)
		fleet.table.era = uint64(rapid.IntRange(0, 1).Draw(t, "first era"))
		team := rapid.SampledFrom([]string{"cooks", "shops"})
		pick := func() *vm { return rapid.SampledFrom(fleet.vms).Draw(t, "vm") }
		copies := []tableCopy{fleet.table.copy()}
		bounds := maps.Clone(fleet.prepaid)
		actions := map[string]func(){
			"round": func() {
				for _, vm := range fleet.vms {
					vm.step()
				}
				fleet.advance(defaultWriteInterval)
			},
			"step":   func() { pick().step() },
			"pass":   func() { fleet.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"idle":   func() { fleet.advance(foldAge) },
			"mode":   func() { pick().tableClient.mode = rapid.SampledFrom(randomModes).Draw(t, "mode") },
			"mend":   func() { pick().tableClient.mode = modeAnswer },
			"late":   func() { fleet.table.applyDelayed() },
			"freeze": func() { vm := pick(); vm.frozen = !vm.frozen },
			"kill": func() {
				vm := pick()
				fleet.advance(time.Duration(rapid.IntRange(1, 1000).Draw(t, "down ms")) * time.Millisecond)
				fleet.startProcess(vm)
			},
			"copy": func() { copies = append(copies, fleet.table.copy()) },
			"restore": func() {
				number := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				for teamName := range bounds {
					bounds[teamName] += fleet.undoneGrants(t, copies[number], teamName)
				}
				fleet.table.restore(copies[number])
				copies = append(copies[:number+1], fleet.table.copy())
			},
			"topup": func() {
				teamName := team.Draw(t, "team")
				fleet.prepaid[teamName] += 500
				bounds[teamName] += 500
			},
			"reserve": func() {
				pick().reserveWithExchange(team.Draw(t, "team"), int64(rapid.IntRange(1, 4000).Draw(t, "tokens")))
			},
			"settle": func() { fleet.settle(pick(), int64(rapid.IntRange(0, 4000).Draw(t, "used"))) },
		}
		names := slices.Sorted(maps.Keys(actions))
		for range actionsPerRun {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
			for teamName, bound := range bounds {
				require.LessOrEqual(t, fleet.spentOrReserved(teamName), bound, "overspent %s", teamName)
			}
		}
		fleet.reconnectAll()
		fleet.reconnectAll()
		for teamName := range fleet.prepaid {
			total := fleet.table.totalOfSlices(teamName)
			granted, charged := int64(0), int64(0)
			for _, vm := range fleet.vms {
				terms := latestRow(t, fleet.table.items, vm.name).Teams[teamName]
				granted, charged = granted+terms.Granted, charged+terms.Reported
				require.Zero(t, vm.keeper.RestoreStatistics().ReservedTokens, "%s keeps tokens back", vm.name)
			}
			require.Equal(t, granted, total.Granted, "tokens of %s leaked", teamName)
			require.Equal(t, charged, total.Charged, "charges of %s differ", teamName)
			require.Zero(t, total.Moved)
		}
	})
}
