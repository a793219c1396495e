package allowance

import (
	"context"
	"maps"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// exchange reads the pool and changes the grants to their targets, with tokens
// of at most so many slices beside the own one.
func (keeper *Keeper) exchange(ctx context.Context, prepaid map[string]int64, donors int) error {
	seen, err := keeper.readPool(ctx)
	if err != nil {
		return err
	}
	if seen == nil {
		return keeper.settle(ctx)
	}
	now := keeper.config.Now()
	if seen.readAt.After(keeper.poolAt) {
		keeper.setPool(seen, prepaid) // true also if the exchange meets a conflict
	}
	wanted := keeper.waiting()
	var writes []platform.Write
	if !keeper.closing {
		writes = seen.gather(prepaid, wanted, donors)
	}
	defer func() { keeper.exchangedAt = keeper.config.Now() }()
	keeper.holder.know(prepaid)
	row := keeper.holder.draft(keeper.row(now), keeper.planner(prepaid, wanted, seen), now)
	writes = append(writes, seen.write(seen.own))
	keeper.seen, seen.fresh = seen, false
	if err := keeper.commit(ctx, row, writes...); err != nil {
		return err
	}
	seen.written(writes, keeper.version)
	seen.fresh = true
	if len(seen.slices) == 1 {
		seen.readAt = now // the condition on its row has shown that it was up to date
	}
	holders, _ := keeper.config.Holders()
	keeper.exchangeAt = now.Add(max(keeper.config.ExchangeInterval, exchangeSpacing*time.Duration(holders), keeper.sharing(keeper.commitTook)))
	keeper.setPool(seen, prepaid)
	keeper.hasAsked()
	keeper.logHoldings(seen, prepaid, now)
	keeper.announce()
	return nil
}

// waiting returns what requests wait for.
func (keeper *Keeper) waiting() map[string]int64 {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return maps.Clone(keeper.wanted)
}

// logHoldings writes what is held of each team, once in a holdingsInterval.
func (keeper *Keeper) logHoldings(seen *pool, prepaid map[string]int64, now time.Time) {
	if now.Sub(keeper.loggedAt) < holdingsInterval {
		return
	}
	keeper.loggedAt = now
	for name, held := range keeper.holder.Holdings(now) {
		_ = keeper.config.Logger.Log("event", "budget_held", "team", name, "granted", held.Granted, "spent", held.Spent,
			"reserved", held.Reserved, "room", held.Available, "demand", int64(held.Demand), "short", held.Refused,
			"prepaid", prepaid[name], "slice_free", seen.free(seen.own, name, prepaid[name]), "pool_charged", seen.charged(name))
	}
}

// hasAsked notes that the pool was asked for tokens and has answered.
func (keeper *Keeper) hasAsked() {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.asked = true
}

func (keeper *Keeper) setPool(seen *pool, prepaid map[string]int64) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.poolAt = seen.readAt
	keeper.charged = make(map[string]int64, len(prepaid))
	for name := range prepaid {
		keeper.charged[name] = seen.charged(name)
	}
}

// keep plans to leave all grants as they are.
func (keeper *Keeper) keep() plan {
	wanted := keeper.waiting()
	return func(name string, need Need) Grant {
		return Grant{
			Granted: need.Own.Granted, Reported: need.Own.Reported, Demand: need.Own.Demand,
			Expected: need.Expected, Wanted: wanted[name], Still: keeper.closing,
		}
	}
}

// planner plans each team's grant and enters it in the own slice.
func (keeper *Keeper) planner(prepaid, wanted map[string]int64, seen *pool) plan {
	slice := seen.slices[seen.own]
	count, serving := keeper.config.Holders()
	holders := max(1, count/len(seen.slices))
	return func(name string, need Need) Grant {
		share := slice.Teams[name]
		position := Position{
			Need: need, Prepaid: seen.limit(seen.own, name, prepaid[name]), Pool: share, Wanted: wanted[name], Holders: holders,
			Idle: !serving, Leaving: keeper.leaving.Load(),
		}
		target := position.Target()
		if keeper.closing {
			target = need.Own.Charged
		}
		share.Granted += target - need.Own.Granted
		share.Charged += need.Own.Charged - need.Own.Reported
		share.Demand += int64(need.Demand) - need.Own.Demand
		slice.Teams[name] = share
		return Grant{
			Granted: target, Reported: need.Own.Charged, Demand: int64(need.Demand),
			Expected: float64(share.Demand) / float64(holders), Wanted: wanted[name], Still: keeper.closing,
		}
	}
}
