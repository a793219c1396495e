package allowance

// Rows after the table has come back from an older copy.
//
// Such a restore begins a new era of the table. It undoes the writes after the
// copy and gives their versions out again. A row's sort key therefore ends with
// the era in which the row was written: the first write in a new era creates a
// row under a new key and deletes the old one. A transaction that was sent before
// the restore then fails on its conditions, whatever the versions are.
//
// A holder that is alive knows its grants and charges better than the copy. It
// writes them again, together with its slice, before it takes tokens from the
// pool (declares them). share.go says what the other holders assume until then.

import (
	"context"
	"strconv"
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// eraSeparator is between the name of a row and its era in the sort key. Rows of a
// table that states no era have no suffix.
const eraSeparator = "/"

// sortKey returns the sort key of a row that is written in the era.
func sortKey(base string, era uint64) string {
	if era == 0 {
		return base
	}
	return base + eraSeparator + strconv.FormatUint(era, 10)
}

// eraOf returns the era of a sort key, and false if it isn't one of the row's.
func eraOf(base, sort string) (uint64, bool) {
	if sort == base {
		return 0, true
	}
	suffix, ok := strings.CutPrefix(sort, base+eraSeparator)
	if !ok {
		return 0, false
	}
	era, err := strconv.ParseUint(suffix, 10, 64)
	return era, err == nil
}

// readRow returns the row of the latest era among the rows of a partition, or an
// item without a version.
func (keeper *Keeper) readRow(ctx context.Context, partition, base string) (platform.Item, error) {
	items, err := keeper.readAll(ctx, platform.Query{Partition: partition, Prefix: base})
	if err != nil {
		return platform.Item{}, err
	}
	var latest platform.Item
	latestEra := uint64(0)
	for _, item := range items {
		if era, ok := eraOf(base, item.Key.Sort); ok && (latest.Version == 0 || era > latestEra) {
			latest, latestEra = item, era
		}
	}
	return latest, nil
}

// moveRow returns the writes that replace a row, as it was read, by one of the
// given key.
func moveRow(item platform.Item, key platform.Key, value []byte) []platform.Write {
	if item.Key == key || item.Version == 0 {
		return []platform.Write{{Key: key, Value: value, Condition: condition(item.Version)}}
	}
	return []platform.Write{
		{Key: key, Value: value, Condition: platform.Condition{Kind: platform.IfAbsent}},
		{Key: item.Key, Action: platform.Delete, Condition: condition(item.Version)},
	}
}

// errRestored means that the table came back from an older copy in the meantime.
var errRestored = fault.New(fault.Config{
	Kind:    fault.Unavailable,
	Message: "the budget table came back from an older copy",
	Remedy:  "none is needed: the router writes its grants again at the next step",
})

// observe records the time and the era of an answer of the table. The table's clock
// has advanced when the answer arrives, so stamps computed from the recorded time
// are never later than the table's clock.
func (keeper *Keeper) observe(receipt platform.Receipt) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if receipt.Now > 0 {
		keeper.tableTime, keeper.tableTimeReceivedAt = receipt.Now, keeper.config.Now()
	}
	keeper.tableEra = max(keeper.tableEra, receipt.Era)
}

// restored reports whether the table is in a later era than the keeper's rows.
func (keeper *Keeper) restored() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.tableEra != keeper.era
}

// enterEra makes the table's era that of the keeper's rows, and reports whether the
// table was restored since the last call. What was read before is then only
// remembered, to complete the slices with it.
func (keeper *Keeper) enterEra() bool {
	keeper.mutex.Lock()
	previous, isFirst := keeper.era, !keeper.hasEra
	isRestored := !isFirst && keeper.era != keeper.tableEra
	keeper.era, keeper.hasEra = keeper.tableEra, true
	if isRestored {
		keeper.restores++
	}
	keeper.mutex.Unlock()
	if isFirst || isRestored {
		keeper.eraEnteredAt = keeper.tableTimeAt(keeper.config.Now())
	}
	if !isRestored {
		return false
	}
	keeper.undeclared, keeper.nextExchangeAt = true, time.Time{}
	if keeper.pool != nil {
		keeper.rememberedPool = keeper.pool.orRemembered(keeper.rememberedPool)
	}
	keeper.pool, keeper.sliceCount = nil, 0
	_ = keeper.config.Logger.Log("event", "budget_table_restored", "holder", keeper.config.Name, "era", keeper.era, "previous", previous)
	return true
}

// logDeclared logs what the restore undid of the holder's grants and charges, and
// records the tokens.
func (keeper *Keeper) logDeclared(undone map[string]HolderAccount) {
	keeper.undeclared = false
	for team, account := range undone {
		if account.Granted == 0 && account.Charged == 0 {
			continue
		}
		keeper.mutex.Lock()
		if keeper.undonePredecessor {
			keeper.estimatedTokens += max(account.Charged, 0)
		} else {
			keeper.redeclaredTokens += max(account.Charged, 0)
		}
		keeper.mutex.Unlock()
		_ = keeper.config.Logger.Log("event", "budget_redeclared", "holder", keeper.config.Name, "era", keeper.era, "team", team, "estimated", keeper.undonePredecessor,
			"granted", account.Granted, "charged", account.Charged)
	}
}

// RestoreStatistics say how often the table came back from an older copy and what
// that meant for the budgets.
type RestoreStatistics struct {
	// Restores counts the restores that the keeper has seen.
	Restores uint64
	// RedeclaredTokens are the tokens that this holder had charged and the restores
	// had undone; it declared them again.
	RedeclaredTokens int64
	// EstimatedTokens are the tokens that were charged for the preceding process
	// beyond what the table stated of it, because a restore had undone its last rows.
	// It may have spent more.
	EstimatedTokens int64
	// ReservedTokens are the tokens that the holder's slice keeps back at present
	// for holders that have not declared theirs.
	ReservedTokens int64
}

// RestoreStatistics returns the statistics of the keeper.
func (keeper *Keeper) RestoreStatistics() RestoreStatistics {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return RestoreStatistics{
		Restores: keeper.restores, RedeclaredTokens: keeper.redeclaredTokens,
		EstimatedTokens: keeper.estimatedTokens, ReservedTokens: keeper.reservedTokens,
	}
}
