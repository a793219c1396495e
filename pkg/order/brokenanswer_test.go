package order

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// TestStatusOfNoFinalAnswerIsNoSuccess guards against an order that counts as accepted
// because the engine's answer has a status which is none of a final answer.
func TestStatusOfNoFinalAnswerIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		server, err := standin.NewEarlyUpstream(standin.EarlyUpstreamConfig{End: standin.CloseAndRead, Answer: func(*http.Request) string {
			return "HTTP/1.1 " + status + " None\r\nContent-Length: 2\r\n\r\n{}"
		}})
		require.NoError(t, err)
		defer server.Close()
		engine := NewHTTPEngine()
		defer engine.Close()
		err = engine.Order(t.Context(), server.Address(), Order{})
		require.EqualValues(t, 1, server.Requests())
		require.True(t, fault.Is(err, fault.Unavailable), "%s: %v", status, err)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
		_, err = engine.State(t.Context(), server.Address())
		require.EqualValues(t, 2, server.Requests())
		require.True(t, fault.Is(err, fault.Unavailable), "%s: %v", status, err)
	}
}
