package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (conn meteredConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	conn.bytes.Add(int64(n))
	return n, err
}

func (conn meteredConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	conn.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLoad measures the bytes and the time of reading one load report.
func BenchmarkLoad(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, `{"running":31,"waiting":12,"capacity":64,"age_ms":1000}`)
	}))
	defer server.Close()
	var bytes atomic.Int64
	client := NewClient(ClientConfig{
		Address: server.Listener.Addr().String(),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return meteredConn{conn, &bytes}, err
		},
	})
	defer client.Close()
	for b.Loop() {
		if _, err := client.LoadReport(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/poll")
}
