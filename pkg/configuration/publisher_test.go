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

// changeOf makes a valid change of a document.
func changeOf(t *testing.T, operationID string, kind Kind, expected uint64, decoded document) Change {
	t.Helper()
	body, err := json.Marshal(decoded)
	require.NoError(t, err)
	return Change{
		OperationID: operationID, Operator: "astrid", Reason: "test",
		Kind: kind, Name: decoded.documentName(), ExpectedRevision: expected, Body: body,
	}
}

func testCaller(name string) Caller {
	return Caller{Name: name, Team: "desk", Weight: 1, TokenHash: strings.Repeat("0", 64-len(name)) + hexOf(name)}
}

// hexOf maps a short name to hexadecimal digits, one for each byte.
func hexOf(name string) string {
	return strings.Map(func(r rune) rune { return rune("0123456789abcdef"[r%16]) }, name)
}

func TestPublishIsIdempotentAndNamesTheWinner(t *testing.T) {
	table := standin.NewTable()
	publisher := NewPublisher(PublisherConfig{Table: table})
	ctx := context.Background()
	service := Service{Name: "gasket-advice", Protocol: ProtocolModel, Model: "m"}
	change := changeOf(t, "op-1", KindService, 0, service)

	first, err := publisher.Publish(ctx, change)
	require.NoError(t, err)
	require.Equal(t, uint64(1), first.Revision)
	again, err := publisher.Publish(ctx, change)
	require.NoError(t, err)
	require.Equal(t, first, again)

	_, err = publisher.Publish(ctx, changeOf(t, "op-2", KindService, 0, service))
	require.True(t, fault.Is(err, fault.Conflict))
	require.Contains(t, fault.MessageOf(err), "published by astrid")
	require.Contains(t, fault.RemedyOf(err), "expected 1")

	records, err := publisher.Audit(ctx, 0, 0)
	require.NoError(t, err)
	require.Len(t, records, 1)
}

func TestFollowerAdoptsWhatIsPublished(t *testing.T) {
	table := standin.NewTable()
	publisher := NewPublisher(PublisherConfig{Table: table})
	ctx := context.Background()
	publish := func(change Change) Record {
		record, err := publisher.Publish(ctx, change)
		require.NoError(t, err)
		return record
	}
	publish(changeOf(t, "op-1", KindService, 0, Service{Name: "order-desk", Protocol: ProtocolPlain}))
	follower := newFollower(FollowerConfig{Table: table})
	require.False(t, follower.Ready())
	follower.poll(ctx)
	require.True(t, follower.Ready())

	publish(changeOf(t, "op-2", KindUpstream, 0, Upstream{Name: "desk-1", Service: "order-desk", Address: "127.0.0.1:9001"}))
	publish(changeOf(t, "op-3", KindCaller, 0, testCaller("shop")))
	publish(changeOf(t, "op-4", KindProfile, 0, Profile{Name: "p", Callers: []string{"shop"}, Services: []string{"order-desk"}, LimitTokens: 10}))
	follower.poll(ctx)
	view := follower.View()
	require.Equal(t, uint64(4), view.Revision())
	require.Len(t, view.Upstreams("order-desk"), 1)
	caller, ok := view.CallerByTokenHash(testCaller("shop").TokenHash)
	require.True(t, ok)
	require.Equal(t, "desk", caller.Team)
	_, ok = view.CachedProfile("p")
	require.False(t, ok, "a profile is read when it is first asked for")
	profile, err := follower.Profile(ctx, "p")
	require.NoError(t, err)
	require.Equal(t, int64(10), profile.LimitTokens)
	require.Equal(t, uint64(4), view.DocumentRevision(KindProfile, "p"))
}

// recordingTable keeps the transactions that were sent.
type recordingTable struct {
	platform.Table
	transactions []platform.Transaction
}

func (recordingTable *recordingTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	recordingTable.transactions = append(recordingTable.transactions, transaction)
	return recordingTable.Table.Transact(ctx, transaction)
}

// Head, record, operation id and document each guard against a second writer,
// so that a history alone does not show when one of them is left unguarded.
func TestEveryPutOfAPublicationIsConditional(t *testing.T) {
	table := &recordingTable{Table: standin.NewTable()}
	publisher := NewPublisher(PublisherConfig{Table: table})
	for revision := range uint64(2) {
		service := Service{Name: "s", Protocol: ProtocolModel, Model: fmt.Sprint("m", revision)}
		_, err := publisher.Publish(context.Background(), changeOf(t, fmt.Sprint("op-", revision), KindService, revision, service))
		require.NoError(t, err)
	}
	guarded := make(map[string]int)
	for _, transaction := range table.transactions {
		for _, write := range transaction.Writes {
			if write.Action == platform.Put {
				require.NotEqual(t, platform.Always, write.Condition.Kind, "%v", write.Key)
				guarded[write.Key.Partition]++
			}
		}
	}
	require.Equal(t, map[string]int{
		partitionHead: 2, partitionRecord: 2, partitionOperation: 2, partitionUnique: 2, partitionDocument + "service": 2,
	}, guarded)
}
