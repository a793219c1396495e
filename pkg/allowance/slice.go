package allowance

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

const (
	// poolPartition holds the row with the number of slices into which the pool
	// is split.
	poolPartition = "budget-pool"
	countSortKey  = "count"
	// slicePrefix precedes the number of a slice in its partition's name. Each
	// slice has its own partition because the changes of one partition run one
	// after the other.
	slicePrefix  = "budget-pool/"
	sliceSortKey = "slice"
	// maxHoldersUnsplit is the number of holders up to which the pool has only
	// one slice: so few holders cause few conflicts, and each of them can take
	// any token of the pool without a transfer.
	maxHoldersUnsplit = 12
	// defaultHoldersPerSlice is how many holders share a slice in larger
	// fleets. With more, a holder on a slow link would lose every conflict.
	defaultHoldersPerSlice = 3
	// defaultSplitDelay is how long after its start a holder waits before it
	// splits a new pool, so that the size of the fleet is known.
	defaultSplitDelay = 2 * time.Second
	// evenFraction is the fraction of the remaining budget that is spread
	// evenly over the slices; the rest is spread in proportion to demand.
	evenFraction = 0.3
	// rebalanceThreshold is the fraction of its target below which a slice
	// takes tokens from others.
	rebalanceThreshold = 0.8
)

// SliceAccount is the state of one team in a slice. Amounts are tokens, Demand
// is in tokens a second.
type SliceAccount struct {
	// Granted is the sum of the grants of the slice's holders.
	Granted int64 `json:"g"`
	// Charged is the sum of the charges that these holders have reported.
	Charged int64 `json:"c"`
	// Demand is the sum of the demand that these holders have reported.
	Demand int64 `json:"d,omitempty"`
	// Moved is what was transferred from other slices minus what was transferred
	// to them.
	Moved int64 `json:"m,omitempty"`
}

// Slice is one of the rows into which the pool is split. Its part of a budget is
// an equal share plus Moved; the sum of Moved over all slices is zero.
type Slice struct {
	Teams map[string]SliceAccount `json:"teams"`
}

// sliceCountRow is the row with the number of slices. It never changes.
type sliceCountRow struct {
	Slices int `json:"slices"`
}

// pool is a keeper's copy of the slices.
type pool struct {
	slices []Slice
	items  []platform.Item
	// ownNumber is the number of the holder's slice.
	ownNumber int
	// upToDate is set while the items are expected to match the table.
	upToDate bool
	// readAt is the local time at which all slices were read.
	readAt time.Time
}

func sliceKey(number int) platform.Key {
	return platform.Key{Partition: fmt.Sprintf("%s%04d", slicePrefix, number), Sort: sliceSortKey}
}

// countKey is the key of the row with the number of slices.
func countKey() platform.Key {
	return platform.Key{Partition: poolPartition, Sort: countSortKey}
}

// newPool decodes the slices, which are in the order of their numbers.
func newPool(items []platform.Item, holder string) (*pool, error) {
	pool := &pool{ownNumber: int(rendezvous.Hash(holder) % uint64(len(items))), upToDate: true}
	for _, item := range items {
		slice, err := decode[Slice](item.Value)
		if err != nil {
			return nil, err
		}
		if slice.Teams == nil {
			slice.Teams = make(map[string]SliceAccount)
		}
		pool.items = append(pool.items, item)
		pool.slices = append(pool.slices, slice)
	}
	return pool, nil
}

// sliceBudget returns a slice's part of a budget in tokens.
func (pool *pool) sliceBudget(number int, team string, prepaid int64) int64 {
	count := int64(len(pool.slices))
	budget := prepaid / count
	if number == 0 {
		budget += prepaid % count
	}
	return budget + pool.slices[number].Teams[team].Moved
}

// grantable returns the tokens that a slice can still grant.
func (pool *pool) grantable(number int, team string, prepaid int64) int64 {
	return pool.sliceBudget(number, team, prepaid) - pool.slices[number].Teams[team].Granted
}

// remaining returns the tokens of a slice's budget that no holder has charged.
func (pool *pool) remaining(number int, team string, prepaid int64) int64 {
	return pool.sliceBudget(number, team, prepaid) - pool.slices[number].Teams[team].Charged
}

// charged returns the charges of one team in all slices.
func (pool *pool) charged(team string) int64 {
	total := int64(0)
	for _, slice := range pool.slices {
		total += slice.Teams[team].Charged
	}
	return total
}

// target returns how many of a budget's uncharged tokens a slice should have:
// evenFraction of them is spread evenly, the rest in proportion to the demand of
// the slices' holders.
func (pool *pool) target(number int, team string, prepaid int64) int64 {
	totalDemand := int64(0)
	for _, slice := range pool.slices {
		totalDemand += max(slice.Teams[team].Demand, 0)
	}
	fraction := 1 / float64(len(pool.slices))
	if totalDemand > 0 {
		sliceDemand := float64(max(pool.slices[number].Teams[team].Demand, 0))
		fraction = evenFraction*fraction + (1-evenFraction)*sliceDemand/float64(totalDemand)
	}
	return int64(fraction * float64(max(prepaid-pool.charged(team), 0)))
}

// shortfall returns how many tokens of a team the keeper's own slice should get
// from others.
func (pool *pool) shortfall(team string, prepaid, waitingTokens int64) int64 {
	target, remaining := pool.target(pool.ownNumber, team, prepaid), pool.remaining(pool.ownNumber, team, prepaid)
	shortfall := max(waitingTokens-pool.grantable(pool.ownNumber, team, prepaid), 0)
	if float64(remaining) < rebalanceThreshold*float64(target) {
		shortfall = max(shortfall, target-remaining)
	}
	return shortfall
}

