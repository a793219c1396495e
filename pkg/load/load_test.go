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
			{Name: "large", Profile: "a", Weight: 3, Share: 8},
			{Name: "small", Profile: "b", Weight: 1, Share: 2},
		},
		Deadline: 10 * time.Second,
		Stall:    2 * time.Second,
	}
}

// TestPlanIsSeeded checks that a plan is a function of its configuration, and
// follows the rate and the shares.
func TestPlanIsSeeded(t *testing.T) {
	config := testConfig()
	config.Requests = 5000
	plan := Plan(config)
	assert.Equal(t, plan, Plan(config))
	assert.InDelta(t, 5, plan[len(plan)-1].At.Seconds(), 0.5)
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

// TestJudge checks that each violation is found, and no other.
func TestJudge(t *testing.T) {
	config := testConfig()
	config.Mix = "model"
	stream := Plan(config)[0]
	config.Mix = "bookings"
	booking := Plan(config)[0]
	right := stream.expected()
	tests := []struct {
		violation Violation
		result    Result
		runs      int
	}{
		{"", Result{Request: stream, Outcome: fault.Answered, Text: right}, 1},
		{"", Result{Request: stream, Outcome: fault.Answered, Text: right}, 2},
		{"", Result{Request: stream, Outcome: fault.OutcomeUnknown}, 1},
		{"", Result{Request: stream, Outcome: fault.NotRun}, 0},
		{"", Result{Request: stream, Outcome: fault.NotRun, Unknowns: 1}, 1},
		{ViolationTruncated, Result{Request: stream, Outcome: fault.Answered, Text: right[:9]}, 1},
		{ViolationMixed, Result{Request: stream, Outcome: fault.Answered, Text: right + "x"}, 1},
		{ViolationDisorder, Result{Request: stream, Outcome: fault.Answered, Text: right, Disorder: true}, 1},
		{ViolationUnrecorded, Result{Request: stream, Outcome: fault.Answered, Text: right}, 0},
		{ViolationRan, Result{Request: stream, Outcome: fault.NotRun}, 1},
		{ViolationRan, Result{Request: booking, Outcome: fault.NotRun, Unknowns: 1}, 1},
		{ViolationDoubled, Result{Request: booking, Outcome: fault.OutcomeUnknown}, 2},
		{ViolationMixed, Result{Request: booking, Outcome: fault.Answered, Text: `{"request_id":"other"}`}, 1},
	}
	for _, test := range tests {
		var found []Violation
		for _, finding := range judge(test.result, test.runs) {
			found = append(found, finding.Violation)
		}
		var expected []Violation
		if test.violation != "" {
			expected = []Violation{test.violation}
		}
		assert.Equal(t, expected, found, "%v", test.result)
	}
}

// relay is a router in small that hands requests to one engine or service.
type relay struct {
	engine  *standin.Engine
	service *standin.Service
	address string
	// breakNext is how many of the next streams are broken off half way.
	breakNext int
}

func (relay *relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/v1/entry" {
		_ = json.NewEncoder(writer).Encode(entryAnswer{Addresses: []string{relay.address}, LifetimeMS: 1000})
		return
	}
	target := "http://" + relay.engine.Address() + request.URL.Path
	if strings.HasPrefix(request.URL.Path, "/v1/services/") {
		target = "http://" + relay.service.Address() + request.URL.Path
	}
	method := request.Method
	if resume := request.Header.Get(headerResume); resume != "" {
		method = http.MethodGet
		target = "http://" + relay.engine.Address() + "/v1/attempts/" + resume + "/events?after=" + request.Header.Get(headerLastEvent)
	}
	onward, err := http.NewRequestWithContext(request.Context(), method, target, request.Body)
	if err != nil {
		panic(err)
	}
	onward.Header = request.Header.Clone()
	onward.Header.Set(standin.AttemptHeader, request.Header.Get(headerKey))
	response, err := http.DefaultClient.Do(onward)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	writer.Header().Set(headerResume, request.Header.Get(headerKey))
	writer.WriteHeader(response.StatusCode)
	if relay.breakNext > 0 && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		relay.breakNext--
		_, _ = io.CopyN(writer, response.Body, 700)
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(writer, response.Body)
}

// TestRunResumesBrokenStreams checks a whole run, in which broken streams are
// resumed and nothing runs twice.
func TestRunResumesBrokenStreams(t *testing.T) {
	engine, err := standin.NewEngine(standin.EngineConfig{Slots: 64, TokenInterval: time.Millisecond})
	require.NoError(t, err)
	service, err := standin.NewService(standin.ServiceConfig{})
	require.NoError(t, err)
	relay := &relay{engine: engine, service: service}
	server := httptest.NewServer(relay)
	relay.address = server.Listener.Addr().String()
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
	relay.breakNext = 3
	config.Entries = []string{relay.address}
	config.Recorder = LocalRecorder{Engines: []*standin.Engine{engine}, Services: []*standin.Service{service}}
	var out bytes.Buffer
	report, err := Run(context.Background(), config, &out)
	require.NoError(t, err)
	assert.False(t, report.Broken(), out.String())
	assert.Equal(t, report.Requests, report.Outcomes[fault.Answered], out.String())
	assert.Equal(t, 3, report.Resumes)
	assert.Len(t, engine.Runs(), report.Requests)
	assert.Contains(t, out.String(), "first token")
}

func TestRunRefusesABadConfiguration(t *testing.T) {
	for _, change := range []func(*Config){
		func(config *Config) { config.Entries = nil },
		func(config *Config) { config.Teams = nil },
		func(config *Config) { config.Mix = "none" },
		func(config *Config) { config.Rate = -1 },
		func(config *Config) { config.Requests = MaxRequests + 1 },
	} {
		config := testConfig()
		config.Entries = []string{"127.0.0.1:1"}
		change(&config)
		_, err := Run(context.Background(), config, io.Discard)
		assert.True(t, fault.Is(err, fault.Invalid))
		assert.NotEmpty(t, fault.RemedyOf(err))
	}
}

func ExampleMixes() {
	fmt.Println(mixNames())
	// Output: bookings, desk, mixed, model
}

// FuzzSSE checks that the reader ends on any stream, and that it gives no event
// whose blank line is missing.
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
					assert.Greater(t, len(stream), lineBuffer)
				}
				break
			}
			events++
		}
		blank := strings.Count(strings.ReplaceAll(stream, "\r\n", "\n"), "\n\n")
		assert.LessOrEqual(t, events, blank+strings.Count(stream, "\n"))
	})
}
