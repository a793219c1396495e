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

// Guards against a watcher that reports a lease as expired too early: all its reads
// over a whole lease duration must have succeeded without showing a renewal.
func TestWatcherRequiresFullLeaseOfSuccessfulReads(t *testing.T) {
	const leaseDuration = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		watcher := newWatcher(leaseDuration)
		now := time.Unix(1000, 0)
		item := platform.Item{Key: leaseKey("a"), Version: 1}
		// unchangedSince is the earliest time from which the lease may be counted as
		// not renewed.
		var unchangedSince time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"renew": func(*rapid.T) { item.Version++; unchangedSince = now },
			"fail":  func(*rapid.T) { watcher.reset(); unchangedSince = now },
			"read": func(t *rapid.T) {
				readStarted := now
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "took_ms")) * time.Millisecond)
				if len(watcher.observations) == 0 {
					unchangedSince = now
				}
				if len(watcher.observe([]platform.Item{item}, readStarted, now)) > 0 {
					require.GreaterOrEqual(t, readStarted.Sub(unchangedSince), leaseDuration)
				}
			},
		})
	})
}

// Guards against marking a holder dead that has renewed since the watcher's read,
// and against a renewal after the mark, even once the lease row is deleted.
func TestHolderMarkedDeadCannotRenew(t *testing.T) {
	ctx := context.Background()
	table := standin.NewTable()
	holder := &lease{table: table, incarnation: "a"}
	require.NoError(t, holder.renew(ctx, Member{Incarnation: "a"}))
	items, err := table.Get(ctx, leaseKey("a"))
	require.NoError(t, err)

	require.NoError(t, holder.renew(ctx, Member{Incarnation: "a"}))
	require.Error(t, markDead(ctx, table, items[0]), "the holder renewed after the watcher read the row")
	require.False(t, holder.ended)

	items, err = table.Get(ctx, leaseKey("a"))
	require.NoError(t, err)
	require.NoError(t, markDead(ctx, table, items[0]))
	require.NoError(t, markDead(ctx, table, items[0]), "an existing mark is no error")
	require.NoError(t, deleteDeadLease(ctx, table, "a"))
	require.NoError(t, holder.renew(ctx, Member{Incarnation: "a"}))
	require.True(t, holder.ended)
	items, err = table.Get(ctx, leaseKey("a"))
	require.NoError(t, err)
	require.Zero(t, items[0].Version)
}
