package completion

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

var bounds = ParseConfig{DefaultMaxTokens: 100, GreatestMaxTokens: 1000}

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, data *datadriven.TestData) string {
		t.Helper()
		request, err := Parse([]byte(data.Input), bounds)
		if err != nil {
			return fmt.Sprintf("%s: %s (%s)\n", fault.KindOf(err), fault.MessageOf(err), fault.RemedyOf(err))
		}
		forward, err := request.Forward()
		require.NoError(t, err)
		return fmt.Sprintf("bound=%d stream=%t\n%s\n", request.Bound(), request.Stream, forward)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"tools":[{}],"max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := Parse(body, bounds)
		if err != nil {
			require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
			return
		}
		content := 0
		for _, message := range request.Messages {
			content += len(message.Content)
		}
		require.GreaterOrEqual(t, request.PromptBound(), int64(content))
		forward, err := request.Forward()
		require.NoError(t, err)
		require.True(t, json.Valid(forward))
	})
}

func ExampleRequest_Bound() {
	request, _ := Parse([]byte(`{"model":"gasket","max_tokens":50,"messages":[{"role":"user","content":"ring?"}]}`), bounds)
	fmt.Println(request.PromptBound(), request.Bound())
	// Output: 41 91
}
