package fleet

// Lease protocol: each incarnation renews its own lease row. For each row, a few
// routers chosen by hash watch whether the row's version changes. If a watcher
// sees no change for a whole lease duration, measured by its own clock, and the
// holder does not answer a probe, the watcher writes a dead mark to the table,
// on condition that the row still has the observed version. The holder's next
// renewal then fails.
//
// An expired lease only permits other routers to close the incarnation, that is,
// to charge the tokens it holds. That is safe even if the holder is still alive,
// because those tokens are charged either way.

import (
	"context"
	"encoding/json"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The table partitions of this package.
const (
	// partitionLease has the lease row of each incarnation that has not ended.
	partitionLease = "fleet/lease"
	// partitionDead has a mark for each incarnation that was declared dead.
	partitionDead = "fleet/dead"
)

// leaseRow is the stored lease of one incarnation.
type leaseRow struct {
	Member Member `json:"member"`
	// Renewals is the number of times the holder wrote the row.
	Renewals uint64 `json:"renewals"`
}

func leaseKey(incarnation string) platform.Key {
	return platform.Key{Partition: partitionLease, Sort: incarnation}
}

func deadKey(incarnation string) platform.Key {
	return platform.Key{Partition: partitionDead, Sort: incarnation}
}

func decodeLease(item platform.Item) (leaseRow, error) {
	var row leaseRow
	if item.Version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(item.Value, &row); err != nil {
		return row, fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "lease of " + item.Key.Sort + " is not readable",
			Remedy:  "check that all routers that write to this table run compatible versions",
			Cause:   err,
		})
	}
	return row, nil
}

func encodeLease(row leaseRow) []byte {
	encoded, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return encoded
}

// lease is the lease that this router holds.
type lease struct {
	table       platform.Table
	incarnation string
	renewals    uint64
	// ended stops renewals. It is set when the lease is released, or when a
	// renewal finds that another router marked the incarnation dead.
	ended bool
}

// renew writes the lease row, on condition that the incarnation is not marked
// dead; if it is, renew sets ended and returns nil. Renewing again after an error
// is safe, even if the failed write took effect.
func (lease *lease) renew(ctx context.Context, self Member) error {
	if lease.ended {
		return nil
	}
	lease.renewals++
	err := lease.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{
			Key:    leaseKey(lease.incarnation),
			Action: platform.Put,
			Value:  encodeLease(leaseRow{Member: self, Renewals: lease.renewals}),
		},
		{
			Key:       deadKey(lease.incarnation),
			Action:    platform.Check,
			Condition: platform.Condition{Kind: platform.IfAbsent},
		},
	}})
	if fault.Is(err, fault.Conflict) {
		lease.ended = true
		return nil
	}
	return err
}

// release deletes the lease row. The holder calls it once it holds no tokens that
// others would have to charge.
func (lease *lease) release(ctx context.Context) error {
	return lease.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: leaseKey(lease.incarnation), Action: platform.Delete},
	}})
}

// markDead marks the holder of a lease row dead, on condition that the row still
// has the version of item. From then on the holder can't renew. An existing mark
// is no error; fault.Conflict means that the row has changed, or that another
// router wrote the mark at the same time.
func markDead(ctx context.Context, table platform.Table, item platform.Item) error {
	markKey := deadKey(item.Key.Sort)
	marks, err := table.Get(ctx, markKey)
	if err != nil {
		return err
	}
	if marks[0].Version != 0 {
		return nil
	}
	unchanged := platform.Condition{Kind: platform.IfVersion, Version: item.Version}
	return table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: item.Key, Action: platform.Check, Condition: unchanged},
		{
			Key:       markKey,
			Action:    platform.Put,
			Value:     item.Value,
			Condition: platform.Condition{Kind: platform.IfAbsent},
		},
	}})
}

// deleteDeadLease deletes the lease row of an incarnation marked dead. It is
// called after OnDead succeeded. The dead mark stays, so that the holder can't
// renew again.
func deleteDeadLease(ctx context.Context, table platform.Table, incarnation string) error {
	return table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: leaseKey(incarnation), Action: platform.Delete},
	}})
}

// observation is the last version that a watcher read of a lease row.
type observation struct {
	version uint64
	// firstReadAt is when the first read that returned this version finished.
	firstReadAt time.Time
}

// watcher detects expired leases among the rows it watches.
type watcher struct {
	leaseDuration time.Duration
	observations  map[string]observation
}

func newWatcher(leaseDuration time.Duration) *watcher {
	return &watcher{leaseDuration: leaseDuration, observations: make(map[string]observation)}
}

// reset discards all observations. It is called after a failed read: while the
// table is unavailable, holders may have been unable to renew either.
func (watcher *watcher) reset() {
	watcher.observations = make(map[string]observation)
}

// observe records the rows of one read and returns those that have not changed
// for a whole lease duration. A row that does not exist is watched too. The
// duration is counted from the end of the first read of a version to the start
// of the latest one, so a slow read never shortens it.
func (watcher *watcher) observe(items []platform.Item, readStarted, readFinished time.Time) []platform.Item {
	observations := make(map[string]observation, len(items))
	var expired []platform.Item
	for _, item := range items {
		observed, ok := watcher.observations[item.Key.Sort]
		if !ok || observed.version != item.Version {
			observed = observation{version: item.Version, firstReadAt: readFinished}
		}
		observations[item.Key.Sort] = observed
		if readStarted.Sub(observed.firstReadAt) >= watcher.leaseDuration {
			expired = append(expired, item)
		}
	}
	watcher.observations = observations
	return expired
}
