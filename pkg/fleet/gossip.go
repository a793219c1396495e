package fleet

import (
	"cmp"
	"math/bits"
	"slices"
)

// gossipQueue holds values to be gossiped to peers. Each item is sent a number of
// times that grows with the logarithm of the fleet's size, least-sent items first,
// so that the size of a message does not depend on that of the fleet.
type gossipQueue[T any] struct {
	items map[string]*gossipItem[T]
	// lastSequence is the sequence number of the newest item. Among items sent
	// equally often, newer ones go first.
	lastSequence uint64
}

type gossipItem[T any] struct {
	key       string
	value     T
	sendCount int
	sequence  uint64
}

func newGossipQueue[T any]() *gossipQueue[T] {
	return &gossipQueue[T]{items: make(map[string]*gossipItem[T])}
}

// add queues a value and replaces any queued value of the same key.
func (queue *gossipQueue[T]) add(key string, value T) {
	queue.lastSequence++
	queue.items[key] = &gossipItem[T]{key: key, value: value, sequence: queue.lastSequence}
}

// take returns up to limit values for one message and counts them as sent. Items
// that have reached the retransmit limit are removed.
func (queue *gossipQueue[T]) take(limit, fleetSize int) []T {
	items := make([]*gossipItem[T], 0, len(queue.items))
	for _, item := range queue.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *gossipItem[T]) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(b.sequence, a.sequence))
	})
	items = items[:min(limit, len(items))]
	values := make([]T, len(items))
	for i, item := range items {
		values[i] = item.value
		item.sendCount++
		if item.sendCount >= retransmitLimit(fleetSize) {
			delete(queue.items, item.key)
		}
	}
	return values
}

// retransmitMultiplier is multiplied by the logarithm (base 2) of the fleet's
// size to get the retransmit limit.
const retransmitMultiplier = 2

// retransmitLimit returns how many times one router sends a gossip item.
func retransmitLimit(fleetSize int) int {
	return retransmitMultiplier * bits.Len(uint(fleetSize+1))
}
