package claim

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Removal of expired claims: the retention row names the next hour to remove.
// Once that hour is older than the retention, a router seals it, deletes its
// claims in batches, and advances the row. Every claim checks the seal in its
// transaction, so a router with a slow clock cannot claim in a sealed hour.

const (
	// removalInterval is the time between two checks for expired claims.
	removalInterval = 10 * time.Minute
	// partitionPeriod is the time span of the claims in one partition, which
	// are removed together.
	partitionPeriod = time.Hour
)

// removeExpired removes the claims of all hours that are older than the
// retention.
func (registry *Registry) removeExpired(ctx context.Context) {
	for {
		removed, err := registry.removeNextHour(ctx)
		if err != nil {
			_ = registry.config.Logger.Log("level", "warn", "message", "expired claims not removed", "error", err)
		}
		if err != nil || !removed {
			return
		}
	}
}

// removeNextHour removes the claims of the next hour if they have expired, and
// reports whether it did. The first call in a new table only writes the
// retention row.
func (registry *Registry) removeNextHour(ctx context.Context) (bool, error) {
	items, err := registry.table.Get(ctx, retentionKey())
	if err != nil {
		return false, err
	}
	row, err := decode[retentionRow](items[0])
	if err != nil {
		return false, err
	}
	if items[0].Version == 0 {
		row.NextHour = hourOf(time.Now().Add(-registry.config.Retention))
		return false, registry.transact(ctx, platform.PutIfUnchanged(items[0], row))
	}
	start, err := row.NextHour.start()
	if err != nil || time.Since(start) < registry.config.Retention+2*partitionPeriod {
		return false, err
	}
	if err := registry.sealHour(ctx, row.NextHour); err != nil {
		return false, err
	}
	if err := registry.deleteHour(ctx, row.NextHour); err != nil {
		return false, err
	}
	row.NextHour = hourOf(start.Add(partitionPeriod))
	return true, registry.transact(ctx, platform.PutIfUnchanged(items[0], row))
}

// sealHour writes the seal that keeps routers from adding claims to an hour.
func (registry *Registry) sealHour(ctx context.Context, hour hour) error {
	return registry.transact(ctx, platform.Write{
		Key:   hour.sealKey(),
		Value: platform.EncodeRow(sealRow{SealedBy: registry.config.Incarnation}),
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
		registry.metrics.removedClaims.Add(float64(len(items)))
	}
}

func (registry *Registry) transact(ctx context.Context, writes ...platform.Write) error {
	return registry.table.Transact(ctx, platform.Transaction{Writes: writes})
}
