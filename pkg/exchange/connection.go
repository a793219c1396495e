package exchange

import (
	"net"
	"sync"
)

// connection is a TCP connection that records what of the current request was
// written to it and read from it. The transport of net/http uses a connection for
// one request at a time.
type connection struct {
	net.Conn
	mutex sync.Mutex
	// attemptID is the ID of the current or last attempt, if used is set.
	attemptID string
	used      bool
	// written is set by the first write after beginRequest, and answered by the first
	// read after that write.
	written, answered bool
	// unsolicited is set once data arrived before the request that it would answer.
	unsolicited bool
	// sealed is set by seal and discard; the connection then rejects writes.
	sealed bool
}

// beginRequest resets the records for a new request. It seals the connection if the
// request before was the same attempt, whose late or repeated answer could not be told
// from that of the new request.
func (connection *connection) beginRequest(attemptID string) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	repeated := connection.used && connection.attemptID == attemptID
	connection.attemptID, connection.used = attemptID, true
	connection.written, connection.answered = false, false
	connection.sealed = connection.sealed || repeated
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

// Read reads data. It seals the connection and returns errUnsolicited if the data
// arrived before the request was written, as it belongs to no request.
func (connection *connection) Read(data []byte) (int, error) {
	bytesRead, err := connection.Conn.Read(data)
	if bytesRead == 0 {
		return bytesRead, err
	}
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.written {
		connection.unsolicited, connection.sealed = true, true
		return 0, errUnsolicited
	}
	connection.answered = true
	return bytesRead, err
}

// hasAnswered reports whether data was read since the request was written. An answer
// without such data had been read into a buffer before.
func (connection *connection) hasAnswered() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.answered
}

// receivedUnsolicited reports whether data arrived before its request.
func (connection *connection) receivedUnsolicited() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.unsolicited
}

// discard closes the connection and discards the data that the kernel has not sent,
// so that an abandoned request on a stalled connection is not delivered later. The
// connection is sealed first, because the transport may have reused it already.
func (connection *connection) discard() {
	connection.seal()
	if tcp, ok := connection.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
