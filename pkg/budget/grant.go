package budget

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Grants: read the budget row and this router's holder row, apply the holder
// row to the account, size the grant by the policy, and write both rows on
// condition that neither has changed. If a response is lost, the next read
// shows whether the write was applied.

// snapshot is a consistent read of a budget row and of this router's holder
// row.
type snapshot struct {
	budgetItem platform.Item
	budget     budgetRow
	holder     holderRecord
}

func (escrow *Escrow) readSnapshot(ctx context.Context, account *account) (snapshot, error) {
	items, err := escrow.table.Get(ctx, budgetKey(account.profile), holderKey(account.profile, escrow.config.Incarnation))
	if err != nil {
		return snapshot{}, err
	}
	return escrow.decodeSnapshot(account, items[0], items[1])
}

// decodeSnapshot decodes both rows and applies the holder row to the account.
func (escrow *Escrow) decodeSnapshot(account *account, budgetItem, holderItem platform.Item) (snapshot, error) {
	budget, err := platform.DecodeRow[budgetRow](budgetItem)
	if err != nil {
		return snapshot{}, err
	}
	holder, err := decodeHolderRecord(account.profile, escrow.config.Incarnation, holderItem)
	if err != nil {
		return snapshot{}, err
	}
	account.applyRow(holder.row)
	return snapshot{budgetItem: budgetItem, budget: budget, holder: holder}, nil
}

// beginGrant counts a grant or loan as in progress. It returns false if the
// escrow is shutting down.
func (escrow *Escrow) beginGrant() bool {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	if escrow.draining {
		return false
	}
	escrow.grantsInProgress.Add(1)
	return true
}

// cancelOnClose returns a context that is canceled when the escrow is closed.
func (escrow *Escrow) cancelOnClose(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	escrow.grantsInProgress.Go(func() {
		select {
		case <-escrow.stopped:
		case <-ctx.Done():
		}
		cancel()
	})
	return ctx, cancel
}

// takeGrant takes one grant, sized by the policy.
func (escrow *Escrow) takeGrant(ctx context.Context, account *account) (budgetStatus, error) {
	if !escrow.beginGrant() {
		return budgetStatus{}, drainingError()
	}
	defer escrow.grantsInProgress.Done()
	ctx, cancel := escrow.cancelOnClose(ctx)
	defer cancel()
	var status budgetStatus
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		snapshot, err := escrow.readSnapshot(ctx, account)
		if err != nil {
			return err
		}
		if err := snapshot.checkGrantable(account.profile); err != nil {
			return err
		}
		status, err = escrow.sizeAndWriteGrant(ctx, account, snapshot)
		return err
	})
	return status, err
}

// checkGrantable returns an error if the budget does not exist or is retired.
func (snapshot snapshot) checkGrantable(profile string) error {
	if snapshot.budgetItem.Version == 0 {
		return unknownBudget(profile)
	}
	if snapshot.budget.Retired {
		return retiredError(profile)
	}
	return nil
}

func (escrow *Escrow) sizeAndWriteGrant(ctx context.Context, account *account, snapshot snapshot) (budgetStatus, error) {
	freeTokens := snapshot.budget.freeTokens()
	state := account.sizingState(snapshot.budget)
	tokens := escrow.boundedGrantSize(state, freeTokens)
	if tokens <= 0 {
		return escrow.reportShortage(ctx, account, snapshot)
	}
	if err := escrow.writeGrant(ctx, account, snapshot, tokens); err != nil {
		return budgetStatus{}, err
	}
	remaining := freeTokens - tokens
	return budgetStatus{isKnown: true, limitTokens: snapshot.budget.LimitTokens, freeTokens: remaining, recoverableTokens: snapshot.budget.LimitTokens}, nil
}

// boundedGrantSize returns the grant size of the policy, limited to freeTokens.
func (escrow *Escrow) boundedGrantSize(state sizingState, freeTokens int64) int64 {
	return min(escrow.sizing.grantSize(state), freeTokens)
}

func (escrow *Escrow) writeGrant(ctx context.Context, account *account, snapshot snapshot, tokens int64) error {
	budget := snapshot.budget.WithGrant(tokens)
	if snapshot.holder.item.Version == 0 {
		budget.Holders++
	}
	newRow := snapshot.holder.row.WithGrant(tokens)
	writes := append(snapshot.holder.writes(newRow), platform.PutIfUnchanged(snapshot.budgetItem, budget))
	if err := escrow.table.Transact(ctx, platform.Transaction{Writes: writes}); err != nil {
		account.recordGrantError(err)
		return err
	}
	escrow.metrics.grantedTokens.Add(float64(tokens))
	account.applyRow(newRow)
	return nil
}

// reportShortage returns the status of the budget and sets WantedTokens so that
// holders return idle tokens.
func (escrow *Escrow) reportShortage(ctx context.Context, account *account, snapshot snapshot) (budgetStatus, error) {
	statement, err := readStatement(ctx, escrow.table, account.profile)
	if err != nil {
		return budgetStatus{}, err
	}
	status := statement.budgetStatus()
	account.recordShortage(status)
	minWaiting := account.minWaitingTokens()
	if minWaiting > snapshot.budget.WantedTokens && minWaiting <= status.recoverableTokens {
		budget := snapshot.budget
		budget.WantedTokens = minWaiting
		err = escrow.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{platform.PutIfUnchanged(snapshot.budgetItem, budget)}})
	}
	return status, err
}
