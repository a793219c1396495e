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
	// maxSlices limits the number of slices.
	maxSlices = 1024
	// defaultSplitDelay is how long after its start a holder waits before it
	// splits a new pool, so that the size of the fleet is known.
	defaultSplitDelay = 2 * time.Second
	// declarationTime is how long after a restore a holder waits for the others to
	// declare their grants before it takes tokens: several times as long as the
	// holders that are connected need for a write.
	declarationTime = time.Second
	// maxEvenFraction is the fraction of the remaining budget that is spread
	// evenly over the slices; the rest is spread in proportion to demand.
	maxEvenFraction = 0.3
	// rebalanceThreshold is the fraction of its target below which a slice
	// takes tokens from others.
	rebalanceThreshold = 0.8
)

// SliceAccount is the state of one team in a slice. Amounts are tokens, Demand
// is in tokens a second.
type SliceAccount struct {
	_ struct{} `cbor:",toarray"`
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
	// Holders maps the names of the slice's holders to their shares, whose sums are
	// in Teams.
	Holders map[string]HolderShare `json:"holders,omitempty"`
	// CopiedEra is the era of the copy from which the slice continues after a
	// restore. The shares of holders that have not declared theirs since are known
	// up to KnownUntil, a time of the table's clock; UnknownFor is how long these
	// holders may have exchanged after it.
	CopiedEra  uint64        `json:"copied_era,omitempty"`
	KnownUntil time.Duration `json:"known_until,omitempty"`
	UnknownFor time.Duration `json:"unknown_for,omitempty"`
	// ContinuedAt is the time of the table's clock at which the restore was known.
	ContinuedAt time.Duration `json:"continued_at,omitempty"`
	// Folded is set once the share of a holder has been left out of Holders, so that
	// it is only in the sums.
	Folded bool `json:"folded,omitempty"`
	// Standby maps the names of holders that callers are not directed to, and that receive
	// many requests all the same, to the teams that these are of.
	Standby map[string][]string `json:"standby,omitempty"`
}

// sliceCountRow is the row with the number of slices. It never changes.
type sliceCountRow struct {
	Slices int `json:"slices"`
}

// pool is a keeper's copy of the slices.
type pool struct {
	slices []Slice
	items  []platform.Item
	// knownAt are the times of the table's clock at which the items were known to be
	// up to date.
	knownAt []time.Duration
	// era is that of the keeper.
	era uint64
	// ownNumber is the number of the holder's slice.
	ownNumber int
	// upToDate is set while the items are expected to match the table.
	upToDate bool
	// readAt is the local time at which all slices were read.
	readAt time.Time
	// now is the time of the table's clock at the exchange.
	now time.Duration
}

func slicePartition(number int) string { return fmt.Sprintf("%s%04d", slicePrefix, number) }

func sliceKey(number int, era uint64) platform.Key {
	return platform.Key{Partition: slicePartition(number), Sort: sortKey(sliceSortKey, era)}
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
	pool.knownAt = make([]time.Duration, len(items))
	return pool, nil
}

// shortfallOfOthers returns by how much the grants of a team exceed the budgets of
// the slices other than the keeper's own: after a restore that undid transfers, the
// tokens are in other slices than their holders.
func (pool *pool) shortfallOfOthers(team string, prepaid int64) int64 {
	total := int64(0)
	for number := range pool.slices {
		if number != pool.ownNumber {
			total += max(-pool.grantable(number, team, prepaid), 0)
		}
	}
	return total
}

// awaitsDeclarations reports whether holders that are alive may still be about to
// declare their grants after a restore.
func (pool *pool) awaitsDeclarations(now time.Duration) bool {
	return slices.ContainsFunc(pool.slices, func(slice Slice) bool {
		return now < slice.ContinuedAt+declarationTime && (slice.Folded || slice.hasUndeclared(pool.era))
	})
}

// isCurrent reports whether a slice was written in the pool's era, or not at all.
func (pool *pool) isCurrent(number int) bool {
	return pool.items[number].Version == 0 || pool.items[number].Key == sliceKey(number, pool.era)
}

