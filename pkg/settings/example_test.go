package settings_test

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

func ExampleParse() {
	_, faults := settings.Parse([]byte("zone: varnamo\nhorizon: soon\n"), ".")
	fmt.Println(len(faults), "faults, the last:", faults[len(faults)-1])
	// Output: 7 faults, the last: line 2: horizon: "soon" has the wrong form; write a duration such as 500ms, 10s or 24h
}
