package budget

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// The default size of the state machine test: 320 runs, over 10,000 steps. For
// a longer run: go test ./pkg/budget -run TestEscrowStateMachine -rapid.seed 0
// -rapid.checks 5000.
var rapidDefaults = map[string]string{
	"rapid.seed":       "20260101",
	"rapid.checks":     "320",
	"rapid.steps":      "100",
	"rapid.nofailfile": "true",
}

func TestMain(m *testing.M) {
	flag.Parse()
	explicitFlags := make(map[string]bool)
	flag.Visit(func(setFlag *flag.Flag) { explicitFlags[setFlag.Name] = true })
	for name, value := range rapidDefaults {
		if !explicitFlags[name] {
			_ = flag.Set(name, value)
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}
