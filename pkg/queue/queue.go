// Package queue implements a bounded queue with priorities and weighted fair
// queuing. Entries of a higher priority are served first; within a priority the
// teams are served in proportion to their weights. An entry is never served
// after its deadline.
//
// The flow: Push adds an entry to the class of its priority and, in the class,
// to the flow of its team; Pop removes the oldest entry of the flow with the
// smallest start tag in the highest class (start-time fair queuing); Remove
// removes a given entry; Expire removes and returns the entries whose deadlines
// have passed. A queue isn't safe for concurrent use, because its users hold a
// lock of their own anyway.
package queue

import (
	"errors"
	"time"

	"github.com/google/btree"
)

// ErrFull means that the queue has reached its capacity and that no entry in it
// may be evicted for the new one.
var ErrFull = errors.New("queue is full")

// treeDegree is the degree of the B-trees.
const treeDegree = 8

// Config configures a Queue.
type Config struct {
	// Capacity is the maximum number of entries.
	Capacity int
}

// Entry is a value to be queued.
type Entry[T any] struct {
	Value T
	// Team is the team whose flow the entry belongs to.
	Team string
	// Weight is the team's weight in fair queuing; zero or less counts as 1.
	Weight float64
	// Priority orders the classes; a higher one is served first.
	Priority int
	// Deadline is when the entry expires; zero means never.
	Deadline time.Time
}

// Ticket is the handle of an entry in a queue.
type Ticket[T any] struct {
	Entry[T]
	// sequence numbers the entries in order of arrival.
	sequence uint64
	// flow is nil once the entry has left the queue.
	flow *flow[T]
}

// Queue is a bounded queue with priorities and weighted fair queuing. Use New to
// create one.
type Queue[T any] struct {
	config Config
	// classes holds the classes with entries, the highest priority first.
	classes *btree.BTreeG[*class[T]]
	// byDeadline holds the entries with a deadline, the earliest first.
	byDeadline *btree.BTreeG[*Ticket[T]]
	// expired holds the expired entries that Expire hasn't returned yet.
	expired []T
	length  int
	// lastSequence is the sequence number of the newest entry.
	lastSequence uint64
}

// New returns an empty queue.
func New[T any](config Config) *Queue[T] {
	return &Queue[T]{
		config:     config,
		classes:    btree.NewG(treeDegree, hasHigherPriority[T]),
		byDeadline: btree.NewG(treeDegree, hasEarlierDeadline[T]),
	}
}

func hasEarlierDeadline[T any](a, b *Ticket[T]) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.sequence < b.sequence
	}
	return a.Deadline.Before(b.Deadline)
}

// Len returns the number of entries.
func (queue *Queue[T]) Len() int {
	return queue.length
}

// Push adds the entry and returns its ticket. When the queue is full, it evicts
// and returns an entry of the lowest class: the newest one of the team that has
// the most entries for its weight. It evicts none and returns ErrFull when the
// new entry has a lower priority than that class, or the same priority and its
// team would have at least as many entries for its weight.
func (queue *Queue[T]) Push(entry Entry[T]) (ticket *Ticket[T], evicted *Ticket[T], err error) {
	if entry.Weight <= 0 {
		entry.Weight = 1
	}
	if queue.length >= queue.config.Capacity {
		evicted = queue.entryToEvict(entry)
		if evicted == nil {
			return nil, nil, ErrFull
		}
		queue.Remove(evicted)
	}
	queue.lastSequence++
	ticket = &Ticket[T]{Entry: entry, sequence: queue.lastSequence}
	queue.classOf(entry.Priority).add(ticket)
	if !entry.Deadline.IsZero() {
		queue.byDeadline.ReplaceOrInsert(ticket)
	}
	queue.length++
	return ticket, evicted, nil
}

// entryToEvict returns the entry that is evicted for a new one, or nil.
func (queue *Queue[T]) entryToEvict(entry Entry[T]) *Ticket[T] {
	lowest, ok := queue.classes.Max()
	if !ok || lowest.priority > entry.Priority {
		return nil
	}
	newEntriesPerWeight := 0.0
	if lowest.priority == entry.Priority {
		newEntriesPerWeight = lowest.entriesPerWeightWith(entry)
	}
	longest := lowest.longestFlow()
	if longest.entriesPerWeight(0) <= newEntriesPerWeight {
		return nil
	}
	newest, _ := longest.tickets.Max()
	return newest
}

// Pop removes and returns the next entry whose deadline has not passed. It
// reports false when there is none.
func (queue *Queue[T]) Pop(now time.Time) (T, bool) {
	queue.moveExpired(now)
	highest, ok := queue.classes.Min()
	if !ok {
		var none T
		return none, false
	}
	ticket := highest.serve()
	queue.untrack(ticket)
	return ticket.Value, true
}

// Peek returns the entry that Pop would remove.
func (queue *Queue[T]) Peek(now time.Time) (T, bool) {
	queue.moveExpired(now)
	highest, ok := queue.classes.Min()
	if !ok {
		var none T
		return none, false
	}
	return highest.next().Value, true
}

// Remove removes an entry and reports whether it was still in the queue.
func (queue *Queue[T]) Remove(ticket *Ticket[T]) bool {
	if ticket.flow == nil {
		return false
	}
	ticket.flow.class.remove(ticket)
	queue.untrack(ticket)
	return true
}

// untrack updates the queue's indexes for a ticket that was removed from its
// flow.
func (queue *Queue[T]) untrack(ticket *Ticket[T]) {
	class := ticket.flow.class
	if class.length == 0 {
		queue.classes.Delete(class)
	}
	ticket.flow = nil
	queue.byDeadline.Delete(ticket)
	queue.length--
}

// Expire removes and returns the entries whose deadlines have passed, including
// those that Pop and Peek have removed for that reason since the last call.
func (queue *Queue[T]) Expire(now time.Time) []T {
	queue.moveExpired(now)
	expired := queue.expired
	queue.expired = nil
	return expired
}

// moveExpired moves the entries whose deadlines have passed to queue.expired.
func (queue *Queue[T]) moveExpired(now time.Time) {
	for {
		ticket, ok := queue.byDeadline.Min()
		if !ok || ticket.Deadline.After(now) {
			return
		}
		queue.Remove(ticket)
		queue.expired = append(queue.expired, ticket.Value)
	}
}

// EntriesAhead estimates how many of the queued entries would be served before
// the given one if it were pushed now.
func (queue *Queue[T]) EntriesAhead(entry Entry[T]) int {
	count := 0
	queue.classes.Ascend(func(class *class[T]) bool {
		if class.priority < entry.Priority {
			return false
		}
		if class.priority == entry.Priority {
			count += class.entriesAhead(entry)
			return false
		}
		count += class.length
		return true
	})
	return count
}

func (queue *Queue[T]) classOf(priority int) *class[T] {
	if found, ok := queue.classes.Get(&class[T]{priority: priority}); ok {
		return found
	}
	created := newClass[T](priority)
	queue.classes.ReplaceOrInsert(created)
	return created
}
