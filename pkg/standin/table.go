package standin

// Transact checks the conditions of all writes under one mutex and applies the
// writes if all conditions hold. Items are stored in a tree ordered by partition
// and sort key, so that Query visits only the items it returns.

import (
	"cmp"
	"context"
	"strings"
	"sync"

	"github.com/google/btree"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

const treeDegree = 32

// Table is an in-memory table service. It injects no faults; Platform adds rate
// limits and faults.
type Table struct {
	mutex sync.Mutex
	items *btree.BTreeG[platform.Item]
	// lastVersion is the version of the latest put. It counts the puts of the
	// whole table, so that a version never occurs twice.
	lastVersion uint64
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: btree.NewG(treeDegree, itemLess)}
}

func itemLess(a, b platform.Item) bool {
	order := cmp.Compare(a.Key.Partition, b.Key.Partition)
	if order == 0 {
		order = cmp.Compare(a.Key.Sort, b.Key.Sort)
	}
	return order < 0
}

// Transact applies all writes or none. It returns fault.Conflict if a condition
// doesn't hold, and fault.Invalid for a malformed transaction.
func (table *Table) Transact(_ context.Context, transaction platform.Transaction) error {
	if err := validateTransaction(transaction); err != nil {
		return err
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, write := range transaction.Writes {
		if !table.conditionHolds(write) {
			return fault.New(fault.Config{
				Kind:    fault.Conflict,
				Message: "condition failed on " + write.Key.Partition + "/" + write.Key.Sort,
				Remedy:  "read the item again",
			})
		}
	}
	for _, write := range transaction.Writes {
		table.apply(write)
	}
	return nil
}

func validateTransaction(transaction platform.Transaction) error {
	if len(transaction.Writes) > platform.MaxTransactionWrites {
		return invalidTransaction("transaction has too many writes", "split the transaction")
	}
	seenKeys := make(map[platform.Key]struct{}, len(transaction.Writes))
	for _, write := range transaction.Writes {
		if _, ok := seenKeys[write.Key]; ok {
			return invalidTransaction("key occurs twice: "+write.Key.Partition+"/"+write.Key.Sort, "merge the two writes")
		}
		seenKeys[write.Key] = struct{}{}
		if write.Action < platform.Put || write.Action > platform.Check {
			return invalidTransaction("unknown action", "use put, delete or check")
		}
		if write.Condition.Kind < platform.Always || write.Condition.Kind > platform.IfVersion {
			return invalidTransaction("unknown condition", "use always, if_absent or if_version")
		}
	}
	return nil
}

func invalidTransaction(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy})
}

func (table *Table) conditionHolds(write platform.Write) bool {
	item, _ := table.items.Get(platform.Item{Key: write.Key})
	switch write.Condition.Kind {
	case platform.IfAbsent:
		return item.Version == 0
	case platform.IfVersion:
		return item.Version == write.Condition.Version
	default:
		return true
	}
}

func (table *Table) apply(write platform.Write) {
	switch write.Action {
	case platform.Put:
		table.lastVersion++
		table.items.ReplaceOrInsert(platform.Item{
			Key:     write.Key,
			Value:   append([]byte(nil), write.Value...),
			Version: table.lastVersion,
		})
	case platform.Delete:
		table.items.Delete(platform.Item{Key: write.Key})
	case platform.Check:
	}
}

// Get reads items in one snapshot. A missing item has version zero.
func (table *Table) Get(_ context.Context, keys ...platform.Key) ([]platform.Item, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	items := make([]platform.Item, len(keys))
	for i, key := range keys {
		items[i], _ = table.items.Get(platform.Item{Key: key})
		items[i].Key = key
	}
	return items, nil
}

// Query reads items of one partition in the order of their sort keys. A limit of
// zero means platform.DefaultQueryLimit, which is also the maximum.
func (table *Table) Query(_ context.Context, query platform.Query) ([]platform.Item, error) {
	limit := query.Limit
	if limit <= 0 || limit > platform.DefaultQueryLimit {
		limit = platform.DefaultQueryLimit
	}
	start := platform.Key{Partition: query.Partition, Sort: max(query.After, query.Prefix)}
	var items []platform.Item
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.items.AscendGreaterOrEqual(platform.Item{Key: start}, func(item platform.Item) bool {
		if item.Key.Partition != query.Partition || !strings.HasPrefix(item.Key.Sort, query.Prefix) {
			return false
		}
		if query.After == "" || item.Key.Sort > query.After {
			items = append(items, item)
		}
		return len(items) < limit
	})
	return items, nil
}

// tableCopy is the state of a Table at one moment.
type tableCopy struct {
	items       *btree.BTreeG[platform.Item]
	lastVersion uint64
}

func (table *Table) copy() tableCopy {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return tableCopy{items: table.items.Clone(), lastVersion: table.lastVersion}
}

// restore goes back to an earlier state. The versions since are given out again.
func (table *Table) restore(earlier tableCopy) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.items, table.lastVersion = earlier.items.Clone(), earlier.lastVersion
}

// Len returns the number of items.
func (table *Table) Len() int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.items.Len()
}
