package allowance

// Reads and commits of a keeper in the table.

import (
	"context"
	"errors"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// readOwnRow finds out which row is in the table: at the start that of the
// preceding process, later maybe one of this process whose commit had no
// answer.
func (keeper *Keeper) readOwnRow(ctx context.Context) error {
	item, err := keeper.read(ctx, holderKey(keeper.config.Name))
	if err != nil {
		return err
	}
	row, err := decode[Row](item.Value)
	if err != nil {
		return err
	}
	keeper.outcomeUnknown = false
	if item.Version == keeper.rowVersion {
		return nil // a pending row may still be applied; it stays pending
	}
	keeper.rowVersion = item.Version
	if row.Process == keeper.config.Process {
		keeper.holder.markCommitted(row.Sequence)
		return nil
	}
	if keeper.holder.Started() {
		keeper.holder.fence()
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "another process writes to the budget row of this router",
			Remedy:  "give each router its own node name",
		})
	}
	uptime := keeper.config.Now().Sub(keeper.config.Started)
	elapsed := keeper.platformTime - uptime - row.Stamp
	keeper.holder.takeOver(row, elapsed)
	keeper.logTakeover(row, elapsed)
	return nil
}

func (keeper *Keeper) logTakeover(row Row, elapsed time.Duration) {
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
	keeper.setPlatformTime(receipt.Now)
	return items, nil
}

// TableAge returns the time since the table last answered, and whether it ever
// has.
func (keeper *Keeper) TableAge(now time.Time) (age time.Duration, known bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return now.Sub(keeper.platformTimeAt), !keeper.platformTimeAt.IsZero()
}

// setPlatformTime records the platform time of an answer. The platform's clock
// has advanced by the time that the answer arrives, so stamps computed from it
// are never too late.
func (keeper *Keeper) setPlatformTime(now time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.platformTime, keeper.platformTimeAt = now, keeper.config.Now()
}

func (keeper *Keeper) newRow(now time.Time) Row {
	keeper.sequence++
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return Row{
		Process: keeper.config.Process, Sequence: keeper.sequence, Stamp: keeper.platformTime + now.Sub(keeper.platformTimeAt),
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

// commit writes the own row, and the slices in the same transaction if there
// are any.
func (keeper *Keeper) commit(ctx context.Context, row Row, sliceWrites ...platform.Write) error {
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
		keeper.setPlatformTime(receipt.Now)
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

// handleConflict finds out from the rows returned with a conflict whether an
// earlier commit of this process was applied late.
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

// updateSlice replaces a slice of the pool copy by the row that is in the
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
