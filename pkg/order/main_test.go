package order

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets the seed and the number of steps of rapid tests, unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	for _, setting := range []struct{ name, unset, value string }{
		{"rapid.seed", "0", "1"}, {"rapid.steps", "30", "120"},
	} {
		if flag.Lookup(setting.name).Value.String() == setting.unset {
			_ = flag.Set(setting.name, setting.value)
		}
	}
	goleak.VerifyTestMain(m)
}
