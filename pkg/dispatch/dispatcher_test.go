package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

const (
	prompt      = "Which ring fits a pot of 22 cm?"
	promptBound = 64
	maxTokens   = 12
)

// collected is a sink that keeps what it is given.
type collected struct {
	head   Head
	events []Event
	// limit makes the caller go away behind that many events.
	limit int
	// pace is how long the caller takes for an event.
	pace time.Duration
}

func (collected *collected) Head(head Head) error {
	collected.head = head
	return nil
}

func (collected *collected) Event(event Event) error {
	time.Sleep(collected.pace)
	collected.events = append(collected.events, event)
	if len(collected.events) == collected.limit {
		return errors.New("caller is gone")
	}
	return nil
}

// text joins the chunks' contents.
func (collected *collected) text() string {
	var text strings.Builder
	for _, event := range collected.events {
		var chunk standin.Completion
		if json.Unmarshal(event.Data, &chunk) == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
			text.WriteString(string(chunk.Choices[0].Delta.Content))
		}
	}
	return text.String()
}

func startEngine(t *testing.T, config standin.EngineConfig) *standin.Engine {
	t.Helper()
	if config.TokenInterval == 0 {
		config.TokenInterval = time.Millisecond
	}
	engine, err := standin.NewEngine(config)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, engine.Close()) })
	return engine
}

func upstreamAt(address string) configuration.Upstream {
	return configuration.Upstream{Name: address, Service: "advice", Address: address}
}

// shortBounds keeps the tests short; no verdict depends on their exact length.
var shortBounds = exchange.ClientConfig{
	FirstPartTimeout: time.Second, GapTimeout: time.Second, ControlTimeout: time.Second,
}

func startDispatcher(t *testing.T, config Config, upstreams ...configuration.Upstream) *UpstreamDispatcher {
	t.Helper()
	if config.Upstreams == nil {
		config.Upstreams = func(string) []configuration.Upstream { return upstreams }
	}
	if config.Exchange.FirstPartTimeout == 0 {
		config.Exchange = shortBounds
	}
	config.PlainTimeout = time.Second
	config.Policy = "round_robin"
	dispatcher := NewDispatcher(config)
	t.Cleanup(func() { require.NoError(t, dispatcher.Close(context.Background())) })
	return dispatcher
}

func modelWork(id string) Work {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, prompt)
	return Work{
		RequestID: id, Profile: "homes", Team: "team", Weight: 1, Service: "advice", Model: true, Idempotent: true,
		Deadline: time.Now().Add(time.Minute), Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(body), PromptTokens: promptBound, MaxTokens: promptBound + maxTokens,
	}
}

func expectedText() string {
	return standin.Answer(standin.PromptOf([]standin.Message{{Role: "user", Content: prompt}}), maxTokens)
}

// tell writes the end of a request in one line.
func tell(result Result, err error, sink *collected) string {
	if err != nil {
		return fmt.Sprintf("%s kind=%s attempts=%d waste_unknown=%t\n", result.Outcome, fault.KindOf(err), len(result.Attempts), result.WasteUnknown)
	}
	whole := sink.text() == expectedText() && int64(len(sink.events)) == sink.events[len(sink.events)-1].Position
	return fmt.Sprintf("%s whole=%t attempts=%d usage=%d waste=%d waste_unknown=%t\n",
		result.Outcome, whole, len(result.Attempts), result.Usage.Tokens(), result.WasteTokens, result.WasteUnknown)
}

// TestFaults brings about each failure of an upstream that is named in
// testdata/faults and compares how the request ends and how often it ran.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, data *datadriven.TestData) string {
		t.Helper()
		var output string
		t.Run(strings.ReplaceAll(data.Pos, "/", "_"), func(t *testing.T) {
			output = faultCommands[data.Cmd](t, data)
		})
		return output
	})
}

var faultCommands = map[string]func(*testing.T, *datadriven.TestData) string{
	"stream": streamUnderFault, "silence": silence, "die": die, "refuse": refuse, "plain": plainUnderFault,
}

func streamUnderFault(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var kind string
	data.ScanArgs(t, "fault", &kind)
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("other"), &collected{})
	require.NoError(t, err)
	require.NoError(t, engine.SetFaults(standin.EngineFaults{
		Streams: map[standin.StreamFault]standin.Chance{standin.StreamFault(kind): {Next: 1}},
	}))
	sink := &collected{}
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	return tell(result, err, sink) + fmt.Sprintf("runs=%d\n", len(engine.Runs())-1)
}

// A retry that gets no upstream leaves nothing of unknown usage behind: what the
// first attempt used was proven.
func TestARefusedRetryChargesWhatTheFirstAttemptUsed(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{Upstreams: func(string) []configuration.Upstream {
		if len(engine.Runs()) > 1 {
			return nil
		}
		return []configuration.Upstream{upstreamAt(engine.Address())}
	}})
	_, err := dispatcher.Dispatch(t.Context(), modelWork("other"), &collected{})
	require.NoError(t, err)
	require.NoError(t, engine.SetFaults(standin.EngineFaults{
		Streams: map[standin.StreamFault]standin.Chance{standin.StreamWrongAttempt: {Rate: 1}},
	}))
	work := modelWork("one")
	result, err := dispatcher.Dispatch(t.Context(), work, &collected{})
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	require.Len(t, result.Attempts, 1)
	run := engine.Runs()[1]
	require.Equal(t, int64(run.PromptTokens+run.CompletionTokens), charge(work, result))
}

