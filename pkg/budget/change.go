package budget

import (
	"context"
	"encoding/json"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// idleReturnTime is how long operators are told to wait for idle tokens after a
// budget's WantedTokens is set. Routers return them in a round of resizing.
const idleReturnTime = 3 * resizeInterval

// ChangeWrites returns the writes to the budget's rows that belong to a
// configuration change, for inclusion in the transaction that publishes it.
// They open a budget when its profile is first published, raise or lower its
// limit, or stop grants for a retired or deleted profile. Other changes need no
// writes. The writes are conditional on the rows read: if the transaction fails
// with fault.Conflict, call ChangeWrites again. The errors are fault.Invalid,
// fault.NotFound, fault.Conflict for an operation that was applied before, and
// fault.Unavailable.
func (ledger *Ledger) ChangeWrites(ctx context.Context, change configuration.Change) ([]platform.Write, error) {
	switch change.Kind {
	case configuration.KindProfile:
		return ledger.profileWrites(ctx, change)
	case configuration.KindLimit:
		return ledger.limitWrites(ctx, change)
	default:
		return nil, nil
	}
}

func (ledger *Ledger) profileWrites(ctx context.Context, change configuration.Change) ([]platform.Write, error) {
	var profile configuration.Profile
	if len(change.Body) > 0 {
		if err := json.Unmarshal(change.Body, &profile); err != nil {
			return nil, invalidBody(change, err)
		}
	}
	items, budget, err := ledger.readBudget(ctx, change)
	if err != nil {
		return nil, err
	}
	exists := items[0].Version != 0
	retired := profile.Retired || len(change.Body) == 0
	switch {
	case !exists && len(change.Body) == 0:
		return nil, nil
	case !exists:
		opened := budgetRow{OpeningTokens: profile.LimitTokens, LimitTokens: profile.LimitTokens, Retired: retired}
		return []platform.Write{platform.Insert(budgetKey(change.Name), opened)}, nil
	case len(change.Body) > 0 && profile.LimitTokens != budget.OpeningTokens:
		return nil, openingLimitDiffers(change, profile, budget)
	case budget.Retired == retired:
		return nil, nil
	}
	budget.Retired = retired
	return []platform.Write{platform.PutIfUnchanged(items[0], budget)}, nil
}

func (ledger *Ledger) limitWrites(ctx context.Context, change configuration.Change) ([]platform.Write, error) {
	var limit configuration.Limit
	if err := json.Unmarshal(change.Body, &limit); err != nil {
		return nil, invalidBody(change, err)
	}
	if change.OperationID == "" {
		return nil, missingOperationID(change)
	}
	items, budget, err := ledger.readBudget(ctx, change)
	if err != nil {
		return nil, err
	}
	if items[0].Version == 0 {
		return nil, unknownBudget(change.Name)
	}
	if items[1].Version != 0 {
		return nil, operationAlreadyApplied(change)
	}
	if budget.freeTokens()+limit.AddTokens < 0 {
		ledger.requestReturns(ctx, items[0], budget, -limit.AddTokens)
		return nil, limitBelowTaken(change, budget, limit)
	}
	budget.LimitTokens += limit.AddTokens
	return []platform.Write{
		platform.PutIfUnchanged(items[0], budget),
		platform.Insert(operationKey(change.Name, change.OperationID), operationRow{AddTokens: limit.AddTokens}),
	}, nil
}

// requestReturns sets WantedTokens so that routers return idle tokens. It is
// best effort: if the write fails, no tokens are returned, and the operator's
// next attempt fails once more and calls it again.
func (ledger *Ledger) requestReturns(ctx context.Context, item platform.Item, budget budgetRow, tokens int64) {
	budget.WantedTokens = max(budget.WantedTokens, tokens)
	_ = ledger.table.Transact(ctx, platform.Transaction{Writes: []platform.Write{platform.PutIfUnchanged(item, budget)}})
}

// readBudget reads the budget row and the operation row of a change.
func (ledger *Ledger) readBudget(ctx context.Context, change configuration.Change) ([]platform.Item, budgetRow, error) {
	var items []platform.Item
	err := ledger.retrier.Run(ctx, func(ctx context.Context) error {
		var err error
		items, err = ledger.table.Get(ctx, budgetKey(change.Name), operationKey(change.Name, change.OperationID))
		return err
	})
	if err != nil {
		return nil, budgetRow{}, err
	}
	budget, err := platform.DecodeRow[budgetRow](items[0])
	return items, budget, err
}

func invalidBody(change configuration.Change, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("the body of %s %q is not valid JSON", change.Kind, change.Name),
		Remedy:  "correct the document",
		Cause:   cause,
	})
}

func missingOperationID(change configuration.Change) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("the change of the limit of %q has no operation id", change.Name),
		Remedy:  "send an operation id, so that a retry is applied once",
	})
}

func operationAlreadyApplied(change configuration.Change) error {
	return fault.New(fault.Config{
		Kind:    fault.Conflict,
		Message: fmt.Sprintf("operation %q on the limit of %q was applied before", change.OperationID, change.Name),
		Remedy:  "read the audit trail; use a new operation id for another change",
	})
}

func openingLimitDiffers(change configuration.Change, profile configuration.Profile, budget budgetRow) error {
	return fault.New(fault.Config{
		Kind: fault.Invalid,
		Message: fmt.Sprintf("profile %q was opened with limit_tokens %d, not %d; its limit is %d now",
			change.Name, budget.OpeningTokens, profile.LimitTokens, budget.LimitTokens),
		Remedy: fmt.Sprintf("leave limit_tokens at %d and change the limit by a top-up", budget.OpeningTokens),
	})
}

func limitBelowTaken(change configuration.Change, budget budgetRow, limit configuration.Limit) error {
	return fault.New(fault.Config{
		Kind: fault.Conflict,
		Message: fmt.Sprintf("the limit %d of %q cannot be lowered by %d: %d tokens are spent or granted",
			budget.LimitTokens, change.Name, -limit.AddTokens, budget.TakenTokens),
		Remedy: fmt.Sprintf("lower it by at most %d, or retry in %s when routers have returned idle tokens",
			budget.freeTokens(), idleReturnTime),
		RetryAfter: 3 * DefaultSettleInterval,
	})
}
