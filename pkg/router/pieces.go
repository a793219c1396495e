package router

// Writing of answers without a Content-Length to nbhttp.
//
// When nbhttp writes a chunk, it frees a buffer of 64 KiB or more and then goes on
// using it. Data that nbio still holds unsent, for this or another connection, can
// then be overwritten. Smaller buffers are not affected.

import "net/http"

// maxPieceBytes is the most that is written to nbhttp between two flushes. It is
// half of the 64 KiB from which nbhttp uses freed buffers, as a buffer also holds
// the header.
const maxPieceBytes = 32 << 10

// pieceWriter writes answers without a Content-Length in pieces of at most
// maxPieceBytes.
type pieceWriter struct {
	http.ResponseWriter
	// unflushedBytes is the number of bytes written since the last flush.
	unflushedBytes int
}

var _ http.Flusher = (*pieceWriter)(nil)

// Write writes the data and flushes whenever maxPieceBytes are unflushed. It does
// not split an answer that has a Content-Length.
func (pieceWriter *pieceWriter) Write(data []byte) (int, error) {
	if pieceWriter.Header().Get("Content-Length") != "" {
		return pieceWriter.ResponseWriter.Write(data)
	}
	written := 0
	for len(data) > 0 {
		if pieceWriter.unflushedBytes >= maxPieceBytes {
			pieceWriter.Flush()
		}
		piece := data[:min(len(data), maxPieceBytes-pieceWriter.unflushedBytes)]
		count, err := pieceWriter.ResponseWriter.Write(piece)
		written += count
		if err != nil {
			return written, err
		}
		pieceWriter.unflushedBytes += len(piece)
		data = data[len(piece):]
	}
	return written, nil
}

// Flush sends the data written so far.
func (pieceWriter *pieceWriter) Flush() {
	pieceWriter.unflushedBytes = 0
	if flusher, ok := pieceWriter.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}
