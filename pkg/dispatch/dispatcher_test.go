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
	prompt          = "Which ring fits a pot of 22 cm?"
	maxPromptTokens = 64
	maxTokens       = 12
)

// recordingSink records the answer that it receives.
type recordingSink struct {
	head   Head
	events []Event
	// disconnectAfter is the number of events after which the caller disconnects;
	// zero means never.
	disconnectAfter int
	// eventDelay is the time that the caller takes to receive an event.
	eventDelay time.Duration
}

func (recordingSink *recordingSink) Head(head Head) error {
	recordingSink.head = head
	return nil
}

func (recordingSink *recordingSink) Event(event Event) error {
	time.Sleep(recordingSink.eventDelay)
	recordingSink.events = append(recordingSink.events, event)
	if len(recordingSink.events) == recordingSink.disconnectAfter {
		return errors.New("caller is gone")
	}
	return nil
}

// text returns the concatenated content of the chunks.
func (recordingSink *recordingSink) text() string {
	var text strings.Builder
	for _, event := range recordingSink.events {
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

// shortTimeouts keep the tests fast; no result depends on the exact values.
var shortTimeouts = exchange.ClientConfig{
	FirstPartTimeout: time.Second, GapTimeout: time.Second, ControlTimeout: time.Second,
}

func startDispatcher(t *testing.T, config Config, upstreams ...configuration.Upstream) *UpstreamDispatcher {
	t.Helper()
	if config.Upstreams == nil {
		config.Upstreams = func(string) []configuration.Upstream { return upstreams }
	}
	if config.Exchange.FirstPartTimeout == 0 {
		config.Exchange = shortTimeouts
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
		RequestID: id, Profile: "homes", Team: "team", Weight: 1, Service: "advice", ModelEngine: true, Idempotent: true,
		Deadline: time.Now().Add(time.Minute), Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(body), MaxPromptTokens: maxPromptTokens, ReservedTokens: maxPromptTokens + maxTokens,
	}
}

func expectedText() string {
	return standin.Answer(standin.PromptOf([]standin.Message{{Role: "user", Content: prompt}}), maxTokens)
}

// formatResult describes the result of a request in one line.
func formatResult(result Result, err error, sink *recordingSink) string {
	if err != nil {
		return fmt.Sprintf("%s kind=%s attempts=%d waste_unknown=%t\n", result.Outcome, fault.KindOf(err), len(result.Attempts), result.WasteUnknown)
	}
	complete := sink.text() == expectedText() && int64(len(sink.events)) == sink.events[len(sink.events)-1].Position
	return fmt.Sprintf("%s whole=%t attempts=%d usage=%d waste=%d waste_unknown=%t\n",
		result.Outcome, complete, len(result.Attempts), result.Usage.Tokens(), result.WasteTokens, result.WasteUnknown)
}

// TestFaults injects each upstream fault in testdata/faults and checks the result
// of the request and how often it ran.
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
	"stream": streamUnderFault, "silence": streamOnStalledConnection, "die": closeEngineDuringStream, "refuse": streamWithRefusals, "plain": plainUnderFault,
}

func streamUnderFault(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var kind string
	data.ScanArgs(t, "fault", &kind)
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("other"), &recordingSink{})
	require.NoError(t, err)
	require.NoError(t, engine.SetFaults(standin.EngineFaults{
		Streams: map[standin.StreamFault]standin.FaultFrequency{standin.StreamFault(kind): {NextCount: 1}},
	}))
	sink := &recordingSink{}
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	return formatResult(result, err, sink) + fmt.Sprintf("runs=%d\n", len(engine.Runs())-1)
}

// TestRetryWithoutUpstreamChargesOnlyTheFirstAttempt guards against charging the whole
// reservation when a retry finds no upstream although the usage of the first
// attempt is known.
func TestRetryWithoutUpstreamChargesOnlyTheFirstAttempt(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{Upstreams: func(string) []configuration.Upstream {
		if len(engine.Runs()) > 1 {
			return nil
		}
		return []configuration.Upstream{upstreamAt(engine.Address())}
	}})
	_, err := dispatcher.Dispatch(t.Context(), modelWork("other"), &recordingSink{})
	require.NoError(t, err)
	require.NoError(t, engine.SetFaults(standin.EngineFaults{
		Streams: map[standin.StreamFault]standin.FaultFrequency{standin.StreamWrongAttempt: {Rate: 1}},
	}))
	work := modelWork("one")
	result, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	require.Len(t, result.Attempts, 1)
	run := engine.Runs()[1]
	require.Equal(t, int64(run.PromptTokens+run.CompletionTokens), tokensToCharge(work, result))
}

// streamOnStalledConnection makes the pooled connection stall before the request is
// sent on it.
func streamOnStalledConnection(t *testing.T, _ *datadriven.TestData) string {
	t.Helper()
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("other"), &recordingSink{})
	require.NoError(t, err)
	engine.BlackholeConnections()
	sink := &recordingSink{}
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	return formatResult(result, err, sink) + fmt.Sprintf("runs=%d\n", len(engine.Runs())-1)
}

