package router

// How answers without a stated length are handed to nbhttp.
//
// nbhttp frees a buffer of 64 KiB or more and goes on using it when it writes a
// chunk: what nbio still holds of an answer, of this connection or another, can
// be overwritten. It doesn't while what it holds is smaller.

import "net/http"

// greatestPiece is how much of an answer nbhttp gets before it is flushed: half
// of the size from which on it misuses its buffers, which also hold the header.
const greatestPiece = 32 << 10

// pieceWriter writes answers without a stated length in small chunks.
type pieceWriter struct {
	http.ResponseWriter
	// unflushed is what was written since the last flush.
	unflushed int
}

var _ http.Flusher = (*pieceWriter)(nil)

// Write writes the data, in pieces if it is long.
func (pieceWriter *pieceWriter) Write(data []byte) (int, error) {
	if pieceWriter.Header().Get("Content-Length") != "" {
		return pieceWriter.ResponseWriter.Write(data)
	}
	written := 0
	for len(data) > 0 {
		if pieceWriter.unflushed >= greatestPiece {
			pieceWriter.Flush()
		}
		piece := data[:min(len(data), greatestPiece-pieceWriter.unflushed)]
		count, err := pieceWriter.ResponseWriter.Write(piece)
		written += count
		if err != nil {
			return written, err
		}
		pieceWriter.unflushed += len(piece)
		data = data[len(piece):]
	}
	return written, nil
}

// Flush sends what was written.
func (pieceWriter *pieceWriter) Flush() {
	pieceWriter.unflushed = 0
	if flusher, ok := pieceWriter.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}
