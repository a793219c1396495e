package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
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

// A property test: the state machine drives routers through random steps and
// faults. An oracle tracks the actual use of every token, and the ledger is
// compared with it after every step.

// oracleBudget is the actual state of one budget.
type oracleBudget struct {
	limitTokens int64
	spentTokens int64
	// settledTokens is the usage passed to Settle, by request.
	settledTokens map[string]int64
}

// runningRequest is a request between its reservation and its settlement.
type runningRequest struct {
	reservation Reservation
	usedTokens  int64
}

// node is a router of the state machine.
type node struct {
	name     string
	escrow   *Escrow
	table    *standin.FaultyTable
	requests []*runningRequest
	paused   bool
	dead     bool
}

// machine holds the routers and the oracle of one run.
type machine struct {
	table        *standin.Table
	ledger       *Ledger
	nodes        []*node
	budgets      map[string]*oracleBudget
	requestCount int
	changeCount  int
	// Faults of the network between routers.
	loseLoanResponses   bool
	duplicateLoans      bool
	loseBackupResponses bool
	// stepCounts counts the steps and events by name. A loan call may outlive the
	// Reserve that began it, so countMutex guards it.
	countMutex sync.Mutex
	stepCounts map[string]int
}

// count adds to the number of a step or event.
func (machine *machine) count(name string, number int) {
	machine.countMutex.Lock()
	defer machine.countMutex.Unlock()
	machine.stepCounts[name] += number
}

var machineProfiles = []string{"advice", "desk"}

const machineLimitTokens = 500

func newMachine(t require.TestingT) *machine {
	machine := &machine{table: standin.NewTable(), budgets: make(map[string]*oracleBudget), stepCounts: make(map[string]int)}
	machine.ledger = NewLedger(LedgerConfig{Table: machine.table})
	for _, profile := range machineProfiles {
		machine.budgets[profile] = &oracleBudget{limitTokens: machineLimitTokens, settledTokens: make(map[string]int64)}
		require.NoError(t, machine.change(configuration.KindProfile, profile, configuration.Profile{Name: profile, LimitTokens: machineLimitTokens}))
	}
	for range 3 {
		machine.startNode()
	}
	return machine
}

func (machine *machine) startNode() {
	name := fmt.Sprintf("router-%d", len(machine.nodes))
	node := &node{name: name, table: standin.NewFaultyTable(standin.FaultyTableConfig{Table: machine.table})}
	node.escrow = newEscrow(EscrowConfig{
		Table: node.table, Incarnation: name, LoanClient: peers{machine, node}, BackupStore: peers{machine, node},
		MaxWait: 100 * time.Millisecond,
		Retry:   platform.RetryConfig{MaxTries: uint(1 + len(machine.nodes)%2*2), RetriesPerSecond: 1e6, RetryBurst: 1e6},
	})
	node.escrow.refillParallelism = 1
	machine.nodes = append(machine.nodes, node)
}

func (machine *machine) change(kind configuration.Kind, profile string, body any) error {
	machine.changeCount++
	encoded, _ := json.Marshal(body)
	writes, err := machine.ledger.ChangeWrites(context.Background(), configuration.Change{
		OperationID: fmt.Sprint(machine.changeCount), Kind: kind, Name: profile, Body: encoded,
	})
	if err != nil {
		return err
	}
	return machine.table.Transact(context.Background(), platform.Transaction{Writes: writes})
}

// activeNodes returns the routers that are neither paused nor dead.
func (machine *machine) activeNodes() []*node {
	var active []*node
	for _, node := range machine.nodes {
		if !node.paused && !node.dead {
			active = append(active, node)
		}
	}
	return active
}

// peers is the network between routers as seen by one router.
type peers struct {
	machine *machine
	self    *node
}

var errLostResponse = fault.New(fault.Config{Kind: fault.Unavailable, Message: "no answer", Remedy: "ask again"})

func (peers peers) Borrow(ctx context.Context, request LoanRequest) (Loan, error) {
	for _, node := range peers.machine.activeNodes() {
		if node == peers.self {
			continue
		}
		loan, err := node.escrow.Lend(ctx, request)
		if err != nil {
			continue
		}
		peers.machine.count("loans", 1)
		if peers.machine.loseLoanResponses {
			peers.machine.count("loans lost", 1)
			return Loan{}, errLostResponse
		}
		if peers.machine.duplicateLoans {
			peers.self.escrow.account(loan.Profile).creditLoan(loan)
		}
		return loan, nil
	}
	return Loan{}, noSpareTokens(request)
}