// closeEngineDuringStream closes the engine after the given number of events; zero
// means before the first one.
func closeEngineDuringStream(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var events int
	data.ScanArgs(t, "events", &events)
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 20 * time.Millisecond, PrefillPerToken: 20 * time.Millisecond})
	spareEngine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{Upstreams: upstreamsStartingWithFirst(engine, spareEngine)})
	sink := &recordingSink{}
	work := modelWork("one")
	if data.HasArg("extend") {
		work.Extend = func(context.Context, int64) error { return nil }
	}
	closingSink := &actionSink{Sink: sink, afterEvents: events, action: func() { _ = engine.Close() }}
	if events == 0 {
		go func() {
			for len(engine.Runs()) == 0 {
				time.Sleep(time.Millisecond)
			}
			_ = engine.Close()
		}()
	}
	result, err := dispatcher.Dispatch(t.Context(), work, closingSink)
	return formatResult(result, err, sink) + fmt.Sprintf("spare_runs=%d\n", len(spareEngine.Runs()))
}

// upstreamsStartingWithFirst returns only the first engine on the first call, so
// that round_robin starts with it.
func upstreamsStartingWithFirst(engines ...*standin.Engine) func(string) []configuration.Upstream {
	upstreams := make([]configuration.Upstream, 0, len(engines))
	for _, engine := range engines {
		upstreams = append(upstreams, upstreamAt(engine.Address()))
	}
	firstOnly := upstreams[:1]
	var calls atomic.Int64
	return func(string) []configuration.Upstream {
		if calls.Add(1) == 1 {
			return firstOnly
		}
		return upstreams
	}
}

// actionSink runs an action after a number of events.
type actionSink struct {
	Sink
	action      func()
	afterEvents int
	eventCount  int
}

func (actionSink *actionSink) Event(event Event) error {
	actionSink.eventCount++
	if actionSink.eventCount == actionSink.afterEvents {
		actionSink.action()
	}
	return actionSink.Sink.Event(event)
}

func streamWithRefusals(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	engines := []*standin.Engine{startEngine(t, standin.EngineConfig{}), startEngine(t, standin.EngineConfig{})}
	refusing := 0
	data.ScanArgs(t, "engines", &refusing)
	for _, engine := range engines[:refusing] {
		require.NoError(t, engine.SetFaults(standin.EngineFaults{Refuse: true}))
	}
	dispatcher := startDispatcher(t, Config{Upstreams: upstreamsStartingWithFirst(engines...)})
	sink := &recordingSink{}
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	return formatResult(result, err, sink)
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
	_, err = dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.NoError(t, err)
	switch faultName {
	case "drop":
		require.NoError(t, service.SetFaults(standin.ServiceFaults{DropNext: 1}))
	case "stall":
		require.NoError(t, service.SetFaults(standin.ServiceFaults{StallNext: 1}))
	case "silence":
		service.BlackholeConnections()
	case "die":
		require.NoError(t, service.Close())
	}
	runsBefore := len(service.Runs().Runs)
	sink := &recordingSink{}
	result, err := dispatcher.Dispatch(t.Context(), work, sink)
	return fmt.Sprintf("%s attempts=%d runs=%d status=%d kind=%s\n",
		result.Outcome, len(result.Attempts), len(service.Runs().Runs)-runsBefore, sink.head.Status, kindOf(err))
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
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), &recordingSink{disconnectAfter: 2})
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	run := engine.Runs()[0]
	require.Equal(t, standin.AttemptCancelled, run.State)
	require.Less(t, run.CompletionTokens, maxTokens)
	require.Equal(t, Usage{PromptTokens: int64(run.PromptTokens), CompletionTokens: int64(run.CompletionTokens), Known: true}, result.Usage)
}

func TestSlowCallerGetsTheCompleteAnswer(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	sink := &recordingSink{eventDelay: 2 * shortTimeouts.GapTimeout / maxTokens}
	_, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
	require.NoError(t, err)
	require.Equal(t, expectedText(), sink.text())
}

// longTimeouts leave the detection of a stalled connection to the query of the
// attempt's record that is sent after SuspectTimeout.
var longTimeouts = exchange.ClientConfig{
	FirstPartTimeout: time.Hour, GapTimeout: time.Hour, SuspectTimeout: 20 * time.Millisecond,
}

func TestEngineQueryDetectsStalledConnection(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{Exchange: longTimeouts}, upstreamAt(engine.Address()))
	for _, events := range []int{1, 3, maxTokens} {
		sink := &recordingSink{}
		_, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint(events)), &actionSink{Sink: sink, afterEvents: events, action: engine.BlackholeConnections})
		require.NoError(t, err)
		require.Equal(t, expectedText(), sink.text())
	}
	engine.BlackholeConnections()
	sink := &recordingSink{}
	_, err := dispatcher.Dispatch(t.Context(), modelWork("pooled"), sink)
	require.NoError(t, err)
	require.Equal(t, expectedText(), sink.text())
	require.Len(t, engine.Runs(), 4)
}

