package router

// Writing of answers without a Content-Length to nbhttp.
//
// When nbhttp writes a chunk, it frees a buffer of 64 KiB or more and then continues
// to use it. Unsent data in nbio, of this or another connection, can then be
// overwritten. Smaller buffers are not affected.

import "net/http"

// maxUnflushedBytes is the maximum number of bytes that are written to nbhttp between
// two flushes. It is half of the 64 KiB from which nbhttp uses freed buffers, as a
// buffer also holds the header.
const maxUnflushedBytes = 32 << 10

// flushingWriter writes answers without a Content-Length in blocks of at most
// maxUnflushedBytes, with a flush between two blocks.
type flushingWriter struct {
	http.ResponseWriter
	// unflushedBytes is the number of bytes written since the last flush.
	unflushedBytes int
}

var _ http.Flusher = (*flushingWriter)(nil)

// Write writes the data and flushes when maxUnflushedBytes are unflushed and more
// data follows. It does not split an answer that has a Content-Length.
func (flushingWriter *flushingWriter) Write(data []byte) (int, error) {
	if flushingWriter.Header().Get("Content-Length") != "" {
		return flushingWriter.ResponseWriter.Write(data)
	}
	written := 0
	for len(data) > 0 {
		if flushingWriter.unflushedBytes >= maxUnflushedBytes {
			flushingWriter.Flush()
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

// Flush sends the data written so far.
func (flushingWriter *flushingWriter) Flush() {
	flushingWriter.unflushedBytes = 0
	if flusher, ok := flushingWriter.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}
