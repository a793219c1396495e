package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// The states of a claim in the model. An orphan is a claim that was written
// although its caller got an unknown outcome, so nobody runs the request.
const (
	absent         = "absent"
	running        = "running"
	orphan         = "orphan"
	withdrawn      = "withdrawn"
	unknown        = "unknown"
	finishedPrefix = "finished "
	// notRun and outcomeUnknown are outputs of operations and not states.
	notRun         = "not_run"
	outcomeUnknown = "lost"
)

// operation is the input of an operation in a history.
type operation struct {
	requestID string
	// finalState is the final state to be written; empty for a call of Claim.
	finalState string
	// fence is set for the withdrawal of a claim after a call of Claim that
	// returned the outcome NotRun.
	fence bool
}

// claimModel gives the possible next states of a claim for each operation and
// output. Claims are independent of each other, so each request id is checked by
// itself.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		operationsByID := make(map[string][]porcupine.Operation)
		for _, recordedOperation := range history {
			key := recordedOperation.Input.(operation).requestID
			operationsByID[key] = append(operationsByID[key], recordedOperation)
		}
		var partition [][]porcupine.Operation
		for _, operations := range operationsByID {
			partition = append(partition, operations)
		}
		return partition
	},
	Init: func() []any { return []any{absent} },
	Step: func(state, input, output any) []any {
		if input.(operation).fence {
			return stepFence(state.(string))
		}
		if input.(operation).finalState != "" {
			return stepEnd(state.(string), input.(operation).finalState, output.(string))
		}
		return stepClaim(state.(string), output.(string))
	},
	Equal: func(first, second any) bool { return first == second },
}

// stepEnd returns the possible states after Finish, Withdraw or Abandon.
func stepEnd(state, finalState, output string) []any {
	switch {
	case output == outcomeUnknown && state == running:
		return []any{running, finalState}
	case output == outcomeUnknown:
		return []any{state}
	case state == running:
		return []any{finalState}
	}
	return nil
}

// stepFence returns the possible states after a fence.
func stepFence(state string) []any {
	if state == absent || state == orphan || state == withdrawn {
		return []any{withdrawn}
	}
	return nil
}

// stepClaim returns the possible states after Claim.
func stepClaim(state, output string) []any {
	switch {
	case output == outcomeUnknown && state == absent:
		return []any{absent, orphan, withdrawn}
	case output == outcomeUnknown:
		return []any{state}
	case output == "owned" && state == absent:
		return []any{running}
	case output == running && state == orphan:
		return []any{orphan}
	case output == withdrawn && state == orphan:
		return []any{withdrawn}
	case output == state:
		return []any{state}
	}
	return nil
}

// history records the operations of concurrent clients.
type history struct {
	mutex sync.Mutex
	// operations have call and return times in nanoseconds of the synctest clock.
	operations []porcupine.Operation
	// runCounts is the number of runs by request id. reportedNotRun is the set of
	// requests that were reported as withdrawn.
	runCounts      map[string]int
	reportedNotRun map[string]bool
}

// endOfHistory is the return time of operations with an unknown outcome, which
// may take effect at any later time.
const endOfHistory = int64(1) << 62

func (history *history) record(clientID int, input operation, start time.Time, output string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	end := time.Now().UnixNano()
	if output == outcomeUnknown {
		end = endOfHistory
	}
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: clientID, Input: input, Call: start.UnixNano(), Output: output, Return: end,
	})
	if output == withdrawn {
		history.reportedNotRun[input.requestID] = true
	}
}

func (history *history) countRun(requestID string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.runCounts[requestID]++
}

func claimOutput(decision claim.Decision, err error) string {
	switch {
	case err != nil && fault.OutcomeOf(err) == fault.NotRun:
		return notRun
	case err != nil:
		return outcomeUnknown
	case decision.State == claim.Finished:
		return finishedPrefix + string(decision.Result.Body)
	default:
		return string(decision.State)
	}
}

