package fault_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// TestErrorScripts runs the scripts in testdata. Each command creates an error and
// prints its properties. The input is the message, and the arguments are kind,
// remedy, outcome and retry_after. The commands are:
//   - new: a fault
//   - wrap: a fault wrapped by fmt.Errorf
//   - cause: a fault with an untyped error as its cause
//   - outcome: a fault whose outcome is replaced by the argument to
//   - untyped: an error that isn't a fault
func TestErrorScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			t.Helper()
			return formatError(t, errorOfCommand(t, data))
		})
	})
}

func errorOfCommand(t *testing.T, data *datadriven.TestData) error {
	t.Helper()
	config := configOfCommand(t, data)
	switch data.Cmd {
	case "new":
		return fault.New(config)
	case "wrap":
		return fmt.Errorf("outer: %w", fault.New(config))
	case "cause":
		config.Cause = errors.New("connection reset")
		return fault.New(config)
	case "outcome":
		var outcome string
		data.ScanArgs(t, "to", &outcome)
		return fault.WithOutcome(fault.New(config), fault.Outcome(outcome))
	case "untyped":
		return errors.New(config.Message)
	default:
		t.Fatalf("unknown command %s", data.Cmd)
		return nil
	}
}

func configOfCommand(t *testing.T, data *datadriven.TestData) fault.Config {
	t.Helper()
	var kind, remedy, outcome, retryAfter string
	data.MaybeScanArgs(t, "kind", &kind)
	data.MaybeScanArgs(t, "remedy", &remedy)
	data.MaybeScanArgs(t, "outcome", &outcome)
	config := fault.Config{
		Kind:    fault.Kind(kind),
		Message: strings.TrimSpace(data.Input),
		Remedy:  remedy,
		Outcome: fault.Outcome(outcome),
	}
	if data.MaybeScanArgs(t, "retry_after", &retryAfter) {
		duration, err := time.ParseDuration(retryAfter)
		require.NoError(t, err)
		config.RetryAfter = duration
	}
	return config
}

func formatError(t *testing.T, err error) string {
	t.Helper()
	body, marshalErr := json.Marshal(fault.BodyOf(err))
	require.NoError(t, marshalErr)
	return fmt.Sprintf("%d %s, %s\n%s\n", fault.StatusOf(err), fault.KindOf(err), fault.OutcomeOf(err), body)
}
