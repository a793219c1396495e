package router

// Writing of answers without a Content-Length to nbhttp.
//
// When nbhttp writes a chunk, it frees a buffer of 64 KiB or more and then continues
// to use it. Unsent data in nbio, of this or another connection, can then be
// overwritten. Smaller buffers are not affected.

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// maxWholeBytes limits an answer without a Content-Length to a caller that doesn't know
// chunks. It is what a connection may hold unsent anyway.
const maxWholeBytes = maxUnsentPerConnection

// errWholeTooLong means that an answer can't be sent as its caller doesn't know chunks.
var errWholeTooLong = errors.New("the answer without a length is too long for HTTP/1.0")

// maxUnflushedBytes is the maximum number of bytes that are written to nbhttp between
// two flushes. It is half of the 64 KiB from which nbhttp uses freed buffers, as a
// buffer also holds the header.
const maxUnflushedBytes = 32 << 10

// flushingWriter writes answers without a Content-Length in blocks of at most
// maxUnflushedBytes, with a flush between two blocks.
type flushingWriter struct {
	http.ResponseWriter
	// connection is the caller's; nil on a control server.
	connection *callerConnection
	// withoutChunks is whether the caller speaks HTTP/1.0. An answer that states no
	// Content-Length is then sent whole, as nbhttp would state the length of what was
	// written by the first flush.
	withoutChunks bool
	// unflushedBytes is the number of bytes written since the last flush.
	unflushedBytes int
}

var _ http.Flusher = (*flushingWriter)(nil)

// writeError returns why an earlier write to the connection failed, or nil. nbhttp
// doesn't return the errors of Flush.
func (flushingWriter *flushingWriter) writeError() error {
	if flushingWriter.connection == nil {
		return nil
	}
	return flushingWriter.connection.writeErr
}

// WriteHeader sets the status of the answer. Only the first call has an effect, and only
// before anything was written. It panics if no answer can have the status, as nbhttp would
// send 200 instead.
func (flushingWriter *flushingWriter) WriteHeader(status int) {
	if !isFinalStatus(status) {
		panic(fmt.Sprintf("status %d is none of a final answer", status))
	}
	flushingWriter.setStatus(status)
	flushingWriter.ResponseWriter.WriteHeader(status)
}

// setStatus records the status of the answer, unless it has one already.
func (flushingWriter *flushingWriter) setStatus(status int) {
	if connection := flushingWriter.connection; connection != nil && connection.status == 0 {
		connection.status = status
	}
}

// Write writes the data and flushes when maxUnflushedBytes are unflushed and more
// data follows. It does not split an answer that has a Content-Length.
func (flushingWriter *flushingWriter) Write(data []byte) (int, error) {
	if err := flushingWriter.writeError(); err != nil {
		return 0, err
	}
	flushingWriter.setStatus(http.StatusOK) // unless the handler has set one
	if flushingWriter.Header().Get(headerContentLength) != "" {
		return flushingWriter.ResponseWriter.Write(data)
	}
	if flushingWriter.withoutChunks {
		return flushingWriter.hold(data)
	}
	written := 0
	for len(data) > 0 {
		if flushingWriter.unflushedBytes >= maxUnflushedBytes {
			if err := flushingWriter.FlushError(); err != nil {
				return written, err
			}
		}
		block := data[:min(len(data), maxUnflushedBytes-flushingWriter.unflushedBytes)]
		count, err := flushingWriter.ResponseWriter.Write(block)
		written += count
		if err != nil {
			return written, err
		}
		flushingWriter.unflushedBytes += len(block)
		data = data[len(block):]
	}
	return written, nil
}

// hold adds to an answer that is sent whole. If it becomes too long, the connection is
// closed, so that the caller doesn't take what is held for all of it.
func (flushingWriter *flushingWriter) hold(data []byte) (int, error) {
	flushingWriter.unflushedBytes += len(data)
	if flushingWriter.unflushedBytes > maxWholeBytes {
		flushingWriter.connection.cut(errWholeTooLong, UnansweredAborted)
		return 0, errWholeTooLong
	}
	return flushingWriter.ResponseWriter.Write(data)
}

// SetWriteDeadline sets when the connection is closed if the caller hasn't read the
// answer. It is used through http.ResponseController.
func (flushingWriter *flushingWriter) SetWriteDeadline(deadline time.Time) error {
	if flushingWriter.connection == nil {
		return http.ErrNotSupported
	}
	flushingWriter.connection.writeDeadline = deadline
	return nil
}

// Flush sends the data written so far.
func (flushingWriter *flushingWriter) Flush() {
	_ = flushingWriter.FlushError() // the next write returns the error
}

// FlushError sends the data written so far. It returns the error of the first write
// that failed.
func (flushingWriter *flushingWriter) FlushError() error {
	if err := flushingWriter.writeError(); err != nil {
		return err
	}
	flushingWriter.setStatus(http.StatusOK) // unless the handler has set one
	if flushingWriter.withoutChunks && flushingWriter.Header().Get(headerContentLength) == "" {
		return nil
	}
	flushingWriter.unflushedBytes = 0
	if flusher, ok := flushingWriter.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
	return flushingWriter.writeError()
}
