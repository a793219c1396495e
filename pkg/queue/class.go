package queue

import (
	"math"

	"github.com/google/btree"
)

// class holds the entries of one priority while there are any.
type class[T any] struct {
	priority int
	length   int
	// virtual is the start tag of the entry served last.
	virtual float64
	// flows holds every team that was seen since the class began, so that a
	// team that comes back keeps its tag.
	flows map[string]*flow[T]
	// active orders the flows that have entries by their start tags.
	active *btree.BTreeG[*flow[T]]
	// weight is the sum of the active flows' weights.
	weight float64
}

// flow holds the entries of one team in order of arrival.
type flow[T any] struct {
	class  *class[T]
	team   string
	weight float64
	// tag is the start tag of the flow's next entry.
	tag     float64
	tickets *btree.BTreeG[*Ticket[T]]
}

func higherClass[T any](a, b *class[T]) bool {
	return a.priority > b.priority
}

func earlierFlow[T any](a, b *flow[T]) bool {
	if a.tag == b.tag {
		return a.team < b.team
	}
	return a.tag < b.tag
}

func olderTicket[T any](a, b *Ticket[T]) bool {
	return a.sequence < b.sequence
}

func newClass[T any](priority int) *class[T] {
	return &class[T]{
		priority: priority,
		flows:    make(map[string]*flow[T]),
		active:   btree.NewG(treeDegree, earlierFlow[T]),
	}
}

// add files a ticket behind the others of its team.
func (class *class[T]) add(ticket *Ticket[T]) {
	flow := class.flow(ticket.Team)
	ticket.flow = flow
	if flow.tickets.Len() == 0 {
		flow.weight = ticket.Weight
		flow.tag = math.Max(flow.tag, class.virtual)
		class.activate(flow)
	}
	flow.tickets.ReplaceOrInsert(ticket)
	class.length++
}

func (class *class[T]) flow(team string) *flow[T] {
	found, ok := class.flows[team]
	if !ok {
		found = &flow[T]{class: class, team: team, tickets: btree.NewG(treeDegree, olderTicket[T])}
		class.flows[team] = found
	}
	return found
}

func (class *class[T]) activate(flow *flow[T]) {
	class.active.ReplaceOrInsert(flow)
	class.weight += flow.weight
}

func (class *class[T]) deactivate(flow *flow[T]) {
	class.active.Delete(flow)
	class.weight -= flow.weight
}

// head returns the ticket that serve would take.
func (class *class[T]) head() *Ticket[T] {
	flow, _ := class.active.Min()
	ticket, _ := flow.tickets.Min()
	return ticket
}

// serve takes the next ticket and charges its flow for the turn.
func (class *class[T]) serve() *Ticket[T] {
	ticket := class.head()
	flow := ticket.flow
	class.deactivate(flow)
	class.virtual = flow.tag
	flow.tag += 1 / flow.weight
	flow.tickets.Delete(ticket)
	class.length--
	if flow.tickets.Len() > 0 {
		flow.weight = ticket.Weight
		class.activate(flow)
	}
	return ticket
}

// remove takes a ticket out; its flow isn't charged.
func (class *class[T]) remove(ticket *Ticket[T]) {
	flow := ticket.flow
	flow.tickets.Delete(ticket)
	class.length--
	if flow.tickets.Len() == 0 {
		class.deactivate(flow)
	}
}

// share returns the flow's entries, and more besides, for its weight.
func (flow *flow[T]) share(more int) float64 {
	return float64(flow.tickets.Len()+more) / flow.weight
}

// shareWith returns the share of the entry's team with the entry.
func (class *class[T]) shareWith(entry Entry[T]) float64 {
	flow, ok := class.flows[entry.Team]
	if !ok || flow.tickets.Len() == 0 {
		return 1 / entry.Weight
	}
	return flow.share(1)
}

// heaviest returns the active flow with the largest share.
func (class *class[T]) heaviest() *flow[T] {
	var heaviest *flow[T]
	class.active.Ascend(func(flow *flow[T]) bool {
		if heaviest == nil || flow.share(0) > heaviest.share(0) {
			heaviest = flow
		}
		return true
	})
	return heaviest
}

// ahead estimates the entries of the class that go before a new one.
func (class *class[T]) ahead(entry Entry[T]) int {
	own, weight := 0, class.weight
	if flow, ok := class.flows[entry.Team]; ok && flow.tickets.Len() > 0 {
		own = flow.tickets.Len()
		weight -= flow.weight
	}
	others := float64(own+1) * weight / entry.Weight
	return own + min(class.length-own, int(math.Ceil(others)))
}
