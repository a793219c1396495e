package order

// A lease is a table row with its holder, a fencing number that increases with
// each holder, and the revision of the configuration document that was ordered
// last. The holder counts the lease duration from before it sends its write. A
// router that wants to take over the lease must observe the row unchanged for a
// full lease duration by its own clock, starting after its first read. So the
// lease has expired for its holder before another router takes it over, as long
// as their clocks run at nearly the same rate.

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
	// Holder is the incarnation that holds the lease; empty if it was released.
	Holder string `json:"holder"`
	// WriteID identifies one write of the row, so that the router recognizes its
	// own write if the response was lost.
	WriteID string `json:"token"`
	Fence   uint64 `json:"fence"`
	// Revision is the revision of the configuration document that was ordered
	// last.
	Revision uint64 `json:"revision"`
}

// heldLease is a lease that this router holds.
type heldLease struct {
	item platform.Item
	row  leaseRow
	// expiresAt is when the lease expires by the clock of this router.
	expiresAt time.Time
}

// observation is the version of a row and when this router first read it.
type observation struct {
	version     uint64
	firstReadAt time.Time
}

// leaseManager acquires, renews and releases the leases in one partition. Calls
// for the same name must not be concurrent.
type leaseManager struct {
	table        platform.Table
	partition    string
	incarnation  string
	duration     time.Duration
	clock        func() time.Time
	observations observations
}

// read returns the item and the row of a lease.
func (leaseManager *leaseManager) read(ctx context.Context, name string) (platform.Item, leaseRow, error) {
	key := platform.Key{Partition: leaseManager.partition, Sort: name}
	items, err := leaseManager.table.Get(ctx, key)
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

// acquire acquires a lease that is free or has expired, with the next fencing
// number. It returns fault.Conflict if another router holds the lease or if a
// newer revision was ordered under it.
func (leaseManager *leaseManager) acquire(ctx context.Context, name string, revision uint64) (heldLease, error) {
	item, row, err := leaseManager.read(ctx, name)
	if err != nil {
		leaseManager.observations.forget(name)
		return heldLease{}, err
	}
	if row.Revision > revision {
		return heldLease{}, conflictError("a newer revision of "+name+" was ordered by "+row.Holder, "wait until this router has adopted it")
	}
	if row.Holder != "" && !leaseManager.hasExpired(name, item) {
		return heldLease{}, conflictError("lease of "+name+" is held by "+row.Holder, "wait until it is released or expires")
	}
	newRow := leaseRow{Holder: leaseManager.incarnation, Fence: row.Fence + 1, Revision: revision}
	return leaseManager.write(ctx, item, newRow)
}

// hasExpired reports whether this router has observed the row unchanged for a
// full lease duration.
func (leaseManager *leaseManager) hasExpired(name string, item platform.Item) bool {
	return leaseManager.observations.unchangedFor(name, item.Version, leaseManager.clock()) >= leaseManager.duration
}

// renew extends a lease by a full duration from now.
func (leaseManager *leaseManager) renew(ctx context.Context, lease heldLease) (heldLease, error) {
	return leaseManager.write(ctx, lease.item, lease.row)
}

// release releases a lease. Its row keeps the fencing number and the revision.
func (leaseManager *leaseManager) release(ctx context.Context, lease heldLease) error {
	row := lease.row
	row.Holder = ""
	_, err := leaseManager.write(ctx, lease.item, row)
	return err
}

// write stores the row if the item still has the version that was read, and reads
// it back, since a write that failed as unavailable may have been applied. It
// succeeds if the row that it reads has its WriteID.
func (leaseManager *leaseManager) write(ctx context.Context, item platform.Item, row leaseRow) (heldLease, error) {
	row.WriteID = uuid.NewString()
	startedAt := leaseManager.clock()
	value, err := json.Marshal(row)
	if err != nil {
		return heldLease{}, err
	}
	condition := platform.Condition{Kind: platform.IfVersion, Version: item.Version}
	if item.Version == 0 {
		condition = platform.Condition{Kind: platform.IfAbsent}
	}
	writeErr := leaseManager.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{
		{Key: item.Key, Action: platform.Put, Value: value, Condition: condition},
	}})
	if writeErr != nil && !fault.Is(writeErr, fault.Unavailable) {
		return heldLease{}, writeErr
	}
	storedItem, storedRow, err := leaseManager.read(ctx, item.Key.Sort)
	if err != nil {
		return heldLease{}, err
	}
	if storedRow.WriteID != row.WriteID {
		return heldLease{}, conflictError("lease of "+item.Key.Sort+" was written by "+storedRow.Holder, "try again")
	}
	return heldLease{item: storedItem, row: row, expiresAt: startedAt.Add(leaseManager.duration)}, nil
}

func conflictError(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Conflict, Message: message, Remedy: remedy})
}
