package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func testConfig() Config {
	return Config{
		Seed:     7,
		Requests: 200,
		Rate:     1000,
		Teams: []Team{
			{Name: "large", Profile: "a", Weight: 3, ArrivalShare: 8},
			{Name: "small", Profile: "b", Weight: 1, ArrivalShare: 2},
		},
		Deadline:     10 * time.Second,
		StallTimeout: 2 * time.Second,
	}
}

// TestPlanDependsOnSeed checks that equal configurations give equal plans, that
// another seed gives another plan, and that arrivals follow the rate and shares.
func TestPlanDependsOnSeed(t *testing.T) {
	config := testConfig()
	config.Requests = 5000
	plan := Plan(config)
	assert.Equal(t, plan, Plan(config))
	assert.InDelta(t, 5, plan[len(plan)-1].ArrivalOffset.Seconds(), 0.5)
	large := 0
	for _, request := range plan {
		if request.Team.Name == "large" {
			large++
		}
	}
	assert.InDelta(t, 4000, large, 200)
	config.Seed++
	assert.NotEqual(t, plan, Plan(config))
}

// TestFindViolations checks that each result yields exactly the expected violation
// or none.
func TestFindViolations(t *testing.T) {
	config := testConfig()
	config.Mix = "model"
	stream := Plan(config)[0]
	config.Mix = "bookings"
	booking := Plan(config)[0]
	correctText := stream.expectedText()
	tests := []struct {
		violation Violation
		result    Result
		runs      int
	}{
		{"", Result{Request: stream, Outcome: fault.Answered, Text: correctText}, 1},
		{"", Result{Request: stream, Outcome: fault.Answered, Text: correctText}, 2},
		{"", Result{Request: stream, Outcome: fault.OutcomeUnknown}, 1},
		{"", Result{Request: stream, Outcome: fault.NotRun}, 0},
		{"", Result{Request: stream, Outcome: fault.NotRun, UnknownOutcomes: 1}, 1},
		{ViolationTruncated, Result{Request: stream, Outcome: fault.Answered, Text: correctText[:9]}, 1},
		{ViolationWrongAnswer, Result{Request: stream, Outcome: fault.Answered, Text: correctText + "x"}, 1},
		{ViolationStreamDisorder, Result{Request: stream, Outcome: fault.Answered, Text: correctText, StreamDisorder: true}, 1},
		{ViolationAnsweredWithoutRun, Result{Request: stream, Outcome: fault.Answered, Text: correctText}, 0},
		{ViolationRanAfterNotRun, Result{Request: stream, Outcome: fault.NotRun}, 1},
		{ViolationRanAfterNotRun, Result{Request: booking, Outcome: fault.NotRun, UnknownOutcomes: 1}, 1},
		{ViolationDuplicateRun, Result{Request: booking, Outcome: fault.OutcomeUnknown}, 2},
		{ViolationWrongAnswer, Result{Request: booking, Outcome: fault.Answered, Text: `{"request_id":"other"}`}, 1},
	}
	for _, test := range tests {
		var found []Violation
		for _, finding := range findViolations(test.result, test.runs) {
			found = append(found, finding.Violation)
		}
		var expected []Violation
		if test.violation != "" {
			expected = []Violation{test.violation}
		}
		assert.Equal(t, expected, found, "%v", test.result)
	}
}

// proxy is a minimal router that forwards requests to one engine or service.
type proxy struct {
	engine  *standin.Engine
	service *standin.Service
	address string
	// streamsToBreak is the number of streams still to interrupt part way.
	streamsToBreak int
}