// lastCopiedExchange returns the time of the last exchange in the slices that no
// holder has written in the pool's era.
func (pool *pool) lastCopiedExchange() time.Duration {
	latest := time.Duration(0)
	for number := range pool.slices {
		if pool.isCurrent(number) {
			continue
		}
		for _, share := range pool.slices[number].Holders {
			latest = max(latest, share.Stamp)
		}
	}
	return latest
}

// continueNext returns the writes that continue a slice in the pool's era if none of
// its own holders does so: processes that start later don't know for how long its
// exchanges may be missing. The holders of the preceding slice do this for it.
func (pool *pool) continueNext(written []platform.Write) []platform.Write {
	for offset := 1; offset < len(pool.slices); offset++ {
		number := (pool.ownNumber + offset) % len(pool.slices)
		isWritten := slices.ContainsFunc(written, func(write platform.Write) bool { return write.Key == sliceKey(number, pool.era) })
		isUndone := pool.items[number].Version == 0 && pool.slices[number].ContinuedAt > 0
		if (isUndone || !pool.isCurrent(number)) && !isWritten {
			return pool.sliceWrites(number)
		}
		if pool.slices[number].hasDeclared(pool.era) {
			return nil
		}
	}
	return nil
}

// enterEra makes the slices of earlier eras slices of the pool's. It completes them,
// and the holder's own slice while its grants are not declared, by what the holder
// remembers of them.
func (pool *pool) enterEra(enteredAt time.Duration, remembered *pool, undeclared bool) {
	lastExchange := pool.lastCopiedExchange()
	for number := range pool.slices {
		isAbsent, isCurrent := pool.items[number].Version == 0, pool.isCurrent(number)
		if isCurrent && !isAbsent && (number != pool.ownNumber || !undeclared) {
			continue
		}
		slice, rememberedSlice := &pool.slices[number], remembered.remember(number)
		if copiedEra, ok := eraOf(sliceSortKey, pool.items[number].Key.Sort); ok && !isCurrent {
			slice.continueIn(copiedEra, lastExchange, enteredAt)
		} else if isAbsent && rememberedSlice != nil {
			slice.continueIn(rememberedSlice.era, lastExchange, enteredAt) // a restore undid all its exchanges
		}
		slice.complete(pool.era, rememberedSlice)
	}
}

// orRemembered returns the pool with the remembered slices in place of those that
// were read, but not written, in the pool's era: they are those of a copy.
func (pool *pool) orRemembered(remembered *pool) *pool {
	if remembered == nil || len(remembered.items) != len(pool.items) {
		return pool
	}
	merged := *pool
	merged.items, merged.knownAt = slices.Clone(pool.items), slices.Clone(pool.knownAt)
	for number := range merged.items {
		if merged.items[number].Key != sliceKey(number, pool.era) {
			merged.items[number], merged.knownAt[number] = remembered.items[number], remembered.knownAt[number]
		}
	}
	return &merged
}

// remember returns a slice of a pool of an earlier era, nil if there is none.
func (pool *pool) remember(number int) *rememberedSlice {
	if pool == nil || number >= len(pool.items) || pool.items[number].Version == 0 {
		return nil
	}
	slice, err := decode[Slice](pool.items[number].Value)
	era, ok := eraOf(sliceSortKey, pool.items[number].Key.Sort)
	if err != nil || !ok {
		return nil
	}
	return &rememberedSlice{Slice: slice, era: era, knownAt: pool.knownAt[number]}
}

// sliceBudget returns a slice's part of a budget in tokens.
func (pool *pool) sliceBudget(number int, team string, prepaid int64) int64 {
	count := int64(len(pool.slices))
	budget := prepaid / count
	if number == 0 {
		budget += prepaid % count
	}
	return budget + pool.slices[number].Teams[team].Moved - pool.slices[number].reserved(team, pool.era)
}

