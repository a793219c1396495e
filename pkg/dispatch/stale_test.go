package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// Guards against taking a refusal that an engine repeats on a kept connection for one
// of the request that it runs: the request would run a second time, its tokens would
// not be charged, or its caller would be told that it has not run.
func TestRepeatedRefusalDoesNotMeanNotRun(t *testing.T) {
	engine := startEngine(t, standin.EngineConfig{})
	dispatcher := startDispatcher(t, Config{}, upstreamAt(engine.Address()))
	_, err := dispatcher.Dispatch(t.Context(), modelWork("before"), &recordingSink{})
	require.NoError(t, err) // and leaves a kept connection
	require.NoError(t, engine.SetFaults(standin.EngineFaults{RepeatRefusals: 1}))
	result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), &recordingSink{})
	require.NoError(t, err)
	require.Zero(t, engine.Faults().RepeatRefusals)
	require.Equal(t, fault.Answered, result.Outcome)
	require.Len(t, result.Attempts, 1)
	runs := engine.Runs()
	require.Len(t, runs, 2)
	require.EqualValues(t, runs[1].PromptTokens+runs[1].CompletionTokens, result.Usage.Tokens())
}

// brokenEngine sends one event of a stream and closes the connection, and answers the
// request for the rest as resume does.
func brokenEngine(t *testing.T, resume http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		attemptID := request.Header.Get(exchange.HeaderAttempt)
		if attemptID == "" {
			attemptID = strings.Split(request.URL.Path+"///", "/")[3]
		}
		writer.Header().Set(exchange.HeaderAttempt, attemptID)
		switch {
		case request.Method == http.MethodPost && !strings.HasSuffix(request.URL.Path, "/cancel"):
			writer.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(writer, "id: 1\ndata: first\n\nid: 2\nda")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		case strings.HasSuffix(request.URL.Path, "/events"):
			resume(writer, request)
		default:
			writer.WriteHeader(http.StatusNotFound)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// resumeAnswers are answers to a request for the rest of a stream, and the events that
// the caller then has.
var resumeAnswers = []struct {
	name, contentType, body string
	status                  int
	events                  string
	complete                bool
}{
	{name: "error", status: 500, contentType: "text/plain", body: "data: error\n\n", events: "first"},
	{name: "error that says it is a stream", status: 500, contentType: "text/event-stream", body: "data: error\n\ndata: [DONE]\n\n", events: "first"},
	{name: "refusal", status: 503, contentType: "text/event-stream", body: "data: [DONE]\n\n", events: "first"},
	{name: "plain body", status: 200, contentType: "text/plain", body: "id: 2\ndata: plain\n\ndata: [DONE]\n\n", events: "first"},
	{name: "empty body", status: 200, contentType: "text/event-stream", events: "first"},
	{name: "gap", status: 200, contentType: "text/event-stream", body: "id: 3\ndata: third\n\ndata: [DONE]\n\n", events: "first"},
	{name: "head of another answer", status: 200, contentType: "text/event-stream", body: "HTTP/1.1 503 Service Unavailable\r\n\r\ndata: [DONE]\n", events: "first"},
	{name: "event before", status: 200, contentType: "text/event-stream", body: "id: 1\ndata: first\n\nid: 2\ndata: second\n\ndata: [DONE]\n\n", events: "first second", complete: true},
}

// Guards against an error, another body or a false end in a stream that had begun and
// broke off: only the attempt's own next events may follow.
func TestBegunStreamContinuesOnlyWithItsOwnEvents(t *testing.T) {
	for _, answer := range resumeAnswers {
		t.Run(answer.name, func(t *testing.T) {
			resume := func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Type", answer.contentType)
				writer.WriteHeader(answer.status)
				_, _ = io.WriteString(writer, answer.body)
			}
			dispatcher := startDispatcher(t, Config{}, upstreamAt(brokenEngine(t, resume)), upstreamAt(brokenEngine(t, resume)))
			sink := &recordingSink{}
			result, err := dispatcher.Dispatch(t.Context(), modelWork("one"), sink)
			var events []string
			for _, event := range sink.events {
				events = append(events, string(event.Data))
			}
			require.Equal(t, answer.events, strings.Join(events, " "))
			require.Len(t, result.Attempts, 1, "a stream that has begun is not begun again elsewhere")
			if answer.complete {
				require.NoError(t, err)
				return
			}
			require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
			require.Equal(t, fault.ResponseLost, fault.KindOf(err))
		})
	}
}
