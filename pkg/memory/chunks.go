package memory

import (
	"context"
	"slices"
)

// Sizes of the first and the later chunks of a body, in bytes.
const (
	minChunkBytes = 512
	maxChunkBytes = 32 << 10
)

// Chunks is a body that is held in pieces, so that it isn't copied as it grows. The
// zero value is empty.
type Chunks struct {
	chunks [][]byte
	length int
	// held is the size of all chunks, full or not.
	held int
}

// Len returns the length of the body.
func (chunks *Chunks) Len() int { return chunks.length }

// Held returns how many bytes are held for the body.
func (chunks *Chunks) Held() int { return chunks.held }

// Append copies data to the end of the body. The share grows by what is allocated for
// it; the error is that of Share.Grow.
func (chunks *Chunks) Append(ctx context.Context, share *Share, data []byte) error {
	for len(data) > 0 {
		last := len(chunks.chunks) - 1
		if last < 0 || len(chunks.chunks[last]) == cap(chunks.chunks[last]) {
			size := min(max(chunks.length, len(data), minChunkBytes), maxChunkBytes)
			if err := share.Grow(ctx, size); err != nil {
				return err
			}
			chunks.chunks = append(chunks.chunks, make([]byte, 0, size))
			chunks.held += size
			last++
		}
		chunk := chunks.chunks[last]
		copied := min(cap(chunk)-len(chunk), len(data))
		chunks.chunks[last] = append(chunk, data[:copied]...)
		chunks.length += copied
		data = data[copied:]
	}
	return nil
}

// Drain passes the body on piece by piece and gives each back to the share. It stops at
// the first error. The body is empty afterwards.
func (chunks *Chunks) Drain(share *Share, write func(data []byte) error) error {
	pieces := chunks.chunks
	*chunks = Chunks{}
	for index, chunk := range pieces {
		if err := write(chunk); err != nil {
			return err
		}
		pieces[index] = nil
		share.Shrink(cap(chunk))
	}
	return nil
}

// Bytes returns a copy of the body in one piece.
func (chunks *Chunks) Bytes() []byte { return slices.Concat(chunks.chunks...) }
