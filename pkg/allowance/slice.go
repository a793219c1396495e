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
	// poolPartition holds the row that says into how many slices the pool is
	// split.
	poolPartition = "budget-pool"
	countSort     = "count"
	// slicePrefix stands before the number of a slice. Each has a partition of its
	// own: a partition makes one change after the other.
	slicePrefix = "budget-pool/"
	sliceSort   = "slice"
	// mostOfOne is the number of holders up to which the pool is one row: they
	// meet few conflicts and find all tokens in one place.
	mostOfOne = 12
	// defaultHoldersPerSlice is how many holders change one row in larger fleets.
	// A holder on a slow link only ever gets its turn among few.
	defaultHoldersPerSlice = 3
	// defaultGather is how long after its start a holder waits before it splits
	// a pool that is not there yet, so that the fleet's size is known.
	defaultGather = 2 * time.Second
	// evenSlices is the part of a budget's rest that is spread evenly over the
	// slices; the others go by demand.
	evenSlices = 0.3
	// moveBelow is the part of what a slice is to have below which it takes from
	// others.
	moveBelow = 0.8
)

// Share is what a slice holds of one team.
type Share struct {
	// Granted is the sum of the grants of the slice's holders.
	Granted int64 `json:"g"`
	// Charged is the sum of the charges that they have reported.
	Charged int64 `json:"c"`
	// Demand is the sum of the demand that they have reported.
	Demand int64 `json:"d,omitempty"`
	// Moved is what came from other slices, or went to them if it is negative.
	Moved int64 `json:"m,omitempty"`
}

// Slice is one of the rows into which the pool is split. The slices' parts of a
// budget are even; Moved changes them, and its sum is zero.
type Slice struct {
	Teams map[string]Share `json:"teams"`
}

// sliceCount is the row that counts the slices. It never changes.
type sliceCount struct {
	Slices int `json:"slices"`
}

// pool is what a holder has seen of the slices.
type pool struct {
	slices []Slice
	items  []platform.Item
	// own is the number of the holder's slice.
	own int
	// fresh is set while the items are taken to be in the table.
	fresh bool
	// readAt is when all slices were read.
	readAt time.Time
}

func sliceKey(number int) platform.Key {
	return platform.Key{Partition: fmt.Sprintf("%s%04d", slicePrefix, number), Sort: sliceSort}
}

// countKey is the row that counts the slices.
func countKey() platform.Key {
	return platform.Key{Partition: poolPartition, Sort: countSort}
}

// newPool decodes the slices, in their order.
func newPool(items []platform.Item, holder string) (*pool, error) {
	read := &pool{own: int(rendezvous.Hash(holder) % uint64(len(items))), fresh: true}
	for _, item := range items {
		slice, err := decode[Slice](item.Value)
		if err != nil {
			return nil, err
		}
		if slice.Teams == nil {
			slice.Teams = make(map[string]Share)
		}
		read.items = append(read.items, item)
		read.slices = append(read.slices, slice)
	}
	return read, nil
}

// limit returns a slice's part of a budget.
func (pool *pool) limit(number int, name string, prepaid int64) int64 {
	count := int64(len(pool.slices))
	part := prepaid / count
	if number == 0 {
		part += prepaid % count
	}
	return part + pool.slices[number].Teams[name].Moved
}

// free returns what a slice can still grant.
func (pool *pool) free(number int, name string, prepaid int64) int64 {
	return pool.limit(number, name, prepaid) - pool.slices[number].Teams[name].Granted
}

// rest returns what of a slice's part nobody has charged.
func (pool *pool) rest(number int, name string, prepaid int64) int64 {
	return pool.limit(number, name, prepaid) - pool.slices[number].Teams[name].Charged
}

// charged returns the charges of one team in all slices.
func (pool *pool) charged(name string) int64 {
	total := int64(0)
	for _, slice := range pool.slices {
		total += slice.Teams[name].Charged
	}
	return total
}

// entitled returns what of the rest of a budget a slice is to have: a part of
// it evenly, the others by the demand of its holders.
func (pool *pool) entitled(number int, name string, prepaid int64) int64 {
	demand := int64(0)
	for _, slice := range pool.slices {
		demand += max(slice.Teams[name].Demand, 0)
	}
	part := 1 / float64(len(pool.slices))
	if demand > 0 {
		own := float64(max(pool.slices[number].Teams[name].Demand, 0))
		part = evenSlices*part + (1-evenSlices)*own/float64(demand)
	}
	return int64(part * float64(max(prepaid-pool.charged(name), 0)))
}

// lack returns what the own slice is to get of a team from others.
func (pool *pool) lack(name string, prepaid, wanted int64) int64 {
	entitled, rest := pool.entitled(pool.own, name, prepaid), pool.rest(pool.own, name, prepaid)
	lack := max(wanted-pool.free(pool.own, name, prepaid), 0)
	if float64(rest) < moveBelow*float64(entitled) {
		lack = max(lack, entitled-rest)
	}
	return lack
}

