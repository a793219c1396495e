package standin_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const (
	waitTimeout      = 10 * time.Second
	pollInterval     = time.Millisecond
	requestMaxTokens = 20
)

func newEngine(t *testing.T, config standin.EngineConfig) *standin.Engine {
	t.Helper()
	if config.TokenInterval == 0 {
		config.TokenInterval = time.Millisecond
	}
	engine, err := standin.NewEngine(config)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, engine.Close()) })
	return engine
}

func completionRequest(prompt string, stream bool) standin.CompletionRequest {
	messages := []standin.Message{{Role: "user", Content: standin.Content(prompt)}}
	return standin.CompletionRequest{Messages: messages, Stream: stream, MaxTokens: requestMaxTokens}
}

func expectedAnswer(prompt string) string {
	return standin.Answer(standin.PromptOf(completionRequest(prompt, true).Messages), requestMaxTokens)
}

func httpGet(t *testing.T, engine *standin.Engine, path string) *http.Response {
	t.Helper()
	response, err := http.Get("http://" + engine.Address() + path)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = response.Body.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return response
}

// TestStreamFaults guards against stream faults without the documented effect, and
// against faults that damage the stored events: resuming must give the full answer.
func TestStreamFaults(t *testing.T) {
	fullAnswer := expectedAnswer("mine")
	checks := map[standin.StreamFault]func(t *testing.T, text string, done bool){
		standin.StreamTruncate: func(t *testing.T, text string, done bool) {
			t.Helper()
			assert.False(t, done)
			assert.True(t, strings.HasPrefix(fullAnswer, text) && text != fullAnswer)
		},
		standin.StreamDisconnect: func(t *testing.T, _ string, done bool) {
			t.Helper()
			assert.False(t, done)
		},
		standin.StreamDuplicate: func(t *testing.T, text string, done bool) {
			t.Helper()
			assert.True(t, done)
			assert.Greater(t, len(text), len(fullAnswer))
		},
		standin.StreamReorder: func(t *testing.T, text string, done bool) {
			t.Helper()
			assert.True(t, done)
			assert.Len(t, text, len(fullAnswer))
			assert.NotEqual(t, fullAnswer, text)
		},
		standin.StreamWrongAttempt: func(t *testing.T, text string, _ bool) {
			t.Helper()
			assert.Equal(t, expectedAnswer("other"), text)
		},
	}
	for kind, check := range checks {
		t.Run(string(kind), func(t *testing.T) {
			engine := newEngine(t, standin.EngineConfig{})
			text, _ := readStream(t, postCompletion(t, engine, "other", completionRequest("other", true)).Body)
			require.Equal(t, expectedAnswer("other"), text)
			require.NoError(t, engine.SetFaults(standin.EngineFaults{Streams: map[standin.StreamFault]standin.FaultFrequency{kind: {NextCount: 1}}}))
			text, done := readStream(t, postCompletion(t, engine, "mine", completionRequest("mine", true)).Body)
			check(t, text, done)
			text, done = readStream(t, httpGet(t, engine, "/v1/attempts/mine/events?after=0").Body)
			assert.True(t, done)
			assert.Equal(t, fullAnswer, text)
		})
	}
}

// TestResume guards against resumed streams that repeat or skip events, and against
// resuming that runs the completion a second time.
func TestResume(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{})
	postCompletion(t, engine, "a", completionRequest("p", true))
	text, done := readStream(t, httpGet(t, engine, "/v1/attempts/a/events?after=5").Body)
	assert.True(t, done)
	assert.Equal(t, strings.Join(standin.AnswerTokens(standin.PromptOf(completionRequest("p", true).Messages), requestMaxTokens)[5:], ""), text)
	assert.Len(t, engine.Runs(), 1)
	assert.Equal(t, http.StatusConflict, postCompletion(t, engine, "a", completionRequest("p", true)).StatusCode)
	assert.Equal(t, http.StatusNotFound, httpGet(t, engine, "/v1/attempts/b").StatusCode)
}

