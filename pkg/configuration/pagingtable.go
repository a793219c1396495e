package configuration

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// pagingTable is a table for reads whose answers may be large for the network. Each
// call has a time limit of its own, and queries read fewer items at once after a
// call that reached it.
type pagingTable struct {
	platform.Table
	timeout time.Duration
	// pageSize is the number of items of the next call.
	pageSize atomic.Int64
}

func newPagingTable(table platform.Table, timeout time.Duration) *pagingTable {
	pagingTable := &pagingTable{Table: table, timeout: timeout}
	pagingTable.pageSize.Store(platform.DefaultQueryLimit)
	return pagingTable
}

// Get reads items in one consistent snapshot.
func (pagingTable *pagingTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, pagingTable.timeout)
	defer cancel()
	return pagingTable.Table.Get(ctx, keys...)
}

// Query reads items page by page. Each page is a consistent snapshot, the result is
// not.
func (pagingTable *pagingTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	if query.Limit <= 0 {
		query.Limit = platform.DefaultQueryLimit
	}
	var items []platform.Item
	for {
		pageQuery := query
		pageQuery.Limit = min(query.Limit-len(items), int(pagingTable.pageSize.Load()))
		page, err := pagingTable.queryPage(ctx, pageQuery)
		if err != nil {
			return nil, err
		}
		items = append(items, page...)
		if len(page) < pageQuery.Limit || len(items) == query.Limit {
			return items, nil
		}
		query.After = page[len(page)-1].Key.Sort
	}
}

// queryPage makes one call and adapts the size of the next.
func (pagingTable *pagingTable) queryPage(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	callContext, cancel := context.WithTimeout(ctx, pagingTable.timeout)
	defer cancel()
	startedAt := time.Now()
	page, err := pagingTable.Table.Query(callContext, query)
	size := pagingTable.pageSize.Load()
	switch {
	case err != nil && errors.Is(callContext.Err(), context.DeadlineExceeded) && ctx.Err() == nil:
		pagingTable.pageSize.Store(max(int64(query.Limit)/2, 1))
	case err == nil && time.Since(startedAt) < pagingTable.timeout/4:
		pagingTable.pageSize.Store(min(2*size, platform.DefaultQueryLimit))
	}
	return page, err
}