// grantable returns the tokens that a slice can still grant.
func (pool *pool) grantable(number int, team string, prepaid int64) int64 {
	return pool.sliceBudget(number, team, prepaid) - pool.slices[number].Teams[team].Granted
}

// remaining returns the tokens of a slice's budget that no holder has charged.
func (pool *pool) remaining(number int, team string, prepaid int64) int64 {
	return pool.sliceBudget(number, team, prepaid) - pool.slices[number].Teams[team].Charged
}

// free returns the tokens of a team that all slices together can still grant.
func (pool *pool) free(team string, prepaid int64) int64 {
	total := int64(0)
	for number := range pool.slices {
		total += max(pool.grantable(number, team, prepaid), 0)
	}
	return total
}

// charged returns the charges of one team in all slices.
func (pool *pool) charged(team string) int64 {
	total := int64(0)
	for _, slice := range pool.slices {
		total += slice.Teams[team].Charged
	}
	return total
}

// target returns how many of a budget's uncharged tokens a slice should have: a part
// is spread evenly, the rest in proportion to the demand of the slices' holders.
func (pool *pool) target(number int, team string, prepaid int64) int64 {
	totalDemand := int64(0)
	for _, slice := range pool.slices {
		totalDemand += max(slice.Teams[team].Demand, 0)
	}
	fraction := 1 / float64(len(pool.slices))
	if totalDemand > 0 {
		sliceDemand := float64(max(pool.slices[number].Teams[team].Demand, 0))
		even := pool.evenFraction(team, float64(totalDemand))
		fraction = even*fraction + (1-even)*sliceDemand/float64(totalDemand)
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
		writes = append(writes, pool.sliceWrites(number)...)
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

func (pool *pool) sliceWrites(number int) []platform.Write {
	return moveRow(pool.items[number], sliceKey(number, pool.era), encode(pool.slices[number]))
}

// recordWrites updates the items after the slices were written.
func (pool *pool) recordWrites(writes []platform.Write, version uint64, now time.Duration) {
	for number := range pool.items {
		for _, write := range writes {
			if write.Key == sliceKey(number, pool.era) {
				pool.items[number] = platform.Item{Key: write.Key, Value: write.Value, Version: version}
				pool.knownAt[number] = now
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
			pool.readAt, pool.era, pool.knownAt = cached.readAt, keeper.era, cached.knownAt
		}
		return pool, err
	}
	if keeper.sliceCount == 0 {
		if err := keeper.loadSliceCount(ctx); err != nil || keeper.sliceCount == 0 {
			return nil, err
		}
	}
	// The reads are answered after that, so their items are at least as recent.
	knownAt := keeper.tableTimeAt(now)
	items := make([]platform.Item, keeper.sliceCount)
	var reads errgroup.Group
	for number := range items {
		reads.Go(func() error {
			var err error
			items[number], err = keeper.readRow(ctx, slicePartition(number), sliceSortKey)
			return err
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, err
	}
	if keeper.restored() {
		return nil, errRestored
	}
	pool, err := newPool(items, keeper.config.Name)
	if err != nil {
		return nil, err
	}
	pool.readAt, pool.era = now, keeper.era
	for number := range pool.knownAt {
		pool.knownAt[number] = knownAt
	}
	return pool, nil
}

// loadSliceCount reads the number of slices. If there is none and SplitDelay
// has passed, it splits the pool.
func (keeper *Keeper) loadSliceCount(ctx context.Context) error {
	item, err := keeper.readRow(ctx, poolPartition, countSortKey)
	if err != nil {
		return err
	}
	count, err := decode[sliceCountRow](item.Value)
	if err != nil {
		return err
	}
	if count.Slices < 0 || count.Slices > maxSlices {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: fmt.Sprintf("the pool can't have %d slices", count.Slices),
			Remedy:  "remove the row that another program wrote to the budget table",
		})
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
	count := sliceCountRow{Slices: min(max(1, (holders+holdersPerSlice/2)/holdersPerSlice), maxSlices)}
	if keeper.rememberedPool != nil {
		count.Slices = len(keeper.rememberedPool.slices) // a restore undid the split
	}
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
