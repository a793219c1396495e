package platform_test

import (
	"context"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// A write is applied only if the item still has the version that was read.
func ExampleCondition() {
	ctx := context.Background()
	table := standin.NewTable()
	key := platform.Key{Partition: "budget", Sort: "home-cooks"}
	put := func(value string, condition platform.Condition) {
		write := platform.Write{Key: key, Value: []byte(value), Condition: condition}
		err := table.Transact(ctx, platform.Transaction{Writes: []platform.Write{write}})
		fmt.Println(value, "conflict:", fault.Is(err, fault.Conflict))
	}
	put("100", platform.Condition{Kind: platform.IfAbsent})
	put("200", platform.Condition{Kind: platform.IfAbsent})
	items, err := table.Get(ctx, key)
	if err != nil {
		fmt.Println(err)
		return
	}
	put("90", platform.Condition{Kind: platform.IfVersion, Version: items[0].Version})
	put("80", platform.Condition{Kind: platform.IfVersion, Version: items[0].Version})
	// Output:
	// 100 conflict: false
	// 200 conflict: true
	// 90 conflict: false
	// 80 conflict: true
}
