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

// model is an oracle for Queue: a plain list that is searched through.
type model struct {
	waiting []*Ticket[int]
}

func (model *model) drop(value int) *Ticket[int] {
	for index, ticket := range model.waiting {
		if ticket.Value == value {
			model.waiting = append(model.waiting[:index], model.waiting[index+1:]...)
			return ticket
		}
	}
	return nil
}

func (model *model) checkPop(t *rapid.T, value int, now time.Time) {
	var taken *Ticket[int]
	for _, ticket := range model.waiting {
		if ticket.Value == value {
			taken = ticket
		}
	}
	require.NotNil(t, taken, "popped an entry that was not waiting")
	require.True(t, taken.Deadline.After(now), "popped an entry past its deadline")
	for _, ticket := range model.waiting {
		require.LessOrEqual(t, ticket.Priority, taken.Priority, "a higher priority waited")
		if ticket.Priority == taken.Priority && ticket.Team == taken.Team {
			require.GreaterOrEqual(t, ticket.sequence, taken.sequence, "an older entry of the team waited")
		}
	}
	model.drop(value)
}

// queueCapacity is that of the queue under test.
const queueCapacity = 12

// queueMachine applies each action to the queue and to its model.
type queueMachine struct {
	queue *Queue[int]
	model model
	now   time.Time
	next  int
}

func (queueMachine *queueMachine) push(t *rapid.T) {
	queueMachine.next++
	entry := Entry[int]{
		Value:    queueMachine.next,
		Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Weight:   rapid.Float64Range(0.5, 4).Draw(t, "weight"),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Deadline: queueMachine.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
	}
	model := &queueMachine.model
	ticket, evicted, err := queueMachine.queue.Push(entry)
	if err != nil {
		require.Len(t, model.waiting, queueCapacity)
		for _, waiting := range model.waiting {
			require.GreaterOrEqual(t, waiting.Priority, entry.Priority, "refused before a lower priority")
		}
		return
	}
	if evicted != nil {
		require.LessOrEqual(t, evicted.Priority, entry.Priority)
		require.NotNil(t, model.drop(evicted.Value))
	}
	model.waiting = append(model.waiting, ticket)
}

func (queueMachine *queueMachine) pop(t *rapid.T) {
	value, ok := queueMachine.queue.Pop(queueMachine.now)
	for _, expired := range queueMachine.queue.Expire(queueMachine.now) {
		require.False(t, queueMachine.model.drop(expired).Deadline.After(queueMachine.now))
	}
	require.Equal(t, len(queueMachine.model.waiting) > 0, ok)
	if ok {
		queueMachine.model.checkPop(t, value, queueMachine.now)
	}
}

func (queueMachine *queueMachine) remove(t *rapid.T) {
	if len(queueMachine.model.waiting) == 0 {
		t.Skip("nothing waits")
	}
	ticket := rapid.SampledFrom(queueMachine.model.waiting).Draw(t, "ticket")
	require.True(t, queueMachine.queue.Remove(ticket))
	require.False(t, queueMachine.queue.Remove(ticket))
	queueMachine.model.drop(ticket.Value)
}

func (queueMachine *queueMachine) wait(t *rapid.T) {
	queueMachine.now = queueMachine.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
}

func (queueMachine *queueMachine) check(t *rapid.T) {
	require.Equal(t, len(queueMachine.model.waiting), queueMachine.queue.Len())
	require.LessOrEqual(t, queueMachine.queue.Len(), queueCapacity)
}

func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &queueMachine{queue: New[int](Config{Capacity: queueCapacity}), now: time.Unix(1000, 0)}
		t.Repeat(map[string]func(*rapid.T){
			"push":   machine.push,
			"pop":    machine.pop,
			"remove": machine.remove,
			"wait":   machine.wait,
			"":       machine.check,
		})
	})
}

// Two teams that both wait all the time are served by weight; the difference
// is at most one turn of each.
func TestTurnsFollowWeights(t *testing.T) {
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
		served := map[string]float64{}
		for range 200 {
			team, ok := queue.Pop(time.Time{})
			require.True(t, ok)
			push(team)
			served[team] += 1 / weights[team]
			require.InDelta(t, served["a"], served["b"], 1/weights["a"]+1/weights["b"]+1e-9)
		}
	})
}

func TestFullQueueEvictsTheHeaviestTeam(t *testing.T) {
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

// The cost of a push and a pop with 1,000 entries of 830 teams waiting.
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

// The cost of a push into a full queue of 1,000 entries of 830 teams.
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
