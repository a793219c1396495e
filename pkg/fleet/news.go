package fleet

import (
	"cmp"
	"math/bits"
	"slices"
)

// newsQueue holds what has still to be passed on to peers. Each item is sent a
// number of times that grows with the logarithm of the fleet's size, the least
// sent first, so that the bytes of a message don't depend on the size.
type newsQueue[T any] struct {
	items map[string]*newsItem[T]
	// added counts items, to send newer ones first among equals.
	added uint64
}

type newsItem[T any] struct {
	key   string
	value T
	sent  int
	added uint64
}

func newNewsQueue[T any]() *newsQueue[T] {
	return &newsQueue[T]{items: make(map[string]*newsItem[T])}
}

// add queues a value; an older one under the key is replaced.
func (queue *newsQueue[T]) add(key string, value T) {
	queue.added++
	queue.items[key] = &newsItem[T]{key: key, value: value, added: queue.added}
}

// take returns up to limit values for one message to a fleet of the size.
func (queue *newsQueue[T]) take(limit, size int) []T {
	items := make([]*newsItem[T], 0, len(queue.items))
	for _, item := range queue.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *newsItem[T]) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.added, a.added))
	})
	items = items[:min(limit, len(items))]
	values := make([]T, len(items))
	for i, item := range items {
		values[i] = item.value
		item.sent++
		if item.sent >= transmissions(size) {
			delete(queue.items, item.key)
		}
	}
	return values
}

// transmissionFactor multiplies the logarithm of the fleet's size.
const transmissionFactor = 2

// transmissions is how often one router passes an item on.
func transmissions(size int) int {
	return transmissionFactor * bits.Len(uint(size+1))
}
