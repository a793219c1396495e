package allowance

// A state machine over the fleet: every action at any moment.

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetsHoldThroughCutsFreezesAndKills drives some routers through lost,
// late and refused calls, frozen and killed processes, and checks after every
// step that no budget can be overspent and that no tokens leak.
func TestBudgetsHoldThroughCutsFreezesAndKills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(4, rapid.SampledFrom([]int{2, 8}).Draw(t, "holders per slice"), map[string]int64{"cooks": 40_000, "shops": 9_000})
		team := rapid.SampledFrom([]string{"cooks", "shops"})
		pick := func() *vm { return rapid.SampledFrom(fleet.vms).Draw(t, "vm") }
		actions := map[string]func(){
			"round": func() {
				for _, vm := range fleet.vms {
					vm.step()
				}
				fleet.pass(defaultSettleInterval)
			},
			"step":   func() { pick().step() },
			"pass":   func() { fleet.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"mode":   func() { pick().path.mode = rapid.SampledFrom(modes).Draw(t, "mode") },
			"mend":   func() { pick().path.mode = answers },
			"late":   func() { fleet.table.applyLate() },
			"freeze": func() { vm := pick(); vm.frozen = !vm.frozen },
			"kill": func() {
				vm := pick()
				fleet.pass(time.Duration(rapid.IntRange(1, 1000).Draw(t, "down ms")) * time.Millisecond)
				fleet.start(vm)
			},
			"topup":   func() { fleet.prepaid[team.Draw(t, "team")] += 500 },
			"reserve": func() { pick().ask(team.Draw(t, "team"), int64(rapid.IntRange(1, 4000).Draw(t, "tokens"))) },
			"spend": func() {
				vm := pick()
				for vm.reserve("cooks", 500) {
					fleet.settle(vm, 500)
				}
			},
			"settle": func() { fleet.settle(pick(), int64(rapid.IntRange(0, 4000).Draw(t, "used"))) },
		}
		names := slices.Sorted(maps.Keys(actions))
		for range stepsPerRun {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
			fleet.check(t)
		}
		fleet.quiesce()
		for name, prepaid := range fleet.prepaid {
			require.LessOrEqual(t, fleet.table.share(name).Granted, prepaid)
		}
	})
}