// TestFullAnswer guards against a wrong text or usage in answers without streaming.
func TestFullAnswer(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{})
	var completion standin.Completion
	require.NoError(t, json.NewDecoder(postCompletion(t, engine, "a", completionRequest("p", false)).Body).Decode(&completion))
	assert.Equal(t, expectedAnswer("p"), string(completion.Choices[0].Message.Content))
	assert.Equal(t, requestMaxTokens, completion.Usage.CompletionTokens)
	assert.Equal(t, standin.CountTokens(completionRequest("p", false).Messages), completion.Usage.PromptTokens)
}

// TestCancel guards against cancelled attempts with a wrong usage: only the running
// one has used its prompt tokens.
func TestCancel(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{Slots: 1, TokenInterval: time.Hour})
	postCompletion(t, engine, "runs", completionRequest("p", true))
	require.Eventually(t, func() bool { return engine.Load().Running == 1 }, waitTimeout, pollInterval)
	postCompletion(t, engine, "waits", completionRequest("p", true))
	for _, attempt := range []string{"waits", "runs"} {
		response, err := http.Post("http://"+engine.Address()+"/v1/attempts/"+attempt+"/cancel", "", nil)
		require.NoError(t, err)
		var record standin.AttemptRecord
		require.NoError(t, json.NewDecoder(response.Body).Decode(&record))
		require.NoError(t, response.Body.Close())
		assert.Equal(t, standin.AttemptCancelled, record.State)
		assert.Equal(t, attempt == "runs", record.PromptTokens > 0)
		assert.Zero(t, record.CompletionTokens)
	}
}

// TestPriority guards against waiting attempts that start in the wrong order: it is
// by priority, then by arrival.
func TestPriority(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{Slots: 1, TokenInterval: 5 * time.Millisecond})
	postCompletion(t, engine, "first", completionRequest("first", true))
	require.Eventually(t, func() bool { return engine.Load().Running == 1 }, waitTimeout, pollInterval)
	for i, priority := range []int{0, 5, 0} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
			"http://"+engine.Address()+"/v1/chat/completions", strings.NewReader(`{"stream":true,"max_tokens":1,"messages":[{"role":"user","content":"x"}]}`))
		require.NoError(t, err)
		request.Header.Set(standin.AttemptHeader, fmt.Sprint(i))
		request.Header.Set(standin.PriorityHeader, fmt.Sprint(priority))
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	var runs []standin.RunRecord
	require.Eventually(t, func() bool {
		runs = engine.Runs()
		return runs[len(runs)-1].State == standin.AttemptFinished
	}, waitTimeout, pollInterval)
	assert.True(t, runs[2].StartedAt.Before(runs[1].StartedAt), "priority 5 starts first")
	assert.True(t, runs[1].StartedAt.Before(runs[3].StartedAt), "equal priorities start in order of arrival")
}

// TestBlackholeConnections guards against blackholed connections that still deliver
// data or an end of stream, and against new connections that fail.
func TestBlackholeConnections(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	stalled := postCompletion(t, engine, "a", completionRequest("p", true))
	engine.BlackholeConnections()
	text, done := readStream(t, httpGet(t, engine, "/v1/attempts/a/events?after=0").Body)
	assert.True(t, done)
	assert.Equal(t, expectedAnswer("p"), text)
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		_, _ = io.Copy(io.Discard, stalled.Body)
	}()
	select {
	case <-readDone:
		t.Fatal("blackholed connection delivered an end of stream")
	case <-time.After(50 * time.Millisecond):
	}
	require.NoError(t, stalled.Body.Close())
	<-readDone
}

// TestRefuseAndClose guards against refused completions that are recorded as run,
// and against a closed engine that still accepts connections.
func TestRefuseAndClose(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{})
	require.NoError(t, engine.SetFaults(standin.EngineFaults{Refuse: true}))
	assert.Equal(t, http.StatusServiceUnavailable, postCompletion(t, engine, "a", completionRequest("p", true)).StatusCode)
	assert.Empty(t, engine.Runs())
	require.NoError(t, engine.Close())
	_, err := http.Get("http://" + engine.Address() + "/healthz")
	assert.Error(t, err)
}