// runClient claims random requests and ends the claims that it owns.
func runClient(clientID int, random *rand.Rand, registries []*claim.Registry, requestIDs []string, history *history) {
	for step := range 40 {
		registry := registries[random.IntN(len(registries))]
		request := claim.Request{Scope: "desk", RequestID: requestIDs[random.IntN(len(requestIDs))]}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(4000))*time.Millisecond)
		start := time.Now()
		decision, err := registry.Claim(ctx, request)
		cancel()
		output := claimOutput(decision, err)
		if output == notRun {
			history.record(clientID, operation{requestID: request.RequestID, fence: true}, start, withdrawn)
			output = outcomeUnknown
		}
		history.record(clientID, operation{requestID: request.RequestID}, start, output)
		if output == "owned" {
			endRandomly(clientID, random.IntN(4), fmt.Sprintf("%d/%d", clientID, step), registry, request, history)
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// endRandomly ends an owned claim by finalChoice: 0 withdraws it, 1 abandons it,
// any other value finishes it with the body.
func endRandomly(clientID, finalChoice int, body string, registry *claim.Registry, request claim.Request, history *history) {
	var err error
	input := operation{requestID: request.RequestID}
	start := time.Now()
	switch finalChoice {
	case 0:
		input.finalState = withdrawn
		err = registry.Withdraw(context.Background(), request)
	case 1:
		history.countRun(request.RequestID)
		input.finalState = unknown
		err = registry.Abandon(context.Background(), request)
	default:
		history.countRun(request.RequestID)
		input.finalState = finishedPrefix + body
		err = registry.Finish(context.Background(), request, claim.Result{Status: 200, Body: []byte(body)})
	}
	output := "ok"
	if err != nil {
		output = outcomeUnknown
	}
	history.record(clientID, input, start, output)
}

// injectFaults changes the faults of random tables until stop is closed.
func injectFaults(random *rand.Rand, tables []*standin.FaultyTable, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(80)) * time.Millisecond):
		}
		table := tables[random.IntN(len(tables))]
		switch random.IntN(5) {
		case 0:
			table.SetFaults(standin.TableFaults{LoseNextResponses: 1 + random.IntN(3)})
		case 1:
			table.SetFaults(standin.TableFaults{DelayNextTransactions: 1 + random.IntN(3), DownAfterDelay: random.IntN(2) == 0})
		case 2:
			table.SetFaults(standin.TableFaults{Down: true})
		case 3:
			table.SetFaults(standin.TableFaults{})
		default:
			table.DeliverPending(context.Background())
		}
	}
}

// recordHistory lets ten clients use three registries whose tables fail, and
// returns their operations.
func recordHistory(seed uint64) *history {
	sharedTable := standin.NewTable()
	var tables []*standin.FaultyTable
	var registries []*claim.Registry
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range 3 {
		latencyRandom := rand.New(rand.NewPCG(seed, uint64(i+1)))
		var mutex sync.Mutex
		tables = append(tables, standin.NewFaultyTable(standin.FaultyTableConfig{Table: sharedTable, BeforeCall: func() {
			mutex.Lock()
			pause := time.Duration(latencyRandom.IntN(15)) * time.Millisecond
			mutex.Unlock()
			time.Sleep(pause)
		}}))
		registries = append(registries, claim.NewRegistry(claim.RegistryConfig{
			Table: tables[i], Incarnation: fmt.Sprint("router-", i), Retry: platform.RetryConfig{MaxTries: 4},
		}))
	}
	var requestIDs []string
	for range 30 {
		requestIDs = append(requestIDs, claim.NewRequestID())
	}
	history := &history{runCounts: make(map[string]int), reportedNotRun: make(map[string]bool)}
	stop := make(chan struct{})
	go injectFaults(random, tables, stop)
	var clients sync.WaitGroup
	for clientID := range 10 {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(100+clientID)))
		clients.Go(func() { runClient(clientID, clientRandom, registries, requestIDs, history) })
	}
	clients.Wait()
	close(stop)
	for i, registry := range registries {
		tables[i].SetFaults(standin.TableFaults{})
		_ = registry.Close(context.Background())
	}
	return history
}

// Guards against requests that run twice, or that run and are reported as not
// run, when three routers claim the same requests while table calls fail, are
// delayed or lose their responses. Checks that the results of each claim are
// linearizable.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	outputCounts := make(map[string]int)
	for seed := range uint64(12) {
		var recorded *history
		synctest.Test(t, func(*testing.T) { recorded = recordHistory(seed) })
		for _, recordedOperation := range recorded.operations {
			output := strings.Fields(recordedOperation.Output.(string))[0]
			if recordedOperation.Input.(operation).fence {
				output = notRun
			}
			outputCounts[output]++
		}
		for requestID, runs := range recorded.runCounts {
			require.Equal(t, 1, runs, "%s ran more than once, seed %d", requestID, seed)
			require.False(t, recorded.reportedNotRun[requestID], "%s ran and was reported as not run, seed %d", requestID, seed)
		}
		slices.SortFunc(recorded.operations, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		result := porcupine.CheckOperationsTimeout(claimModel.ToModel(), recorded.operations, 0)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
	t.Log(outputCounts)
}
