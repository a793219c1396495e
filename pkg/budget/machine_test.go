package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// The oracle is one ledger that knows every token as it is used. The machine
// drives routers with faults and compares after every step.

// oracleBudget is what truly happened under one profile.
type oracleBudget struct {
	limit int64
	spent int64
	// settled is what routers were told to charge, by request.
	settled map[string]int64
}

// running is a request between its reservation and its settlement.
type running struct {
	reservation Reservation
	used        int64
}

// node is a router of the machine.
type node struct {
	name    string
	escrow  *Escrow
	table   *standin.FaultyTable
	running []*running
	paused  bool
	dead    bool
}

type machine struct {
	table    *standin.Table
	ledger   *Ledger
	nodes    []*node
	budgets  map[string]*oracleBudget
	requests int
	changes  int
	// dropLoans and repeatLoans are switches of the network between routers.
	dropLoans   bool
	repeatLoans bool
	dropKeeps   bool
	// steps counts what was done, by name.
	steps map[string]int
}

var machineProfiles = []string{"advice", "desk"}

const machineLimit = 500

func newMachine(t require.TestingT) *machine {
	machine := &machine{table: standin.NewTable(), budgets: make(map[string]*oracleBudget), steps: make(map[string]int)}
	machine.ledger = NewLedger(LedgerConfig{Table: machine.table})
	for _, profile := range machineProfiles {
		machine.budgets[profile] = &oracleBudget{limit: machineLimit, settled: make(map[string]int64)}
		require.NoError(t, machine.change(configuration.KindProfile, profile, configuration.Profile{Name: profile, LimitTokens: machineLimit}))
	}
	for range 3 {
		machine.boot()
	}
	return machine
}

func (machine *machine) boot() {
	name := fmt.Sprintf("router-%d", len(machine.nodes))
	node := &node{name: name, table: standin.NewFaultyTable(standin.FaultyTableConfig{Table: machine.table})}
	node.escrow = newEscrow(EscrowConfig{
		Table: node.table, Incarnation: name, Lender: peers{machine, node}, Keeper: peers{machine, node},
		MaxWait: 100 * time.Millisecond,
		Retry:   platform.RetryConfig{MaxTries: uint(1 + len(machine.nodes)%2*2), RetriesPerSecond: 1e6, RetryBurst: 1e6},
	})
	node.escrow.refillParallelism = 1
	machine.nodes = append(machine.nodes, node)
}

func (machine *machine) change(kind configuration.Kind, profile string, body any) error {
	machine.changes++
	encoded, _ := json.Marshal(body)
	writes, err := machine.ledger.ChangeWrites(context.Background(), configuration.Change{
		OperationID: fmt.Sprint(machine.changes), Kind: kind, Name: profile, Body: encoded,
	})
	if err != nil {
		return err
	}
	return machine.table.Transact(context.Background(), platform.Transaction{Writes: writes})
}

// awake returns the routers that take steps.
func (machine *machine) awake() []*node {
	var awake []*node
	for _, node := range machine.nodes {
		if !node.paused && !node.dead {
			awake = append(awake, node)
		}
	}
	return awake
}

// peers is the network between routers as one router sees it.
type peers struct {
	machine *machine
	self    *node
}

var errLostMessage = fault.New(fault.Config{Kind: fault.Unavailable, Message: "no answer", Remedy: "ask again"})

func (peers peers) Borrow(ctx context.Context, request LoanRequest) (Loan, error) {
	for _, node := range peers.machine.awake() {
		if node == peers.self {
			continue
		}
		loan, err := node.escrow.Lend(ctx, request)
		if err != nil {
			continue
		}
		peers.machine.steps["loans"]++
		if peers.machine.dropLoans {
			peers.machine.steps["loans lost"]++
			return Loan{}, errLostMessage
		}
		if peers.machine.repeatLoans {
			peers.self.escrow.account(loan.Profile).receive(loan)
		}
		return loan, nil
	}
	return Loan{}, nothingToLend(request)
}

