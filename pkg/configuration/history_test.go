package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// historyInput is a publication, or a read of the audit trail when it has no
// operation id.
type historyInput struct {
	operationID string
	name        string
	expected    uint64
}

type historyOutput struct {
	// outcome is "accepted", "conflict", "not_run" or "unknown".
	outcome  string
	revision uint64
	// trail are the operation ids of the audit trail.
	trail []string
}

// historyState is the trail and the revision of each document.
type historyState struct {
	trail     []string
	revisions map[string]uint64
}

func (state historyState) accept(input historyInput) historyState {
	next := historyState{trail: append(slices.Clone(state.trail), input.operationID), revisions: map[string]uint64{}}
	for name, revision := range state.revisions {
		next.revisions[name] = revision
	}
	next.revisions[input.name] = uint64(len(next.trail))
	return next
}

// historyStep is the model: the states that follow an operation with an output.
func historyStep(state, in, out any) []any {
	before, input, output := state.(historyState), in.(historyInput), out.(historyOutput)
	known := slices.Index(before.trail, input.operationID)
	fits := known < 0 && before.revisions[input.name] == input.expected
	switch output.outcome {
	case "trail":
		if slices.Equal(before.trail, output.trail) {
			return []any{before}
		}
	case "accepted":
		if known >= 0 && output.revision == uint64(known+1) {
			return []any{before}
		}
		if fits && output.revision == uint64(len(before.trail)+1) {
			return []any{before.accept(input)}
		}
	case "conflict":
		if known < 0 && !fits {
			return []any{before}
		}
	case "not_run":
		return []any{before}
	case "unknown":
		if fits {
			return []any{before, before.accept(input)}
		}
		return []any{before}
	}
	return nil
}

var historyModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{historyState{}} },
	Step:  historyStep,
	Equal: func(a, b any) bool { return slices.Equal(a.(historyState).trail, b.(historyState).trail) },
}

// publishOutput runs one publication and classes its result.
func publishOutput(publisher *Publisher, change Change) historyOutput {
	record, err := publisher.Publish(context.Background(), change)
	switch {
	case err == nil:
		return historyOutput{outcome: "accepted", revision: record.Revision}
	case fault.OutcomeOf(err) == fault.OutcomeUnknown:
		return historyOutput{outcome: "unknown"}
	case fault.Is(err, fault.Conflict) && fault.RetryAfterOf(err) == 0:
		return historyOutput{outcome: "conflict"}
	default:
		return historyOutput{outcome: "not_run"}
	}
}

// historyRecorder records operations with their times, from many goroutines.
type historyRecorder struct {
	began    time.Time
	mutex    sync.Mutex
	history  []porcupine.Operation
	outcomes map[string]int
}

// observe runs an operation. One whose outcome is unknown may still take effect
// later, so that it has no end.
func (historyRecorder *historyRecorder) observe(client int, input historyInput, run func() historyOutput) historyOutput {
	call := time.Since(historyRecorder.began).Nanoseconds()
	output := run()
	end := time.Since(historyRecorder.began).Nanoseconds()
	if output.outcome == "unknown" {
		end = time.Hour.Nanoseconds()
	}
	historyRecorder.mutex.Lock()
	defer historyRecorder.mutex.Unlock()
	historyRecorder.outcomes[output.outcome]++
	historyRecorder.history = append(historyRecorder.history, porcupine.Operation{
		ClientId: client, Input: input, Call: call, Output: output, Return: end,
	})
	return output
}

// publishRounds publishes changes of two services on the revisions that are
// stored, each up to three times while its outcome is unknown.
func (historyRecorder *historyRecorder) publishRounds(t *testing.T, table *faultyTable, client, rounds int) {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(client), 7))
	publisher := NewPublisher(PublisherConfig{Table: table})
	for round := range rounds {
		name := fmt.Sprintf("service-%d", random.IntN(2))
		items, err := table.Table.Get(context.Background(), documentKey(KindService, name))
		require.NoError(t, err)
		row, err := platform.DecodeRow[documentRow](items[0])
		require.NoError(t, err)
		input := historyInput{operationID: fmt.Sprintf("op-%d-%d", client, round), name: name, expected: row.Revision}
		change := changeOf(t, input.operationID, KindService, input.expected, Service{Name: name, Protocol: ProtocolPlain, CallTokens: int64(round)})
		for range 3 {
			output := historyRecorder.observe(client, input, func() historyOutput { return publishOutput(publisher, change) })
			if output.outcome != "unknown" {
				break
			}
		}
	}
}

// readTrail returns the audit trail, whose revisions have no gap.
func readTrail(t *testing.T, table *faultyTable) historyOutput {
	t.Helper()
	records, err := NewPublisher(PublisherConfig{Table: table}).Audit(context.Background(), 0, 1000)
	require.NoError(t, err)
	output := historyOutput{outcome: "trail"}
	for i, record := range records {
		require.Equal(t, uint64(i+1), record.Revision)
		output.trail = append(output.trail, record.Change.OperationID)
	}
	return output
}

func TestPublishHistoryIsLinearizable(t *testing.T) {
	const clients, rounds = 4, 10
	table := newFaultyTable(1, 0.5)
	recorder := &historyRecorder{began: time.Now(), outcomes: make(map[string]int)}
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() { recorder.publishRounds(t, table, client, rounds) })
	}
	group.Wait()
	table.mutex.Lock()
	table.share = 0
	table.mutex.Unlock()
	recorder.observe(clients, historyInput{}, func() historyOutput { return readTrail(t, table) })
	t.Logf("outcomes: %v", recorder.outcomes)
	require.NotZero(t, recorder.outcomes["accepted"], "a history without changes shows nothing")
	require.NotZero(t, recorder.outcomes["conflict"], "a history without races shows nothing")
	require.True(t, porcupine.CheckOperations(historyModel.ToModel(), recorder.history))
}
