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

// stateMachine is a rapid state machine with two orderers and one engine. Both
// orderers consider the upstream assigned to them. All use the same simulated
// time, which advances during table calls.
type stateMachine struct {
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
func (stateMachine *stateMachine) Transact(ctx context.Context, transaction platform.Transaction) error {
	if err := stateMachine.simulateTableCall(ctx, "write"); err != nil {
		return err
	}
	if err := stateMachine.table.Transact(ctx, transaction); err != nil {
		return err
	}
	return stateMachine.simulateTableCall(ctx, "answer")
}

func (stateMachine *stateMachine) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	if err := stateMachine.simulateTableCall(ctx, "read"); err != nil {
		return nil, err
	}
	items, err := stateMachine.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return items, stateMachine.simulateTableCall(ctx, "returned")
}

func (stateMachine *stateMachine) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	return stateMachine.table.Query(ctx, query)
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
func (stateMachine *stateMachine) simulateTableCall(ctx context.Context, label string) error {
	behavior := rapid.SampledFrom(tableBehaviors).Draw(stateMachine.t, label)
	stateMachine.advance(behavior.delaySeconds)
	if behavior.outlastsLease {
		stateMachine.reconcileOther(ctx)
	}
	if stateMachine.tableDown || behavior.fails {
		return fault.New(fault.Config{Kind: fault.Unavailable, Message: "table out of reach"})
	}
	return nil
}

// reconcileOther lets the router that does not wait for the table reconcile three
// times over longer than a lease.
func (stateMachine *stateMachine) reconcileOther(ctx context.Context) {
	if stateMachine.otherActive {
		return
	}
	stateMachine.otherActive = true
	defer func() { stateMachine.otherActive = false }()
	other := 1 - stateMachine.activeRouter
	for range 3 {
		stateMachine.reconcile(ctx, other)
		stateMachine.advance(16)
	}
	stateMachine.activeRouter = 1 - other
}

// advance advances the simulated time and drops orders that can no longer arrive.
func (stateMachine *stateMachine) advance(seconds int) {
	stateMachine.now = stateMachine.now.Add(time.Duration(seconds) * time.Second)
	if stateMachine.unboundedDelays {
		return
	}
	var inFlight []inFlightOrder
	for _, delayed := range stateMachine.inFlight {
		if !stateMachine.now.After(delayed.arrivesBefore) {
			inFlight = append(inFlight, delayed)
		}
	}
	stateMachine.inFlight = inFlight
}

// State returns the state of the engine.
func (stateMachine *stateMachine) State(context.Context, string) (State, error) {
	return stateMachine.engineState, nil
}

// Order delivers an order at once, or keeps it in flight so that it arrives later
// or never.
func (stateMachine *stateMachine) Order(_ context.Context, _ string, order Order) error {
	if rapid.Bool().Draw(stateMachine.t, "arrives") {
		return stateMachine.applyOrder(order)
	}
	stateMachine.inFlight = append(stateMachine.inFlight, inFlightOrder{order: order, arrivesBefore: stateMachine.now.Add(testOrderTimeout)})
	return unavailableError(testEngineAddress, context.DeadlineExceeded)
}

// applyOrder changes the engine's state, unless it refuses the fencing number.
func (stateMachine *stateMachine) applyOrder(order Order) error {
	if stateMachine.checksFencing && order.Fence < stateMachine.engineState.Fence {
		return conflictError("old fencing number", "")
	}
	stateMachine.engineState = State{ModelSpec: order.ModelSpec, Fence: max(order.Fence, stateMachine.engineState.Fence)}
	stateMachine.acceptedOrders = append(stateMachine.acceptedOrders, order)
	return nil
}

func newStateMachine(t *rapid.T, checksFencing, unboundedDelays bool) *stateMachine {
	stateMachine := &stateMachine{t: t, now: time.Unix(1000, 0), table: standin.NewTable(), checksFencing: checksFencing, unboundedDelays: unboundedDelays}
	stateMachine.publisher = configuration.NewPublisher(configuration.PublisherConfig{Table: stateMachine.table})
	stateMachine.publish("service-1", configuration.KindService, "s", 0, configuration.Service{Name: "s", Protocol: configuration.ProtocolModel})
	for i := range stateMachine.orderers {
		incarnation := fmt.Sprint("router-", i)
		stateMachine.followers[i] = configuration.NewFollower(configuration.FollowerConfig{Table: stateMachine.table, PollInterval: time.Hour})
		stateMachine.orderers[i] = newOrderer(Config{
			Table: stateMachine, Incarnation: incarnation, Engine: stateMachine,
			View:          func() *configuration.View { return stateMachine.followers[i].View() },
			Members:       func() []fleet.Member { return []fleet.Member{{Incarnation: incarnation, State: fleet.Live}} },
			LeaseDuration: testLeaseDuration, OrderTimeout: testOrderTimeout,
			Clock: func() time.Time { return stateMachine.now },
		})
	}
	stateMachine.publishVersion(t)
	return stateMachine
}

