package allowance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSliceOfManyHoldersFitsIntoRow guards against a pool that can't be written any
// more: a fleet that was small when its pool was split has grown, or VMs were replaced
// under other names, whose shares stay.
func TestSliceOfManyHoldersFitsIntoRow(t *testing.T) {
	const maxRowBytes, holders, teams = 64 << 10, 90, 24
	slice := Slice{Teams: make(map[string]SliceAccount)}
	for holder := range holders {
		share := HolderShare{Era: 1, Stamp: time.Hour, Teams: make(map[string]HolderAccount)}
		for team := range teams {
			share.Teams[fmt.Sprintf("team-%02d", team)] = HolderAccount{Granted: 1_000_000, Charged: 900_000, Demand: 10_000, Base: 10_000}
		}
		slice.setShare(fmt.Sprintf("router-%02d", holder), share)
	}
	require.LessOrEqual(t, len(encode(slice)), maxRowBytes)
}

// TestSliceOfReplacedHoldersFitsIntoRow guards against a pool that can't be written any
// more after many VMs were replaced under other names, or have taken a few tokens each.
func TestSliceOfReplacedHoldersFitsIntoRow(t *testing.T) {
	const maxRowBytes, holders, teams = 64 << 10, 300, 12
	prepaid := make(map[string]int64, teams)
	for team := range teams {
		prepaid[fmt.Sprintf("team-%02d", team)] = 1_000_000_000
	}
	fleet := newFleet(holders, holders, prepaid)
	const returning = 50 // of those whose shares were folded
	for round, vms := range [][]*vm{fleet.vms, fleet.vms[:returning]} {
		if round > 0 {
			slice, err := decode[Slice](fleet.table.items[sliceKey(0, 0)].Value)
			require.NoError(t, err)
			for _, vm := range vms {
				require.NotContains(t, slice.Holders, vm.name, "its share is folded")
			}
		}
		for _, vm := range vms {
			vm.step()
			fleet.advance(time.Second)
			for team := range prepaid {
				vm.keeper.requestExchange(team, 100_000)
			}
			vm.keeper.nextExchangeAt = time.Time{}
			vm.step()
			for team := range prepaid {
				require.True(t, vm.reserve(team, 100_000), "%s in round %d", vm.name, round)
			}
			for range teams {
				fleet.settle(vm, 90_000)
			}
			vm.step()
			require.LessOrEqual(t, len(fleet.table.items[sliceKey(0, 0)].Value), maxRowBytes)
		}
	}
	fleet.requireInvariants(t)
}

// TestFoldedHolderDeclaresAfterRestore guards against grants that count twice, or not at
// all, when the table comes back from a copy in which the share of a holder is only in
// the sums of its slice.
func TestFoldedHolderDeclaresAfterRestore(t *testing.T) {
	for name, killed := range map[string]bool{"alive": false, "replaced": true} {
		t.Run(name, func(t *testing.T) {
			const prepaid, requestTokens = 1_000_000, 1_000
			fleet := newFoldingFleet(3, 8, 1, map[string]int64{"cooks": prepaid})
			fleet.reconnectAll()
			folded, others := fleet.vms[0], fleet.vms[1:]
			require.True(t, folded.reserveWithExchange("cooks", requestTokens))
			folded.step()
			fleet.advance(foldAge)
			for _, vm := range others {
				vm.step()
			}
			copied := fleet.table.copy()
			slice, err := decode[Slice](copied.items[sliceKey(0, 0)].Value)
			require.NoError(t, err)
			require.NotContains(t, slice.Holders, folded.name)
			require.True(t, folded.reserveWithExchange("cooks", requestTokens))
			fleet.advance(time.Second)
			for _, vm := range others {
				vm.step() // remembers the share that is listed again
			}
			if killed {
				fleet.startProcess(folded)
			}
			fleet.table.restore(copied)
			for _, vm := range others {
				vm.step()
			}
			fleet.reconnectAll()
			fleet.requireNoLeak(t)
			require.LessOrEqual(t, fleet.exhaust("cooks", requestTokens), int64(prepaid))
			fleet.requireNoLeak(t)
		})
	}
}

// FuzzSliceRows guards against a router that ends because another writer left a row
// that can't be read.
func FuzzSliceRows(f *testing.F) {
	slice := Slice{Teams: map[string]SliceAccount{"cooks": {Granted: 2, Charged: 1}}, Holders: map[string]HolderShare{
		"vm-1": {Era: 1, Stamp: time.Second, Teams: map[string]HolderAccount{"cooks": {Granted: 2, Charged: 1}}},
	}}
	f.Add(encode(slice))
	f.Add([]byte(`{"teams":{"cooks":{"g":2,"c":1}}}`))
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		decoded, err := decode[Slice](value)
		if err != nil {
			return
		}
		again, err := decode[Slice](encode(decoded))
		require.NoError(t, err)
		require.Equal(t, encode(decoded), encode(again))
	})
}
