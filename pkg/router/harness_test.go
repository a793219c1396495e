package router_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/completion"
	"gitlab.com/wisterialb/wisterialb/pkg/demo"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const testTimeout = time.Minute

// testFleet is a fleet of three routers with a published configuration, for one
// test.
type testFleet struct {
	*demo.Fleet
	t   *testing.T
	ctx context.Context
}

func startFleet(t *testing.T, limit int64, engine standin.EngineConfig) *testFleet {
	t.Helper()
	engine.Name = "engine-1"
	return startFleetWithEngines(t, limit, engine)
}

func startFleetWithEngines(t *testing.T, limit int64, engines ...standin.EngineConfig) *testFleet {
	t.Helper()
	return startFleetWithDrainTimeout(t, limit, settings.Defaults().DrainTimeout, engines...)
}

func startFleetWithDrainTimeout(t *testing.T, limit int64, drainTimeout time.Duration, engines ...standin.EngineConfig) *testFleet {
	t.Helper()
	return startFleetAdjusted(t, limit, func(_ int, settings settings.Settings) settings.Settings {
		settings.DrainTimeout = drainTimeout
		return settings
	}, engines...)
}

// startFleetAdjusted starts a fleet whose settings adjust changes, after the
// intervals of the tests were set.
func startFleetAdjusted(
	t *testing.T, limit int64, adjust func(index int, settings settings.Settings) settings.Settings, engines ...standin.EngineConfig,
) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	fleet, err := demo.StartFleet(demo.FleetConfig{
		Zones:    []string{"varnamo", "gislaved", "jonkoping"},
		Engines:  engines,
		Services: 1,
		Adjust: func(index int, settings settings.Settings) settings.Settings {
			settings.PollInterval = 50 * time.Millisecond
			settings.SettleInterval = 50 * time.Millisecond
			settings.Horizon = time.Second
			return adjust(index, settings)
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		assert.NoError(t, fleet.Platform.SetFaults(standin.PlatformFaults{}))
		assert.NoError(t, fleet.Close(context.Background()))
	})
	require.NoError(t, fleet.WaitLive(ctx))
	require.NoError(t, fleet.Publish(ctx, limit))
	return &testFleet{Fleet: fleet, t: t, ctx: ctx}
}

// call describes a caller's request. An empty key makes the router generate one.
type call struct {
	routerIndex int
	path        string
	key         string
	body        string
	header      map[string]string
}

func (fleet *testFleet) send(call call) *http.Response {
	fleet.t.Helper()
	url := "http://" + fleet.Routers[call.routerIndex].CallerAddress() + call.path
	request, err := http.NewRequestWithContext(fleet.ctx, http.MethodPost, url, strings.NewReader(call.body))
	require.NoError(fleet.t, err)
	request.Header.Set("Authorization", "Bearer "+demo.CallerToken)
	request.Header.Set("Wisterialb-Profile", demo.ProfileName)
	request.Header.Set("Idempotency-Key", call.key)
	for name, value := range call.header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	require.NoError(fleet.t, err)
	fleet.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// openStream sends a streamed completion request and returns the open stream.
func (fleet *testFleet) openStream(call call, prompt string, maxTokens int) *eventStream {
	fleet.t.Helper()
	call.path = "/v1/chat/completions"
	call.body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, demo.ModelName, maxTokens, prompt)
	response := fleet.send(call)
	return &eventStream{response: response, scanner: bufio.NewScanner(response.Body)}
}

func (fleet *testFleet) sendBooking(call call) (fault.Outcome, string) {
	fleet.t.Helper()
	call.path = "/v1/services/" + demo.OrderService + "/bookings"
	response := fleet.send(call)
	body, err := io.ReadAll(response.Body)
	require.NoError(fleet.t, err)
	return fault.Outcome(response.Header.Get("Wisterialb-Outcome")), string(body)
}

func (fleet *testFleet) statement() budget.Statement {
	fleet.t.Helper()
	statement, err := fleet.operator().Budget(fleet.ctx, demo.ProfileName)
	require.NoError(fleet.t, err)
	var granted int64
	for _, holder := range statement.Holders {
		granted += holder.GrantedTokens
	}
	require.Equal(fleet.t, statement.LimitTokens, statement.FreeTokens+granted+statement.SettledTokens)
	require.Equal(fleet.t, statement.SettledTokens, statement.BillTokens+statement.WasteTokens+statement.UnattributedTokens)
	return statement
}

func (fleet *testFleet) billLines() []budget.Line {
	fleet.t.Helper()
	lines, _, err := fleet.operator().Bills(fleet.ctx, demo.ProfileName, operator.Page{Limit: 1000})
	require.NoError(fleet.t, err)
	return lines
}

func (fleet *testFleet) operator() *operator.Client {
	fleet.t.Helper()
	client, err := fleet.Operator()
	require.NoError(fleet.t, err)
	return client
}

// usedTokens returns the sum of the tokens that the engines report as used.
func (fleet *testFleet) usedTokens() int64 {
	var used int64
	for _, engine := range fleet.Engines {
		for _, run := range engine.Runs() {
			used += int64(run.PromptTokens + run.CompletionTokens)
		}
	}
	return used
}

// eventStream reads the events of a streamed answer.
type eventStream struct {
	response    *http.Response
	scanner     *bufio.Scanner
	lastEventID string
}

// next returns the content of the next event. At the end of the stream, more is false
// and end tells how it ended: "[DONE]" for a complete stream, the outcome for an error
// event, "malformed" for an event that cannot be parsed, or empty for an interrupted
// stream.
func (stream *eventStream) next() (content, end string, more bool) {
	isError := false
	for stream.scanner.Scan() {
		line := stream.scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			stream.lastEventID = id
		}
		isError = isError || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == completion.DoneMarker {
			return "", data, false
		}
		if isError {
			var body fault.Body
			_ = json.Unmarshal([]byte(data), &body)
			return "", string(body.Error.Outcome), false
		}
		chunk, err := completion.ParseChunk([]byte(data))
		if err != nil {
			return "", "malformed", false
		}
		for _, choice := range chunk.Choices {
			content += choice.Delta.Content
		}
		return content, "", true
	}
	return "", "", false
}

func (stream *eventStream) readEvents(count int) string {
	text := ""
	for range count {
		content, _, more := stream.next()
		if !more {
			break
		}
		text += content
	}
	return text
}

func (stream *eventStream) readRemaining() (text, end string) {
	for {
		content, end, more := stream.next()
		text += content
		if !more {
			return text, end
		}
	}
}
