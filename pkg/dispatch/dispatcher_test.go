package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// collected is a sink that keeps what it is given.
type collected struct {
	head   Head
	events []Event
	// limit makes the caller go away behind that many events.
	limit int
}

func (collected *collected) Head(head Head) error {
	collected.head = head
	return nil
}

func (collected *collected) Event(event Event) error {
	collected.events = append(collected.events, event)
	if len(collected.events) == collected.limit {
		return errors.New("caller is gone")
	}
	return nil
}

func writeEvents(writer http.ResponseWriter, from, to int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for id := from; id <= to; id++ {
		fmt.Fprintf(writer, "id: %d\ndata: {\"n\":%d}\n\n", id, id)
	}
	_ = http.NewResponseController(writer).Flush()
}

func writeEnd(writer http.ResponseWriter, id int) {
	fmt.Fprintf(writer, "id: %d\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", id, id-1)
}

func startEngine(t *testing.T, handler http.Handler) configuration.Upstream {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return configuration.Upstream{Name: "one", Service: "advice", Address: strings.TrimPrefix(server.URL, "http://")}
}

func startDispatcher(t *testing.T, config Config, upstreams ...configuration.Upstream) *UpstreamDispatcher {
	t.Helper()
	config.Upstreams = func(string) []configuration.Upstream { return upstreams }
	dispatcher := NewDispatcher(config)
	t.Cleanup(func() { require.NoError(t, dispatcher.Close(context.Background())) })
	return dispatcher
}

func modelWork() Work {
	return Work{
		RequestID: "request-1", Team: "team", Weight: 1, Service: "advice", Model: true, Idempotent: true,
		Deadline: time.Now().Add(time.Minute), Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(`{"stream":true}`), MaxTokens: 1000,
	}
}

func TestStreamIsDeliveredWhole(t *testing.T) {
	upstream := startEngine(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writeEvents(writer, 1, 4)
		writeEnd(writer, 5)
	}))
	dispatcher := startDispatcher(t, Config{}, upstream)
	sink := &collected{}
	result, err := dispatcher.Dispatch(context.Background(), modelWork(), sink)
	require.NoError(t, err)
	require.Equal(t, fault.Answered, result.Outcome)
	require.Equal(t, Usage{PromptTokens: 3, CompletionTokens: 4, Known: true}, result.Usage)
	require.Len(t, sink.events, 5)
	require.Equal(t, upstream.Address, sink.head.Resume.Upstream)
}

func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	upstream := startEngine(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/cancel") {
			fmt.Fprint(writer, `{"state":"cancelled","prompt_tokens":3,"completion_tokens":2}`)
			return
		}
		writeEvents(writer, 1, 2)
		<-request.Context().Done()
	}))
	dispatcher := startDispatcher(t, Config{}, upstream)
	result, err := dispatcher.Dispatch(context.Background(), modelWork(), &collected{limit: 2})
	require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	require.Equal(t, Usage{PromptTokens: 3, CompletionTokens: 2, Known: true}, result.Usage)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	upstream := configuration.Upstream{Name: "gone", Service: "advice", Address: "127.0.0.1:1"}
	dispatcher := startDispatcher(t, Config{}, upstream)
	result, err := dispatcher.Dispatch(context.Background(), modelWork(), &collected{})
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	require.Equal(t, fault.NotRun, result.Outcome)
}
