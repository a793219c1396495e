package allowance

import (
	"context"
	"maps"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// exchange reads the pool and changes the grants to their targets. It takes
// tokens from the keeper's own slice and from at most maxDonors others.
func (keeper *Keeper) exchange(ctx context.Context, prepaid map[string]int64, maxDonors int) error {
	pool, err := keeper.readPool(ctx)
	if err != nil {
		return err
	}
	if pool == nil {
		return keeper.writeOwnRow(ctx)
	}
	now := keeper.config.Now()
	if pool.readAt.After(keeper.poolReadAt) {
		keeper.recordPool(pool, prepaid) // valid even if the commit conflicts
	}
	waitingByTeam := keeper.copyWaitingByTeam()
	var writes []platform.Write
	if !keeper.closing {
		writes = pool.rebalance(prepaid, waitingByTeam, maxDonors)
	}
	defer func() { keeper.exchangedAt = keeper.config.Now() }()
	keeper.holder.addAccounts(prepaid)
	row := keeper.holder.draft(keeper.newRow(now), keeper.planGrants(prepaid, waitingByTeam, pool), now)
	writes = append(writes, pool.sliceWrite(pool.ownNumber))
	keeper.pool, pool.upToDate = pool, false
	if err := keeper.commit(ctx, row, writes...); err != nil {
		return err
	}
	pool.recordWrites(writes, keeper.rowVersion)
	pool.upToDate = true
	if len(pool.slices) == 1 {
		pool.readAt = now // the commit's condition confirmed that its row was up to date
	}
	holders, _ := keeper.config.Holders()
	keeper.nextExchangeAt = now.Add(max(keeper.config.ExchangeInterval, exchangeSpacing*time.Duration(holders), keeper.roundDuration(keeper.poolCommitDuration)))
	keeper.recordPool(pool, prepaid)
	keeper.markExchanged()
	keeper.logHoldings(pool, prepaid, now)
	keeper.notifyWaiting()
	return nil
}

// copyWaitingByTeam returns the tokens that requests wait for, by team.
func (keeper *Keeper) copyWaitingByTeam() map[string]int64 {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return maps.Clone(keeper.waitingByTeam)
}

// logHoldings logs the holdings of each team, once in holdingsLogInterval.
func (keeper *Keeper) logHoldings(pool *pool, prepaid map[string]int64, now time.Time) {
	if now.Sub(keeper.holdingsLoggedAt) < holdingsLogInterval {
		return
	}
	keeper.holdingsLoggedAt = now
	for team, holding := range keeper.holder.Holdings(now) {
		_ = keeper.config.Logger.Log("event", "budget_held", "team", team, "granted", holding.Granted, "spent", holding.Spent,
			"reserved", holding.Reserved, "room", holding.Available, "demand", int64(holding.Demand), "short", holding.Refusals,
			"prepaid", prepaid[team], "slice_free", pool.grantable(pool.ownNumber, team, prepaid[team]), "pool_charged", pool.charged(team))
	}
}

// markExchanged records that an exchange has succeeded.
func (keeper *Keeper) markExchanged() {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.exchangedOnce = true
}

func (keeper *Keeper) recordPool(pool *pool, prepaid map[string]int64) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.poolReadAt = pool.readAt
	keeper.chargedByTeam = make(map[string]int64, len(prepaid))
	for team := range prepaid {
		keeper.chargedByTeam[team] = pool.charged(team)
	}
}

// keepGrants returns a plan that leaves all grants as they are.
func (keeper *Keeper) keepGrants() planFunc {
	waitingByTeam := keeper.copyWaitingByTeam()
	return func(team string, usage Usage) GrantPlan {
		return GrantPlan{
			Granted: usage.CurrentTerms.Granted, Reported: usage.CurrentTerms.Reported, Demand: usage.CurrentTerms.Demand,
			ExpectedDemand: usage.ExpectedDemand, WaitingTokens: waitingByTeam[team], StopSpending: keeper.closing,
		}
	}
}

// planGrants returns a plan that computes each team's grant and records it in
// the keeper's own slice.
func (keeper *Keeper) planGrants(prepaid, waitingByTeam map[string]int64, pool *pool) planFunc {
	slice := pool.slices[pool.ownNumber]
	servingHolders, serving := keeper.config.Holders()
	holders := max(1, servingHolders/len(pool.slices))
	return func(team string, usage Usage) GrantPlan {
		sliceAccount := slice.Teams[team]
		budgetState := BudgetState{
			Usage: usage, SliceBudget: pool.sliceBudget(pool.ownNumber, team, prepaid[team]), SliceAccount: sliceAccount, WaitingTokens: waitingByTeam[team], Holders: holders,
			Idle: !serving, Leaving: keeper.leaving.Load(),
		}
		granted := budgetState.TargetGrant()
		if keeper.closing {
			granted = usage.CurrentTerms.Charged
		}
		sliceAccount.Granted += granted - usage.CurrentTerms.Granted
		sliceAccount.Charged += usage.CurrentTerms.Charged - usage.CurrentTerms.Reported
		sliceAccount.Demand += int64(usage.Demand) - usage.CurrentTerms.Demand
		slice.Teams[team] = sliceAccount
		return GrantPlan{
			Granted: granted, Reported: usage.CurrentTerms.Charged, Demand: int64(usage.Demand),
			ExpectedDemand: float64(sliceAccount.Demand) / float64(holders), WaitingTokens: waitingByTeam[team], StopSpending: keeper.closing,
		}
	}
}