func (peers peers) Keep(ctx context.Context, owner string, settlements []Settlement) error {
	for _, node := range peers.machine.awake() {
		if node == peers.self {
			continue
		}
		peers.machine.steps["kept"] += len(settlements)
		err := node.escrow.Keep(ctx, owner, settlements)
		if peers.machine.dropKeeps {
			return errLostMessage
		}
		return err
	}
	return errLostMessage
}

// pick draws one of the routers, or skips the step.
func pick(t *rapid.T, nodes []*node) *node {
	if len(nodes) == 0 {
		t.SkipNow()
	}
	return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "router")]
}

func (machine *machine) reserve(t *rapid.T) {
	node := pick(t, machine.awake())
	profile := rapid.SampledFrom(machineProfiles).Draw(t, "profile")
	tokens := rapid.Int64Range(1, 120).Draw(t, "tokens")
	request := fmt.Sprintf("request-%d", machine.requests)
	if machine.requests > 0 && rapid.IntRange(0, 5).Draw(t, "again") == 0 {
		request = fmt.Sprintf("request-%d", rapid.IntRange(0, machine.requests-1).Draw(t, "earlier"))
	} else {
		machine.requests++
	}
	reservation, err := node.escrow.Reserve(context.Background(), Demand{Profile: profile, RequestID: request, Tokens: tokens})
	if err != nil {
		require.Equal(t, fault.NotRun, fault.OutcomeOf(err), "%v", err)
		return
	}
	machine.steps["reserved"]++
	node.running = append(node.running, &running{reservation: reservation})
}

// spend lets an upstream use tokens of a running request.
func (machine *machine) spend(t *rapid.T) {
	node := pick(t, machine.awake())
	if len(node.running) == 0 {
		t.SkipNow()
	}
	running := node.running[rapid.IntRange(0, len(node.running)-1).Draw(t, "running")]
	tokens := rapid.Int64Range(0, running.reservation.Tokens-running.used).Draw(t, "used")
	running.used += tokens
	machine.budgets[running.reservation.Profile].spent += tokens
}

func (machine *machine) finish(t *rapid.T) {
	node := pick(t, machine.awake())
	if len(node.running) == 0 {
		t.SkipNow()
	}
	i := rapid.IntRange(0, len(node.running)-1).Draw(t, "running")
	running := node.running[i]
	node.running = append(node.running[:i:i], node.running[i+1:]...)
	machine.settle(node, running, rapid.Bool().Draw(t, "split"))
}

func (machine *machine) settle(node *node, running *running, split bool) {
	budget := machine.budgets[running.reservation.Profile]
	budget.settled[running.reservation.RequestID] += running.used
	lines := []Line{{Kind: LineBill, Tokens: running.used}}
	if split {
		wasted := running.used / 2
		lines = []Line{{Kind: LineBill, Tokens: running.used - wasted}, {Kind: LineWaste, Tokens: wasted}}
	}
	node.escrow.Settle(Settlement{Reservation: running.reservation, Lines: lines})
}

func (machine *machine) tick(t *rapid.T) {
	pick(t, machine.awake()).tick()
}

// tick does one round of both goroutines of the escrow.
func (node *node) tick() {
	node.escrow.settle(context.Background())
	node.escrow.handOver(context.Background(), 0)
	node.escrow.settleKept(context.Background())
	node.escrow.resize(context.Background())
}

func (machine *machine) pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
}

func (machine *machine) breakTable(t *rapid.T) {
	table := pick(t, machine.nodes).table
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		table.SetFaults(standin.TableFaults{Delays: 1, DownAfterDelay: true})
	case 1:
		table.SetFaults(standin.TableFaults{LoseAnswers: rapid.IntRange(1, 4).Draw(t, "answers")})
	case 2:
		table.SetFaults(standin.TableFaults{Delays: rapid.IntRange(1, 4).Draw(t, "delays")})
	case 3:
		table.SetFaults(standin.TableFaults{})
	case 4:
		table.SetFaults(standin.TableFaults{Down: true})
	}
}

