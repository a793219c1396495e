package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// slowTable is a table behind a slow link: a query takes time for each item.
type slowTable struct {
	platform.Table
	itemTime time.Duration
}

func (slowTable *slowTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	items, err := slowTable.Table.Query(ctx, query)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Duration(len(items)) * slowTable.itemTime):
		return items, nil
	}
}

// TestConfigurationIsReadOverSlowLink guards against a router that never gets the
// configuration, because it reads as much as takes longer than its time limit, and
// reads the same again after that.
func TestConfigurationIsReadOverSlowLink(t *testing.T) {
	const documentCount, recordCount = 2500, 250
	for _, itemTime := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(itemTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				publisher := NewPublisher(PublisherConfig{Table: table})
				publish := func(name string) {
					body, err := json.Marshal(Service{Name: name, Protocol: "plain"})
					require.NoError(t, err)
					_, err = publisher.Publish(t.Context(), Change{OperationID: name, Operator: "astrid", Reason: "test", Kind: KindService, Name: name, Body: body})
					require.NoError(t, err)
				}
				for number := range documentCount {
					publish(fmt.Sprintf("service-%d", number))
				}
				follower := NewFollower(FollowerConfig{Table: &slowTable{Table: table, itemTime: itemTime}})
				defer follower.Close()
				// Twice the time that all documents take, and the tries that find the page size.
				time.Sleep(2*documentCount*itemTime + 30*time.Second)
				require.EqualValues(t, documentCount, follower.Revision())
				for number := range recordCount {
					publish(fmt.Sprintf("added-%d", number))
				}
				time.Sleep(2*recordCount*itemTime + 30*time.Second)
				require.EqualValues(t, documentCount+recordCount, follower.Revision())
			})
		})
	}
}
