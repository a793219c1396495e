package budget

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// settleKept settles what this router holds for routers that are closed, and
// drops what the owners have settled themselves.
func (escrow *Escrow) settleKept(ctx context.Context) {
	for owner, settlements := range escrow.takeKept() {
		var left []Settlement
		for _, settlement := range settlements {
			done, err := escrow.settleFor(ctx, owner, settlement)
			if err != nil || !done {
				left = append(left, settlement)
			}
		}
		escrow.putBackKept(owner, left)
	}
}

func (escrow *Escrow) takeKept() map[string][]Settlement {
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	kept := escrow.kept
	escrow.kept = make(map[string][]Settlement)
	return kept
}

func (escrow *Escrow) putBackKept(owner string, settlements []Settlement) {
	if len(settlements) == 0 {
		return
	}
	escrow.mutex.Lock()
	defer escrow.mutex.Unlock()
	escrow.kept[owner] = append(settlements, escrow.kept[owner]...)
}

// settleFor settles for a closed owner: unattributed tokens become lines. It
// returns true when nothing is left to do.
func (escrow *Escrow) settleFor(ctx context.Context, owner string, settlement Settlement) (bool, error) {
	done := false
	err := escrow.retrier.Run(ctx, func(ctx context.Context) error {
		profile := settlement.Reservation.Profile
		keys := append([]platform.Key{holderKey(profile, owner)}, lineKeys(settlement, owner)...)
		items, err := escrow.table.Get(ctx, keys...)
		if err != nil {
			return err
		}
		plan := newBatchPlan(owner)
		if err := plan.readHolders([]string{profile}, items[:1]); err != nil {
			return err
		}
		if err := plan.readLines(items[1:]); err != nil {
			return err
		}
		plan.add(settlement, true)
		holder := plan.holders[profile].row
		charge := plan.charges[profile]
		done = items[0].Version == 0 || len(plan.lines) == 0 || holder.Closed
		if !done || !holder.Closed || charge.total() > holder.Settled.UnattributedTokens {
			return nil
		}
		return escrow.table.Transact(ctx, platform.Transaction{Writes: plan.writes()})
	})
	return done, err
}
