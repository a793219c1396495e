// Package standin holds small stand-ins for what surrounds the router fleet:
// the platform's table service, object store and VM list, model engines and
// plain services. They are for demonstrations, tests and measurements.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Table is a table service in memory.
type Table struct {
	mutex sync.Mutex
	items map[platform.Key]platform.Item
	// version counts writes of the whole table.
	version uint64
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: make(map[platform.Key]platform.Item)}
}

// Transact applies all writes or none.
func (table *Table) Transact(_ context.Context, transaction platform.Transaction) error {
	if len(transaction.Writes) > platform.MaxTransactionWrites {
		return fault.New(fault.Config{Kind: fault.Invalid, Message: "transaction has too many writes", Remedy: "split it"})
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, write := range transaction.Writes {
		if !table.holds(write) {
			return fault.New(fault.Config{Kind: fault.Conflict, Message: "condition failed on " + write.Key.Partition + "/" + write.Key.Sort, Remedy: "read the item again"})
		}
	}
	for _, write := range transaction.Writes {
		table.apply(write)
	}
	return nil
}

func (table *Table) holds(write platform.Write) bool {
	item := table.items[write.Key]
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
		table.version++
		table.items[write.Key] = platform.Item{
			Key:     write.Key,
			Value:   append([]byte(nil), write.Value...),
			Version: table.version,
		}
	case platform.Delete:
		delete(table.items, write.Key)
	case platform.Check:
	}
}

// Get reads items in one snapshot.
func (table *Table) Get(_ context.Context, keys ...platform.Key) ([]platform.Item, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	items := make([]platform.Item, len(keys))
	for i, key := range keys {
		items[i] = table.items[key]
		items[i].Key = key
	}
	return items, nil
}

// Query reads items of one partition in the order of their sort keys.
func (table *Table) Query(_ context.Context, query platform.Query) ([]platform.Item, error) {
	limit := query.Limit
	if limit <= 0 {
		limit = platform.DefaultQueryLimit
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var items []platform.Item
	for key, item := range table.items {
		if key.Partition == query.Partition && key.Sort > query.After && strings.HasPrefix(key.Sort, query.Prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key.Sort < items[j].Key.Sort })
	if len(items) > limit {
		items = items[:limit]
	}
	return items, nil
}
