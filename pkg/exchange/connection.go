package exchange

import (
	"net"
	"sync"
)

// connection is a TCP connection that records whether data of the current request
// was written to it. The transport of net/http uses a connection for one request
// at a time.
type connection struct {
	net.Conn
	mutex sync.Mutex
	// written is set by the first write after beginRequest.
	written bool
	// sealed is set by seal; the connection then rejects writes.
	sealed bool
}

// beginRequest resets the record of writes for a new request.
func (connection *connection) beginRequest() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.written = false
}

// seal makes the connection reject further writes and reports whether data was
// written since beginRequest. If it returns false, the upstream cannot receive any
// byte of the request.
func (connection *connection) seal() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.sealed = true
	return connection.written
}

// Write writes data. It returns net.ErrClosed if the connection is sealed.
func (connection *connection) Write(data []byte) (int, error) {
	if !connection.markWritten() {
		return 0, net.ErrClosed
	}
	return connection.Conn.Write(data)
}

// markWritten records a write before it is made. It returns false if the connection
// is sealed.
func (connection *connection) markWritten() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.sealed {
		return false
	}
	connection.written = true
	return true
}

// discardUnsentOnClose makes Close discard the data that the kernel has not sent,
// so that an abandoned request on a stalled connection is not delivered later.
func (connection *connection) discardUnsentOnClose() {
	if tcp, ok := connection.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