func (machine *machine) deliver(t *rapid.T) {
	pick(t, machine.nodes).table.Deliver(context.Background())
}

func (machine *machine) breakPeers(t *rapid.T) {
	machine.dropLoans = rapid.IntRange(0, 2).Draw(t, "drop") == 0
	machine.repeatLoans = rapid.Bool().Draw(t, "repeat")
	machine.dropKeeps = rapid.Bool().Draw(t, "keeps")
}

func (machine *machine) pause(t *rapid.T) {
	node := pick(t, machine.nodes)
	node.paused = !node.paused
}

// die ends a router at once. What its requests would still use is lost with it.
func (machine *machine) die(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "really") != 0 {
		t.SkipNow()
	}
	node := pick(t, machine.awake())
	node.dead = true
	machine.boot()
}

// expire closes a router that is dead, or paused longer than its lease.
func (machine *machine) expire(t *rapid.T) {
	node := pick(t, machine.nodes)
	if !node.dead && !node.paused {
		t.SkipNow()
	}
	require.NoError(t, machine.ledger.CloseIncarnation(context.Background(), node.name))
}

func (machine *machine) shutDown(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "really") != 0 {
		t.SkipNow()
	}
	node := pick(t, machine.awake())
	for _, running := range node.running {
		machine.settle(node, running, false)
	}
	node.running = nil
	node.escrow.drain()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = node.escrow.finish(ctx)
	node.dead = true
	machine.boot()
}

func (machine *machine) addTokens(t *rapid.T) {
	profile := rapid.SampledFrom(machineProfiles).Draw(t, "profile")
	tokens := rapid.Int64Range(-200, 200).Draw(t, "add")
	if machine.change(configuration.KindLimit, profile, configuration.Limit{AddTokens: tokens}) == nil {
		machine.budgets[profile].limit += tokens
	}
}

func (machine *machine) retire(t *rapid.T) {
	profile := rapid.SampledFrom(machineProfiles).Draw(t, "profile")
	retired := rapid.IntRange(0, 3).Draw(t, "retired") == 0
	require.NoError(t, machine.change(configuration.KindProfile, profile,
		configuration.Profile{Name: profile, LimitTokens: machineLimit, Retired: retired}))
}

// check compares the books with the oracle.
func (machine *machine) check(t require.TestingT) {
	for _, profile := range machineProfiles {
		budget := machine.budgets[profile]
		statement, err := machine.ledger.Statement(context.Background(), profile)
		require.NoError(t, err)
		machine.checkStatement(t, statement, budget)
		machine.checkLines(t, statement, budget)
		possible := budget.spent + machine.spendable(profile) + statement.FreeTokens
		require.LessOrEqual(t, possible, budget.limit, "%s can be overspent", profile)
	}
}

func (machine *machine) checkStatement(t require.TestingT, statement Statement, budget *oracleBudget) {
	var granted int64
	for _, holder := range statement.Holders {
		require.GreaterOrEqual(t, holder.GrantedTokens, int64(0), "%+v", holder)
		granted += holder.GrantedTokens
	}
	require.Equal(t, budget.limit, statement.LimitTokens)
	require.GreaterOrEqual(t, statement.FreeTokens, int64(0))
	require.Equal(t, statement.LimitTokens, statement.FreeTokens+granted+statement.SettledTokens, "%+v", statement)
	require.Equal(t, statement.SettledTokens, statement.BillTokens+statement.WasteTokens+statement.UnattributedTokens)
	require.LessOrEqual(t, budget.spent, budget.limit)
}

