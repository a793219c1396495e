// Package queue holds waiting work in a bounded queue. A higher priority goes
// first; within a priority the teams share the turns by weight; work past its
// deadline never leaves the queue as work.
//
// The flow: Push files an entry under its priority's class and its team's flow;
// Pop takes the oldest entry of the flow with the least start tag in the highest
// class (start-time fair queuing); Remove withdraws an entry; Expire hands out
// the entries whose deadlines have passed. A queue isn't safe for concurrent
// use: its owner holds a lock anyway.
package queue

import (
	"errors"
	"time"

	"github.com/google/btree"
)

// ErrFull means that the queue holds as much as it may and nothing in it has
// less claim to its place than the new entry.
var ErrFull = errors.New("queue is full")

// treeDegree is the number of children of a tree node.
const treeDegree = 8

// Config configures a Queue.
type Config struct {
	// Capacity bounds the entries.
	Capacity int
}

// Entry is work to be queued.
type Entry[T any] struct {
	Value T
	// Team is who shares turns with the other teams.
	Team string
	// Weight is the team's share; zero counts as 1.
	Weight float64
	// Priority orders the classes; a higher one goes first.
	Priority int
	// Deadline is when the entry is worth nothing; zero means never.
	Deadline time.Time
}

// Ticket is an entry in a queue.
type Ticket[T any] struct {
	Entry[T]
	sequence uint64
	flow     *flow[T]
}

// Queue is a bounded queue. It must be made by New.
type Queue[T any] struct {
	config    Config
	classes   *btree.BTreeG[*class[T]]
	deadlines *btree.BTreeG[*Ticket[T]]
	expired   []T
	length    int
	sequence  uint64
}

// New returns an empty queue.
func New[T any](config Config) *Queue[T] {
	return &Queue[T]{
		config:    config,
		classes:   btree.NewG(treeDegree, higherClass[T]),
		deadlines: btree.NewG(treeDegree, earlierDeadline[T]),
	}
}

func earlierDeadline[T any](a, b *Ticket[T]) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.sequence < b.sequence
	}
	return a.Deadline.Before(b.Deadline)
}

// Len returns the number of entries.
func (queue *Queue[T]) Len() int {
	return queue.length
}

// Push files the entry. When the queue is full, the newest entry of the team
// with the most entries for its weight in the lowest class gives way and is
// returned as evicted; the error is ErrFull when that is the new entry itself.
func (queue *Queue[T]) Push(entry Entry[T]) (ticket *Ticket[T], evicted *Ticket[T], err error) {
	if entry.Weight <= 0 {
		entry.Weight = 1
	}
	if queue.length >= queue.config.Capacity {
		evicted = queue.victim(entry)
		if evicted == nil {
			return nil, nil, ErrFull
		}
		queue.Remove(evicted)
	}
	queue.sequence++
	ticket = &Ticket[T]{Entry: entry, sequence: queue.sequence}
	queue.class(entry.Priority).add(ticket)
	if !entry.Deadline.IsZero() {
		queue.deadlines.ReplaceOrInsert(ticket)
	}
	queue.length++
	return ticket, evicted, nil
}

// victim returns the entry that gives way to a new one, or nil.
func (queue *Queue[T]) victim(entry Entry[T]) *Ticket[T] {
	lowest, ok := queue.classes.Max()
	if !ok || lowest.priority > entry.Priority {
		return nil
	}
	share := 0.0
	if lowest.priority == entry.Priority {
		share = lowest.shareWith(entry)
	}
	heaviest := lowest.heaviest()
	if heaviest.share(0) <= share {
		return nil
	}
	newest, _ := heaviest.tickets.Max()
	return newest
}

// Pop takes the next entry whose deadline has not passed.
func (queue *Queue[T]) Pop(now time.Time) (T, bool) {
	queue.sweep(now)
	highest, ok := queue.classes.Min()
	if !ok {
		var none T
		return none, false
	}
	ticket := highest.serve()
	queue.forget(ticket)
	return ticket.Value, true
}

// Peek returns the entry that Pop would take.
func (queue *Queue[T]) Peek(now time.Time) (T, bool) {
	queue.sweep(now)
	highest, ok := queue.classes.Min()
	if !ok {
		var none T
		return none, false
	}
	return highest.head().Value, true
}

// Remove withdraws a ticket and reports whether it was still in the queue.
func (queue *Queue[T]) Remove(ticket *Ticket[T]) bool {
	if ticket.flow == nil {
		return false
	}
	ticket.flow.class.remove(ticket)
	queue.forget(ticket)
	return true
}

// forget ends the bookkeeping of a ticket that has left its flow.
func (queue *Queue[T]) forget(ticket *Ticket[T]) {
	class := ticket.flow.class
	if class.length == 0 {
		queue.classes.Delete(class)
	}
	ticket.flow = nil
	queue.deadlines.Delete(ticket)
	queue.length--
}

// Expire removes and returns the entries whose deadlines have passed, with
// those that Pop and Peek have met.
func (queue *Queue[T]) Expire(now time.Time) []T {
	queue.sweep(now)
	expired := queue.expired
	queue.expired = nil
	return expired
}

// sweep moves the entries past their deadline out of the classes.
func (queue *Queue[T]) sweep(now time.Time) {
	for {
		ticket, ok := queue.deadlines.Min()
		if !ok || ticket.Deadline.After(now) {
			return
		}
		queue.Remove(ticket)
		queue.expired = append(queue.expired, ticket.Value)
	}
}

// Ahead returns about how many entries would be served before a new one of the
// priority, team and weight.
func (queue *Queue[T]) Ahead(entry Entry[T]) int {
	ahead := 0
	queue.classes.Ascend(func(class *class[T]) bool {
		if class.priority < entry.Priority {
			return false
		}
		if class.priority == entry.Priority {
			ahead += class.ahead(entry)
			return false
		}
		ahead += class.length
		return true
	})
	return ahead
}

func (queue *Queue[T]) class(priority int) *class[T] {
	if found, ok := queue.classes.Get(&class[T]{priority: priority}); ok {
		return found
	}
	created := newClass[T](priority)
	queue.classes.ReplaceOrInsert(created)
	return created
}
