package budget

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The flow of a grant: read the budget row and the own holder row, adopt the
// latter, let the policy size the grant, and write both rows on the condition
// that neither has changed. After a lost answer the next read shows what was
// applied.

// holding is a consistent read of a budget and of the own part of it.
type holding struct {
	budgetItem platform.Item
	budget     budgetRow
	holder     holderRecord
}

func (escrow *Escrow) readHolding(ctx context.Context, account *account) (holding, error) {
	items, err := escrow.table.Get(ctx, budgetKey(account.profile), holderKey(account.profile, escrow.config.Incarnation))
	if err != nil {
		return holding{}, err
	}
	return escrow.holdingOf(account, items[0], items[1])
}

func (escrow *Escrow) holdingOf(account *account, budgetItem, holderItem platform.Item) (holding, error) {
	budget, err := platform.DecodeRow[budgetRow](budgetItem)
	if err != nil {
		return holding{}, err
	}
	holder, err := newHolderRecord(account.profile, escrow.config.Incarnation, holderItem)
	if err != nil {
		return holding{}, err
	}
	account.adopt(holder.row)
	return holding{budgetItem: budgetItem, budget: budget, holder: holder}, nil
}

// beginGrant counts a grant that is being taken. It returns false when the
// escrow is shutting down.
func (escrow *Escrow) beginGrant() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	if escrow.draining {
		return false
	}
	escrow.granting.Add(1)
	return true
}

// untilStopped returns a context that ends when the escrow is closed.
func (escrow *Escrow) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	escrow.granting.Go(func() {
		select {
		case <-escrow.stopped:
		case <-ctx.Done():
		}
		cancel()
	})
	return ctx, cancel
}

// take takes one grant, sized by the policy.
func (escrow *Escrow) take(ctx context.Context, account *account) (standing, error) {
	if !escrow.beginGrant() {
		return standing{}, drainingError()
	}
	defer escrow.granting.Done()
	ctx, cancel := escrow.untilStopped(ctx)
	defer cancel()
	var found standing
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		holding, err := escrow.readHolding(ctx, account)
		if err != nil {
			return err
		}
		if err := holding.checkGrants(account.profile); err != nil {
			return err
		}
		found, err = escrow.takeFrom(ctx, account, holding)
		return err
	})
	return found, err
}

// checkGrants returns why no grant can be taken from the budget.
func (holding holding) checkGrants(profile string) error {
	if holding.budgetItem.Version == 0 {
		return unknownBudget(profile)
	}
	if holding.budget.Retired {
		return retiredError(profile)
	}
	return nil
}

func (escrow *Escrow) takeFrom(ctx context.Context, account *account, holding holding) (standing, error) {
	free := holding.budget.freeTokens()
	state := account.sizingState(holding.budget)
	tokens := escrow.grantTokens(state, free)
	if tokens <= 0 {
		return escrow.shortage(ctx, account, holding)
	}
	if err := escrow.writeGrant(ctx, account, holding, tokens); err != nil {
		return standing{}, err
	}
	left := free - tokens
	return standing{known: true, limitTokens: holding.budget.LimitTokens, freeTokens: left, recoverableTokens: holding.budget.LimitTokens}, nil
}

// grantTokens never exceeds what is free.
func (escrow *Escrow) grantTokens(state sizingState, free int64) int64 {
	return min(escrow.sizing.take(state), free)
}

func (escrow *Escrow) writeGrant(ctx context.Context, account *account, holding holding, tokens int64) error {
	budget := holding.budget.WithGrant(tokens)
	if holding.holder.item.Version == 0 {
		budget.Holders++
	}
	changed := holding.holder.row.WithGrant(tokens)
	writes := append(holding.holder.writes(changed), platform.PutIfUnchanged(holding.budgetItem, budget))
	if err := escrow.table.Transact(ctx, platform.Transaction{Writes: writes}); err != nil {
		account.noteGrantError(err)
		return err
	}
	escrow.metrics.granted.Add(float64(tokens))
	account.adopt(changed)
	return nil
}

// shortage tells what could still come back, and marks the budget so that
// holders return idle tokens.
func (escrow *Escrow) shortage(ctx context.Context, account *account, holding holding) (standing, error) {
	statement, err := readStatement(ctx, escrow.table, account.profile)
	if err != nil {
		return standing{}, err
	}
	found := statement.standing()
	account.noteShort(found)
	wanted := account.smallestWait()
	if wanted > holding.budget.WantedTokens && wanted <= found.recoverableTokens {
		budget := holding.budget
		budget.WantedTokens = wanted
		err = escrow.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{platform.PutIfUnchanged(holding.budgetItem, budget)}})
	}
	return found, err
}
