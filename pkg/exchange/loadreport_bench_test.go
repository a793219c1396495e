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

// byteCountingConn counts the bytes read from and written to a connection.
type byteCountingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

func (conn byteCountingConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	conn.byteCount.Add(int64(n))
	return n, err
}

func (conn byteCountingConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	conn.byteCount.Add(int64(n))
	return n, err
}

// BenchmarkLoadReport measures the time and the bytes on the connection for one load
// report.
func BenchmarkLoadReport(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, `{"running":31,"waiting":12,"capacity":64,"age_ms":1000}`)
	}))
	defer server.Close()
	var byteCount atomic.Int64
	client := NewClient(ClientConfig{
		Address: server.Listener.Addr().String(),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return byteCountingConn{conn, &byteCount}, err
		},
	})
	defer client.Close()
	for b.Loop() {
		if _, err := client.LoadReport(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(byteCount.Load())/float64(b.N), "B/poll")
}
