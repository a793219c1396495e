package operator

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// TestResetDuringPublicationIsNoSuccess guards against a change that counts as published
// because the response has no length, and the reset that cut it off met the write of the
// request: a part of a response is a response, too.
func TestResetDuringPublicationIsNoSuccess(t *testing.T) {
	for _, order := range []standin.ResetOrder{standin.AnyOrder, standin.WriteThenRead, standin.ReadDuringWrite} {
		server, err := standin.NewEarlyUpstream(standin.EarlyUpstreamConfig{End: standin.Reset, Answer: func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"
		}})
		require.NoError(t, err)
		defer server.Close()
		client, err := NewClient(ClientConfig{
			Addresses: []string{server.Address()}, MaxAttempts: 1, HTTPClient: newHTTPClient((&standin.UploadDialer{Order: order}).DialContext),
		})
		require.NoError(t, err)
		_, err = client.Publish(t.Context(), configuration.Change{
			OperationID: "1", Reason: "test", Kind: configuration.KindService, Name: "desk", Body: make([]byte, 60<<10),
		})
		require.EqualValues(t, 1, server.Requests())
		require.Error(t, err, order)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	}
}
