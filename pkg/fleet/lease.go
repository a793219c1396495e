package fleet

// The flow: each incarnation renews its row; for each row a few routers, chosen
// by hash, watch whether its version moves. A row that a watcher has read again
// and again without a change for a whole lease, measured by the watcher's own
// clock, and whose holder does not answer a probe, gets a mark in the table, on
// the version that was watched. The holder's next renewal then fails.
//
// The lease gates only the closing of what a dead router held, which is safe
// when the router is alive after all: what it held is charged either way.

import (
	"context"
	"encoding/json"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The partitions of the fleet in the table.
const (
	// partitionLease has a row for each incarnation that has not ended.
	partitionLease = "fleet/lease"
	// partitionDead has a mark for each incarnation that was taken for dead.
	partitionDead = "fleet/dead"
)

// leaseRow is the row of one incarnation.
type leaseRow struct {
	Member Member `json:"member"`
	// Renewals counts the writes of the holder.
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
			Remedy:  "compare the versions of the routers that write to this table",
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

// lease is the row that this router holds.
type lease struct {
	table       platform.Table
	incarnation string
	renewals    uint64
	// lost is set once another router has marked the incarnation dead.
	lost bool
}

// renew writes the row. The write requires that nobody marked the incarnation
// dead; it may be repeated after an answer that was lost.
func (lease *lease) renew(ctx context.Context, self Member) error {
	if lease.lost {
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
		lease.lost = true
		return nil
	}
	return err
}

// release deletes the row. The holder calls it when it holds nothing more.
func (lease *lease) release(ctx context.Context) error {
	return lease.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: leaseKey(lease.incarnation), Action: platform.Delete},
	}})
}

// markDead marks the holder of a row dead, provided that the row is still as
// it was watched. From then on the holder can't renew. Marking it twice is no
// error.
func markDead(ctx context.Context, table platform.Table, item platform.Item) error {
	dead := deadKey(item.Key.Sort)
	items, err := table.Get(ctx, dead)
	if err != nil {
		return err
	}
	if items[0].Version != 0 {
		return nil
	}
	unchanged := platform.Condition{Kind: platform.IfVersion, Version: item.Version}
	return table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: item.Key, Action: platform.Check, Condition: unchanged},
		{
			Key:       dead,
			Action:    platform.Put,
			Value:     item.Value,
			Condition: platform.Condition{Kind: platform.IfAbsent},
		},
	}})
}

// removeDead deletes the row of a dead holder after what it held was closed.
// The mark stays, so that the holder can't come back.
func removeDead(ctx context.Context, table platform.Table, incarnation string) error {
	return table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: leaseKey(incarnation), Action: platform.Delete},
	}})
}

// watch is what a watcher saw of one row.
type watch struct {
	version uint64
	// since is when the watcher first had this version in its hands.
	since time.Time
}

// watcher tells which of the watched rows have lapsed.
type watcher struct {
	duration time.Duration
	watches  map[string]watch
}

func newWatcher(duration time.Duration) *watcher {
	return &watcher{duration: duration, watches: make(map[string]watch)}
}

// forget drops all that was seen. It is called after a read that failed:
// holders may have been unable to renew while the table was out of reach.
func (watcher *watcher) forget() {
	watcher.watches = make(map[string]watch)
}

// see takes in rows read between the two times and returns those that have not
// changed for a whole lease. A row that does not exist is watched too.
func (watcher *watcher) see(items []platform.Item, readBegan, readEnded time.Time) []platform.Item {
	next := make(map[string]watch, len(items))
	var lapsed []platform.Item
	for _, item := range items {
		seen, ok := watcher.watches[item.Key.Sort]
		if !ok || seen.version != item.Version {
			seen = watch{version: item.Version, since: readEnded}
		}
		next[item.Key.Sort] = seen
		if readBegan.Sub(seen.since) >= watcher.duration {
			lapsed = append(lapsed, item)
		}
	}
	watcher.watches = next
	return lapsed
}
