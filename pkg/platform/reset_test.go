package platform_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// TestResetDuringTransactionIsNoReceipt guards against a transaction that counts as applied
// because the response has no length, and the reset that cut it off met the write of the
// request: a part of a response is a response, too.
func TestResetDuringTransactionIsNoReceipt(t *testing.T) {
	for _, order := range []standin.ResetOrder{standin.AnyOrder, standin.WriteThenRead, standin.ReadDuringWrite} {
		server, err := standin.NewEarlyUpstream(standin.EarlyUpstreamConfig{End: standin.Reset, Answer: func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"
		}})
		require.NoError(t, err)
		defer server.Close()
		client := platform.Dial(platform.ClientConfig{Address: server.Address(), Dial: (&standin.UploadDialer{Order: order}).DialContext})
		defer client.Close()
		err = client.Table().Transact(t.Context(), platform.Transaction{Writes: []platform.Write{
			{Key: platform.Key{Partition: "p", Sort: "s"}, Action: platform.Put, Value: make([]byte, 60<<10)},
		}})
		require.EqualValues(t, 1, server.Requests())
		require.Error(t, err, order)
		require.Equal(t, fault.OutcomeUnknown, fault.OutcomeOf(err))
	}
}
