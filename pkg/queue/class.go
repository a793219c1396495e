package queue

import (
	"math"

	"github.com/google/btree"
)

// class holds the entries of one priority. It is removed with its last entry.
type class[T any] struct {
	priority int
	length   int
	// virtualTime is the start tag of the entry served last.
	virtualTime float64
	// flows holds, by team, every flow that has had entries since the class was
	// created, so that a flow that was empty for a while keeps its start tag.
	flows map[string]*flow[T]
	// active holds the flows that have entries, ordered by their start tags.
	active *btree.BTreeG[*flow[T]]
	// activeWeight is the sum of the active flows' weights.
	activeWeight float64
}

// flow holds the entries of one team in their order of arrival.
type flow[T any] struct {
	class  *class[T]
	team   string
	weight float64
	// startTag is the virtual time at which the flow's next entry is due.
	startTag float64
	tickets  *btree.BTreeG[*Ticket[T]]
}

func hasHigherPriority[T any](a, b *class[T]) bool {
	return a.priority > b.priority
}

func hasEarlierStartTag[T any](a, b *flow[T]) bool {
	if a.startTag == b.startTag {
		return a.team < b.team
	}
	return a.startTag < b.startTag
}

func isOlder[T any](a, b *Ticket[T]) bool {
	return a.sequence < b.sequence
}

func newClass[T any](priority int) *class[T] {
	return &class[T]{
		priority: priority,
		flows:    make(map[string]*flow[T]),
		active:   btree.NewG(treeDegree, hasEarlierStartTag[T]),
	}
}

// add appends a ticket to the flow of its team.
func (class *class[T]) add(ticket *Ticket[T]) {
	flow := class.flowOf(ticket.Team)
	ticket.flow = flow
	if flow.tickets.Len() == 0 {
		flow.weight = ticket.Weight
		flow.startTag = math.Max(flow.startTag, class.virtualTime)
		class.activate(flow)
	}
	flow.tickets.ReplaceOrInsert(ticket)
	class.length++
}

func (class *class[T]) flowOf(team string) *flow[T] {
	found, ok := class.flows[team]
	if !ok {
		found = &flow[T]{class: class, team: team, tickets: btree.NewG(treeDegree, isOlder[T])}
		class.flows[team] = found
	}
	return found
}

func (class *class[T]) activate(flow *flow[T]) {
	class.active.ReplaceOrInsert(flow)
	class.activeWeight += flow.weight
}

func (class *class[T]) deactivate(flow *flow[T]) {
	class.active.Delete(flow)
	class.activeWeight -= flow.weight
}

// next returns the ticket that the next call of serve removes.
func (class *class[T]) next() *Ticket[T] {
	flow, _ := class.active.Min()
	ticket, _ := flow.tickets.Min()
	return ticket
}

// serve removes and returns the next ticket, and advances its flow's start tag
// by the inverse of the flow's weight.
func (class *class[T]) serve() *Ticket[T] {
	ticket := class.next()
	flow := ticket.flow
	class.deactivate(flow)
	class.virtualTime = flow.startTag
	flow.startTag += 1 / flow.weight
	flow.tickets.Delete(ticket)
	class.length--
	if flow.tickets.Len() > 0 {
		flow.weight = ticket.Weight
		class.activate(flow)
	}
	return ticket
}

// remove removes a ticket without advancing its flow's start tag.
func (class *class[T]) remove(ticket *Ticket[T]) {
	flow := ticket.flow
	flow.tickets.Delete(ticket)
	class.length--
	if flow.tickets.Len() == 0 {
		class.deactivate(flow)
	}
}

// entriesPerWeight returns the number of the flow's entries, with the given
// number of additional ones, divided by its weight.
func (flow *flow[T]) entriesPerWeight(additional int) float64 {
	return float64(flow.tickets.Len()+additional) / flow.weight
}

// entriesPerWeightWith returns what entriesPerWeight of the entry's team would be
// with the entry in the queue.
func (class *class[T]) entriesPerWeightWith(entry Entry[T]) float64 {
	flow, ok := class.flows[entry.Team]
	if !ok || flow.tickets.Len() == 0 {
		return 1 / entry.Weight
	}
	return flow.entriesPerWeight(1)
}

// longestFlow returns the active flow with the most entries for its weight.
func (class *class[T]) longestFlow() *flow[T] {
	var longest *flow[T]
	class.active.Ascend(func(flow *flow[T]) bool {
		if longest == nil || flow.entriesPerWeight(0) > longest.entriesPerWeight(0) {
			longest = flow
		}
		return true
	})
	return longest
}

// entriesAhead estimates how many entries of the class are served before a new
// one: those of its team, and those of other teams that are served meanwhile, in
// proportion to their weights.
func (class *class[T]) entriesAhead(entry Entry[T]) int {
	ownEntries, othersWeight := 0, class.activeWeight
	if flow, ok := class.flows[entry.Team]; ok && flow.tickets.Len() > 0 {
		ownEntries = flow.tickets.Len()
		othersWeight -= flow.weight
	}
	servedMeanwhile := float64(ownEntries+1) * othersWeight / entry.Weight
	return ownEntries + min(class.length-ownEntries, int(math.Ceil(servedMeanwhile)))
}
