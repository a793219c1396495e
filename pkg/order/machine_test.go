package order

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const (
	testLease   = 30 * time.Second
	testTimeout = 5 * time.Second
	testAddress = "127.0.0.1:9000"
)

// machine runs two orderers against one engine. Both believe that the upstream
// falls to them. All share one time, which passes while the table answers.
type machine struct {
	t   *rapid.T
	now time.Time

	table     *standin.Table
	publisher *configuration.Publisher
	followers [2]*configuration.Follower
	orderers  [2]*Orderer
	// versions is the number of published versions.
	versions int
	// down is set while the table does not answer.
	down bool
	// running is the router that looks at the engine; nested is set while the
	// other one does so in between.
	running int
	nested  bool

	checksFencing bool
	// paused lets orders arrive at any time after they were sent. Otherwise
	// they arrive within the order's timeout or not at all.
	paused bool
	state  State
	obeyed []Order
	flying []flyingOrder
}

// flyingOrder is an order that has not arrived yet.
type flyingOrder struct {
	order Order
	until time.Time
}

// Transact and its kin make the machine the table that the orderers see.
func (machine *machine) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := machine.pass(ctx, "write"); err != nil {
		return err
	}
	if err := machine.table.Transact(ctx, transaction); err != nil {
		return err
	}
	return machine.pass(ctx, "answer")
}

func (machine *machine) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := machine.pass(ctx, "read"); err != nil {
		return nil, err
	}
	items, err := machine.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return items, machine.pass(ctx, "returned")
}

func (machine *machine) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	return machine.table.Query(ctx, query)
}

// tableChance is what one exchange with the table suffers.
type tableChance struct {
	seconds int
	fails   bool
	// slow lets the other router work for longer than a lease meanwhile.
	slow bool
}

var tableChances = []tableChance{
	{}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {fails: true}, {seconds: 1}, {seconds: 9}, {seconds: 27}, {slow: true}, {slow: true},
}

// pass lets time go by and draws a failure.
func (machine *machine) pass(ctx context.Context, what string) error {
	chances := rapid.SampledFrom(tableChances).Draw(machine.t, what)
	machine.advance(chances.seconds)
	if chances.slow {
		machine.workMeanwhile(ctx)
	}
	if machine.down || chances.fails {
		return fault.New(fault.Config{Kind: fault.Unavailable, Message: "table out of reach"})
	}
	return nil
}

// workMeanwhile lets the router that does not wait for the table look at the
// engine now and again until a lease has passed.
func (machine *machine) workMeanwhile(ctx context.Context) {
	if machine.nested {
		return
	}
	machine.nested = true
	defer func() { machine.nested = false }()
	other := 1 - machine.running
	for range 3 {
		machine.reconcile(ctx, other)
		machine.advance(16)
	}
	machine.running = 1 - other
}

// advance moves the time; what can no longer arrive is dropped.
func (machine *machine) advance(seconds int) {
	machine.now = machine.now.Add(time.Duration(seconds) * time.Second)
	if machine.paused {
		return
	}
	var flying []flyingOrder
	for _, one := range machine.flying {
		if !machine.now.After(one.until) {
			flying = append(flying, one)
		}
	}
	machine.flying = flying
}

// State is the engine's report.
func (machine *machine) State(context.Context, string) (State, error) { return machine.state, nil }

// Order arrives now, arrives later or never.
func (machine *machine) Order(_ context.Context, _ string, order Order) error {
	if rapid.Bool().Draw(machine.t, "arrives") {
		return machine.arrive(order)
	}
	machine.flying = append(machine.flying, flyingOrder{order: order, until: machine.now.Add(testTimeout)})
	return unreachable(testAddress, context.DeadlineExceeded)
}

func (machine *machine) arrive(order Order) error {
	if machine.checksFencing && order.Fence < machine.state.Fence {
		return conflict("old fencing number", "")
	}
	machine.state = State{Target: order.Target, Fence: max(order.Fence, machine.state.Fence)}
	machine.obeyed = append(machine.obeyed, order)
	return nil
}

func newMachine(t *rapid.T, checksFencing, paused bool) *machine {
	machine := &machine{t: t, now: time.Unix(1000, 0), table: standin.NewTable(), checksFencing: checksFencing, paused: paused}
	machine.publisher = configuration.NewPublisher(configuration.PublisherConfig{Table: machine.table})
	machine.publish("service-1", configuration.KindService, "s", 0, configuration.Service{Name: "s", Protocol: configuration.ProtocolModel})
	for i := range machine.orderers {
		self := fmt.Sprint("router-", i)
		machine.followers[i] = configuration.NewFollower(configuration.FollowerConfig{Table: machine.table, PollInterval: time.Hour})
		machine.orderers[i] = newOrderer(Config{
			Table: machine, Incarnation: self, Engine: machine,
			View:          func() *configuration.View { return machine.followers[i].View() },
			Members:       func() []fleet.Member { return []fleet.Member{{Incarnation: self, State: fleet.Live}} },
			LeaseDuration: testLease, OrderTimeout: testTimeout,
			Clock: func() time.Time { return machine.now },
		})
	}
	machine.want(t)
	return machine
}

