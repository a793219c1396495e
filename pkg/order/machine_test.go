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
	testLeaseDuration = 30 * time.Second
	testOrderTimeout  = 5 * time.Second
	testEngineAddress = "127.0.0.1:9000"
)

// machine is a rapid state machine with two orderers and one engine. Both
// orderers consider the upstream assigned to them. All use the same simulated
// time, which advances during table calls.
type machine struct {
	t   *rapid.T
	now time.Time

	table     *standin.Table
	publisher *configuration.Publisher
	followers [2]*configuration.Follower
	orderers  [2]*Orderer
	// publishedVersions is the number of published versions of the upstream.
	publishedVersions int
	// tableDown is set while all table calls fail.
	tableDown bool
	// activeRouter is the index of the router that reconciles. otherActive is
	// set while the other router reconciles during its table call.
	activeRouter int
	otherActive  bool

	checksFencing bool
	// unboundedDelays lets orders arrive at any time after they were sent, as
	// from an orderer whose process is paused. Otherwise they arrive within the
	// order timeout or not at all.
	unboundedDelays bool
	engineState     State
	acceptedOrders  []Order
	inFlight        []inFlightOrder
}

// inFlightOrder is an order that was sent and has not arrived yet.
type inFlightOrder struct {
	order         Order
	arrivesBefore time.Time
}

// Transact, Get and Query implement platform.Table for the orderers.
func (machine *machine) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := machine.simulateTableCall(ctx, "write"); err != nil {
		return err
	}
	if err := machine.table.Transact(ctx, transaction); err != nil {
		return err
	}
	return machine.simulateTableCall(ctx, "answer")
}

func (machine *machine) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := machine.simulateTableCall(ctx, "read"); err != nil {
		return nil, err
	}
	items, err := machine.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return items, machine.simulateTableCall(ctx, "returned")
}

func (machine *machine) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	return machine.table.Query(ctx, query)
}

// tableBehavior is the delay and the fault of one direction of a table call.
type tableBehavior struct {
	delaySeconds int
	fails        bool
	// outlastsLease lets the other router reconcile for longer than a lease
	// during the call.
	outlastsLease bool
}

// tableBehaviors are the behaviors to draw from; most have no delay or fault.
var tableBehaviors = []tableBehavior{
	{}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {fails: true}, {delaySeconds: 1}, {delaySeconds: 9}, {delaySeconds: 27}, {outlastsLease: true}, {outlastsLease: true},
}

// simulateTableCall draws a behavior, applies its delay and returns its error.
func (machine *machine) simulateTableCall(ctx context.Context, label string) error {
	behavior := rapid.SampledFrom(tableBehaviors).Draw(machine.t, label)
	machine.advance(behavior.delaySeconds)
	if behavior.outlastsLease {
		machine.reconcileOther(ctx)
	}
	if machine.tableDown || behavior.fails {
		return fault.New(fault.Config{Kind: fault.Unavailable, Message: "table out of reach"})
	}
	return nil
}

// reconcileOther lets the router that does not wait for the table reconcile three
// times, which takes longer than a lease.
func (machine *machine) reconcileOther(ctx context.Context) {
	if machine.otherActive {
		return
	}
	machine.otherActive = true
	defer func() { machine.otherActive = false }()
	other := 1 - machine.activeRouter
	for range 3 {
		machine.reconcile(ctx, other)
		machine.advance(16)
	}
	machine.activeRouter = 1 - other
}

// advance advances the simulated time and drops orders that can no longer arrive.
func (machine *machine) advance(seconds int) {
	machine.now = machine.now.Add(time.Duration(seconds) * time.Second)
	if machine.unboundedDelays {
		return
	}
	var inFlight []inFlightOrder
	for _, delayed := range machine.inFlight {
		if !machine.now.After(delayed.arrivesBefore) {
			inFlight = append(inFlight, delayed)
		}
	}
	machine.inFlight = inFlight
}

// State returns the state of the engine.
func (machine *machine) State(context.Context, string) (State, error) {
	return machine.engineState, nil
}

// Order delivers an order at once, or keeps it in flight so that it arrives later
// or never.
func (machine *machine) Order(_ context.Context, _ string, order Order) error {
	if rapid.Bool().Draw(machine.t, "arrives") {
		return machine.applyOrder(order)
	}
	machine.inFlight = append(machine.inFlight, inFlightOrder{order: order, arrivesBefore: machine.now.Add(testOrderTimeout)})
	return unavailableError(testEngineAddress, context.DeadlineExceeded)
}

// applyOrder changes the engine's state, unless it refuses the fencing number.
func (machine *machine) applyOrder(order Order) error {
	if machine.checksFencing && order.Fence < machine.engineState.Fence {
		return conflictError("old fencing number", "")
	}
	machine.engineState = State{ModelSpec: order.ModelSpec, Fence: max(order.Fence, machine.engineState.Fence)}
	machine.acceptedOrders = append(machine.acceptedOrders, order)
	return nil
}

func newMachine(t *rapid.T, checksFencing, unboundedDelays bool) *machine {
	machine := &machine{t: t, now: time.Unix(1000, 0), table: standin.NewTable(), checksFencing: checksFencing, unboundedDelays: unboundedDelays}
	machine.publisher = configuration.NewPublisher(configuration.PublisherConfig{Table: machine.table})
	machine.publish("service-1", configuration.KindService, "s", 0, configuration.Service{Name: "s", Protocol: configuration.ProtocolModel})
	for i := range machine.orderers {
		incarnation := fmt.Sprint("router-", i)
		machine.followers[i] = configuration.NewFollower(configuration.FollowerConfig{Table: machine.table, PollInterval: time.Hour})
		machine.orderers[i] = newOrderer(Config{
			Table: machine, Incarnation: incarnation, Engine: machine,
			View:          func() *configuration.View { return machine.followers[i].View() },
			Members:       func() []fleet.Member { return []fleet.Member{{Incarnation: incarnation, State: fleet.Live}} },
			LeaseDuration: testLeaseDuration, OrderTimeout: testOrderTimeout,
			Clock: func() time.Time { return machine.now },
		})
	}
	machine.publishVersion(t)
	return machine
}

