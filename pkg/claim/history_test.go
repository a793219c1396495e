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

// The states of a claim in the model. An orphan was written by a claim whose
// caller was told that its outcome is unknown; nobody runs it.
const (
	absent    = "absent"
	running   = "running"
	orphan    = "orphan"
	withdrawn = "withdrawn"
	unknown   = "unknown"
	finished  = "finished "
	// notRun and lost are answers and no states.
	notRun = "not_run"
	lost   = "lost"
)

type operation struct {
	key string
	// end is the last state that an end wants; empty for a claim.
	end string
	// fence is set for the withdrawal of a claim that was not decided in time.
	fence bool
}

// model says which states may follow a state when an operation is answered.
var model = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, entry := range history {
			key := entry.Input.(operation).key
			parts[key] = append(parts[key], entry)
		}
		var partition [][]porcupine.Operation
		for _, part := range parts {
			partition = append(partition, part)
		}
		return partition
	},
	Init: func() []any { return []any{absent} },
	Step: func(state, input, output any) []any {
		if input.(operation).fence {
			return stepFence(state.(string))
		}
		if input.(operation).end != "" {
			return stepEnd(state.(string), input.(operation).end, output.(string))
		}
		return stepClaim(state.(string), output.(string))
	},
	Equal: func(first, second any) bool { return first == second },
}

func stepEnd(state, end, output string) []any {
	switch {
	case output == lost && state == running:
		return []any{running, end}
	case output == lost:
		return []any{state}
	case state == running:
		return []any{end}
	}
	return nil
}

func stepFence(state string) []any {
	if state == absent || state == orphan || state == withdrawn {
		return []any{withdrawn}
	}
	return nil
}

func stepClaim(state, output string) []any {
	switch {
	case output == lost && state == absent:
		return []any{absent, orphan, withdrawn}
	case output == lost:
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

// history records operations of concurrent clients.
type history struct {
	mutex sync.Mutex
	// operations have virtual times in nanoseconds.
	operations []porcupine.Operation
	// ran counts runs by request, and toldNotRun lists withdrawn requests.
	ran        map[string]int
	toldNotRun map[string]bool
}

// forever is after the end of every history.
const forever = int64(1) << 62

func (history *history) record(client int, input operation, start time.Time, output string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	end := time.Now().UnixNano()
	if output == lost {
		end = forever
	}
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: start.UnixNano(), Output: output, Return: end,
	})
	if output == withdrawn {
		history.toldNotRun[input.key] = true
	}
}

func (history *history) run(key string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.ran[key]++
}

func claimOutput(decision claim.Decision, err error) string {
	switch {
	case err != nil && fault.OutcomeOf(err) == fault.NotRun:
		return notRun
	case err != nil:
		return lost
	case decision.State == claim.Finished:
		return finished + string(decision.Result.Body)
	default:
		return string(decision.State)
	}
}

// client claims random requests and ends those that it owns.
func client(id int, random *rand.Rand, registries []*claim.Registry, requests []string, history *history) {
	for step := range 40 {
		registry := registries[random.IntN(len(registries))]
		request := claim.Request{Scope: "desk", RequestID: requests[random.IntN(len(requests))]}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(4000))*time.Millisecond)
		start := time.Now()
		decision, err := registry.Claim(ctx, request)
		cancel()
		output := claimOutput(decision, err)
		if output == notRun {
			history.record(id, operation{key: request.RequestID, fence: true}, start, withdrawn)
			output = lost
		}
		history.record(id, operation{key: request.RequestID}, start, output)
		if output == "owned" {
			endClaim(id, random.IntN(4), fmt.Sprintf("%d/%d", id, step), registry, request, history)
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

func endClaim(id, choice int, body string, registry *claim.Registry, request claim.Request, history *history) {
	var err error
	input := operation{key: request.RequestID}
	start := time.Now()
	switch choice {
	case 0:
		input.end = withdrawn
		err = registry.Withdraw(context.Background(), request)
	case 1:
		history.run(request.RequestID)
		input.end = unknown
		err = registry.Abandon(context.Background(), request)
	default:
		history.run(request.RequestID)
		input.end = finished + body
		err = registry.Finish(context.Background(), request, claim.Result{Status: 200, Body: []byte(body)})
	}
	output := "ok"
	if err != nil {
		output = lost
	}
	history.record(id, input, start, output)
}

// breakTables switches faults on and off until stop is closed.
func breakTables(random *rand.Rand, tables []*standin.FaultyTable, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(80)) * time.Millisecond):
		}
		table := tables[random.IntN(len(tables))]
		switch random.IntN(5) {
		case 0:
			table.SetFaults(standin.TableFaults{LoseAnswers: 1 + random.IntN(3)})
		case 1:
			table.SetFaults(standin.TableFaults{Delays: 1 + random.IntN(3), DownAfterDelay: random.IntN(2) == 0})
		case 2:
			table.SetFaults(standin.TableFaults{Down: true})
		case 3:
			table.SetFaults(standin.TableFaults{})
		default:
			table.Deliver(context.Background())
		}
	}
}

func runHistory(seed uint64) *history {
	inner := standin.NewTable()
	var tables []*standin.FaultyTable
	var registries []*claim.Registry
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range 3 {
		latency := rand.New(rand.NewPCG(seed, uint64(i+1)))
		var mutex sync.Mutex
		tables = append(tables, standin.NewFaultyTable(standin.FaultyTableConfig{Table: inner, Pause: func() {
			mutex.Lock()
			pause := time.Duration(latency.IntN(15)) * time.Millisecond
			mutex.Unlock()
			time.Sleep(pause)
		}}))
		registries = append(registries, claim.NewRegistry(claim.RegistryConfig{
			Table: tables[i], Incarnation: fmt.Sprint("router-", i), Retry: platform.RetryConfig{MaxTries: 4},
		}))
	}
	var requests []string
	for range 30 {
		requests = append(requests, claim.NewRequestID())
	}
	history := &history{ran: make(map[string]int), toldNotRun: make(map[string]bool)}
	stop := make(chan struct{})
	go breakTables(random, tables, stop)
	var clients sync.WaitGroup
	for id := range 10 {
		own := rand.New(rand.NewPCG(seed, uint64(100+id)))
		clients.Go(func() { client(id, own, registries, requests, history) })
	}
	clients.Wait()
	close(stop)
	for i, registry := range registries {
		tables[i].SetFaults(standin.TableFaults{})
		_ = registry.Close(context.Background())
	}
	return history
}

func TestHistoriesOfClaimsAreLinearizable(t *testing.T) {
	answers := make(map[string]int)
	for seed := range uint64(12) {
		var recorded *history
		synctest.Test(t, func(*testing.T) { recorded = runHistory(seed) })
		for _, entry := range recorded.operations {
			name := strings.Fields(entry.Output.(string))[0]
			if entry.Input.(operation).fence {
				name = notRun
			}
			answers[name]++
		}
		for request, runs := range recorded.ran {
			require.Equal(t, 1, runs, "%s ran more than once, seed %d", request, seed)
			require.False(t, recorded.toldNotRun[request], "%s ran and was told not_run, seed %d", request, seed)
		}
		slices.SortFunc(recorded.operations, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		result := porcupine.CheckOperationsTimeout(model.ToModel(), recorded.operations, 0)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
	t.Log(answers)
}
