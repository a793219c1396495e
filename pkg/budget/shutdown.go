package budget

import (
	"context"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Shutdown: write pending settlements, forward the backup copies held for other
// routers, return spare tokens, close or remove the holder rows, and remove the
// sequence row. A delayed batch write can no longer be applied after that,
// because it is conditional on holder rows that have changed.

// shutDown settles and closes all accounts of this incarnation.
func (escrow *Escrow) shutDown(ctx context.Context) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultDrainTimeout)
		defer cancel()
	}
	err := escrow.retryUntilDone(ctx, func(ctx context.Context) error {
		escrow.settleMutex.Lock()
		defer escrow.settleMutex.Unlock()
		return escrow.settleAll(ctx)
	})
	if err != nil {
		escrow.sendBackups(context.WithoutCancel(ctx), 0)
		return err
	}
	escrow.forwardBackups(ctx)
	for _, account := range escrow.allAccounts() {
		err = escrow.retryUntilDone(ctx, func(ctx context.Context) error { return escrow.closeAccount(ctx, account) })
		if err != nil {
			return err
		}
	}
	deleteSequence := platform.Write{Key: sequenceKey(escrow.config.Incarnation), Action: platform.Delete}
	return escrow.retryUntilDone(ctx, func(ctx context.Context) error {
		return escrow.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{deleteSequence}})
	})
}

// forwardBackups sends the backup copies held for other routers to another
// backup router.
func (escrow *Escrow) forwardBackups(ctx context.Context) {
	if escrow.config.BackupStore == nil {
		return
	}
	for owner, settlements := range escrow.backupsByOwner() {
		if err := escrow.config.BackupStore.StoreBackups(ctx, owner, settlements); err != nil {
			_ = escrow.config.Logger.Log("level", "warn", "message", "cannot forward backed-up settlements to another router", "owner", owner, "error", err)
		}
	}
}

// retryUntilDone repeats a step after retryable errors until ctx ends. A Retrier
// alone stops after a limited number of attempts.
func (escrow *Escrow) retryUntilDone(ctx context.Context, step func(ctx context.Context) error) error {
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

// closeAccount returns the spare tokens. If no tokens remain outstanding or
// unattributed, it removes the holder row and adds its totals to the budget row;
// otherwise it closes the holder row. If there is no holder row but a grant is in
// doubt, it rewrites the budget row, so that the delayed grant fails on the
// changed version.
func (escrow *Escrow) closeAccount(ctx context.Context, account *account) error {
	return escrow.retrier.Run(ctx, func(ctx context.Context) error {
		snapshot, err := escrow.readSnapshot(ctx, account)
		if err != nil {
			return err
		}
		spare, grantInDoubt := account.closingState()
		writes := snapshot.closingWrites(spare)
		if snapshot.holder.item.Version == 0 {
			if !grantInDoubt || snapshot.budgetItem.Version == 0 {
				return nil
			}
			writes = []platform.Write{platform.PutIfUnchanged(snapshot.budgetItem, snapshot.budget)}
		}
		return escrow.table.Transact(ctx, platform.Transaction{Writes: writes})
	})
}

// closingState returns the tokens to return at shutdown, and whether a grant is
// in doubt.
func (account *account) closingState() (int64, bool) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.spareTokens() + account.pendingReturn.tokens, account.grantInDoubt
}

func (snapshot snapshot) closingWrites(spareTokens int64) []platform.Write {
	budget := snapshot.budget.WithReturn(spareTokens)
	newRow := snapshot.holder.row.WithReturn(spareTokens)
	if newRow.outstandingTokens() != 0 || newRow.Settled.UnattributedTokens != 0 {
		writes := snapshot.holder.writes(newRow.WithClosed())
		return append(writes, platform.PutIfUnchanged(snapshot.budgetItem, budget))
	}
	budget.Folded = budget.Folded.plus(newRow.Settled)
	budget.Holders--
	return []platform.Write{
		platform.PutIfUnchanged(snapshot.budgetItem, budget),
		snapshot.holder.unattributedWrite(0),
		{Key: snapshot.holder.item.Key, Action: platform.Delete, Condition: platform.Unchanged(snapshot.holder.item)},
		{Key: profileKey(snapshot.holder.incarnation, snapshot.holder.profile), Action: platform.Delete},
	}
}