// TestPrefixCache guards against a shared prefix that isn't found in the cache, a
// cache that never evicts blocks, and events that are never lost or delayed.
func TestPrefixCache(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{CacheBlocks: 8, CacheEventLossRate: 0.5, Seed: 1})
	prefix := strings.Repeat("x", 4*standin.BlockTokens*standin.BytesPerToken)
	for i := range 2 {
		_, _ = readStream(t, postCompletion(t, engine, fmt.Sprint(i), completionRequest(prefix, true)).Body)
	}
	runs := engine.Runs()
	assert.Zero(t, runs[0].CachedTokens)
	assert.Equal(t, 4*standin.BlockTokens, runs[1].CachedTokens)
	_, _ = readStream(t, postCompletion(t, engine, "evicts", completionRequest(strings.Repeat("y", 2*len(prefix)), true)).Body)
	_, _ = readStream(t, postCompletion(t, engine, "again", completionRequest(prefix, true)).Body)
	assert.Zero(t, engine.Runs()[3].CachedTokens)
	events := engine.CacheEvents(0).Events
	lastPosition := events[len(events)-1].Position
	assert.Less(t, len(events), int(lastPosition), "some events are lost")
	assert.Empty(t, engine.CacheEvents(lastPosition).Events)
	delayed := newEngine(t, standin.EngineConfig{CacheEventDelay: time.Hour})
	_, _ = readStream(t, postCompletion(t, delayed, "a", completionRequest(prefix, true)).Body)
	assert.Empty(t, delayed.CacheEvents(0).Events)
}

// TestOrders guards against a wrong state or loading time after an order, and against
// outdated orders that an engine accepts although it checks fencing numbers, or
// refuses although it doesn't.
func TestOrders(t *testing.T) {
	for _, ignoresFencing := range []bool{false, true} {
		engine := newEngine(t, standin.EngineConfig{IgnoresFencing: ignoresFencing, ModelLoadTime: time.Hour, Model: "old"})
		assert.Equal(t, http.StatusNotFound, postCompletion(t, engine, "a", completionRequest("p", true)).StatusCode)
		state, err := engine.Order(standin.Order{Fence: 2, Model: "old", Role: "decode"})
		require.NoError(t, err)
		assert.False(t, state.Loading)
		_, err = engine.Order(standin.Order{Fence: 1, Model: "older"})
		assert.Equal(t, !ignoresFencing, fault.Is(err, fault.Conflict))
		state, err = engine.Order(standin.Order{Fence: 3, Model: "new"})
		require.NoError(t, err)
		assert.Equal(t, standin.EngineState{Model: "new", Fence: 3, Loading: true}, state)
		assert.Equal(t, http.StatusServiceUnavailable, postCompletion(t, engine, "b", completionRequest("p", true)).StatusCode)
		assert.Len(t, engine.Orders(), 3)
	}
}

// TestLoadReportDelay guards against load reports that show the current load before
// the delay is over.
func TestLoadReportDelay(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{LoadReportDelay: time.Hour, TokenInterval: time.Hour})
	require.Zero(t, engine.Load().Running)
	postCompletion(t, engine, "a", completionRequest("p", true))
	require.Eventually(t, func() bool { return !engine.Runs()[0].StartedAt.IsZero() }, waitTimeout, pollInterval)
	assert.Zero(t, engine.Load().Running)
}

func ExampleAnswerTokens() {
	prompt := standin.PromptOf([]standin.Message{{Role: "user", Content: "which ring fits"}})
	fmt.Println(strings.Join(standin.AnswerTokens(prompt, 3), ""))
	// Output: 63o4ov 5rde4u n6sgeu
}

// FuzzCompletion decodes arbitrary bodies. A valid one must never count more prompt
// tokens than its content bytes plus the overheads.
func FuzzCompletion(f *testing.F) {
	f.Add(`{"messages":[{"role":"user","content":"x"}],"stream":true}`)
	f.Add(`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`)
	f.Fuzz(func(t *testing.T, data string) {
		var request standin.CompletionRequest
		if json.Unmarshal([]byte(data), &request) != nil {
			return
		}
		maxPromptTokens := 0
		for _, message := range request.Messages {
			maxPromptTokens += len(message.Content) + standin.MessageOverheadTokens
		}
		assert.LessOrEqual(t, standin.CountTokens(request.Messages), maxPromptTokens)
		prompt := standin.PromptOf(request.Messages)
		assert.Len(t, standin.AnswerTokens(prompt, 3), 3)
		assert.LessOrEqual(t, standin.AnswerLength(prompt, request.MaxTokens), standin.MaxAnswerTokens)
	})
}
