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

func serve(tb testing.TB, handler http.HandlerFunc) *platform.Client {
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

// TestErrorKinds checks which errors state that nothing was applied.
func TestErrorKinds(t *testing.T) {
	kinds := map[twirp.ErrorCode]fault.Kind{
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
	for code, kind := range kinds {
		client := serve(t, func(writer http.ResponseWriter, _ *http.Request) {
			_ = twirp.WriteError(writer, twirp.NewError(code, "stated"))
		})
		err := client.Table().Transact(context.Background(), platform.Transaction{})
		assert.Equal(t, kind, fault.KindOf(err), "%s: %v", code, err)
		assert.Equal(t, kind == fault.Unavailable, fault.OutcomeOf(err) == fault.OutcomeUnknown, "%s", code)
		assert.NotEmpty(t, fault.RemedyOf(err), "%s", code)
	}
}

// TestStatusWithoutTwirpError checks that a status that the platform itself did
// not state is never taken as proof that nothing was applied.
func TestStatusWithoutTwirpError(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusPreconditionFailed, http.StatusNotFound, http.StatusBadGateway, http.StatusFound} {
		client := serve(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(status) })
		err := client.Table().Transact(context.Background(), platform.Transaction{})
		assert.Equal(t, fault.Unavailable, fault.KindOf(err), "%d: %v", status, err)
	}
}

// TestNoAnswer checks a timeout, a cut connection and a refused one.
func TestNoAnswer(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"timeout": func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
		"cut":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, handler := range handlers {
		err := serve(t, handler).Table().Transact(context.Background(), platform.Transaction{})
		assert.Equal(t, fault.Unavailable, fault.KindOf(err), "%s: %v", name, err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client := platform.Dial(platform.ClientConfig{Address: listener.Addr().String()})
	_, err = client.VMs().List(context.Background())
	assert.Equal(t, fault.Unavailable, fault.KindOf(err), "%v", err)
}

// TestTooManyWrites checks that the client refuses them before sending.
func TestTooManyWrites(t *testing.T) {
	client := platform.Dial(platform.ClientConfig{Address: "127.0.0.1:1"})
	err := client.Table().Transact(context.Background(), platform.Transaction{Writes: make([]platform.Write, platform.MaxTransactionWrites+1)})
	assert.Equal(t, fault.Invalid, fault.KindOf(err))
}

// FuzzGetResponse feeds the client with any bytes as the answer to a Get: what
// it returns is one item for each key, under that key, or an error.
func FuzzGetResponse(f *testing.F) {
	key := platform.Key{Partition: "p", Sort: "s"}
	valid, err := proto.Marshal(&platformpb.GetResponse{Items: platform.EncodeItems([]platform.Item{{Key: key, Version: 1}})})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0xff})
	f.Add([]byte{})
	var answer []byte
	client := serve(f, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/protobuf")
		_, _ = writer.Write(answer)
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		answer = data
		items, err := client.Table().Get(context.Background(), key)
		if err != nil {
			assert.Equal(t, fault.Unavailable, fault.KindOf(err))
			return
		}
		require.Len(t, items, 1)
		assert.Equal(t, key, items[0].Key)
	})
}

// FuzzTransaction checks that what is decoded survives being encoded again.
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