func (peers peers) StoreBackups(ctx context.Context, owner string, settlements []Settlement) error {
	for _, node := range peers.machine.activeNodes() {
		if node == peers.self {
			continue
		}
		peers.machine.count("kept", len(settlements))
		err := node.escrow.StoreBackups(ctx, owner, settlements)
		if peers.machine.loseBackupResponses {
			return errLostResponse
		}
		return err
	}
	return errLostResponse
}

// pick draws one of the routers, or skips the step if there is none.
func pick(t *rapid.T, nodes []*node) *node {
	if len(nodes) == 0 {
		t.SkipNow()
	}
	return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "router")]
}

func (machine *machine) reserve(t *rapid.T) {
	node := pick(t, machine.activeNodes())
	profile := rapid.SampledFrom(machineProfiles).Draw(t, "profile")
	tokens := rapid.Int64Range(1, 120).Draw(t, "tokens")
	request := fmt.Sprintf("request-%d", machine.requestCount)
	if machine.requestCount > 0 && rapid.IntRange(0, 5).Draw(t, "again") == 0 {
		request = fmt.Sprintf("request-%d", rapid.IntRange(0, machine.requestCount-1).Draw(t, "earlier"))
	} else {
		machine.requestCount++
	}
	reservation, err := node.escrow.Reserve(context.Background(), Demand{Profile: profile, RequestID: request, Tokens: tokens})
	if err != nil {
		require.Equal(t, fault.NotRun, fault.OutcomeOf(err), "%v", err)
		return
	}
	machine.count("reserved", 1)
	node.requests = append(node.requests, &runningRequest{reservation: reservation})
}

// spend uses tokens of a running request, as an upstream does.
func (machine *machine) spend(t *rapid.T) {
	node := pick(t, machine.activeNodes())
	if len(node.requests) == 0 {
		t.SkipNow()
	}
	request := node.requests[rapid.IntRange(0, len(node.requests)-1).Draw(t, "running")]
	tokens := rapid.Int64Range(0, request.reservation.Tokens-request.usedTokens).Draw(t, "used")
	request.usedTokens += tokens
	machine.budgets[request.reservation.Profile].spentTokens += tokens
}

func (machine *machine) finish(t *rapid.T) {
	node := pick(t, machine.activeNodes())
	if len(node.requests) == 0 {
		t.SkipNow()
	}
	i := rapid.IntRange(0, len(node.requests)-1).Draw(t, "running")
	request := node.requests[i]
	node.requests = append(node.requests[:i:i], node.requests[i+1:]...)
	machine.settle(node, request, rapid.Bool().Draw(t, "split"))
}

func (machine *machine) settle(node *node, request *runningRequest, split bool) {
	budget := machine.budgets[request.reservation.Profile]
	budget.settledTokens[request.reservation.RequestID] += request.usedTokens
	lines := []Line{{Kind: LineBill, Tokens: request.usedTokens}}
	if split {
		wasted := request.usedTokens / 2
		lines = []Line{{Kind: LineBill, Tokens: request.usedTokens - wasted}, {Kind: LineWaste, Tokens: wasted}}
	}
	node.escrow.Settle(Settlement{Reservation: request.reservation, Lines: lines})
}

func (machine *machine) tick(t *rapid.T) {
	pick(t, machine.activeNodes()).tick()
}

// tick runs one round of both goroutines of the escrow.
func (node *node) tick() {
	node.escrow.settle(context.Background())
	node.escrow.sendBackups(context.Background(), 0)
	node.escrow.settleBackups(context.Background())
	node.escrow.resize(context.Background())
}

func (machine *machine) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
}

