package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/platform/platformpb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newTestClient(tb testing.TB, handler http.HandlerFunc) *platform.Client {
	tb.Helper()
	server := httptest.NewServer(handler)
	client := platform.Dial(platform.ClientConfig{Address: server.Listener.Addr().String(), Timeout: 200 * time.Millisecond})
	tb.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// TestErrorKinds checks which twirp codes state that nothing was applied; every
// other code must leave the outcome unknown.
func TestErrorKinds(t *testing.T) {
	kindsByCode := map[twirp.ErrorCode]fault.Kind{
		twirp.FailedPrecondition: fault.Conflict,
		twirp.ResourceExhausted:  fault.Overloaded,
		twirp.InvalidArgument:    fault.Invalid,
		twirp.NotFound:           fault.NotFound,
		twirp.Unavailable:        fault.Unavailable,
		twirp.Internal:           fault.Unavailable,
		twirp.DeadlineExceeded:   fault.Unavailable,
		twirp.Aborted:            fault.Unavailable,
		twirp.BadRoute:           fault.Unavailable,
	}
	for code, kind := range kindsByCode {
		client := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
			_ = twirp.WriteError(writer, twirp.NewError(code, "stated"))
		})
		err := client.Table().Transact(context.Background(), platform.Transaction{})
		assert.Equal(t, kind, fault.KindOf(err), "%s: %v", code, err)
		assert.Equal(t, kind == fault.Unavailable, fault.OutcomeOf(err) == fault.OutcomeUnknown, "%s", code)
		assert.NotEmpty(t, fault.RemedyOf(err), "%s", code)
	}
}

// TestStatusWithoutTwirpErrorIsUnknown guards against taking an HTTP status of an
// intermediary, which has no twirp error, for a statement of the platform that
// nothing was applied.
func TestStatusWithoutTwirpErrorIsUnknown(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusPreconditionFailed, http.StatusNotFound, http.StatusBadGateway, http.StatusFound} {
		client := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(status) })
		err := client.Table().Transact(context.Background(), platform.Transaction{})
		assert.Equal(t, fault.Unavailable, fault.KindOf(err), "%d: %v", status, err)
	}
}

// TestNoResponse checks that a call that times out or whose connection is aborted
// or refused has an unknown outcome.
func TestNoResponse(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"timeout": func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
		"cut":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, handler := range handlers {
		err := newTestClient(t, handler).Table().Transact(context.Background(), platform.Transaction{})
		assert.Equal(t, fault.Unavailable, fault.KindOf(err), "%s: %v", name, err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client := platform.Dial(platform.ClientConfig{Address: listener.Addr().String()})
	_, err = client.VMs().List(context.Background())
	assert.Equal(t, fault.Unavailable, fault.KindOf(err), "%v", err)
}

// TestTooManyWritesAreRefused checks that the client refuses a transaction with
// too many writes before it sends it.
func TestTooManyWritesAreRefused(t *testing.T) {
	client := platform.Dial(platform.ClientConfig{Address: "127.0.0.1:1"})
	err := client.Table().Transact(context.Background(), platform.Transaction{Writes: make([]platform.Write, platform.MaxTransactionWrites+1)})
	assert.Equal(t, fault.Invalid, fault.KindOf(err))
}

// FuzzGetResponse gives the client arbitrary bytes as the response to a Get, which
// must return one item for each key, with that key, or an error.
func FuzzGetResponse(f *testing.F) {
	key := platform.Key{Partition: "p", Sort: "s"}
	valid, err := proto.Marshal(&platformpb.GetResponse{Items: platform.EncodeItems([]platform.Item{{Key: key, Version: 1}})})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0xff})
	f.Add([]byte{})
	var responseBody []byte
	client := newTestClient(f, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/protobuf")
		_, _ = writer.Write(responseBody)
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		responseBody = data
		items, err := client.Table().Get(context.Background(), key)
		if err != nil {
			assert.Equal(t, fault.Unavailable, fault.KindOf(err))
			return
		}
		require.Len(t, items, 1)
		assert.Equal(t, key, items[0].Key)
	})
}

// FuzzTransaction checks that a decoded transaction is unchanged after another
// encoding and decoding.
func FuzzTransaction(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x02, 0x10, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request platformpb.TransactRequest
		if proto.Unmarshal(data, &request) != nil {
			return
		}
		transaction := platform.DecodeTransaction(&request)
		assert.Equal(t, transaction, platform.DecodeTransaction(platform.EncodeTransaction(transaction)))
	})
}
