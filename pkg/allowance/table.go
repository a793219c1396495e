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
	item, err := keeper.readRow(ctx, holderPrefix+keeper.config.Name, holderSortKey)
	if err != nil {
		return err
	}
	row, err := decode[HolderRow](item.Value)
	if err != nil {
		return err
	}
	keeper.outcomeUnknown = false
	isRestored := keeper.enterEra()
	isCurrent := item.Version == 0 || item.Key == holderKey(keeper.config.Name, keeper.era)
	isReplaced := item.Version > 0 && keeper.isSuccessor(row, isCurrent)
	keeper.statedTerms = row.statedTerms(isCurrent && !isRestored)
	hadRow := keeper.holder.HasPublished() || keeper.ownRow.Version > 0
	if hadRow && isRestored && !isReplaced {
		keeper.ownRow = item
		keeper.holder.keepLowestGrants()
		return nil
	}
	if item.Key == keeper.ownRow.Key && item.Version == keeper.ownRow.Version {
		return nil // a pending row may still be applied later, so it stays pending
	}
	keeper.ownRow = item
	if row.Process == keeper.config.Process {
		keeper.holder.markCommitted(row.Sequence)
		return nil
	}
	if keeper.holder.HasPublished() {
		keeper.holder.fence()
		keeper.replaced = true
		return errReplaced
	}
	keeper.takeOver(row, isCurrent)
	return nil
}

// isSuccessor reports whether another process wrote the row after this one's.
func (keeper *Keeper) isSuccessor(row HolderRow, isCurrent bool) bool {
	return row.Process != keeper.config.Process && (isCurrent || keeper.holder.publishedBefore(row.Stamp))
}

// takeOver applies the row of the preceding process, which may not be its last one if
// it isn't current.
func (keeper *Keeper) takeOver(row HolderRow, isCurrent bool) {
	uptime := keeper.config.Now().Sub(keeper.config.StartedAt)
	elapsed := keeper.tableTime - uptime - row.Stamp
	keeper.undonePredecessor = !isCurrent || row.Estimated
	if keeper.undonePredecessor {
		keeper.undeclared = true
		keeper.holder.takeOverUndone(row, elapsed)
	} else {
		keeper.holder.takeOver(row, elapsed)
	}
	keeper.logTakeover(row, elapsed)
}

// errReplaced means that the holder's row is that of another process.
var errReplaced = fault.New(fault.Config{
	Kind:    fault.Internal,
	Message: "another process writes to the budget row of this router",
	Remedy:  "give each router its own node name",
})

func (keeper *Keeper) logTakeover(row HolderRow, elapsed time.Duration) {
	for team, terms := range row.Teams {
		_ = keeper.config.Logger.Log("event", "budget_adopted", "team", team, "predecessor", row.Process, "undone", keeper.undonePredecessor,
			"granted", terms.Granted, "charged", terms.Charged, "lost", keeper.holder.charged(team)-terms.Charged, "elapsed", elapsed)
	}
}

func (keeper *Keeper) readAll(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, receipt, err := keeper.config.Table.Read(ctx, query)
	keeper.observe(receipt)
	return items, err
}

// TableAge returns the time since the table last answered, and whether it ever
// has.
func (keeper *Keeper) TableAge(now time.Time) (age time.Duration, known bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return now.Sub(keeper.tableTimeReceivedAt), !keeper.tableTimeReceivedAt.IsZero()
}

// tableTimeAt returns the time of the table's clock at a local time.
func (keeper *Keeper) tableTimeAt(now time.Time) time.Duration {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.tableTime + now.Sub(keeper.tableTimeReceivedAt)
}

func (keeper *Keeper) newRow(now time.Time) HolderRow {
	keeper.sequence++
	return HolderRow{
		Process: keeper.config.Process, Sequence: keeper.sequence, Stamp: keeper.tableTimeAt(now),
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
	ownKey := holderKey(keeper.config.Name, keeper.era)
	transaction := platform.Transaction{Writes: append(moveRow(keeper.ownRow, ownKey, encode(row)), sliceWrites...)}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := keeper.config.Now()
	receipt, err := keeper.config.Table.Commit(ctx, transaction)
	if len(sliceWrites) > 0 {
		keeper.poolCommitDuration = keeper.config.Now().Sub(startedAt)
		keeper.countExchange(err)
	}
	keeper.observe(receipt)
	switch {
	case err == nil && keeper.restored():
		// The conditions held in the copy, in which other holders' exchanges may be
		// missing. The row stays pending until the grants are declared.
		keeper.outcomeUnknown = true
		return errRestored
	case err == nil:
		keeper.ownRow = platform.Item{Key: ownKey, Version: receipt.Version}
		keeper.holder.markCommitted(row.Sequence)
		return nil
	case fault.KindOf(err) == fault.Conflict:
		keeper.holder.discardDraft(row.Sequence)
		if keeper.restored() {
			keeper.outcomeUnknown = true // the rows of the conflict are those of the copy
			return err
		}
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

// countExchange counts a try of an exchange.
func (keeper *Keeper) countExchange(err error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.commitDuration = keeper.poolCommitDuration
	switch {
	case err == nil:
		keeper.exchanges++
	case fault.KindOf(err) == fault.Conflict:
		keeper.conflicts++
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
		if item.Key == keeper.ownRow.Key {
			ownVersion = item.Version
		}
		if item.Key == holderKey(keeper.config.Name, keeper.era) && item.Key != keeper.ownRow.Key {
			return // written by an earlier commit of this process
		}
		keeper.updateSlice(item)
	}
	keeper.outcomeUnknown = ownVersion != keeper.ownRow.Version
}

// updateSlice replaces a slice in the copy of the pool by the row that is in the
// table.
func (keeper *Keeper) updateSlice(item platform.Item) {
	if keeper.pool == nil {
		return
	}
	for number := range keeper.pool.items {
		if item.Key == sliceKey(number, keeper.era) {
			keeper.pool.items[number] = item
			keeper.pool.upToDate = true
			keeper.pool.knownAt[number] = keeper.tableTime
			if len(keeper.pool.items) == 1 {
				keeper.pool.readAt = keeper.config.Now()
			}
		}
	}
}
