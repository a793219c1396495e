package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// The watcher may take a lease for lapsed only if it read it without a failure
// over a whole duration in which the holder did not renew.
func TestWatcherWaitsForAWholeLeaseOfSuccessfulReads(t *testing.T) {
	const duration = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		watcher := newWatcher(duration)
		now := time.Unix(1000, 0)
		item := platform.Item{Key: leaseKey("a"), Version: 1}
		// safeFrom is the earliest time from which silence may be counted.
		var safeFrom time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"renew": func(*rapid.T) { item.Version++; safeFrom = now },
			"fail":  func(*rapid.T) { watcher.forget(); safeFrom = now },
			"read": func(t *rapid.T) {
				began := now
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "took_ms")) * time.Millisecond)
				if len(watcher.watches) == 0 {
					safeFrom = now
				}
				if len(watcher.see([]platform.Item{item}, began, now)) > 0 {
					require.GreaterOrEqual(t, began.Sub(safeFrom), duration)
				}
			},
		})
	})
}

func TestMarkedHolderCannotRenew(t *testing.T) {
	ctx := context.Background()
	table := standin.NewTable()
	holder := &lease{table: table, incarnation: "a"}
	require.NoError(t, holder.renew(ctx, Member{Incarnation: "a"}))
	items, err := table.Get(ctx, leaseKey("a"))
	require.NoError(t, err)

	require.NoError(t, holder.renew(ctx, Member{Incarnation: "a"}))
	require.Error(t, markDead(ctx, table, items[0]), "the holder renewed after the row was read")
	require.False(t, holder.lost)

	items, err = table.Get(ctx, leaseKey("a"))
	require.NoError(t, err)
	require.NoError(t, markDead(ctx, table, items[0]))
	require.NoError(t, markDead(ctx, table, items[0]), "a second watcher finds the mark")
	require.NoError(t, removeDead(ctx, table, "a"))
	require.NoError(t, holder.renew(ctx, Member{Incarnation: "a"}))
	require.True(t, holder.lost)
	items, err = table.Get(ctx, leaseKey("a"))
	require.NoError(t, err)
	require.Zero(t, items[0].Version)
}
