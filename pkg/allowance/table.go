package allowance

// A keeper's calls of the table.

import (
	"context"
	"errors"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// readBack finds out which row is in the table: a predecessor's at the start,
// or one of this process whose commit had no answer.
func (keeper *Keeper) readBack(ctx context.Context) error {
	item, err := keeper.read(ctx, holderKey(keeper.config.Name))
	if err != nil {
		return err
	}
	row, err := decode[Row](item.Value)
	if err != nil {
		return err
	}
	keeper.uncertain = false
	if item.Version == keeper.version {
		return nil // a pending row may still be applied; it stays pending
	}
	keeper.version = item.Version
	if row.Process == keeper.config.Process {
		keeper.holder.committed(row.Sequence)
		return nil
	}
	if keeper.holder.Started() {
		keeper.holder.fence()
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "another process writes the budget row of this holder",
			Remedy:  "give each router its own node name",
		})
	}
	alive := keeper.config.Now().Sub(keeper.config.Started)
	elapsed := keeper.clock - alive - row.Stamp
	keeper.holder.adopt(row, elapsed)
	keeper.logAdoption(row, elapsed)
	return nil
}

func (keeper *Keeper) logAdoption(row Row, elapsed time.Duration) {
	for name, terms := range row.Teams {
		_ = keeper.config.Logger.Log("event", "budget_adopted", "team", name, "predecessor", row.Process,
			"granted", terms.Granted, "charged", terms.Charged, "lost", row.Bound(name, elapsed)-terms.Charged, "elapsed", elapsed)
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
	keeper.setClock(receipt.Now)
	return items, nil
}

// TableAge returns the time since the table last answered.
func (keeper *Keeper) TableAge(now time.Time) (age time.Duration, known bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return now.Sub(keeper.clockAt), !keeper.clockAt.IsZero()
}

// setClock takes in the platform's time. By the time of the answer the
// platform's clock is ahead of it, so stamps made from it are never too late.
func (keeper *Keeper) setClock(now time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.clock, keeper.clockAt = now, keeper.config.Now()
}

func (keeper *Keeper) row(now time.Time) Row {
	keeper.sequence++
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return Row{
		Process: keeper.config.Process, Sequence: keeper.sequence, Stamp: keeper.clock + now.Sub(keeper.clockAt),
		Early: earlyTime, EarlyPart: earlyFactor / paceFactor,
	}
}

func condition(version uint64) platform.Condition {
	if version == 0 {
		return platform.Condition{Kind: platform.IfAbsent}
	}
	return platform.Condition{Kind: platform.IfVersion, Version: version}
}

// commit writes the own row, and the pool row with it when there is one.
func (keeper *Keeper) commit(ctx context.Context, row Row, slices ...platform.Write) error {
	transaction := platform.Transaction{Writes: []platform.Write{{
		Key:       holderKey(keeper.config.Name),
		Value:     encode(row),
		Condition: condition(keeper.version),
	}}}
	transaction.Writes = append(transaction.Writes, slices...)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := keeper.config.Now()
	receipt, err := keeper.config.Table.Commit(ctx, transaction)
	if len(slices) > 0 {
		keeper.commitTook = keeper.config.Now().Sub(begun)
	}
	switch {
	case err == nil:
		keeper.version = receipt.Version
		keeper.holder.committed(row.Sequence)
		keeper.setClock(receipt.Now)
		return nil
	case fault.KindOf(err) == fault.Conflict:
		keeper.holder.dropped(row.Sequence)
		keeper.conflicted(err)
		return err
	case fault.KindOf(err) == fault.Overloaded:
		keeper.holder.dropped(row.Sequence)
		return err
	default:
		keeper.uncertain = true
		return err
	}
}

// conflicted finds out from the rows that a failed commit came with whether an
// older commit of this process was applied late.
func (keeper *Keeper) conflicted(err error) {
	keeper.uncertain = true
	var conflict *platform.ConflictError
	if !errors.As(fault.CauseOf(err), &conflict) {
		return
	}
	own := uint64(0) // the version of a row that isn't there
	for _, item := range conflict.Items {
		if item.Key == holderKey(keeper.config.Name) {
			own = item.Version
		}
		keeper.present(item)
	}
	keeper.uncertain = own != keeper.version
}

// present takes in a slice as it is in the table.
func (keeper *Keeper) present(item platform.Item) {
	if keeper.seen == nil {
		return
	}
	for number := range keeper.seen.items {
		if item.Key == sliceKey(number) {
			keeper.seen.items[number] = item
			keeper.seen.fresh = true
		}
	}
}