func TestSlowEngineIsNotMistakenForStalledConnection(t *testing.T) {
	registry := prometheus.NewRegistry()
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 100 * time.Millisecond})
	dispatcher := startDispatcher(t, Config{Exchange: longTimeouts, Registerer: registry}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("slow"), &recordingSink{})
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
	work.ReservedTokens = work.MaxPromptTokens + 2
	_, err := dispatcher.Dispatch(t.Context(), work, &recordingSink{})
	require.Equal(t, fault.UpstreamFailed, fault.KindOf(err))
	require.Equal(t, standin.AttemptCancelled, engine.Runs()[0].State)
}

func TestResumeOnAnotherRouter(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	firstRouter := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	secondRouter := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	receivedBeforeResume := &recordingSink{}
	member := firstRouter.serviceFor("advice").pool.AcquireAddress(engine.Address())
	answer, err := member.Client().Send(t.Context(), exchange.Request{
		AttemptID: newAttemptID(modelWork("one")), Method: http.MethodPost, Path: "/v1/chat/completions", Body: modelWork("one").Body, ModelEngine: true,
	})
	require.NoError(t, err)
	for range 3 {
		part, err := answer.Next()
		require.NoError(t, err)
		require.NoError(t, receivedBeforeResume.Event(Event{Position: part.Position, Data: part.Data}))
	}
	answer.Close()
	work := modelWork("one")
	work.Resume = ResumeToken{UpstreamAddress: engine.Address(), AttemptID: engine.Runs()[0].AttemptID, Position: 3}
	receivedAfterResume := &recordingSink{}
	_, err = secondRouter.Dispatch(t.Context(), work, receivedAfterResume)
	require.NoError(t, err)
	require.Equal(t, expectedText(), receivedBeforeResume.text()+receivedAfterResume.text())
	require.Len(t, engine.Runs(), 1)

	work.RequestID = "another"
	_, err = secondRouter.Dispatch(t.Context(), work, &recordingSink{})
	require.Equal(t, fault.Invalid, fault.KindOf(err), "a resume token was accepted for another request")
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	engines := []*standin.Engine{startEngine(t, standin.EngineConfig{}), startEngine(t, standin.EngineConfig{})}
	active := []configuration.Upstream{upstreamAt(engines[0].Address()), upstreamAt(engines[1].Address())}
	firstDraining := []configuration.Upstream{active[0], active[1]}
	firstDraining[0].Draining = true
	var current atomic.Pointer[[]configuration.Upstream]
	current.Store(&active)
	var leaving atomic.Bool
	dispatcher := startDispatcher(t, Config{
		Upstreams: func(string) []configuration.Upstream { return *current.Load() },
		IsLeaving: func(address string) bool { return leaving.Load() && address == active[1].Address },
	})
	var group sync.WaitGroup
	for index := range 8 {
		group.Go(func() {
			sink := &recordingSink{}
			_, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint("load-", index)), sink)
			if err != nil || sink.text() != expectedText() {
				t.Errorf("a request that was running when its upstream began to drain failed: %v", err)
			}
		})
	}
	require.Eventually(t, func() bool { return len(engines[0].Runs()) == 4 }, time.Minute, time.Millisecond)
	current.Store(&firstDraining)
	runsBefore := len(engines[0].Runs())
	for index := range 4 {
		_, err := dispatcher.Dispatch(t.Context(), modelWork(fmt.Sprint("later-", index)), &recordingSink{})
		require.NoError(t, err)
	}
	require.Len(t, engines[0].Runs(), runsBefore)
	group.Wait()
	leaving.Store(true)
	_, err := dispatcher.Dispatch(t.Context(), modelWork("last"), &recordingSink{})
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
}

func TestCloseWaitsForRunningWork(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{TokenInterval: 5 * time.Millisecond})
	upstreams := []configuration.Upstream{upstreamAt(engine.Address())}
	dispatcher := NewDispatcher(Config{Upstreams: func(string) []configuration.Upstream { return upstreams }})
	sink, done := &recordingSink{}, make(chan error, 1)
	go func() {
		_, err := dispatcher.Dispatch(context.Background(), modelWork("one"), sink)
		done <- err
	}()
	require.Eventually(t, func() bool { return len(engine.Runs()) == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, dispatcher.Close(context.Background()))
	require.NoError(t, <-done)
	require.Equal(t, expectedText(), sink.text())
	result, err := dispatcher.Dispatch(context.Background(), modelWork("two"), &recordingSink{})
	require.Equal(t, fault.Draining, fault.KindOf(err))
	require.Equal(t, fault.NotRun, result.Outcome)
}
