package completion

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

var testConfig = ParseConfig{DefaultMaxTokens: 100, MaxTokensLimit: 1000}

// TestParse checks the token bound and the engine's body of valid requests, and the
// errors of invalid ones.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, data *datadriven.TestData) string {
		t.Helper()
		request, err := Parse([]byte(data.Input), testConfig)
		if err != nil {
			return fmt.Sprintf("%s: %s (%s)\n", fault.KindOf(err), fault.MessageOf(err), fault.RemedyOf(err))
		}
		engineBody, err := request.EngineBody()
		require.NoError(t, err)
		return fmt.Sprintf("bound=%d stream=%t\n%s\n", request.MaxTotalTokens(), request.Stream, engineBody)
	})
}

// FuzzParse checks that an error of Parse says that the request did not run, that
// the bound of the prompt's tokens is never below its bytes, and that the engine's
// body is JSON.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"tools":[{}],"max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := Parse(body, testConfig)
		if err != nil {
			require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
			return
		}
		contentBytes := 0
		for _, message := range request.Messages {
			contentBytes += len(message.Content)
		}
		require.GreaterOrEqual(t, request.MaxPromptTokens(), int64(contentBytes))
		engineBody, err := request.EngineBody()
		require.NoError(t, err)
		require.True(t, json.Valid(engineBody))
	})
}

func ExampleRequest_MaxTotalTokens() {
	request, _ := Parse([]byte(`{"model":"gasket","max_tokens":50,"messages":[{"role":"user","content":"ring?"}]}`), testConfig)
	fmt.Println(request.MaxPromptTokens(), request.MaxTotalTokens())
	// Output: 41 91
}