// silence makes the pooled connection silent before the request is sent.
func silence(t *testing.T, _ *datadriven.TestData) string {
	t.Helper()
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("other"), &collected{})
	require.NoError(t, err)
	engine.Silence()
	sink := &collected{}
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	return tell(result, err, sink) + fmt.Sprintf("runs=%d\n", len(engine.Runs())-1)
}

// die closes the engine behind some events, or before any.
func die(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var events int
	data.ScanArgs(t, "events", &events)
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 20 * time.Millisecond, PrefillPerToken: 20 * time.Millisecond})
	spare := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{Upstreams: ordered(engine, spare)})
	sink := &collected{}
	work := modelWork("one")
	if data.HasArg("extend") {
		work.Extend = func(context.Context, int64) error { return nil }
	}
	killer := &acting{Sink: sink, after: events, act: func() { _ = engine.Close() }}
	if events == 0 {
		go func() {
			for len(engine.Runs()) == 0 {
				time.Sleep(time.Millisecond)
			}
			_ = engine.Close()
		}()
	}
	result, err := dispatcher.Dispatch(t.Context(), work, killer)
	return tell(result, err, sink) + fmt.Sprintf("spare_runs=%d\n", len(spare.Runs()))
}

// ordered makes round_robin begin with the first engine.
func ordered(engines ...*standin.Engine) func(string) []configuration.Upstream {
	upstreams := make([]configuration.Upstream, 0, len(engines))
	for _, engine := range engines {
		upstreams = append(upstreams, upstreamAt(engine.Address()))
	}
	first := upstreams[:1]
	var calls atomic.Int64
	return func(string) []configuration.Upstream {
		if calls.Add(1) == 1 {
			return first
		}
		return upstreams
	}
}

// acting does something behind a number of events.
type acting struct {
	Sink
	act   func()
	after int
	seen  int
}

func (acting *acting) Event(event Event) error {
	acting.seen++
	if acting.seen == acting.after {
		acting.act()
	}
	return acting.Sink.Event(event)
}

func refuse(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	engines := []*standin.Engine{startEngine(t, standin.EngineConfig{}), startEngine(t, standin.EngineConfig{})}
	refusing := 0
	data.ScanArgs(t, "engines", &refusing)
	for _, engine := range engines[:refusing] {
		require.NoError(t, engine.SetFaults(standin.EngineFaults{Refuse: true}))
	}
	dispatcher := startDispatcher(t, Config{Upstreams: ordered(engines...)})
	sink := &collected{}
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	return tell(result, err, sink)
}

func plainUnderFault(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var faultName, method string
	data.ScanArgs(t, "fault", &faultName)
	data.ScanArgs(t, "method", &method)
	service, err := standin.NewService(standin.ServiceConfig{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, service.Close()) })
	dispatcher := startDispatcher(t, Config{}, upstreamAt(service.Address()))
	work := Work{RequestID: "one", Service: "desk", Method: method, Path: "/orders", Body: []byte("{}"), Idempotent: method == http.MethodGet}
	_, err = dispatcher.Dispatch(t.Context(), work, &collected{})
	require.NoError(t, err)
	switch faultName {
	case "drop":
		require.NoError(t, service.SetFaults(standin.ServiceFaults{DropNext: 1}))
	case "stall":
		require.NoError(t, service.SetFaults(standin.ServiceFaults{StallNext: 1}))
	case "silence":
		service.Silence()
	case "die":
		require.NoError(t, service.Close())
	}
	before := len(service.Runs().Runs)
	sink := &collected{}
	result, err := dispatcher.Dispatch(t.Context(), work, sink)
	return fmt.Sprintf("%s attempts=%d runs=%d status=%d kind=%s\n",
		result.Outcome, len(result.Attempts), len(service.Runs().Runs)-before, sink.head.Status, kindOf(err))
}

func kindOf(err error) string {
	if err == nil {
		return "none"
	}
	return string(fault.KindOf(err))
}

func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 20 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), &collected{limit: 2})
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	run := engine.Runs()[0]
	require.Equal(t, standin.AttemptCancelled, run.State)
	require.Less(t, run.CompletionTokens, maxTokens)
	require.Equal(t, Usage{PromptTokens: int64(run.PromptTokens), CompletionTokens: int64(run.CompletionTokens), Known: true}, result.Usage)
}

func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	sink := &collected{pace: 2 * shortBounds.GapTimeout / maxTokens}
	_, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	require.NoError(t, err)
	require.Equal(t, expectedText(), sink.text())
}

