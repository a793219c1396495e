package claim

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of removal: the retention row names the next hour. Once that hour
// is older than the retention, one router seals it, deletes its claims in
// batches, and moves the row on. Claims check the seal in their transaction, so
// a router whose clock is slow cannot claim in a sealed hour.

const (
	// retentionInterval is the time between two looks for old claims.
	retentionInterval = 10 * time.Minute
	// hourLength is the length of what is removed at once.
	hourLength = time.Hour
)

// removeOld removes hours of claims until the next one is still kept.
func (registry *Registry) removeOld(ctx context.Context) {
	for {
		again, err := registry.removeHour(ctx)
		if err != nil {
			_ = registry.config.Logger.Log("level", "warn", "message", "old claims not removed", "error", err)
		}
		if err != nil || !again {
			return
		}
	}
}

func (registry *Registry) removeHour(ctx context.Context) (bool, error) {
	items, err := registry.table.Get(ctx, retentionKey())
	if err != nil {
		return false, err
	}
	row, err := decode[retentionRow](items[0])
	if err != nil {
		return false, err
	}
	if items[0].Version == 0 {
		row.Next = hourOf(time.Now().Add(-registry.config.Retention))
		return false, registry.transact(ctx, platform.PutIfUnchanged(items[0], row))
	}
	start, err := row.Next.start()
	if err != nil || time.Since(start) < registry.config.Retention+2*hourLength {
		return false, err
	}
	if err := registry.seal(ctx, row.Next); err != nil {
		return false, err
	}
	if err := registry.deleteHour(ctx, row.Next); err != nil {
		return false, err
	}
	row.Next = hourOf(start.Add(hourLength))
	return true, registry.transact(ctx, platform.PutIfUnchanged(items[0], row))
}

func (registry *Registry) seal(ctx context.Context, hour hour) error {
	return registry.transact(ctx, platform.Write{
		Key:   hour.sealKey(),
		Value: platform.EncodeRow(sealRow{By: registry.config.Incarnation}),
	})
}

// deleteHour deletes the claims of a sealed hour in batches.
func (registry *Registry) deleteHour(ctx context.Context, hour hour) error {
	for {
		items, err := registry.table.Query(ctx, platform.Query{
			Partition: hour.partition(), Limit: platform.MaxTransactionWrites,
		})
		if err != nil || len(items) == 0 {
			return err
		}
		writes := make([]platform.Write, 0, len(items))
		for _, item := range items {
			writes = append(writes, platform.Write{Key: item.Key, Action: platform.Delete})
		}
		if err := registry.transact(ctx, writes...); err != nil {
			return err
		}
		registry.metrics.removed.Add(float64(len(items)))
	}
}

func (registry *Registry) transact(ctx context.Context, writes ...platform.Write) error {
	return registry.table.Transact(ctx, platform.Transaction{Writes: writes})
}