// transferable returns how many tokens of a team a slice can transfer: those
// above its target or, for waiting requests, any that it can still grant.
func (pool *pool) transferable(number int, team string, prepaid, shortfall, waitingTokens int64) int64 {
	surplus := pool.remaining(number, team, prepaid) - pool.target(number, team, prepaid)
	return max(min(shortfall, pool.grantable(number, team, prepaid), max(surplus, waitingTokens)), 0)
}

// rebalance transfers tokens from at most maxDonors other slices to the keeper's
// own slice, up to its shortfall, and returns the writes of the other slices.
func (pool *pool) rebalance(prepaid, waitingByTeam map[string]int64, maxDonors int) []platform.Write {
	var donors []int
	for team, budget := range prepaid {
		shortfall := pool.shortfall(team, budget, waitingByTeam[team])
		if shortfall == 0 {
			continue
		}
		candidates := pool.rankOthers(func(number int) int64 { return pool.transferable(number, team, budget, shortfall, waitingByTeam[team]) })
		for _, number := range candidates {
			tokens := pool.transferable(number, team, budget, shortfall, waitingByTeam[team])
			isDonor := slices.Contains(donors, number)
			if tokens == 0 || !isDonor && len(donors) == maxDonors {
				continue
			}
			if !isDonor {
				donors = append(donors, number)
			}
			pool.transfer(number, team, tokens)
			shortfall -= tokens
		}
	}
	writes := make([]platform.Write, 0, len(donors))
	for _, number := range donors {
		writes = append(writes, pool.sliceWrite(number))
	}
	return writes
}

// rankOthers returns the numbers of the other slices, sorted by descending
// value.
func (pool *pool) rankOthers(value func(number int) int64) []int {
	numbers := make([]int, 0, len(pool.slices))
	for number := range pool.slices {
		if number != pool.ownNumber {
			numbers = append(numbers, number)
		}
	}
	slices.SortStableFunc(numbers, func(a, b int) int { return cmp.Compare(value(b), value(a)) })
	return numbers
}

func (pool *pool) transfer(donor int, team string, tokens int64) {
	donorAccount, ownAccount := pool.slices[donor].Teams[team], pool.slices[pool.ownNumber].Teams[team]
	donorAccount.Moved -= tokens
	ownAccount.Moved += tokens
	pool.slices[donor].Teams[team], pool.slices[pool.ownNumber].Teams[team] = donorAccount, ownAccount
}

func (pool *pool) sliceWrite(number int) platform.Write {
	return platform.Write{
		Key: sliceKey(number), Value: encode(pool.slices[number]), Condition: condition(pool.items[number].Version),
	}
}

// recordWrites updates the items after the slices were written.
func (pool *pool) recordWrites(writes []platform.Write, version uint64) {
	for number := range pool.items {
		for _, write := range writes {
			if write.Key == sliceKey(number) {
				pool.items[number] = platform.Item{Key: write.Key, Value: write.Value, Version: version}
			}
		}
	}
}

// readPool returns the slices, or nil while the pool is not split yet. It
// reuses slices read within ExchangeInterval, and a pool of one slice at any
// age, since a commit based on an outdated slice fails with a conflict.
func (keeper *Keeper) readPool(ctx context.Context) (*pool, error) {
	now := keeper.config.Now()
	if cached := keeper.pool; cached != nil && cached.upToDate && (len(cached.slices) == 1 || now.Sub(cached.readAt) < keeper.config.ExchangeInterval) {
		pool, err := newPool(cached.items, keeper.config.Name)
		if err == nil {
			pool.readAt = cached.readAt
		}
		return pool, err
	}
	if keeper.sliceCount == 0 {
		if err := keeper.loadSliceCount(ctx); err != nil || keeper.sliceCount == 0 {
			return nil, err
		}
	}
	items := make([]platform.Item, keeper.sliceCount)
	var reads errgroup.Group
	for number := range items {
		reads.Go(func() error {
			var err error
			items[number], err = keeper.read(ctx, sliceKey(number))
			return err
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, err
	}
	pool, err := newPool(items, keeper.config.Name)
	if err == nil {
		pool.readAt = now
	}
	return pool, err
}

// loadSliceCount reads the number of slices. If there is none and SplitDelay
// has passed, it splits the pool.
func (keeper *Keeper) loadSliceCount(ctx context.Context) error {
	item, err := keeper.read(ctx, countKey())
	if err != nil {
		return err
	}
	count, err := decode[sliceCountRow](item.Value)
	if err != nil {
		return err
	}
	keeper.sliceCount = count.Slices
	if count.Slices > 0 || keeper.config.Now().Sub(keeper.config.StartedAt) < keeper.config.SplitDelay {
		return nil
	}
	return keeper.splitPool(ctx)
}

// holdersPerSlice returns how many holders share a slice.
func (keeper *Keeper) holdersPerSlice(holders int) int {
	switch {
	case keeper.config.HoldersPerSlice > 0:
		return keeper.config.HoldersPerSlice
	case holders <= maxHoldersUnsplit:
		return maxHoldersUnsplit
	default:
		return defaultHoldersPerSlice
	}
}

// splitPool writes the number of slices, unless another holder has done so.
func (keeper *Keeper) splitPool(ctx context.Context) error {
	holders, _ := keeper.config.Holders()
	holdersPerSlice := keeper.holdersPerSlice(holders)
	count := sliceCountRow{Slices: max(1, (holders+holdersPerSlice/2)/holdersPerSlice)}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := keeper.config.Table.Commit(ctx, platform.Transaction{Writes: []platform.Write{{
		Key:       countKey(),
		Value:     encode(count),
		Condition: platform.Condition{Kind: platform.IfAbsent},
	}}})
	if fault.Is(err, fault.Conflict) {
		return nil // another holder split the pool; the next exchange reads its row
	}
	return err
}