func (machine *machine) checkLines(t require.TestingT, statement Statement, budget *oracleBudget) {
	lines, _, err := machine.ledger.Lines(context.Background(), statement.Profile, "", 100000)
	require.NoError(t, err)
	kinds := make(map[LineKind]int64)
	bills := make(map[string]int)
	charged := make(map[string]int64)
	for _, line := range lines {
		kinds[line.Kind] += line.Tokens
		charged[line.RequestID] += line.Tokens
		if line.Kind == LineBill {
			bills[line.RequestID]++
		}
		if line.Kind != LineUnattributed {
			require.LessOrEqual(t, charged[line.RequestID], budget.settled[line.RequestID], "%s charged twice", line.RequestID)
		}
	}
	for request, count := range bills {
		require.Equal(t, 1, count, request)
	}
	require.Equal(t, statement.BillTokens, kinds[LineBill])
	require.Equal(t, statement.WasteTokens, kinds[LineWaste])
	require.Equal(t, statement.UnattributedTokens, kinds[LineUnattributed])
}

// spendable is what routers that are not dead could still use.
func (machine *machine) spendable(profile string) int64 {
	var tokens int64
	for _, node := range machine.nodes {
		if node.dead {
			continue
		}
		account := node.escrow.account(profile)
		account.mutex.Lock()
		tokens += account.balanceTokens() + account.reservedTokens
		account.mutex.Unlock()
		for _, running := range node.running {
			if running.reservation.Profile == profile {
				tokens -= running.used
			}
		}
	}
	return tokens
}

// heal ends all faults and compares the final books with the oracle.
func (machine *machine) heal(t require.TestingT) {
	for _, node := range machine.nodes {
		node.table.SetFaults(standin.TableFaults{})
		for node.table.Deliver(context.Background()) {
			continue
		}
		node.paused = false
	}
	for range 2 {
		for _, node := range machine.awake() {
			node.tick()
		}
		for _, node := range machine.nodes {
			if node.dead {
				require.NoError(t, machine.ledger.CloseIncarnation(context.Background(), node.name))
			}
		}
	}
	machine.check(t)
	for _, profile := range machineProfiles {
		machine.checkFinal(t, profile)
	}
}

func (machine *machine) checkFinal(t require.TestingT, profile string) {
	statement, err := machine.ledger.Statement(context.Background(), profile)
	require.NoError(t, err)
	var unsettled int64
	for _, node := range machine.awake() {
		require.Empty(t, node.escrow.pending)
		// A loan whose borrower died before it was recorded stays granted to
		// the lender.
		account := node.escrow.account(profile)
		unsettled += account.lentTokens - account.row.LentTokens
		for _, running := range node.running {
			if running.reservation.Profile == profile {
				unsettled += running.used
			}
		}
	}
	require.GreaterOrEqual(t, statement.SettledTokens+unsettled, machine.budgets[profile].spent, "spend of %s is not in the books", profile)
}

// actions are the steps of the machine. The drawing of names favours the first
// in order, so the names start with a number, and frequent steps occur twice.
func (machine *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"01 reserve": machine.reserve, "02 spend": machine.spend, "03 finish": machine.finish, "04 tick": machine.tick,
		"05 break table": machine.breakTable, "06 reserve": machine.reserve, "07 spend": machine.spend,
		"08 finish": machine.finish, "09 tick": machine.tick, "10 pass": machine.pass, "11 deliver": machine.deliver,
		"12 break peers": machine.breakPeers, "13 pause": machine.pause, "14 expire": machine.expire,
		"15 add tokens": machine.addTokens, "16 die": machine.die, "17 retire": machine.retire, "18 shut down": machine.shutDown,
	}
}

// bubble hides the deadline of a test, which a synctest bubble cannot ask for.
type bubble struct {
	testing.TB
}

func TestEscrowStateMachine(t *testing.T) {
	total := make(map[string]int)
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			machine := newMachine(t)
			counted := func(name string, step func(t *rapid.T)) func(t *rapid.T) {
				return func(t *rapid.T) {
					step(t)
					machine.steps[name]++
				}
			}
			steps := map[string]func(*rapid.T){"": func(t *rapid.T) { machine.check(t) }}
			for name, step := range machine.actions() {
				steps[name] = counted(name, step)
			}
			t.Repeat(steps)
			machine.heal(t)
			for name, count := range machine.steps {
				total[name] += count
			}
		})
	})
	t.Log(total)
}
