package budget

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of resizing: each round reads the budget and holder rows of many
// accounts in one call, returns lasting surplus of several accounts in one
// transaction, and refills the accounts that run low. What fails is left to the
// next round.

const (
	// resizeChunk is the number of accounts that are read in one call.
	resizeChunk = 50
	// returnChunk is the number of returns in one transaction. Each has up to
	// four writes.
	returnChunk = platform.MaxTransactionWrites / 4
	// returnTimeout bounds the write of returns.
	returnTimeout = 2 * time.Second
	// defaultRefillParallelism bounds the grants that are refilled at once.
	defaultRefillParallelism = 8
)

// plannedReturn is an amount that goes back to a budget.
type plannedReturn struct {
	account *account
	holding holding
	tokens  int64
}

// resize returns idle tokens and refills running grants of all accounts.
func (escrow *Escrow) resize(ctx context.Context) {
	accounts := slices.DeleteFunc(escrow.allAccounts(), (*account).isEmpty)
	for chunk := range slices.Chunk(accounts, resizeChunk) {
		if err := escrow.resizeAccounts(ctx, chunk); err != nil {
			_ = escrow.config.Logger.Log("level", "warn", "message", "grants not resized", "error", err)
		}
	}
}

func (escrow *Escrow) resizeAccounts(ctx context.Context, accounts []*account) error {
	holdings, err := escrow.readHoldings(ctx, accounts)
	if err != nil {
		return err
	}
	var returns []plannedReturn
	var refills []*account
	for i, account := range accounts {
		state := account.sizingState(holdings[i].budget)
		surplus := state.spareTokens - escrow.sizing.keep(state)
		surplus = account.lastingSurplus(surplus, holdings[i].budget, escrow.config.Horizon)
		if tokens := account.beginReturn(surplus, holdings[i].holder.row.Revision); tokens > 0 {
			returns = append(returns, plannedReturn{account: account, holding: holdings[i], tokens: tokens})
			continue
		}
		if escrow.sizing.refill(state) {
			refills = append(refills, account)
		}
	}
	escrow.refill(ctx, refills)
	return escrow.giveBackAll(ctx, returns)
}

func (escrow *Escrow) readHoldings(ctx context.Context, accounts []*account) ([]holding, error) {
	keys := make([]platform.Key, 0, 2*len(accounts))
	for _, account := range accounts {
		keys = append(keys, budgetKey(account.profile), holderKey(account.profile, escrow.config.Incarnation))
	}
	holdings := make([]holding, len(accounts))
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		items, err := escrow.table.Get(ctx, keys...)
		if err != nil {
			return err
		}
		for i, account := range accounts {
			if holdings[i], err = escrow.holdingOf(account, items[2*i], items[2*i+1]); err != nil {
				return err
			}
		}
		return nil
	})
	return holdings, err
}

func (escrow *Escrow) refill(ctx context.Context, accounts []*account) {
	group := errgroup.Group{}
	group.SetLimit(escrow.refillParallelism)
	for _, account := range accounts {
		group.Go(func() error {
			_, _ = escrow.replenish(ctx, account)
			return nil
		})
	}
	_ = group.Wait()
}

// giveBackAll returns tokens to budgets, several in one transaction. When
// another router has changed one of the rows, each is tried alone.
func (escrow *Escrow) giveBackAll(ctx context.Context, returns []plannedReturn) error {
	for chunk := range slices.Chunk(returns, returnChunk) {
		err := escrow.giveBack(ctx, chunk)
		if fault.Is(err, fault.Conflict) && len(chunk) > 1 {
			for _, single := range chunk {
				single.tokens = single.account.beginReturn(single.tokens, single.holding.holder.row.Revision)
				err = escrow.giveBack(ctx, []plannedReturn{single})
			}
		}
		if err != nil && !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return nil
}

// giveBack writes returns whose tokens are set aside. They stay so until the
// holder rows show whether the write was applied.
func (escrow *Escrow) giveBack(ctx context.Context, returns []plannedReturn) error {
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
			planned.account.failReturn(err)
		}
		return err
	}
	escrow.metrics.returned.Add(float64(tokens))
	for _, planned := range returns {
		if planned.tokens > 0 {
			planned.account.adopt(planned.changed())
		}
	}
	return nil
}

// transact writes once, within the timeout of a call.
func (escrow *Escrow) transact(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	return escrow.table.Transact(ctx, platform.Transaction{Writes: writes})
}

func (planned plannedReturn) changed() holderRow {
	return planned.holding.holder.row.WithReturn(planned.tokens)
}

func (planned plannedReturn) writes() []platform.Write {
	if planned.tokens == 0 {
		return nil
	}
	budget := planned.holding.budget.WithReturn(planned.tokens)
	return append(planned.holding.holder.writes(planned.changed()), platform.PutIfUnchanged(planned.holding.budgetItem, budget))
}
