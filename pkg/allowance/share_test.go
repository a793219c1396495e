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
