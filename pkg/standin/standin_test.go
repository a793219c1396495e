package standin_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newPlatform(t *testing.T, config standin.PlatformConfig) (*standin.Platform, *platform.Client) {
	t.Helper()
	server, err := standin.NewPlatform(config)
	require.NoError(t, err)
	client := platform.Dial(platform.ClientConfig{Address: server.Address(), Timeout: time.Second, Name: "client"})
	t.Cleanup(func() {
		client.Close()
		assert.NoError(t, server.Close())
	})
	return server, client
}

func putTransaction(sort, value string, condition platform.Condition) platform.Transaction {
	key := platform.Key{Partition: "p", Sort: sort}
	return platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte(value), Condition: condition}}}
}

// TestPlatformOverHTTP guards against errors that lose their kind, and conditions
// that aren't checked, when the platform is called over HTTP.
func TestPlatformOverHTTP(t *testing.T) {
	_, client := newPlatform(t, standin.PlatformConfig{})
	ctx := context.Background()
	require.NoError(t, client.Table().Transact(ctx, putTransaction("a", "1", platform.Condition{Kind: platform.IfAbsent})))
	err := client.Table().Transact(ctx, putTransaction("a", "2", platform.Condition{Kind: platform.IfAbsent}))
	assert.True(t, fault.Is(err, fault.Conflict), "%v", err)
	items, err := client.Table().Get(ctx, platform.Key{Partition: "p", Sort: "a"}, platform.Key{Partition: "p", Sort: "b"})
	require.NoError(t, err)
	assert.Equal(t, "1", string(items[0].Value))
	assert.Zero(t, items[1].Version)
	_, err = client.Objects().Get(ctx, "none")
	assert.True(t, fault.Is(err, fault.NotFound), "%v", err)
}

// TestResponseLostAfterWrite guards against a lost response that is reported as a
// known outcome: the write has taken effect, but the client can't know.
func TestResponseLostAfterWrite(t *testing.T) {
	server, client := newPlatform(t, standin.PlatformConfig{})
	ctx := context.Background()
	require.NoError(t, server.SetFaults(standin.PlatformFaults{LoseNextResponses: 1}))
	err := client.Table().Transact(ctx, putTransaction("a", "1", platform.Condition{}))
	assert.True(t, fault.Is(err, fault.Unavailable), "%v", err)
	assert.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	assert.Equal(t, 1, server.BackingTable().Len())
}

func postCompletion(t *testing.T, engine *standin.Engine, attempt string, body standin.CompletionRequest) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+engine.Address()+"/v1/chat/completions", strings.NewReader(string(data)))
	require.NoError(t, err)
	request.Header.Set(standin.AttemptHeader, attempt)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = response.Body.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return response
}

// readStream returns the text of a stream and whether it ended with the end marker.
func readStream(t *testing.T, body io.Reader) (string, bool) {
	t.Helper()
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var chunk standin.Completion
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		text.WriteString(string(chunk.Choices[0].Delta.Content))
	}
	return text.String(), false
}

// TestEngineStreamsTheAnswer guards against a stream that differs from the answer
// computed from the prompt.
func TestEngineStreamsTheAnswer(t *testing.T) {
	engine, err := standin.NewEngine(standin.EngineConfig{TokenInterval: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, engine.Close()) })
	messages := []standin.Message{{Role: "user", Content: "which ring fits"}}
	response := postCompletion(t, engine, "a1", standin.CompletionRequest{Messages: messages, Stream: true, MaxTokens: 20})
	text, done := readStream(t, response.Body)
	assert.True(t, done)
	assert.Equal(t, standin.Answer(standin.PromptOf(messages), 20), text)
	assert.Equal(t, standin.AttemptFinished, engine.Runs()[0].State)
}

// TestServiceCountsDuplicateRuns guards against a service that deduplicates by
// Idempotency-Key: checks then couldn't detect orders that were run twice.
func TestServiceCountsDuplicateRuns(t *testing.T) {
	service, err := standin.NewService(standin.ServiceConfig{})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, service.Close()) })
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+service.Address()+"/orders", strings.NewReader("x"))
		require.NoError(t, err)
		request.Header.Set(standin.IdempotencyKeyHeader, "k")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	http.DefaultClient.CloseIdleConnections()
	assert.Equal(t, 2, service.Runs().Counts["k"])
}
