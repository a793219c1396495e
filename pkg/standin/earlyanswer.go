package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// ConnectionEnd is how an EarlyUpstream ends the connection after its answer.
type ConnectionEnd string

// The ends of a connection.
const (
	// Reset resets the connection, which discards the rest of the request.
	Reset ConnectionEnd = "reset"
	// CloseThenReset closes the sending direction and then resets the connection, as a
	// process does that ends before the rest of the request arrives.
	CloseThenReset ConnectionEnd = "close_then_reset"
	// CloseAndRead closes the sending direction and reads the rest of the request.
	CloseAndRead ConnectionEnd = "close_and_read"
	// CloseUnread closes the sending direction and doesn't read the rest of the request.
	CloseUnread ConnectionEnd = "close_unread"
)

// EarlyUpstreamConfig configures an EarlyUpstream.
type EarlyUpstreamConfig struct {
	// Answer returns the answer to a request, with its status line. The body of the request
	// must not be read.
	Answer func(request *http.Request) string
	End    ConnectionEnd
}

// EarlyUpstream answers each request when it has read the head of it, while the body is
// still being sent, and then ends the connection.
type EarlyUpstream struct {
	config   EarlyUpstreamConfig
	listener net.Listener
	requests atomic.Int64
	handlers sync.WaitGroup
	// ctx ends when the upstream is closed.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewEarlyUpstream starts an upstream on a loopback address.
func NewEarlyUpstream(config EarlyUpstreamConfig) (*EarlyUpstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	upstream := &EarlyUpstream{config: config, listener: listener}
	upstream.ctx, upstream.cancel = context.WithCancel(context.Background())
	upstream.handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			upstream.handlers.Go(func() { upstream.serve(conn) })
		}
	})
	return upstream, nil
}

// Address returns the address of the upstream.
func (earlyUpstream *EarlyUpstream) Address() string { return earlyUpstream.listener.Addr().String() }

// Requests returns how many requests have reached the upstream.
func (earlyUpstream *EarlyUpstream) Requests() int64 { return earlyUpstream.requests.Load() }

// Close ends the upstream with its connections.
func (earlyUpstream *EarlyUpstream) Close() {
	earlyUpstream.cancel()
	_ = earlyUpstream.listener.Close()
	earlyUpstream.handlers.Wait()
}

func (earlyUpstream *EarlyUpstream) serve(conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(earlyUpstream.ctx, func() { _ = conn.Close() })
	defer stop()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	earlyUpstream.requests.Add(1)
	if _, err := io.WriteString(conn, earlyUpstream.config.Answer(request)); err != nil {
		return
	}
	tcp := conn.(*net.TCPConn)
	switch earlyUpstream.config.End {
	case Reset:
		_ = tcp.SetLinger(0)
	case CloseThenReset:
		_ = tcp.CloseWrite()
		_ = tcp.SetLinger(0)
	case CloseAndRead:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	case CloseUnread:
		_ = tcp.CloseWrite()
		<-earlyUpstream.ctx.Done()
	}
}
