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
	eventually = 10 * time.Second
	poll       = time.Millisecond
	answerSize = 20
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

func body(prompt string, stream bool) standin.CompletionRequest {
	messages := []standin.Message{{Role: "user", Content: standin.Content(prompt)}}
	return standin.CompletionRequest{Messages: messages, Stream: stream, MaxTokens: answerSize}
}

func answer(prompt string) string {
	return standin.Answer(standin.PromptOf(body(prompt, true).Messages), answerSize)
}

func get(t *testing.T, engine *standin.Engine, path string) *http.Response {
	t.Helper()
	response, err := http.Get("http://" + engine.Address() + path)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = response.Body.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return response
}

// TestStreamFaults checks that each fault of streams does what it says.
func TestStreamFaults(t *testing.T) {
	whole := answer("mine")
	checks := map[standin.StreamFault]func(t *testing.T, text string, done bool){
		standin.StreamTruncate: func(t *testing.T, text string, done bool) {
			t.Helper()
			assert.False(t, done)
			assert.True(t, strings.HasPrefix(whole, text) && text != whole)
		},
		standin.StreamCut: func(t *testing.T, _ string, done bool) {
			t.Helper()
			assert.False(t, done)
		},
		standin.StreamDuplicate: func(t *testing.T, text string, done bool) {
			t.Helper()
			assert.True(t, done)
			assert.Greater(t, len(text), len(whole))
		},
		standin.StreamReorder: func(t *testing.T, text string, done bool) {
			t.Helper()
			assert.True(t, done)
			assert.Len(t, text, len(whole))
			assert.NotEqual(t, whole, text)
		},
		standin.StreamWrongAttempt: func(t *testing.T, text string, _ bool) {
			t.Helper()
			assert.Equal(t, answer("other"), text)
		},
	}
	for kind, check := range checks {
		t.Run(string(kind), func(t *testing.T) {
			engine := newEngine(t, standin.EngineConfig{})
			text, _ := textOf(t, complete(t, engine, "other", body("other", true)).Body)
			require.Equal(t, answer("other"), text)
			require.NoError(t, engine.SetFaults(standin.EngineFaults{Streams: map[standin.StreamFault]standin.Chance{kind: {Next: 1}}}))
			text, done := textOf(t, complete(t, engine, "mine", body("mine", true)).Body)
			check(t, text, done)
			text, done = textOf(t, get(t, engine, "/v1/attempts/mine/events?after=0").Body)
			assert.True(t, done)
			assert.Equal(t, whole, text)
		})
	}
}

// TestResume checks that a stream continues behind a position, and that the
// completion ran once.
func TestResume(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{})
	complete(t, engine, "a", body("p", true))
	text, done := textOf(t, get(t, engine, "/v1/attempts/a/events?after=5").Body)
	assert.True(t, done)
	assert.Equal(t, strings.Join(standin.AnswerTokens(standin.PromptOf(body("p", true).Messages), answerSize)[5:], ""), text)
	assert.Len(t, engine.Runs(), 1)
	assert.Equal(t, http.StatusConflict, complete(t, engine, "a", body("p", true)).StatusCode)
	assert.Equal(t, http.StatusNotFound, get(t, engine, "/v1/attempts/b").StatusCode)
}

// TestWholeAnswer checks an answer that is not streamed, and its usage.
func TestWholeAnswer(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{})
	var completion standin.Completion
	require.NoError(t, json.NewDecoder(complete(t, engine, "a", body("p", false)).Body).Decode(&completion))
	assert.Equal(t, answer("p"), string(completion.Choices[0].Message.Content))
	assert.Equal(t, answerSize, completion.Usage.CompletionTokens)
	assert.Equal(t, standin.CountTokens(body("p", false).Messages), completion.Usage.PromptTokens)
}

// TestCancel checks that a waiting and a running attempt stop with their usage.
func TestCancel(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{Slots: 1, TokenInterval: time.Hour})
	complete(t, engine, "runs", body("p", true))
	require.Eventually(t, func() bool { return engine.Load().Running == 1 }, eventually, poll)
	complete(t, engine, "waits", body("p", true))
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

// TestPriority checks that waiting attempts start by priority, then by arrival.
func TestPriority(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{Slots: 1, TokenInterval: 5 * time.Millisecond})
	complete(t, engine, "first", body("first", true))
	require.Eventually(t, func() bool { return engine.Load().Running == 1 }, eventually, poll)
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
	var runs []standin.Run
	require.Eventually(t, func() bool {
		runs = engine.Runs()
		return runs[len(runs)-1].State == standin.AttemptFinished
	}, eventually, poll)
	assert.True(t, runs[2].StartedAt.Before(runs[1].StartedAt), "priority 5 goes first")
	assert.True(t, runs[1].StartedAt.Before(runs[3].StartedAt), "arrival decides between equals")
}

