package exchange

import (
	"net"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/message"
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
	// head counts the head of the answer, and headErr is why it was cut off. net/http may
	// return another error, for the line that is then incomplete.
	head    headMeter
	headErr error
}

// beginRequest resets the records for a new request. It seals the connection if the
// request before was the same attempt, whose late or repeated answer could not be told
// from that of the new request. What is held of the head of the answer is counted in the
// share.
func (connection *connection) beginRequest(attemptID string, share *memory.Share) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	repeated := connection.used && connection.attemptID == attemptID
	connection.attemptID, connection.used = attemptID, true
	connection.resetRecords(share)
	connection.sealed = connection.sealed || repeated
	if conn, ok := connection.Conn.(*message.Conn); ok {
		conn.BeginRequest()
	}
}

// endRequest records that net/http has written the request, or failed to.
func (connection *connection) endRequest() {
	if conn, ok := connection.Conn.(*message.Conn); ok {
		conn.EndRequest()
	}
}

// beginControl resets the records for a control request, which has no attempt ID.
func (connection *connection) beginControl() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.resetRecords(nil)
}

// resetRecords resets what is recorded of the current request and its answer. The caller
// holds the mutex.
func (connection *connection) resetRecords(share *memory.Share) {
	connection.written, connection.answered = false, false
	connection.head, connection.headErr = headMeter{share: share}, nil
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
// arrived before the request was written, as it belongs to no request. It returns the
// errors of headMeter, too, and nothing behind them.
func (connection *connection) Read(data []byte) (int, error) {
	if err := connection.headError(); err != nil {
		return 0, err
	}
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
	if connection.headErr = connection.head.read(data[:bytesRead]); connection.headErr != nil {
		connection.sealed = true
		return 0, connection.headErr
	}
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

// headError returns why the answer's head was cut off, or nil.
func (connection *connection) headError() error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.headErr
}

// endHead ends the counting of the answer's head, so that its share may be released.
func (connection *connection) endHead() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.head.ended = true
}

// discard closes the connection and discards the data that the kernel has not sent,
// so that an abandoned request on a stalled connection is not delivered later. The
// connection is sealed first, because the transport may have reused it already.
func (connection *connection) discard() {
	connection.seal()
	connection.endHead()
	if conn, ok := connection.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0)
	}
	_ = connection.Close()
}
