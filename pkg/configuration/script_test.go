package configuration

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// TestScripts runs the scripts of testdata. Commands: publish and delete, with
// the arguments op, kind, name, expected and by, and the body as input; audit.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()
		clock := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
		publisher := NewPublisher(PublisherConfig{Table: standin.NewTable(), Clock: func() time.Time { return clock }})
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			t.Helper()
			switch data.Cmd {
			case "publish", "delete":
				clock = clock.Add(time.Minute)
				record, err := publisher.Publish(context.Background(), scriptChange(t, data))
				if err != nil {
					return fmt.Sprintf("%s: %s\nremedy: %s\n", fault.KindOf(err), fault.MessageOf(err), fault.RemedyOf(err))
				}
				return fmt.Sprintf("revision %d\n", record.Revision)
			case "audit":
				records, err := publisher.Audit(context.Background(), 0, 0)
				require.NoError(t, err)
				var lines strings.Builder
				for _, record := range records {
					fmt.Fprintf(&lines, "%d %s %s %s/%s: %s\n  from %s\n  to   %s\n", record.Revision, record.PublishedAt.Format(time.RFC3339),
						record.Change.Operator, record.Change.Kind, record.Change.Name, record.Change.Reason, record.PreviousBody, record.Change.Body)
				}
				return lines.String()
			default:
				t.Fatalf("unknown command %s", data.Cmd)
				return ""
			}
		})
	})
}

func scriptChange(t *testing.T, data *datadriven.TestData) Change {
	t.Helper()
	change := Change{Operator: "astrid", Reason: "season", Body: []byte(strings.TrimSpace(data.Input))}
	for _, argument := range data.CmdArgs {
		value := strings.Join(argument.Vals, ",")
		switch argument.Key {
		case "op":
			change.OperationID = value
		case "kind":
			change.Kind = Kind(value)
		case "name":
			change.Name = value
		case "by":
			change.Operator = value
		case "expected":
			expected, err := strconv.ParseUint(value, 10, 64)
			require.NoError(t, err)
			change.ExpectedRevision = expected
		}
	}
	return change
}