// TestSilence checks that open connections stall for good and new ones work.
func TestSilence(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	stalled := complete(t, engine, "a", body("p", true))
	engine.Silence()
	text, done := textOf(t, get(t, engine, "/v1/attempts/a/events?after=0").Body)
	assert.True(t, done)
	assert.Equal(t, answer("p"), text)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, stalled.Body)
	}()
	select {
	case <-read:
		t.Fatal("silent connection delivered an end")
	case <-time.After(50 * time.Millisecond):
	}
	require.NoError(t, stalled.Body.Close())
	<-read
}

// TestRefuseAndDie checks that refused completions leave no run, and that a dead
// engine accepts no connection.
func TestRefuseAndDie(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{})
	require.NoError(t, engine.SetFaults(standin.EngineFaults{Refuse: true}))
	assert.Equal(t, http.StatusServiceUnavailable, complete(t, engine, "a", body("p", true)).StatusCode)
	assert.Empty(t, engine.Runs())
	require.NoError(t, engine.Close())
	_, err := http.Get("http://" + engine.Address() + "/healthz")
	assert.Error(t, err)
}

// TestPrefixCache checks that shared prefixes cost no prefill, that memory is
// limited, and that events come late and with gaps.
func TestPrefixCache(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{CacheBlocks: 8, CacheEventGapRate: 0.5, Seed: 1})
	prefix := strings.Repeat("x", 4*standin.BlockTokens*standin.BytesPerToken)
	for i := range 2 {
		_, _ = textOf(t, complete(t, engine, fmt.Sprint(i), body(prefix, true)).Body)
	}
	runs := engine.Runs()
	assert.Zero(t, runs[0].CachedTokens)
	assert.Equal(t, 4*standin.BlockTokens, runs[1].CachedTokens)
	_, _ = textOf(t, complete(t, engine, "evicts", body(strings.Repeat("y", 2*len(prefix)), true)).Body)
	_, _ = textOf(t, complete(t, engine, "again", body(prefix, true)).Body)
	assert.Zero(t, engine.Runs()[3].CachedTokens)
	events := engine.CacheEvents(0).Events
	last := events[len(events)-1].Position
	assert.Less(t, len(events), int(last), "some events are lost")
	assert.Empty(t, engine.CacheEvents(last).Events)
	late := newEngine(t, standin.EngineConfig{CacheEventLag: time.Hour})
	_, _ = textOf(t, complete(t, late, "a", body(prefix, true)).Body)
	assert.Empty(t, late.CacheEvents(0).Events)
}

// TestOrders checks fencing, loading time and the state, for engines that check
// fencing numbers and engines that do not.
func TestOrders(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		engine := newEngine(t, standin.EngineConfig{IgnoresFencing: ignores, LoadTime: time.Hour, Model: "old"})
		assert.Equal(t, http.StatusNotFound, complete(t, engine, "a", body("p", true)).StatusCode)
		state, err := engine.Order(standin.Order{Fence: 2, Model: "old", Role: "decode"})
		require.NoError(t, err)
		assert.False(t, state.Loading)
		_, err = engine.Order(standin.Order{Fence: 1, Model: "older"})
		assert.Equal(t, !ignores, fault.Is(err, fault.Conflict))
		state, err = engine.Order(standin.Order{Fence: 3, Model: "new"})
		require.NoError(t, err)
		assert.Equal(t, standin.EngineState{Model: "new", Fence: 3, Loading: true}, state)
		assert.Equal(t, http.StatusServiceUnavailable, complete(t, engine, "b", body("p", true)).StatusCode)
		assert.Len(t, engine.Orders(), 3)
	}
}

// TestLoadLag checks that a load report stays old for its lag.
func TestLoadLag(t *testing.T) {
	engine := newEngine(t, standin.EngineConfig{LoadLag: time.Hour, TokenInterval: time.Hour})
	require.Zero(t, engine.Load().Running)
	complete(t, engine, "a", body("p", true))
	require.Eventually(t, func() bool { return !engine.Runs()[0].StartedAt.IsZero() }, eventually, poll)
	assert.Zero(t, engine.Load().Running)
}

func ExampleAnswerTokens() {
	prompt := standin.PromptOf([]standin.Message{{Role: "user", Content: "which ring fits"}})
	fmt.Println(strings.Join(standin.AnswerTokens(prompt, 3), ""))
	// Output: 63o4ov 5rde4u n6sgeu
}

// FuzzCompletion feeds the engine's parser with any body: an accepted one never
// counts more prompt tokens than its bytes and overheads.
func FuzzCompletion(f *testing.F) {
	f.Add(`{"messages":[{"role":"user","content":"x"}],"stream":true}`)
	f.Add(`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`)
	f.Fuzz(func(t *testing.T, data string) {
		var request standin.CompletionRequest
		if json.Unmarshal([]byte(data), &request) != nil {
			return
		}
		bound := 0
		for _, message := range request.Messages {
			bound += len(message.Content) + standin.MessageOverheadTokens
		}
		assert.LessOrEqual(t, standin.CountTokens(request.Messages), bound)
		prompt := standin.PromptOf(request.Messages)
		assert.Len(t, standin.AnswerTokens(prompt, 3), 3)
		assert.LessOrEqual(t, standin.AnswerLength(prompt, request.MaxTokens), standin.MaxAnswerTokens)
	})
}