// gift returns what a slice gives of a team: what it has above its part, or,
// for requests that wait, what is free.
func (pool *pool) gift(number int, name string, prepaid, lack, wanted int64) int64 {
	surplus := pool.rest(number, name, prepaid) - pool.entitled(number, name, prepaid)
	return max(min(lack, pool.free(number, name, prepaid), max(surplus, wanted)), 0)
}

// gather moves to the own slice what it lacks, from at most so many others, and
// returns the writes of those.
func (pool *pool) gather(prepaid, wanted map[string]int64, most int) []platform.Write {
	var donors []int
	for name, limit := range prepaid {
		lack := pool.lack(name, limit, wanted[name])
		if lack == 0 {
			continue
		}
		order := pool.others(func(number int) int64 { return pool.gift(number, name, limit, lack, wanted[name]) })
		for _, number := range order {
			gift := pool.gift(number, name, limit, lack, wanted[name])
			known := slices.Contains(donors, number)
			if gift == 0 || !known && len(donors) == most {
				continue
			}
			if !known {
				donors = append(donors, number)
			}
			pool.move(number, name, gift)
			lack -= gift
		}
	}
	writes := make([]platform.Write, 0, len(donors))
	for _, number := range donors {
		writes = append(writes, pool.write(number))
	}
	return writes
}

// others returns the other slices, those with the greatest value first.
func (pool *pool) others(value func(number int) int64) []int {
	numbers := make([]int, 0, len(pool.slices))
	for number := range pool.slices {
		if number != pool.own {
			numbers = append(numbers, number)
		}
	}
	slices.SortStableFunc(numbers, func(a, b int) int { return cmp.Compare(value(b), value(a)) })
	return numbers
}

func (pool *pool) move(donor int, name string, tokens int64) {
	from, to := pool.slices[donor].Teams[name], pool.slices[pool.own].Teams[name]
	from.Moved -= tokens
	to.Moved += tokens
	pool.slices[donor].Teams[name], pool.slices[pool.own].Teams[name] = from, to
}

func (pool *pool) write(number int) platform.Write {
	return platform.Write{
		Key: sliceKey(number), Value: encode(pool.slices[number]), Condition: condition(pool.items[number].Version),
	}
}

// written takes in that the slices were written as they are.
func (pool *pool) written(writes []platform.Write, version uint64) {
	for number := range pool.items {
		for _, write := range writes {
			if write.Key == sliceKey(number) {
				pool.items[number] = platform.Item{Key: write.Key, Value: write.Value, Version: version}
			}
		}
	}
}

// readPool reads the slices, unless they were read a short time ago; what is
// out of date then shows as a conflict. It splits a pool that isn't there once
// the fleet had time to gather.
func (keeper *Keeper) readPool(ctx context.Context) (*pool, error) {
	now := keeper.config.Now()
	if known := keeper.seen; known != nil && known.fresh && (len(known.slices) == 1 || now.Sub(known.readAt) < keeper.config.ExchangeInterval) {
		read, err := newPool(known.items, keeper.config.Name)
		if err == nil {
			read.readAt = known.readAt
		}
		return read, err
	}
	if keeper.slices == 0 {
		if err := keeper.countSlices(ctx); err != nil || keeper.slices == 0 {
			return nil, err
		}
	}
	items := make([]platform.Item, keeper.slices)
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
	read, err := newPool(items, keeper.config.Name)
	if err == nil {
		read.readAt = now
	}
	return read, err
}

// countSlices reads how many slices there are, or splits the pool.
func (keeper *Keeper) countSlices(ctx context.Context) error {
	item, err := keeper.read(ctx, countKey())
	if err != nil {
		return err
	}
	count, err := decode[sliceCount](item.Value)
	if err != nil {
		return err
	}
	keeper.slices = count.Slices
	if count.Slices > 0 || keeper.config.Now().Sub(keeper.config.Started) < keeper.config.SplitDelay {
		return nil
	}
	return keeper.split(ctx)
}

// perSlice returns how many holders share a slice.
func (keeper *Keeper) perSlice(holders int) int {
	switch {
	case keeper.config.HoldersPerSlice > 0:
		return keeper.config.HoldersPerSlice
	case holders <= mostOfOne:
		return mostOfOne
	default:
		return defaultHoldersPerSlice
	}
}

// split writes how many slices there are, if nobody has.
func (keeper *Keeper) split(ctx context.Context) error {
	holders, _ := keeper.config.Holders()
	perSlice := keeper.perSlice(holders)
	count := sliceCount{Slices: max(1, (holders+perSlice/2)/perSlice)}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := keeper.config.Table.Commit(ctx, platform.Transaction{Writes: []platform.Write{{
		Key:       countKey(),
		Value:     encode(count),
		Condition: platform.Condition{Kind: platform.IfAbsent},
	}}})
	if fault.Is(err, fault.Conflict) {
		return nil // another holder was first; the next exchange reads its row
	}
	return err
}
