package exchange

import (
	"net"
	"sync"
)

// connection is a TCP connection that knows whether anything was written to it
// since it was taken for a request. The transport of net/http uses a
// connection for one request at a time.
type connection struct {
	net.Conn
	mutex sync.Mutex
	// written is set by the first write after take.
	written bool
	// sealed connections refuse further writes.
	sealed bool
}

// take starts the count for a new request.
func (connection *connection) take() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.written = false
}

// seal refuses further writes and reports whether any were made since take.
// After seal has returned false no byte of the request can arrive.
func (connection *connection) seal() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.sealed = true
	return connection.written
}

// Write writes data unless the connection is sealed.
func (connection *connection) Write(data []byte) (int, error) {
	if !connection.start() {
		return 0, net.ErrClosed
	}
	return connection.Conn.Write(data)
}

func (connection *connection) start() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.sealed {
		return false
	}
	connection.written = true
	return true
}

// discard makes Close drop what the kernel has not sent, so that a request
// that was abandoned on a silent connection is not delivered later.
func (connection *connection) discard() {
	if tcp, ok := connection.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
