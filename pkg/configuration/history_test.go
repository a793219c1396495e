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

// historyInput is a change to publish, or a read of the audit trail if it has no
// operation id.
type historyInput struct {
	operationID      string
	name             string
	expectedRevision uint64
}

type historyOutput struct {
	// outcome is "accepted", "conflict", "not_run" or "unknown" for a change, and
	// "trail" for a read of the audit trail.
	outcome  string
	revision uint64
	// trail has the operation ids of the audit trail in order.
	trail []string
}

// historyState is a state of the model: the operation ids of the audit trail and
// the revision of each document by name.
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

// historyStep returns the possible states after an operation with this output, or
// none if the output is wrong.
func historyStep(state, in, out any) []any {
	current, input, output := state.(historyState), in.(historyInput), out.(historyOutput)
	acceptedIndex := slices.Index(current.trail, input.operationID)
	expectedMatches := acceptedIndex < 0 && current.revisions[input.name] == input.expectedRevision
	switch output.outcome {
	case "trail":
		if slices.Equal(current.trail, output.trail) {
			return []any{current}
		}
	case "accepted":
		if acceptedIndex >= 0 && output.revision == uint64(acceptedIndex+1) {
			return []any{current}
		}
		if expectedMatches && output.revision == uint64(len(current.trail)+1) {
			return []any{current.accept(input)}
		}
	case "conflict":
		if acceptedIndex < 0 && !expectedMatches {
			return []any{current}
		}
	case "not_run":
		return []any{current}
	case "unknown":
		if expectedMatches {
			return []any{current, current.accept(input)}
		}
		return []any{current}
	}
	return nil
}

var historyModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{historyState{}} },
	Step:  historyStep,
	Equal: func(a, b any) bool { return slices.Equal(a.(historyState).trail, b.(historyState).trail) },
}

// publishOutput publishes a change and classifies the result.
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

// historyRecorder records operations with their start and end times. It is safe
// for concurrent use.
type historyRecorder struct {
	startedAt time.Time
	mutex     sync.Mutex
	history   []porcupine.Operation
	outcomes  map[string]int
}

// recordOperation runs and records an operation. An operation with unknown
// outcome may still take effect later, so its end is set after all others.
func (historyRecorder *historyRecorder) recordOperation(client int, input historyInput, operation func() historyOutput) historyOutput {
	call := time.Since(historyRecorder.startedAt).Nanoseconds()
	output := operation()
	end := time.Since(historyRecorder.startedAt).Nanoseconds()
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

// publishRounds publishes changes of two services with the stored revisions as
// the expected ones. It publishes each up to three times while the outcome is
// unknown.
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
		input := historyInput{operationID: fmt.Sprintf("op-%d-%d", client, round), name: name, expectedRevision: row.Revision}
		change := newChange(t, input.operationID, KindService, input.expectedRevision, Service{Name: name, Protocol: ProtocolPlain, CallTokens: int64(round)})
		for range 3 {
			output := historyRecorder.recordOperation(client, input, func() historyOutput { return publishOutput(publisher, change) })
			if output.outcome != "unknown" {
				break
			}
		}
	}
}

// readTrail returns the audit trail and checks that its revisions have no gap.
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

// Guards against changes that are lost, accepted twice or accepted on an outdated
// revision, when several clients publish while the table fails calls and loses or
// delays transactions.
func TestPublishHistoryIsLinearizable(t *testing.T) {
	const clients, rounds = 4, 10
	table := newFaultyTable(1, 0.5)
	recorder := &historyRecorder{startedAt: time.Now(), outcomes: make(map[string]int)}
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() { recorder.publishRounds(t, table, client, rounds) })
	}
	group.Wait()
	table.mutex.Lock()
	table.faultProbability = 0
	table.mutex.Unlock()
	recorder.recordOperation(clients, historyInput{}, func() historyOutput { return readTrail(t, table) })
	t.Logf("outcomes: %v", recorder.outcomes)
	require.NotZero(t, recorder.outcomes["accepted"], "a history without accepted changes proves nothing")
	require.NotZero(t, recorder.outcomes["conflict"], "a history without conflicts proves nothing")
	require.True(t, porcupine.CheckOperations(historyModel.ToModel(), recorder.history))
}
