package fault_test

import (
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

func ExampleNew() {
	err := fault.New(fault.Config{
		Kind:       fault.Overloaded,
		Message:    "every upstream is busy",
		Remedy:     "retry after the stated delay",
		RetryAfter: 2 * time.Second,
	})
	fmt.Println(fault.StatusOf(err), fault.KindOf(err), fault.OutcomeOf(err), fault.RetryAfterOf(err))
	fmt.Println(fault.MessageOf(err) + "; " + fault.RemedyOf(err))
	// Output:
	// 429 overloaded not_run 2s
	// every upstream is busy; retry after the stated delay
}
