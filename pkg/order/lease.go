package order

// The flow: a lease is a row with its holder, a fencing number that grows with
// each holder, and the revision of the document that was ordered last. A holder
// counts its time from before its write was sent. A router that wants a lease
// of another must have seen the row unchanged for a whole duration on its own
// clock, from after it was read. So, as long as clocks run at nearly the same
// rate, the holder's time ends before anybody takes over.

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// leaseRow is the row of one lease.
type leaseRow struct {
	// Holder is an incarnation; empty if the lease was given back.
	Holder string `json:"holder"`
	// Token names one acquisition or renewal, to know it after a lost answer.
	Token string `json:"token"`
	Fence uint64 `json:"fence"`
	// Revision is that of the document ordered last under the lease.
	Revision uint64 `json:"revision"`
}

// grip is a lease that this router holds.
type grip struct {
	item platform.Item
	row  leaseRow
	// until is when this router's time ends on its own clock.
	until time.Time
}

// sighting is a lease of another router, as it was seen first.
type sighting struct {
	version uint64
	since   time.Time
}

// leaser takes leases in one partition. It is not safe for concurrent use on
// one name.
type leaser struct {
	table     platform.Table
	partition string
	self      string
	duration  time.Duration
	clock     func() time.Time
	sightings sightings
}

// read returns a row and its item.
func (leaser *leaser) read(ctx context.Context, name string) (platform.Item, leaseRow, error) {
	key := platform.Key{Partition: leaser.partition, Sort: name}
	items, err := leaser.table.Get(ctx, key)
	if err != nil {
		return platform.Item{}, leaseRow{}, err
	}
	item := items[0]
	item.Key = key
	var row leaseRow
	if item.Version == 0 {
		return item, row, nil
	}
	if err := json.Unmarshal(item.Value, &row); err != nil {
		return item, row, fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "lease of " + name + " is not readable",
			Remedy:  "compare the versions of the routers that write to this table",
			Cause:   err,
		})
	}
	return item, row, nil
}

// acquire takes a lease that is free or was seen to lapse, with the next
// fencing number. It returns fault.Conflict if another router holds it or if a
// newer revision was ordered under it.
func (leaser *leaser) acquire(ctx context.Context, name string, revision uint64) (grip, error) {
	item, row, err := leaser.read(ctx, name)
	if err != nil {
		leaser.sightings.forget(name)
		return grip{}, err
	}
	if row.Revision > revision {
		return grip{}, conflict("a newer revision of "+name+" was ordered by "+row.Holder, "wait until this router has adopted it")
	}
	if row.Holder != "" && !leaser.lapsed(name, item) {
		return grip{}, conflict("lease of "+name+" is held by "+row.Holder, "wait until it is given back or lapses")
	}
	next := leaseRow{Holder: leaser.self, Fence: row.Fence + 1, Revision: revision}
	return leaser.write(ctx, item, next)
}

// lapsed reports whether a row was seen unchanged for a whole duration.
func (leaser *leaser) lapsed(name string, item platform.Item) bool {
	return leaser.sightings.age(name, item.Version, leaser.clock()) >= leaser.duration
}

// renew prolongs a lease that is held.
func (leaser *leaser) renew(ctx context.Context, held grip) (grip, error) {
	return leaser.write(ctx, held.item, held.row)
}

// release gives a lease back. The fencing number and the revision stay.
func (leaser *leaser) release(ctx context.Context, held grip) error {
	row := held.row
	row.Holder = ""
	_, err := leaser.write(ctx, held.item, row)
	return err
}

// write stores the row on the version that was read, and reads it back. It
// succeeds only if the row is then the one that it wrote.
func (leaser *leaser) write(ctx context.Context, item platform.Item, row leaseRow) (grip, error) {
	row.Token = uuid.NewString()
	began := leaser.clock()
	encoded, err := json.Marshal(row)
	if err != nil {
		return grip{}, err
	}
	condition := platform.Condition{Kind: platform.IfVersion, Version: item.Version}
	if item.Version == 0 {
		condition = platform.Condition{Kind: platform.IfAbsent}
	}
	writeErr := leaser.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: item.Key, Action: platform.Put, Value: encoded, Condition: condition},
	}})
	if writeErr != nil && !fault.Is(writeErr, fault.Unavailable) {
		return grip{}, writeErr
	}
	written, stored, err := leaser.read(ctx, item.Key.Sort)
	if err != nil {
		return grip{}, err
	}
	if stored.Token != row.Token {
		return grip{}, conflict("lease of "+item.Key.Sort+" was written by "+stored.Holder, "try again")
	}
	return grip{item: written, row: row, until: began.Add(leaser.duration)}, nil
}

func conflict(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Conflict, Message: message, Remedy: remedy})
}
