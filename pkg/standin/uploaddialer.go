package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// ResetOrder is the order in which a client's write and read meet a reset of the
// connection. The kernel reports the reset to only one of them, and to a read behind it
// the end of the connection.
type ResetOrder string

// The orders of a reset.
const (
	// AnyOrder leaves the order to the kernel.
	AnyOrder ResetOrder = "any"
	// WriteThenRead makes reads wait until a write has returned the reset.
	WriteThenRead ResetOrder = "write_then_read"
	// ReadDuringWrite lets the write that met the reset return after the next read.
	ReadDuringWrite ResetOrder = "read_during_write"
)

const (
	// pieceBytes and pieceInterval make a request of some 10 KB last until its early
	// answer has arrived.
	pieceBytes    = 256
	pieceInterval = time.Millisecond
)

// UploadDialer opens connections that write requests slowly and meet a reset in a set
// order.
type UploadDialer struct {
	Order ResetOrder
}

// DialContext opens a connection.
func (uploadDialer *UploadDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &uploadConn{
		Conn: conn, order: uploadDialer.Order, writeFailed: make(chan struct{}), readEnded: make(chan struct{}), closed: make(chan struct{}),
	}, nil
}

// uploadConn is a connection of an UploadDialer. One goroutine reads from it at a time.
type uploadConn struct {
	net.Conn
	order ResetOrder
	// answered is set once data has been read.
	answered bool
	// writeFailed, readEnded and closed are closed by the first write that fails, by the
	// first read that fails, and by Close.
	writeFailed, readEnded, closed             chan struct{}
	writeFailedOnce, readEndedOnce, closedOnce sync.Once
}

// Write writes data in pieces.
func (uploadConn *uploadConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		count, err := uploadConn.Conn.Write(data[written:min(len(data), written+pieceBytes)])
		written += count
		if err != nil {
			uploadConn.writeFailedOnce.Do(func() { close(uploadConn.writeFailed) })
			uploadConn.holdWrite()
			return written, err
		}
		time.Sleep(pieceInterval)
	}
	return written, nil
}

// holdWrite waits for the read that the order puts before the end of a failed write.
func (uploadConn *uploadConn) holdWrite() {
	if uploadConn.order != ReadDuringWrite {
		return
	}
	select {
	case <-uploadConn.readEnded:
		time.Sleep(pieceInterval) // the reader goes on with what it was told
	case <-uploadConn.closed:
	}
}

// Read reads data. Behind the first data it waits as the order demands.
func (uploadConn *uploadConn) Read(data []byte) (int, error) {
	if uploadConn.answered && uploadConn.order != AnyOrder {
		select {
		case <-uploadConn.writeFailed:
		case <-uploadConn.closed:
		}
	}
	count, err := uploadConn.Conn.Read(data)
	uploadConn.answered = uploadConn.answered || count > 0
	if err != nil {
		uploadConn.readEndedOnce.Do(func() { close(uploadConn.readEnded) })
	}
	return count, err
}

// Close closes the connection.
func (uploadConn *uploadConn) Close() error {
	uploadConn.closedOnce.Do(func() { close(uploadConn.closed) })
	return uploadConn.Conn.Close()
}
