package router_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/demo"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// replaceUpstream publishes an upstream in place of a stand-in of the fleet. It answers
// requests for its health with success and others with the answer, in which {id} stands
// for the ID of the attempt.
func (fleet *testFleet) replaceUpstream(name, service, answer string, end standin.ConnectionEnd) (requests func() int) {
	fleet.t.Helper()
	reached := make(chan struct{}, 1<<10)
	upstream, err := standin.NewEarlyUpstream(standin.EarlyUpstreamConfig{End: end, Answer: func(request *http.Request) string {
		switch request.URL.Path {
		case "/healthz", "/v1/load":
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		}
		if request.Method == http.MethodPost && !strings.HasSuffix(request.URL.Path, "/cancel") {
			reached <- struct{}{}
		}
		return strings.ReplaceAll(answer, "{id}", request.Header.Get(exchange.HeaderAttempt))
	}})
	require.NoError(fleet.t, err)
	fleet.t.Cleanup(upstream.Close)
	body, err := json.Marshal(configuration.Upstream{Name: name, Service: service, Address: upstream.Address()})
	require.NoError(fleet.t, err)
	current, err := fleet.operator().Document(fleet.ctx, configuration.KindUpstream, name)
	require.NoError(fleet.t, err)
	_, err = fleet.operator().Publish(fleet.ctx, configuration.Change{
		OperationID: ulid.Make().String(), Reason: "test", Kind: configuration.KindUpstream, Name: name, Body: body, ExpectedRevision: current.Revision,
	})
	require.NoError(fleet.t, err)
	return func() int { return len(reached) }
}

const (
	completionChunk = `{"choices":[{"index":0,"delta":{"content":"a"}}]}`
	wholeStream     = "id: 1\ndata: " + completionChunk + "\n\ndata: [DONE]\n\n"
	cutStream       = "id: 1\ndata: " + completionChunk + "\n\n"
)

// requestBrokenAnswers sends a booking and a stream to upstreams whose answers begin with
// each of the heads, and checks that callers don't get them as answers.
func requestBrokenAnswers(t *testing.T, heads map[string]string) {
	t.Helper()
	fleet := startFleet(t, 1_000_000, standin.EngineConfig{})
	for name, head := range heads {
		for framing, body := range map[string]string{
			"length": "Content-Length: 5\r\n\r\nwhole",
			"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		} {
			t.Run(name+", booking, "+framing, func(t *testing.T) {
				fleet.t = t
				reached := fleet.replaceUpstream("desk-1", demo.OrderService, head+exchange.HeaderAttempt+": {id}\r\n"+body, standin.CloseAndRead)
				outcome, answer := fleet.sendBooking(call{body: "{}", key: ulid.Make().String()})
				require.Equal(t, 1, reached())
				require.Equal(t, fault.OutcomeUnknown, outcome, answer)
			})
		}
		t.Run(name+", stream", func(t *testing.T) {
			fleet.t = t
			answer := head + exchange.HeaderAttempt + ": {id}\r\nContent-Type: text/event-stream\r\n\r\n" + wholeStream
			reached := fleet.replaceUpstream("engine-1", demo.ModelService, answer, standin.CloseAndRead)
			text, end := fleet.openStream(call{key: ulid.Make().String()}, "prompt", 20).readRemaining()
			require.Positive(t, reached())
			require.NotEqual(t, "[DONE]", end)
			require.Empty(t, text)
		})
	}
}

// TestStatusWithoutAnAnswerIsNotPassedOn guards against a status that is none of a final
// answer, and which callers of the product's own interface get as one.
func TestStatusWithoutAnAnswerIsNotPassedOn(t *testing.T) {
	requestBrokenAnswers(t, map[string]string{
		"status 000": "HTTP/1.1 000 None\r\n",
		"status 099": "HTTP/1.1 099 None\r\n",
		"status 101": "HTTP/1.1 101 Switching Protocols\r\n",
		"status 199": "HTTP/1.1 199 Busy\r\n",
	})
}

// TestMalformedHeadsAreNotPassedOn guards against an answer whose head has a line that is no
// field, and which callers of the product's own interface get as an answer.
func TestMalformedHeadsAreNotPassedOn(t *testing.T) {
	requestBrokenAnswers(t, map[string]string{
		"blank behind a name":    "HTTP/1.1 200 OK\r\nA : b\r\n",
		"blank inside a name":    "HTTP/1.1 200 OK\r\nA B: c\r\n",
		"blank before a name":    "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nA\x01: b\r\n",
		"length with a blank":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
		"chunks with a blank":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	})
}

// TestResetDuringUploadIsNoEnd guards against a part of an answer that callers of the
// product's own interface get as the whole, because it has no length and its connection
// was reset during the upload.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const uploadBytes = 200 << 10
	fleet := startFleet(t, 10_000_000, standin.EngineConfig{})
	head := "HTTP/1.1 200 OK\r\n" + exchange.HeaderAttempt + ": {id}\r\n"
	for range 10 {
		reached := fleet.replaceUpstream("desk-1", demo.OrderService, head+"\r\npart", standin.Reset)
		outcome, answer := fleet.sendBooking(call{body: fmt.Sprintf("{%*s}", uploadBytes, ""), key: ulid.Make().String()})
		require.Equal(t, 1, reached())
		require.Equal(t, fault.OutcomeUnknown, outcome, answer)

		reached = fleet.replaceUpstream("engine-1", demo.ModelService, head+"Content-Type: text/event-stream\r\n\r\n"+cutStream, standin.Reset)
		_, end := fleet.openStream(call{key: ulid.Make().String()}, strings.Repeat("p", uploadBytes), 20).readRemaining()
		require.Positive(t, reached())
		require.NotEqual(t, "[DONE]", end)
	}
}

// TestSoundAnswersOfReplacedUpstreams guards against tests of broken answers that pass
// because their upstreams are never believed.
func TestSoundAnswersOfReplacedUpstreams(t *testing.T) {
	fleet := startFleet(t, 1_000_000, standin.EngineConfig{})
	head := "HTTP/1.1 200 OK\r\n" + exchange.HeaderAttempt + ": {id}\r\n"
	fleet.replaceUpstream("desk-1", demo.OrderService, head+"Content-Length: 5\r\n\r\nwhole", standin.CloseAndRead)
	outcome, answer := fleet.sendBooking(call{body: "{}", key: ulid.Make().String()})
	require.Equal(t, fault.Answered, outcome)
	require.Equal(t, "whole", answer)
	fleet.replaceUpstream("engine-1", demo.ModelService, head+"Content-Type: text/event-stream\r\n\r\n"+wholeStream, standin.CloseAndRead)
	text, end := fleet.openStream(call{key: ulid.Make().String()}, "prompt", 20).readRemaining()
	require.Equal(t, "[DONE]", end)
	require.Equal(t, "a", text)
}