func (machine *machine) close() {
	for _, follower := range machine.followers {
		follower.Close()
	}
}

func (machine *machine) publish(id string, kind configuration.Kind, name string, expectedRevision uint64, document any) uint64 {
	body, err := json.Marshal(document)
	require.NoError(machine.t, err)
	record, err := machine.publisher.Publish(context.Background(), configuration.Change{
		OperationID: id, Operator: "o", Reason: "r", Kind: kind, Name: name, ExpectedRevision: expectedRevision, Body: body,
	})
	require.NoError(machine.t, err)
	return record.Revision
}

// publishVersion publishes the next version of the upstream. A router uses it
// after adoptLatest.
func (machine *machine) publishVersion(*rapid.T) {
	machine.publishedVersions++
	expectedRevision := uint64(0)
	if machine.publishedVersions > 1 {
		expectedRevision = uint64(machine.publishedVersions)
	}
	machine.publish(fmt.Sprint("version-", machine.publishedVersions), configuration.KindUpstream, "u", expectedRevision, configuration.Upstream{
		Name: "u", Service: "s", Address: testEngineAddress, ChecksFencing: machine.checksFencing,
		Model: "m", Version: fmt.Sprintf("%04d", machine.publishedVersions),
	})
}

// adoptLatest waits until a router has adopted the latest published version.
func (machine *machine) adoptLatest(router int) {
	revision := uint64(machine.publishedVersions + 1)
	machine.followers[router].Hint(revision)
	machine.followers[router].AwaitRevision(context.Background(), revision)
}

// reconcile lets a router reconcile the engine once.
func (machine *machine) reconcile(ctx context.Context, router int) {
	machine.activeRouter = router
	view := machine.followers[router].View()
	for _, upstream := range machine.orderers[router].assignedUpstreams(view) {
		machine.orderers[router].reconcileEngine(ctx, view, upstream)
	}
}

// checkNoRollback requires that the engine never accepted an older version after
// a newer one.
func (machine *machine) checkNoRollback(t *rapid.T) {
	for i := 1; i < len(machine.acceptedOrders); i++ {
		require.LessOrEqual(t, machine.acceptedOrders[i-1].Version, machine.acceptedOrders[i].Version, "the engine went back to an older version")
	}
}

// converge ends all faults and requires the engine to reach the latest version.
func (machine *machine) converge(t *rapid.T) {
	machine.tableDown = false
	for len(machine.inFlight) > 0 {
		machine.deliverDelayed(t)
	}
	machine.adoptLatest(0)
	for range 200 {
		machine.advance(5)
		machine.reconcile(context.Background(), 0)
		if machine.engineState.Version == fmt.Sprintf("%04d", machine.publishedVersions) && !machine.engineState.Loading {
			return
		}
	}
	require.Fail(t, "the engine did not reach the latest version")
}

// deliverDelayed delivers one order that is in flight.
func (machine *machine) deliverDelayed(t *rapid.T) {
	if len(machine.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(machine.inFlight)-1).Draw(t, "late")
	order := machine.inFlight[i].order
	machine.inFlight = append(machine.inFlight[:i:i], machine.inFlight[i+1:]...)
	_ = machine.applyOrder(order)
}

// actions returns the actions that rapid repeats in random order. It calls check
// after each one.
func (machine *machine) actions(check func(*rapid.T)) map[string]func(*rapid.T) {
	drawRouter := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "router") }
	return map[string]func(*rapid.T){
		"want":      machine.publishVersion,
		"adopt":     func(t *rapid.T) { machine.adoptLatest(drawRouter(t)) },
		"reconcile": func(t *rapid.T) { machine.reconcile(context.Background(), drawRouter(t)) },
		"wait":      func(t *rapid.T) { machine.advance(rapid.IntRange(1, 40).Draw(t, "seconds")) },
		"land":      machine.deliverDelayed,
		"outage":    func(*rapid.T) { machine.tableDown = !machine.tableDown },
		"":          check,
	}
}

// Guards against an engine that goes back to an older version because a delayed
// order of another router arrives after a newer one. Engines that check fencing
// never go back, however late orders arrive. Engines that ignore fencing never go
// back unless an orderer is paused; then they must reach the latest version again.
func TestEngineReachesWantedVersionDespiteFaults(t *testing.T) {
	cases := []struct {
		name                                           string
		checksFencing, unboundedDelays, allowsRollback bool
	}{
		{name: "checks fencing, paused orderers", checksFencing: true, unboundedDelays: true},
		{name: "ignores fencing, no pauses"},
		{name: "ignores fencing, paused orderers", unboundedDelays: true, allowsRollback: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			acceptedCount := 0
			rapid.Check(t, func(t *rapid.T) {
				machine := newMachine(t, test.checksFencing, test.unboundedDelays)
				defer machine.close()
				check := machine.checkNoRollback
				if test.allowsRollback {
					check = func(*rapid.T) {}
				}
				t.Repeat(machine.actions(check))
				machine.converge(t)
				acceptedCount += len(machine.acceptedOrders)
			})
			t.Logf("orders accepted: %d", acceptedCount)
		})
	}
}