func (machine *machine) close() {
	for _, follower := range machine.followers {
		follower.Close()
	}
}

func (machine *machine) publish(id string, kind configuration.Kind, name string, expected uint64, document any) uint64 {
	body, err := json.Marshal(document)
	require.NoError(machine.t, err)
	record, err := machine.publisher.Publish(context.Background(), configuration.Change{
		OperationID: id, Operator: "o", Reason: "r", Kind: kind, Name: name, ExpectedRevision: expected, Body: body,
	})
	require.NoError(machine.t, err)
	return record.Revision
}

// want publishes the next version; routers adopt it when they poll.
func (machine *machine) want(*rapid.T) {
	machine.versions++
	expected := uint64(0)
	if machine.versions > 1 {
		expected = uint64(machine.versions)
	}
	machine.publish(fmt.Sprint("version-", machine.versions), configuration.KindUpstream, "u", expected, configuration.Upstream{
		Name: "u", Service: "s", Address: testAddress, ChecksFencing: machine.checksFencing,
		Model: "m", Version: fmt.Sprintf("%04d", machine.versions),
	})
}

// adopt brings a router to the newest version.
func (machine *machine) adopt(i int) {
	revision := uint64(machine.versions + 1)
	machine.followers[i].Hint(revision)
	machine.followers[i].AwaitRevision(context.Background(), revision)
}

// reconcile lets a router look at the engine.
func (machine *machine) reconcile(ctx context.Context, i int) {
	machine.running = i
	view := machine.followers[i].View()
	for _, upstream := range machine.orderers[i].own(view) {
		machine.orderers[i].look(ctx, view, upstream)
	}
}

// check requires that the engine never obeyed an older version after a newer.
func (machine *machine) check(t *rapid.T) {
	for i := 1; i < len(machine.obeyed); i++ {
		require.LessOrEqual(t, machine.obeyed[i-1].Version, machine.obeyed[i].Version, "the engine went back")
	}
}

// converge lets all faults end and requires the engine to become as wanted.
func (machine *machine) converge(t *rapid.T) {
	machine.down = false
	for len(machine.flying) > 0 {
		machine.land(t)
	}
	machine.adopt(0)
	for range 200 {
		machine.advance(5)
		machine.reconcile(context.Background(), 0)
		if machine.state.Version == fmt.Sprintf("%04d", machine.versions) && !machine.state.Loading {
			return
		}
	}
	require.Fail(t, "the engine did not become as wanted")
}

// land lets one late order arrive.
func (machine *machine) land(t *rapid.T) {
	if len(machine.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(machine.flying)-1).Draw(t, "late")
	order := machine.flying[i].order
	machine.flying = append(machine.flying[:i:i], machine.flying[i+1:]...)
	_ = machine.arrive(order)
}

func (machine *machine) actions(check func(*rapid.T)) map[string]func(*rapid.T) {
	router := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "router") }
	return map[string]func(*rapid.T){
		"want":      machine.want,
		"adopt":     func(t *rapid.T) { machine.adopt(router(t)) },
		"reconcile": func(t *rapid.T) { machine.reconcile(context.Background(), router(t)) },
		"wait":      func(t *rapid.T) { machine.advance(rapid.IntRange(1, 40).Draw(t, "seconds")) },
		"land":      machine.land,
		"outage":    func(*rapid.T) { machine.down = !machine.down },
		"":          check,
	}
}

// Engines that check fencing never go back, however late orders arrive. Those
// that don't check never go back if no orderer is paused; if one is, they are
// brought back to what is wanted.
func TestOrdersUnderPausesAndLostAnswers(t *testing.T) {
	cases := []struct {
		name                          string
		checksFencing, paused, goesOn bool
	}{
		{name: "checks fencing, paused orderers", checksFencing: true, paused: true},
		{name: "ignores fencing, no pauses"},
		{name: "ignores fencing, paused orderers", paused: true, goesOn: true},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			obeyed := 0
			rapid.Check(t, func(t *rapid.T) {
				machine := newMachine(t, one.checksFencing, one.paused)
				defer machine.close()
				check := machine.check
				if one.goesOn {
					check = func(*rapid.T) {}
				}
				t.Repeat(machine.actions(check))
				machine.converge(t)
				obeyed += len(machine.obeyed)
			})
			t.Logf("orders obeyed: %d", obeyed)
		})
	}
}