func (machine *machine) injectTableFault(t *rapid.T) {
	table := pick(t, machine.nodes).table
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		table.SetFaults(standin.TableFaults{DelayNextTransactions: 1, DownAfterDelay: true})
	case 1:
		table.SetFaults(standin.TableFaults{LoseNextResponses: rapid.IntRange(1, 4).Draw(t, "answers")})
	case 2:
		table.SetFaults(standin.TableFaults{DelayNextTransactions: rapid.IntRange(1, 4).Draw(t, "delays")})
	case 3:
		table.SetFaults(standin.TableFaults{})
	case 4:
		table.SetFaults(standin.TableFaults{Down: true})
	}
}

// deliverDelayedWrite applies the oldest delayed write of a router's table.
func (machine *machine) deliverDelayedWrite(t *rapid.T) {
	pick(t, machine.nodes).table.DeliverPending(context.Background())
}

func (machine *machine) injectPeerFaults(t *rapid.T) {
	machine.loseLoanResponses = rapid.IntRange(0, 2).Draw(t, "drop") == 0
	machine.duplicateLoans = rapid.Bool().Draw(t, "repeat")
	machine.loseBackupResponses = rapid.Bool().Draw(t, "keeps")
}

func (machine *machine) togglePause(t *rapid.T) {
	node := pick(t, machine.nodes)
	node.paused = !node.paused
}

// kill stops a router without shutdown and starts a new one. Its running
// requests use no more tokens.
func (machine *machine) kill(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "really") != 0 {
		t.SkipNow()
	}
	node := pick(t, machine.activeNodes())
	node.dead = true
	machine.startNode()
}

// expire closes the incarnation of a router that is dead, or that is paused for
// longer than its lease.
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
	node := pick(t, machine.activeNodes())
	for _, request := range node.requests {
		machine.settle(node, request, false)
	}
	node.requests = nil
	node.escrow.drain()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = node.escrow.shutDown(ctx)
	synctest.Wait()
	node.dead = true
	machine.startNode()
}

func (machine *machine) addTokens(t *rapid.T) {
	profile := rapid.SampledFrom(machineProfiles).Draw(t, "profile")
	tokens := rapid.Int64Range(-200, 200).Draw(t, "add")
	if machine.change(configuration.KindLimit, profile, configuration.Limit{AddTokens: tokens}) == nil {
		machine.budgets[profile].limitTokens += tokens
	}
}

func (machine *machine) retire(t *rapid.T) {
	profile := rapid.SampledFrom(machineProfiles).Draw(t, "profile")
	retired := rapid.IntRange(0, 3).Draw(t, "retired") == 0
	require.NoError(t, machine.change(configuration.KindProfile, profile,
		configuration.Profile{Name: profile, LimitTokens: machineLimitTokens, Retired: retired}))
}

// check compares the ledger with the oracle.
func (machine *machine) check(t require.TestingT) {
	for _, profile := range machineProfiles {
		budget := machine.budgets[profile]
		statement, err := machine.ledger.Statement(context.Background(), profile)
		require.NoError(t, err)
		machine.checkStatement(t, statement, budget)
		machine.checkLines(t, statement, budget)
		maxSpend := budget.spentTokens + machine.spendableTokens(profile) + statement.FreeTokens
		require.LessOrEqual(t, maxSpend, budget.limitTokens, "%s can be overspent", profile)
	}
}

func (machine *machine) checkStatement(t require.TestingT, statement Statement, budget *oracleBudget) {
	var granted int64
	for _, holder := range statement.Holders {
		require.GreaterOrEqual(t, holder.GrantedTokens, int64(0), "%+v", holder)
		granted += holder.GrantedTokens
	}
	require.Equal(t, budget.limitTokens, statement.LimitTokens)
	require.GreaterOrEqual(t, statement.FreeTokens, int64(0))
	require.Equal(t, statement.LimitTokens, statement.FreeTokens+granted+statement.SettledTokens, "%+v", statement)
	require.Equal(t, statement.SettledTokens, statement.BillTokens+statement.WasteTokens+statement.UnattributedTokens)
	require.LessOrEqual(t, budget.spentTokens, budget.limitTokens)
}