func (stateMachine *stateMachine) close() {
	for _, follower := range stateMachine.followers {
		follower.Close()
	}
}

func (stateMachine *stateMachine) publish(id string, kind configuration.Kind, name string, expectedRevision uint64, document any) uint64 {
	body, err := json.Marshal(document)
	require.NoError(stateMachine.t, err)
	record, err := stateMachine.publisher.Publish(context.Background(), configuration.Change{
		OperationID: id, Operator: "o", Reason: "r", Kind: kind, Name: name, ExpectedRevision: expectedRevision, Body: body,
	})
	require.NoError(stateMachine.t, err)
	return record.Revision
}

// publishVersion publishes the next version of the upstream. A router uses it
// after adoptLatest.
func (stateMachine *stateMachine) publishVersion(*rapid.T) {
	stateMachine.publishedVersions++
	expectedRevision := uint64(0)
	if stateMachine.publishedVersions > 1 {
		expectedRevision = uint64(stateMachine.publishedVersions)
	}
	stateMachine.publish(fmt.Sprint("version-", stateMachine.publishedVersions), configuration.KindUpstream, "u", expectedRevision, configuration.Upstream{
		Name: "u", Service: "s", Address: testEngineAddress, ChecksFencing: stateMachine.checksFencing,
		Model: "m", Version: fmt.Sprintf("%04d", stateMachine.publishedVersions),
	})
}

// adoptLatest waits until a router has adopted the latest published version.
func (stateMachine *stateMachine) adoptLatest(router int) {
	revision := uint64(stateMachine.publishedVersions + 1)
	stateMachine.followers[router].Hint(revision)
	stateMachine.followers[router].AwaitRevision(context.Background(), revision)
}

// reconcile lets a router reconcile the engine once.
func (stateMachine *stateMachine) reconcile(ctx context.Context, router int) {
	stateMachine.activeRouter = router
	view := stateMachine.followers[router].View()
	for _, upstream := range stateMachine.orderers[router].assignedUpstreams(view) {
		stateMachine.orderers[router].reconcileEngine(ctx, view, upstream)
	}
}

// checkNoRollback requires that the engine never accepted an older version after
// a newer one.
func (stateMachine *stateMachine) checkNoRollback(t *rapid.T) {
	for i := 1; i < len(stateMachine.acceptedOrders); i++ {
		require.LessOrEqual(t, stateMachine.acceptedOrders[i-1].Version, stateMachine.acceptedOrders[i].Version, "the engine went back to an older version")
	}
}

// converge ends all faults and requires the engine to reach the latest version.
func (stateMachine *stateMachine) converge(t *rapid.T) {
	stateMachine.tableDown = false
	for len(stateMachine.inFlight) > 0 {
		stateMachine.deliverDelayed(t)
	}
	stateMachine.adoptLatest(0)
	for range 200 {
		stateMachine.advance(5)
		stateMachine.reconcile(context.Background(), 0)
		if stateMachine.engineState.Version == fmt.Sprintf("%04d", stateMachine.publishedVersions) && !stateMachine.engineState.Loading {
			return
		}
	}
	require.Fail(t, "the engine did not reach the latest version")
}

// deliverDelayed delivers one order that is in flight.
func (stateMachine *stateMachine) deliverDelayed(t *rapid.T) {
	if len(stateMachine.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(stateMachine.inFlight)-1).Draw(t, "late")
	order := stateMachine.inFlight[i].order
	stateMachine.inFlight = append(stateMachine.inFlight[:i:i], stateMachine.inFlight[i+1:]...)
	_ = stateMachine.applyOrder(order)
}

// actions returns the actions that rapid repeats in random order. It calls check
// after each one.
func (stateMachine *stateMachine) actions(check func(*rapid.T)) map[string]func(*rapid.T) {
	drawRouter := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "router") }
	return map[string]func(*rapid.T){
		"want":      stateMachine.publishVersion,
		"adopt":     func(t *rapid.T) { stateMachine.adoptLatest(drawRouter(t)) },
		"reconcile": func(t *rapid.T) { stateMachine.reconcile(context.Background(), drawRouter(t)) },
		"wait":      func(t *rapid.T) { stateMachine.advance(rapid.IntRange(1, 40).Draw(t, "seconds")) },
		"land":      stateMachine.deliverDelayed,
		"outage":    func(*rapid.T) { stateMachine.tableDown = !stateMachine.tableDown },
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
				stateMachine := newStateMachine(t, test.checksFencing, test.unboundedDelays)
				defer stateMachine.close()
				check := stateMachine.checkNoRollback
				if test.allowsRollback {
					check = func(*rapid.T) {}
				}
				t.Repeat(stateMachine.actions(check))
				stateMachine.converge(t)
				acceptedCount += len(stateMachine.acceptedOrders)
			})
			t.Logf("orders accepted: %d", acceptedCount)
		})
	}
}