// longBounds leave it to the watch to notice a silent connection.
var longBounds = exchange.ClientConfig{
	FirstPartTimeout: time.Hour, GapTimeout: time.Hour, SuspectTimeout: 20 * time.Millisecond,
}

func TestSilentConnectionIsNoticedByAskingTheEngine(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{Exchange: longBounds}, upstreamAt(engine.Address()))
	for _, events := range []int{1, 3, maxTokens} {
		sink := &collected{}
		_, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint(events)), &acting{Sink: sink, after: events, act: engine.Silence})
		require.NoError(t, err)
		require.Equal(t, expectedText(), sink.text())
	}
	engine.Silence()
	sink := &collected{}
	_, err := dispatcher.Dispatch(t.Context(), modelWork("pooled"), sink)
	require.NoError(t, err)
	require.Equal(t, expectedText(), sink.text())
	require.Len(t, engine.Runs(), 4)
}

func TestSlowEngineIsNotTakenForASilentConnection(t *testing.T) {
	registry := prometheus.NewRegistry()
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 100 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{Exchange: longBounds, Registerer: registry}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("slow"), &collected{})
	require.NoError(t, err)
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		require.NotEqual(t, "wisterialb_dispatch_recoveries_total", family.GetName())
	}
}

func TestStreamPastItsReservationIsCancelled(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	work := modelWork("one")
	work.MaxTokens = work.PromptTokens + 2
	_, err := dispatcher.Dispatch(t.Context(), work, &collected{})
	require.Equal(t, fault.UpstreamFailed, fault.KindOf(err))
	require.Equal(t, standin.AttemptCancelled, engine.Runs()[0].State)
}

func TestResumeOnAnotherRouter(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	first := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	second := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	broken := &collected{}
	member := first.service("advice").pool.AcquireAddress(engine.Address())
	answer, err := member.Client().Send(t.Context(), exchange.Request{
		AttemptID: newAttemptID(modelWork("one")), Method: http.MethodPost, Path: "/v1/chat/completions", Body: modelWork("one").Body, ModelEngine: true,
	})
	require.NoError(t, err)
	for range 3 {
		part, err := answer.Next()
		require.NoError(t, err)
		require.NoError(t, broken.Event(Event(part)))
	}
	answer.Close()
	work := modelWork("one")
	work.Resume = ResumeToken{Upstream: engine.Address(), Attempt: engine.Runs()[0].Attempt, Position: 3}
	rest := &collected{}
	_, err = second.Dispatch(t.Context(), work, rest)
	require.NoError(t, err)
	require.Equal(t, expectedText(), broken.text()+rest.text())
	require.Len(t, engine.Runs(), 1)

	work.RequestID = "another"
	_, err = second.Dispatch(t.Context(), work, &collected{})
	require.Equal(t, fault.Invalid, fault.KindOf(err), "a token served another request")
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	engines := []*standin.Engine{startEngine(t, standin.EngineConfig{}), startEngine(t, standin.EngineConfig{})}
	both := []configuration.Upstream{upstreamAt(engines[0].Address()), upstreamAt(engines[1].Address())}
	drained := []configuration.Upstream{both[0], both[1]}
	drained[0].Draining = true
	var current atomic.Pointer[[]configuration.Upstream]
	current.Store(&both)
	var leaving atomic.Bool
	dispatcher := startDispatcher(t, Config{
		Upstreams: func(string) []configuration.Upstream { return *current.Load() },
		Leaving:   func(address string) bool { return leaving.Load() && address == both[1].Address },
	})
	var group sync.WaitGroup
	for index := range 8 {
		group.Go(func() {
			sink := &collected{}
			_, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint("load-", index)), sink)
			if err != nil || sink.text() != expectedText() {
				t.Errorf("work that ran while its upstream began to drain was cut off: %v", err)
			}
		})
	}
	require.Eventually(t, func() bool { return len(engines[0].Runs()) == 4 }, time.Minute, time.Millisecond)
	current.Store(&drained)
	before := len(engines[0].Runs())
	for index := range 4 {
		_, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint("later-", index)), &collected{})
		require.NoError(t, err)
	}
	require.Len(t, engines[0].Runs(), before)
	group.Wait()
	leaving.Store(true)
	_, err := dispatcher.Dispatch(t.Context(), modelWork("last"), &collected{})
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
}

func TestCloseWaitsForRunningWork(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	upstreams := []configuration.Upstream{upstreamAt(engine.Address())}
	dispatcher := NewDispatcher(Config{Upstreams: func(string) []configuration.Upstream { return upstreams }})
	sink, done := &collected{}, make(chan error, 1)
	go func() {
		_, err := dispatcher.Dispatch(context.Background(), modelWork("one"), sink)
		done <- err
	}()
	require.Eventually(t, func() bool { return len(engine.Runs()) == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, dispatcher.Close(context.Background()))
	require.NoError(t, <-done)
	require.Equal(t, expectedText(), sink.text())
	result, err := dispatcher.Dispatch(context.Background(), modelWork("two"), &collected{})
	require.Equal(t, fault.Draining, fault.KindOf(err))
	require.Equal(t, fault.NotRun, result.Outcome)
}
