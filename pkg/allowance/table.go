package allowance

// Reads and commits of a keeper in the table.

import (
	"context"
	"errors"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// readOwnRow reads the holder's row from the table. At the start the row is that
// of the preceding process, which is taken over. Later it shows whether a commit
// of this process that got no answer was applied.
func (keeper *Keeper) readOwnRow(ctx context.Context) error {
	item, err := keeper.read(ctx, holderKey(keeper.config.Name))
	if err != nil {
		return err
	}
	row, err := decode[HolderRow](item.Value)
	if err != nil {
		return err
	}
	keeper.outcomeUnknown = false
	if item.Version == keeper.rowVersion {
		return nil // a pending row may still be applied later, so it stays pending
	}
	keeper.rowVersion = item.Version
	if row.Process == keeper.config.Process {
		keeper.holder.markCommitted(row.Sequence)
		return nil
	}
	if keeper.holder.HasPublished() {
		keeper.holder.fence()
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "another process writes to the budget row of this router",
			Remedy:  "give each router its own node name",
		})
	}
	uptime := keeper.config.Now().Sub(keeper.config.StartedAt)
	elapsed := keeper.tableTime - uptime - row.Stamp
	keeper.holder.takeOver(row, elapsed)
	keeper.logTakeover(row, elapsed)
	return nil
}

func (keeper *Keeper) logTakeover(row HolderRow, elapsed time.Duration) {
	for team, terms := range row.Teams {
		_ = keeper.config.Logger.Log("event", "budget_adopted", "team", team, "predecessor", row.Process,
			"granted", terms.Granted, "charged", terms.Charged, "lost", row.MaxCharged(team, elapsed)-terms.Charged, "elapsed", elapsed)
	}
}

func (keeper *Keeper) read(ctx context.Context, key platform.Key) (platform.Item, error) {
	items, err := keeper.readAll(ctx, platform.Query{Partition: key.Partition, Prefix: key.Sort})
	if err != nil {
		return platform.Item{}, err
	}
	for _, item := range items {
		if item.Key == key {
			return item, nil
		}
	}
	return platform.Item{}, nil
}

func (keeper *Keeper) readAll(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, receipt, err := keeper.config.Table.Read(ctx, query)
	if err != nil {
		return nil, err
	}
	keeper.setTableTime(receipt.Now)
	return items, nil
}

// TableAge returns the time since the table last answered, and whether it ever
// has.
func (keeper *Keeper) TableAge(now time.Time) (age time.Duration, known bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return now.Sub(keeper.tableTimeReceivedAt), !keeper.tableTimeReceivedAt.IsZero()
}

// setTableTime records the table's time in an answer. The table's clock has
// advanced when the answer arrives, so stamps computed from the recorded time
// are never later than the table's clock.
func (keeper *Keeper) setTableTime(now time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.tableTime, keeper.tableTimeReceivedAt = now, keeper.config.Now()
}

func (keeper *Keeper) newRow(now time.Time) HolderRow {
	keeper.sequence++
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return HolderRow{
		Process: keeper.config.Process, Sequence: keeper.sequence, Stamp: keeper.tableTime + now.Sub(keeper.tableTimeReceivedAt),
		EarlyPeriod: earlyPeriod, EarlyFraction: earlyRateFactor / rateFactor,
	}
}

// condition requires that a row has the version, or is absent if that is zero.
func condition(version uint64) platform.Condition {
	if version == 0 {
		return platform.Condition{Kind: platform.IfAbsent}
	}
	return platform.Condition{Kind: platform.IfVersion, Version: version}
}

// commit writes the holder's row, and the given slices in the same transaction.
// An error of kind Conflict or Overloaded means that nothing was written; after
// any other, the outcome is unknown.
func (keeper *Keeper) commit(ctx context.Context, row HolderRow, sliceWrites ...platform.Write) error {
	transaction := platform.Transaction{Writes: []platform.Write{{
		Key:       holderKey(keeper.config.Name),
		Value:     encode(row),
		Condition: condition(keeper.rowVersion),
	}}}
	transaction.Writes = append(transaction.Writes, sliceWrites...)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := keeper.config.Now()
	receipt, err := keeper.config.Table.Commit(ctx, transaction)
	if len(sliceWrites) > 0 {
		keeper.poolCommitDuration = keeper.config.Now().Sub(startedAt)
	}
	switch {
	case err == nil:
		keeper.rowVersion = receipt.Version
		keeper.holder.markCommitted(row.Sequence)
		keeper.setTableTime(receipt.Now)
		return nil
	case fault.KindOf(err) == fault.Conflict:
		keeper.holder.discardDraft(row.Sequence)
		keeper.handleConflict(err)
		return err
	case fault.KindOf(err) == fault.Overloaded:
		keeper.holder.discardDraft(row.Sequence)
		return err
	default:
		keeper.outcomeUnknown = true
		return err
	}
}

// handleConflict updates the copies of the rows that were returned with a
// conflict. If they show another version of the holder's row, an earlier commit
// of this process may have been applied late, and the row has to be read again.
func (keeper *Keeper) handleConflict(err error) {
	keeper.outcomeUnknown = true
	var conflict *platform.ConflictError
	if !errors.As(fault.CauseOf(err), &conflict) {
		return
	}
	ownVersion := uint64(0) // the version of a missing row
	for _, item := range conflict.Items {
		if item.Key == holderKey(keeper.config.Name) {
			ownVersion = item.Version
		}
		keeper.updateSlice(item)
	}
	keeper.outcomeUnknown = ownVersion != keeper.rowVersion
}

// updateSlice replaces a slice in the copy of the pool by the row that is in the
// table.
func (keeper *Keeper) updateSlice(item platform.Item) {
	if keeper.pool == nil {
		return
	}
	for number := range keeper.pool.items {
		if item.Key == sliceKey(number) {
			keeper.pool.items[number] = item
			keeper.pool.upToDate = true
		}
	}
}