func (proxy *proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/v1/entry" {
		_ = json.NewEncoder(writer).Encode(entryAnswer{Addresses: []string{proxy.address}, LifetimeMS: 1000})
		return
	}
	target := "http://" + proxy.engine.Address() + request.URL.Path
	if strings.HasPrefix(request.URL.Path, "/v1/services/") {
		target = "http://" + proxy.service.Address() + request.URL.Path
	}
	method := request.Method
	if resume := request.Header.Get(headerResume); resume != "" {
		method = http.MethodGet
		target = "http://" + proxy.engine.Address() + "/v1/attempts/" + resume + "/events?after=" + request.Header.Get(headerLastEvent)
	}
	forwarded, err := http.NewRequestWithContext(request.Context(), method, target, request.Body)
	if err != nil {
		panic(err)
	}
	forwarded.Header = request.Header.Clone()
	forwarded.Header.Set(standin.AttemptHeader, request.Header.Get(headerKey))
	response, err := http.DefaultClient.Do(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	writer.Header().Set(headerResume, request.Header.Get(headerKey))
	writer.WriteHeader(response.StatusCode)
	if proxy.streamsToBreak > 0 && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		proxy.streamsToBreak--
		_, _ = io.CopyN(writer, response.Body, 700)
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(writer, response.Body)
}

// TestRunResumesBrokenStreams checks that a run resumes interrupted streams
// without running a request twice.
func TestRunResumesBrokenStreams(t *testing.T) {
	engine, err := standin.NewEngine(standin.EngineConfig{Slots: 64, TokenInterval: time.Millisecond})
	require.NoError(t, err)
	service, err := standin.NewService(standin.ServiceConfig{})
	require.NoError(t, err)
	proxy := &proxy{engine: engine, service: service}
	server := httptest.NewServer(proxy)
	proxy.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		http.DefaultClient.CloseIdleConnections()
		assert.NoError(t, engine.Close())
		assert.NoError(t, service.Close())
	})
	config := testConfig()
	config.MaxInFlight = 1
	config.Rate = 20
	config.Requests = 20
	config.MaxTokens = 16
	config.Mix = "model"
	proxy.streamsToBreak = 3
	config.EntryAddresses = []string{proxy.address}
	config.Recorder = LocalRecorder{Engines: []*standin.Engine{engine}, Services: []*standin.Service{service}}
	var out bytes.Buffer
	report, err := Run(context.Background(), config, &out)
	require.NoError(t, err)
	assert.False(t, report.HasViolations(), out.String())
	assert.Equal(t, report.Requests, report.Outcomes[fault.Answered], out.String())
	assert.Equal(t, 3, report.Resumes)
	assert.Len(t, engine.Runs(), report.Requests)
	assert.Contains(t, out.String(), "first token")
}

func TestRunRejectsInvalidConfig(t *testing.T) {
	for _, modify := range []func(*Config){
		func(config *Config) { config.EntryAddresses = nil },
		func(config *Config) { config.Teams = nil },
		func(config *Config) { config.Mix = "none" },
		func(config *Config) { config.Rate = -1 },
		func(config *Config) { config.Requests = MaxRequests + 1 },
	} {
		config := testConfig()
		config.EntryAddresses = []string{"127.0.0.1:1"}
		modify(&config)
		_, err := Run(context.Background(), config, io.Discard)
		assert.True(t, fault.Is(err, fault.Invalid))
		assert.NotEmpty(t, fault.RemedyOf(err))
	}
}

func ExampleMixes() {
	fmt.Println(mixNames())
	// Output: bookings, desk, mixed, model
}

// FuzzSSE checks that the reader terminates on any input, that errors other than
// io.EOF need an input longer than the initial line buffer, and that the number of
// events is bounded by the number of line ends and blank lines.
func FuzzSSE(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("event: error\ndata: {}\n\ndata: [DONE]\n\n")
	f.Add("data: cut")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := newSSEReader(strings.NewReader(stream))
		events := 0
		for {
			_, err := reader.next()
			if err != nil {
				if !errors.Is(err, io.EOF) {
					assert.Greater(t, len(stream), initialLineBytes)
				}
				break
			}
			events++
		}
		blank := strings.Count(strings.ReplaceAll(stream, "\r\n", "\n"), "\n\n")
		assert.LessOrEqual(t, events, blank+strings.Count(stream, "\n"))
	})
}
