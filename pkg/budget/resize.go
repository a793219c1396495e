package budget

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Resizing: each round reads the budget and holder rows of many accounts in one
// call, returns sustained surplus of several accounts in one transaction, and
// refills accounts whose spare tokens are low. Failures are retried in the next
// round.

const (
	// resizeChunk is the number of accounts whose rows are read in one call.
	resizeChunk = 50
	// returnChunk is the number of returns in one transaction. Each return has
	// up to four writes.
	returnChunk = platform.MaxTransactionWrites / 4
	// returnTimeout limits the write of a chunk of returns.
	returnTimeout = 2 * time.Second
	// defaultRefillParallelism is the default number of concurrent refills.
	defaultRefillParallelism = 8
)

// plannedReturn is an amount to return to a budget.
type plannedReturn struct {
	account  *account
	snapshot snapshot
	tokens   int64
}

// resize returns idle tokens and refills grants for all accounts.
func (escrow *Escrow) resize(ctx context.Context) {
	accounts := slices.DeleteFunc(escrow.allAccounts(), (*account).isIdle)
	for chunk := range slices.Chunk(accounts, resizeChunk) {
		if err := escrow.resizeAccounts(ctx, chunk); err != nil {
			_ = escrow.config.Logger.Log("level", "warn", "message", "cannot resize grants; retrying in the next round", "error", err)
		}
	}
}

func (escrow *Escrow) resizeAccounts(ctx context.Context, accounts []*account) error {
	snapshots, err := escrow.readSnapshots(ctx, accounts)
	if err != nil {
		return err
	}
	var returns []plannedReturn
	var refills []*account
	for i, account := range accounts {
		state := account.sizingState(snapshots[i].budget)
		surplus := state.spareTokens - escrow.sizing.maxIdle(state)
		surplus = account.sustainedSurplus(surplus, snapshots[i].budget, escrow.config.Horizon)
		if tokens := account.beginReturn(surplus, snapshots[i].holder.row.Revision); tokens > 0 {
			returns = append(returns, plannedReturn{account: account, snapshot: snapshots[i], tokens: tokens})
			continue
		}
		if escrow.sizing.needsRefill(state) {
			refills = append(refills, account)
		}
	}
	escrow.refill(ctx, refills)
	return escrow.returnAll(ctx, returns)
}

func (escrow *Escrow) readSnapshots(ctx context.Context, accounts []*account) ([]snapshot, error) {
	keys := make([]platform.Key, 0, 2*len(accounts))
	for _, account := range accounts {
		keys = append(keys, budgetKey(account.profile), holderKey(account.profile, escrow.config.Incarnation))
	}
	snapshots := make([]snapshot, len(accounts))
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		items, err := escrow.table.Get(ctx, keys...)
		if err != nil {
			return err
		}
		for i, account := range accounts {
			if snapshots[i], err = escrow.decodeSnapshot(account, items[2*i], items[2*i+1]); err != nil {
				return err
			}
		}
		return nil
	})
	return snapshots, err
}

func (escrow *Escrow) refill(ctx context.Context, accounts []*account) {
	group := errgroup.Group{}
	group.SetLimit(escrow.refillParallelism)
	for _, account := range accounts {
		group.Go(func() error {
			_, _ = escrow.requestGrant(ctx, account)
			return nil
		})
	}
	_ = group.Wait()
}

// returnAll returns tokens to budgets, several in one transaction. If that
// fails because another router has changed one of the rows, each return is
// written on its own.
func (escrow *Escrow) returnAll(ctx context.Context, returns []plannedReturn) error {
	for chunk := range slices.Chunk(returns, returnChunk) {
		err := escrow.writeReturns(ctx, chunk)
		if fault.Is(err, fault.Conflict) && len(chunk) > 1 {
			for _, single := range chunk {
				single.tokens = single.account.beginReturn(single.tokens, single.snapshot.holder.row.Revision)
				err = escrow.writeReturns(ctx, []plannedReturn{single})
			}
		}
		if err != nil && !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return nil
}

// writeReturns writes returns whose tokens are withheld from the balance. On an
// unknown outcome they stay withheld until the holder rows show whether the
// write was applied.
func (escrow *Escrow) writeReturns(ctx context.Context, returns []plannedReturn) error {
	var writes []platform.Write
	var tokens int64
	for _, planned := range returns {
		writes = append(writes, planned.writes()...)
		tokens += planned.tokens
	}
	if tokens == 0 {
		return nil
	}
	if err := escrow.transact(ctx, writes); err != nil {
		for _, planned := range returns {
			planned.account.releaseReturn(err)
		}
		return err
	}
	escrow.metrics.returnedTokens.Add(float64(tokens))
	for _, planned := range returns {
		if planned.tokens > 0 {
			planned.account.applyRow(planned.newRow())
		}
	}
	return nil
}

// transact makes one write attempt with returnTimeout.
func (escrow *Escrow) transact(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	return escrow.table.Transact(ctx, platform.Transaction{Writes: writes})
}

func (planned plannedReturn) newRow() holderRow {
	return planned.snapshot.holder.row.WithReturn(planned.tokens)
}

func (planned plannedReturn) writes() []platform.Write {
	if planned.tokens == 0 {
		return nil
	}
	budget := planned.snapshot.budget.WithReturn(planned.tokens)
	return append(planned.snapshot.holder.writes(planned.newRow()), platform.PutIfUnchanged(planned.snapshot.budgetItem, budget))
}
