package queue

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// model is the reference implementation of Queue: a list with linear search.
type model struct {
	queued []*Ticket[int]
}

func (model *model) remove(value int) *Ticket[int] {
	for index, ticket := range model.queued {
		if ticket.Value == value {
			model.queued = append(model.queued[:index], model.queued[index+1:]...)
			return ticket
		}
	}
	return nil
}

func (model *model) checkPop(t *rapid.T, value int, now time.Time) {
	var popped *Ticket[int]
	for _, ticket := range model.queued {
		if ticket.Value == value {
			popped = ticket
		}
	}
	require.NotNil(t, popped, "popped an entry that was not waiting")
	require.True(t, popped.Deadline.After(now), "popped an entry past its deadline")
	for _, ticket := range model.queued {
		require.LessOrEqual(t, ticket.Priority, popped.Priority, "a higher priority waited")
		if ticket.Priority == popped.Priority && ticket.Team == popped.Team {
			require.GreaterOrEqual(t, ticket.sequence, popped.sequence, "an older entry of the team waited")
		}
	}
	model.remove(value)
}

// queueCapacity is the capacity of the queue under test.
const queueCapacity = 12

// queueMachine applies each random action to the queue and to its model.
type queueMachine struct {
	queue     *Queue[int]
	model     model
	now       time.Time
	lastValue int
}

func (queueMachine *queueMachine) push(t *rapid.T) {
	queueMachine.lastValue++
	entry := Entry[int]{
		Value:    queueMachine.lastValue,
		Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Weight:   rapid.Float64Range(0.5, 4).Draw(t, "weight"),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Deadline: queueMachine.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
	}
	model := &queueMachine.model
	ticket, evicted, err := queueMachine.queue.Push(entry)
	if err != nil {
		require.Len(t, model.queued, queueCapacity)
		for _, queuedTicket := range model.queued {
			require.GreaterOrEqual(t, queuedTicket.Priority, entry.Priority, "refused before a lower priority")
		}
		return
	}
	if evicted != nil {
		require.LessOrEqual(t, evicted.Priority, entry.Priority)
		require.NotNil(t, model.remove(evicted.Value))
	}
	model.queued = append(model.queued, ticket)
}

func (queueMachine *queueMachine) pop(t *rapid.T) {
	value, ok := queueMachine.queue.Pop(queueMachine.now)
	for _, expired := range queueMachine.queue.Expire(queueMachine.now) {
		require.False(t, queueMachine.model.remove(expired).Deadline.After(queueMachine.now))
	}
	require.Equal(t, len(queueMachine.model.queued) > 0, ok)
	if ok {
		queueMachine.model.checkPop(t, value, queueMachine.now)
	}
}

func (queueMachine *queueMachine) remove(t *rapid.T) {
	if len(queueMachine.model.queued) == 0 {
		t.Skip("nothing waits")
	}
	ticket := rapid.SampledFrom(queueMachine.model.queued).Draw(t, "ticket")
	require.True(t, queueMachine.queue.Remove(ticket))
	require.False(t, queueMachine.queue.Remove(ticket))
	queueMachine.model.remove(ticket.Value)
}

func (queueMachine *queueMachine) advanceTime(t *rapid.T) {
	queueMachine.now = queueMachine.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
}

func (queueMachine *queueMachine) check(t *rapid.T) {
	require.Equal(t, len(queueMachine.model.queued), queueMachine.queue.Len())
	require.LessOrEqual(t, queueMachine.queue.Len(), queueCapacity)
}

func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &queueMachine{queue: New[int](Config{Capacity: queueCapacity}), now: time.Unix(1000, 0)}
		t.Repeat(map[string]func(*rapid.T){
			"push":   machine.push,
			"pop":    machine.pop,
			"remove": machine.remove,
			"wait":   machine.advanceTime,
			"":       machine.check,
		})
	})
}

// Guards against unfair service of teams that always have queued entries: two
// such teams are served in proportion to their weights, and differ at any time
// by at most one served entry of each.
func TestTeamsAreServedInProportionToWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{
			"a": rapid.Float64Range(0.5, 8).Draw(t, "a"),
			"b": rapid.Float64Range(0.5, 8).Draw(t, "b"),
		}
		queue := New[string](Config{Capacity: 1000})
		push := func(team string) {
			_, _, err := queue.Push(Entry[string]{Value: team, Team: team, Weight: weights[team]})
			require.NoError(t, err)
		}
		for range rapid.IntRange(1, 50).Draw(t, "lead") {
			push("a")
			_, _ = queue.Pop(time.Time{})
		}
		push("a")
		push("b")
		servedPerWeight := map[string]float64{}
		for range 200 {
			team, ok := queue.Pop(time.Time{})
			require.True(t, ok)
			push(team)
			servedPerWeight[team] += 1 / weights[team]
			require.InDelta(t, servedPerWeight["a"], servedPerWeight["b"], 1/weights["a"]+1/weights["b"]+1e-9)
		}
	})
}

func TestFullQueueEvictsFromTeamWithMostEntriesForItsWeight(t *testing.T) {
	queue := New[string](Config{Capacity: 3})
	for index := range 3 {
		_, _, err := queue.Push(Entry[string]{Value: fmt.Sprint("large-", index), Team: "large"})
		require.NoError(t, err)
	}
	_, evicted, err := queue.Push(Entry[string]{Value: "small", Team: "small"})
	require.NoError(t, err)
	require.Equal(t, "large-2", evicted.Value)
	_, _, err = queue.Push(Entry[string]{Value: "large-3", Team: "large"})
	require.ErrorIs(t, err, ErrFull)
}

// Measures a push and a pop with 1,000 queued entries of 830 teams.
func BenchmarkPushPop(b *testing.B) {
	queue := New[int](Config{Capacity: 2000})
	teams := make([]string, 830)
	for index := range teams {
		teams[index] = fmt.Sprint("team-", index)
	}
	push := func(index int) {
		_, _, _ = queue.Push(Entry[int]{Value: index, Team: teams[index%len(teams)], Deadline: time.Unix(int64(index+10), 0)})
	}
	for index := range 1000 {
		push(index)
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		push(index + 1000)
		queue.Pop(time.Time{})
	}
}

// Measures a push into a full queue of 1,000 entries of 830 teams.
func BenchmarkPushFull(b *testing.B) {
	queue := New[int](Config{Capacity: 1000})
	for index := 0; b.Loop(); index++ {
		_, _, _ = queue.Push(Entry[int]{Value: index, Team: fmt.Sprint("team-", index%830)})
	}
}

func ExampleQueue() {
	queue := New[string](Config{Capacity: 10})
	for priority, value := range []string{"dossier", "short answer"} {
		if _, _, err := queue.Push(Entry[string]{Value: value, Priority: priority}); err != nil {
			fmt.Println(err)
		}
	}
	first, _ := queue.Pop(time.Now())
	fmt.Println(first)
	// Output: short answer
}
