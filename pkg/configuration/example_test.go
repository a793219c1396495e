package configuration_test

import (
	"context"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Two operators publish the same document: the second gets a conflict error that
// names the first.
func ExamplePublisher_Publish() {
	ctx := context.Background()
	publisher := configuration.NewPublisher(configuration.PublisherConfig{Table: standin.NewTable()})
	change := configuration.Change{
		OperationID: "1", Operator: "astrid", Reason: "new desk",
		Kind: configuration.KindService, Name: "desk", Body: []byte(`{"name": "desk", "protocol": "plain"}`),
	}
	record, err := publisher.Publish(ctx, change)
	fmt.Println(record.Revision, err)

	change.OperationID, change.Operator = "2", "birgit"
	_, err = publisher.Publish(ctx, change)
	fmt.Println(fault.KindOf(err), fault.OutcomeOf(err))
	// Output:
	// 1 <nil>
	// conflict not_run
}
