package configuration

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed for the rapid tests unless the command line sets one,
// and fails if a goroutine is left running.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "1000")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	goleak.VerifyTestMain(m)
}