func (machine *machine) checkLines(t require.TestingT, statement Statement, budget *oracleBudget) {
	lines, _, err := machine.ledger.Lines(context.Background(), statement.Profile, "", 100000)
	require.NoError(t, err)
	tokensByKind := make(map[LineKind]int64)
	billsByRequest := make(map[string]int)
	chargedByRequest := make(map[string]int64)
	for _, line := range lines {
		tokensByKind[line.Kind] += line.Tokens
		chargedByRequest[line.RequestID] += line.Tokens
		if line.Kind == LineBill {
			billsByRequest[line.RequestID]++
		}
		if line.Kind != LineUnattributed {
			require.LessOrEqual(t, chargedByRequest[line.RequestID], budget.settledTokens[line.RequestID], "%s charged twice", line.RequestID)
		}
	}
	for request, count := range billsByRequest {
		require.Equal(t, 1, count, request)
	}
	require.Equal(t, statement.BillTokens, tokensByKind[LineBill])
	require.Equal(t, statement.WasteTokens, tokensByKind[LineWaste])
	require.Equal(t, statement.UnattributedTokens, tokensByKind[LineUnattributed])
}

// spendableTokens returns the tokens that routers that are not dead could still
// use.
func (machine *machine) spendableTokens(profile string) int64 {
	var tokens int64
	for _, node := range machine.nodes {
		if node.dead {
			continue
		}
		account := node.escrow.account(profile)
		account.mutex.Lock()
		tokens += account.balanceTokens() + account.reservedTokens
		account.mutex.Unlock()
		for _, request := range node.requests {
			if request.reservation.Profile == profile {
				tokens -= request.usedTokens
			}
		}
	}
	return tokens
}

// recoverAndCheck ends all faults and compares the final ledger with the
// oracle.
func (machine *machine) recoverAndCheck(t require.TestingT) {
	for _, node := range machine.nodes {
		node.table.SetFaults(standin.TableFaults{})
		for node.table.DeliverPending(context.Background()) {
			continue
		}
		node.paused = false
	}
	for range 2 {
		for _, node := range machine.activeNodes() {
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
	for _, node := range machine.activeNodes() {
		require.Empty(t, node.escrow.pendingSettlements)
		// If the borrower died before it recorded a loan, the loan still counts
		// as granted to the lender.
		account := node.escrow.account(profile)
		unsettled += account.lentTokens - account.holderRow.LentTokens
		for _, request := range node.requests {
			if request.reservation.Profile == profile {
				unsettled += request.usedTokens
			}
		}
	}
	require.GreaterOrEqual(t, statement.SettledTokens+unsettled, machine.budgets[profile].spentTokens, "spend of %s is missing from the ledger", profile)
}

// actions are the steps of the state machine. rapid draws names that sort first
// more often, so the names start with a number, and frequent steps are listed
// twice.
func (machine *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"01 reserve": machine.reserve, "02 spend": machine.spend, "03 finish": machine.finish, "04 tick": machine.tick,
		"05 break table": machine.injectTableFault, "06 reserve": machine.reserve, "07 spend": machine.spend,
		"08 finish": machine.finish, "09 tick": machine.tick, "10 pass": machine.advanceTime, "11 deliver": machine.deliverDelayedWrite,
		"12 break peers": machine.injectPeerFaults, "13 pause": machine.togglePause, "14 expire": machine.expire,
		"15 add tokens": machine.addTokens, "16 die": machine.kill, "17 retire": machine.retire, "18 shut down": machine.shutDown,
	}
}

// bubble hides the deadline of the test, because rapid asks for it and that is
// not allowed in a synctest bubble.
type bubble struct {
	testing.TB
}

func TestEscrowStateMachine(t *testing.T) {
	stepTotals := make(map[string]int)
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			machine := newMachine(t)
			countStep := func(name string, step func(t *rapid.T)) func(t *rapid.T) {
				return func(t *rapid.T) {
					// A loan call may outlive the Reserve that began it, and reads
					// what the step changes.
					synctest.Wait()
					step(t)
					machine.count(name, 1)
				}
			}
			steps := map[string]func(*rapid.T){"": func(t *rapid.T) { machine.check(t) }}
			for name, step := range machine.actions() {
				steps[name] = countStep(name, step)
			}
			t.Repeat(steps)
			synctest.Wait()
			machine.recoverAndCheck(t)
			machine.countMutex.Lock()
			defer machine.countMutex.Unlock()
			for name, count := range machine.stepCounts {
				stepTotals[name] += count
			}
		})
	})
	t.Log(stepTotals)
}
