package allowance

import (
	"context"
	"slices"
	"strings"
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
	waitingByTeam := keeper.waiting.cover()
	pool.now = keeper.tableTimeAt(now)
	pool.enterEra(keeper.eraEnteredAt, keeper.rememberedPool, keeper.undeclared)
	waitsForOthers := pool.awaitsDeclarations(pool.now)
	keeper.correctPredecessor(&pool.slices[pool.ownNumber], now)
	var writes []platform.Write
	if !keeper.closing && !waitsForOthers {
		writes = pool.rebalance(prepaid, waitingByTeam, maxDonors)
		if maxDonors > 0 {
			writes = append(writes, pool.continueNext(writes)...)
		}
	}
	defer func() { keeper.exchangedAt = keeper.config.Now() }()
	pool.slices[pool.ownNumber].setStandby(keeper.config.Name, keeper.busyTeams, pool.now)
	keeper.holder.addAccounts(prepaid)
	row, share := keeper.newRow(now), keeper.newShare(now)
	undone := make(map[string]HolderAccount)
	row = keeper.holder.draft(row, keeper.planGrants(prepaid, waitingByTeam, pool, share, undone, waitsForOthers), now)
	slice := &pool.slices[pool.ownNumber]
	slice.replaceShare(keeper.config.Name, keeper.statedShare(slice), share.withBases(row))
	if folded := slice.fold(keeper.config.Name, keeper.era, keeper.tableTimeAt(now), keeper.config.MaxSliceBytes); len(folded) > 0 {
		_ = keeper.config.Logger.Log("event", "budget_shares_folded", "slice", pool.ownNumber, "holders", strings.Join(folded, ","))
	}
	writes = append(writes, pool.sliceWrites(pool.ownNumber)...)
	keeper.pool, pool.upToDate = pool, false
	if err := keeper.commit(ctx, row, writes...); err != nil {
		return err
	}
	pool.recordWrites(writes, keeper.ownRow.Version, keeper.tableTimeAt(now))
	pool.upToDate = true
	if keeper.undeclared {
		keeper.logDeclared(undone)
	}
	keeper.undonePredecessor, keeper.statedTerms = false, nil
	if len(pool.slices) == 1 {
		pool.readAt = now // the commit's condition confirmed that its row was up to date
	}
	holders, _ := keeper.config.Holders()
	keeper.nextExchangeAt = now.Add(max(keeper.config.ExchangeInterval, exchangeSpacing*time.Duration(holders), keeper.roundDuration(keeper.poolCommitDuration)))
	keeper.recordPool(pool, prepaid)
	keeper.markExchanged()
	keeper.logHoldings(pool, prepaid, now)
	keeper.waiting.notifyCovered(nil)
	return nil
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
	keeper.reservedTokens = 0
	keeper.chargedByTeam, keeper.freeByTeam = make(map[string]int64, len(prepaid)), make(map[string]int64, len(prepaid))
	for team, budget := range prepaid {
		keeper.chargedByTeam[team] = pool.charged(team)
		keeper.freeByTeam[team] = pool.free(team, budget)
		keeper.reservedTokens += pool.slices[pool.ownNumber].reserved(team, pool.era)
	}
}

// keepGrants returns a plan that leaves all grants as they are.
func (keeper *Keeper) keepGrants() planFunc {
	waitingByTeam := keeper.waiting.cover()
	return func(team string, usage Usage) GrantPlan {
		return GrantPlan{
			Granted: usage.CurrentTerms.Granted, Reported: usage.CurrentTerms.Reported, Demand: usage.CurrentTerms.Demand,
			ExpectedDemand: usage.ExpectedDemand, WaitingTokens: waitingByTeam[team], StopSpending: keeper.closing,
		}
	}
}

// planGrants returns a plan that computes each team's grant and records it in
// share, which is to replace the holder's share in its own slice. It records in
// undone what the slice lacks of the holder's grants and charges.
func (keeper *Keeper) planGrants(
	prepaid, waitingByTeam map[string]int64, pool *pool, share HolderShare, undone map[string]HolderAccount, waitsForOthers bool,
) planFunc {
	slice := &pool.slices[pool.ownNumber]
	previousShare := keeper.statedShare(slice)
	servingHolders, serving := keeper.config.Holders()
	return func(team string, usage Usage) GrantPlan {
		standby := pool.standbyUse(team)
		holders := max(1, servingHolders/len(pool.slices)) + standby.Holders
		previous := previousShare.Teams[team]
		undone[team] = HolderAccount{Granted: usage.CurrentTerms.Granted, Charged: usage.CurrentTerms.Reported}.minus(previous)
		sliceAccount := slice.Teams[team]
		sliceAccount.Granted += usage.CurrentTerms.Granted - previous.Granted
		usage.CurrentTerms.Reported, usage.CurrentTerms.Demand = previous.Charged, previous.Demand
		budgetState := BudgetState{
			Usage: usage, SliceBudget: pool.sliceBudget(pool.ownNumber, team, prepaid[team]), SliceAccount: sliceAccount, WaitingTokens: waitingByTeam[team], Holders: holders,
			Idle: !serving && !slices.Contains(keeper.busyTeams, team), Standby: standby, Leaving: keeper.leaving.Load(),
			ShortfallOfOthers: pool.shortfallOfOthers(team, prepaid[team]), KeepGrant: waitsForOthers,
		}
		account := HolderAccount{Granted: budgetState.TargetGrant(), Charged: usage.CurrentTerms.Charged, Demand: int64(usage.Demand)}
		if keeper.closing {
			account.Granted = usage.CurrentTerms.Charged
		}
		share.Teams[team] = account
		sliceDemand := sliceAccount.Demand + account.Demand - previous.Demand
		return GrantPlan{
			Granted: account.Granted, Reported: account.Charged, Demand: account.Demand,
			ExpectedDemand: float64(sliceDemand) / float64(holders), WaitingTokens: waitingByTeam[team], StopSpending: keeper.closing,
		}
	}
}

// statedShare returns what the sums of the slice include of the holder. If its share
// was folded, that is what its own row states: both are written in one transaction.
func (keeper *Keeper) statedShare(slice *Slice) HolderShare {
	if share, ok := slice.Holders[keeper.config.Name]; ok || !slice.Folded {
		return share
	}
	terms := keeper.holder.terms()
	if keeper.statedTerms != nil {
		terms = keeper.statedTerms
	}
	share := HolderShare{Teams: make(map[string]HolderAccount, len(terms))}
	for team, terms := range terms {
		share.Teams[team] = HolderAccount{Granted: terms.Granted, Charged: terms.Reported, Demand: terms.Demand}
	}
	return share
}

// newShare returns an empty share of the holder.
func (keeper *Keeper) newShare(now time.Time) HolderShare {
	return HolderShare{Era: keeper.era, Stamp: keeper.tableTimeAt(now), Teams: make(map[string]HolderAccount)}
}

// correctPredecessor estimates the charges of a preceding process whose last rows
// a restore has undone by its share, if that is more recent than the row. It can't have
// charged more than it was granted, and may have been granted, while its share is known
// only in part.
func (keeper *Keeper) correctPredecessor(slice *Slice, now time.Time) {
	share := slice.Holders[keeper.config.Name]
	if !keeper.undonePredecessor || share.Era == keeper.era || share.Stamp == 0 {
		return
	}
	keeper.undeclared = true
	startedAt := keeper.tableTimeAt(now) - now.Sub(keeper.config.StartedAt)
	keeper.holder.takeOverShare(share, startedAt-share.Stamp, slice.UnknownFor)
}
