package budget

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of a shutdown: settle what is pending, return what is spare, close
// the holder rows, pass on what is held for other routers, and remove the
// sequence row. A late batch cannot be applied then, because it is conditional
// on holder rows that have changed.

// finish ends the books of this incarnation.
func (escrow *Escrow) finish(ctx context.Context) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultDrainTimeout)
		defer cancel()
	}
	err := escrow.untilDone(ctx, func(ctx context.Context) error {
		escrow.settling.Lock()
		defer escrow.settling.Unlock()
		return escrow.settleAll(ctx)
	})
	if err != nil {
		escrow.handOver(context.WithoutCancel(ctx), 0)
		return err
	}
	escrow.passOnKept(ctx)
	for _, account := range escrow.allAccounts() {
		err = escrow.untilDone(ctx, func(ctx context.Context) error { return escrow.finishAccount(ctx, account) })
		if err != nil {
			return err
		}
	}
	sequence := platform.Write{Key: sequenceKey(escrow.config.Incarnation), Action: platform.Delete}
	return escrow.untilDone(ctx, func(ctx context.Context) error {
		return escrow.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{sequence}})
	})
}

// passOnKept hands the settlements of other routers to a third one.
func (escrow *Escrow) passOnKept(ctx context.Context) {
	if escrow.config.Keeper == nil {
		return
	}
	for owner, settlements := range escrow.keptByOwner() {
		if err := escrow.config.Keeper.Keep(ctx, owner, settlements); err != nil {
			_ = escrow.config.Logger.Log("level", "warn", "message", "held settlements are not passed on", "owner", owner, "error", err)
		}
	}
}

// untilDone repeats a step that the retrier gave up, until ctx ends.
func (escrow *Escrow) untilDone(ctx context.Context, step func(ctx context.Context) error) error {
	for {
		err := step(ctx)
		if err == nil || !platform.IsRetryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(escrow.config.SettleInterval):
		}
	}
}

// finishAccount returns the spare tokens. A holder row that holds nothing more
// is removed and its sums are added to the budget row; another one is closed. A
// first grant that may still be in transit is stopped by a new version of the
// budget row.
func (escrow *Escrow) finishAccount(ctx context.Context, account *account) error {
	return escrow.retrier.Run(ctx, func(ctx context.Context) error {
		holding, err := escrow.readHolding(ctx, account)
		if err != nil {
			return err
		}
		spare, grantInTransit := account.finalState()
		writes := holding.finalWrites(spare)
		if holding.holder.item.Version == 0 {
			if !grantInTransit || holding.budgetItem.Version == 0 {
				return nil
			}
			writes = []platform.Write{platform.PutIfUnchanged(holding.budgetItem, holding.budget)}
		}
		return escrow.table.Transact(ctx, platform.Transaction{Writes: writes})
	})
}

// finalState returns what is returned at the end, and whether a grant may still
// be in transit.
func (account *account) finalState() (int64, bool) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.spareTokens() + account.returning.tokens, account.grantInTransit
}

func (holding holding) finalWrites(spareTokens int64) []platform.Write {
	budget := holding.budget.WithReturn(spareTokens)
	changed := holding.holder.row.WithReturn(spareTokens)
	if changed.outstandingTokens() != 0 || changed.Settled.UnattributedTokens != 0 {
		writes := holding.holder.writes(changed.WithClosed())
		return append(writes, platform.PutIfUnchanged(holding.budgetItem, budget))
	}
	budget.Folded = budget.Folded.plus(changed.Settled)
	budget.Holders--
	return []platform.Write{
		platform.PutIfUnchanged(holding.budgetItem, budget),
		holding.holder.unattributedWrite(0),
		{Key: holding.holder.item.Key, Action: platform.Delete, Condition: platform.Unchanged(holding.holder.item)},
		{Key: profileKey(holding.holder.incarnation, holding.holder.profile), Action: platform.Delete},
	}
}
