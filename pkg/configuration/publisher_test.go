package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// newChange returns a valid change that puts the document.
func newChange(t *testing.T, operationID string, kind Kind, expected uint64, decoded document) Change {
	t.Helper()
	body, err := json.Marshal(decoded)
	require.NoError(t, err)
	return Change{
		OperationID: operationID, Operator: "astrid", Reason: "test",
		Kind: kind, Name: decoded.documentName(), ExpectedRevision: expected, Body: body,
	}
}

func testCaller(name string) Caller {
	return Caller{Name: name, Team: "desk", Weight: 1, TokenHash: strings.Repeat("0", 64-len(name)) + hexDigits(name)}
}

// hexDigits maps each character of a short name to a hexadecimal digit.
func hexDigits(name string) string {
	return strings.Map(func(r rune) rune { return rune("0123456789abcdef"[r%16]) }, name)
}

func TestPublishIsIdempotentAndNamesConflictingChange(t *testing.T) {
	table := standin.NewTable()
	publisher := NewPublisher(PublisherConfig{Table: table})
	ctx := context.Background()
	service := Service{Name: "gasket-advice", Protocol: ProtocolModel, Model: "m"}
	change := newChange(t, "op-1", KindService, 0, service)

	first, err := publisher.Publish(ctx, change)
	require.NoError(t, err)
	require.Equal(t, uint64(1), first.Revision)
	repeated, err := publisher.Publish(ctx, change)
	require.NoError(t, err)
	require.Equal(t, first, repeated)

	_, err = publisher.Publish(ctx, newChange(t, "op-2", KindService, 0, service))
	require.True(t, fault.Is(err, fault.Conflict))
	require.Contains(t, fault.MessageOf(err), "published by astrid")
	require.Contains(t, fault.RemedyOf(err), "expected 1")

	records, err := publisher.Audit(ctx, 0, 0)
	require.NoError(t, err)
	require.Len(t, records, 1)
}

func TestFollowerAdoptsPublishedChanges(t *testing.T) {
	table := standin.NewTable()
	publisher := NewPublisher(PublisherConfig{Table: table})
	ctx := context.Background()
	publish := func(change Change) Record {
		record, err := publisher.Publish(ctx, change)
		require.NoError(t, err)
		return record
	}
	publish(newChange(t, "op-1", KindService, 0, Service{Name: "order-desk", Protocol: ProtocolPlain}))
	follower := newFollower(FollowerConfig{Table: table})
	require.False(t, follower.Ready())
	follower.poll(ctx)
	require.True(t, follower.Ready())

	publish(newChange(t, "op-2", KindUpstream, 0, Upstream{Name: "desk-1", Service: "order-desk", Address: "127.0.0.1:9001"}))
	publish(newChange(t, "op-3", KindCaller, 0, testCaller("shop")))
	publish(newChange(t, "op-4", KindProfile, 0, Profile{Name: "p", Callers: []string{"shop"}, Services: []string{"order-desk"}, LimitTokens: 10}))
	follower.poll(ctx)
	view := follower.View()
	require.Equal(t, uint64(4), view.Revision())
	require.Len(t, view.Upstreams("order-desk"), 1)
	caller, ok := view.CallerByTokenHash(testCaller("shop").TokenHash)
	require.True(t, ok)
	require.Equal(t, "desk", caller.Team)
	_, ok = view.CachedProfile("p")
	require.False(t, ok, "a profile is read when it is first requested")
	profile, err := follower.Profile(ctx, "p")
	require.NoError(t, err)
	require.Equal(t, int64(10), profile.LimitTokens)
	require.Equal(t, uint64(4), view.DocumentRevision(KindProfile, "p"))
}

// recordingTable records all transactions.
type recordingTable struct {
	platform.Table
	transactions []platform.Transaction
}

func (recordingTable *recordingTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	recordingTable.transactions = append(recordingTable.transactions, transaction)
	return recordingTable.Table.Transact(ctx, transaction)
}

// Guards against a write without a condition. Any one of the conditions on the
// head, record, operation and document rows already prevents a lost update, so
// the history test does not fail if another one is missing.
func TestEveryPutOfAPublicationIsConditional(t *testing.T) {
	table := &recordingTable{Table: standin.NewTable()}
	publisher := NewPublisher(PublisherConfig{Table: table})
	for revision := range uint64(2) {
		service := Service{Name: "s", Protocol: ProtocolModel, Model: fmt.Sprint("m", revision)}
		_, err := publisher.Publish(context.Background(), newChange(t, fmt.Sprint("op-", revision), KindService, revision, service))
		require.NoError(t, err)
	}
	conditionalPuts := make(map[string]int)
	for _, transaction := range table.transactions {
		for _, write := range transaction.Writes {
			if write.Action == platform.Put {
				require.NotEqual(t, platform.Always, write.Condition.Kind, "%v", write.Key)
				conditionalPuts[write.Key.Partition]++
			}
		}
	}
	require.Equal(t, map[string]int{
		partitionHead: 2, partitionRecord: 2, partitionOperation: 2, partitionUniqueValue: 2, partitionDocument + "service": 2,
	}, conditionalPuts)
}
