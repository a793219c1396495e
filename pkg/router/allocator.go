package router

// Buffers of nbio and nbhttp.
//
// By default, both take buffers of any size from one pool: a few bytes of a header may hold
// the buffer of an earlier body of 4 MB, which no limit counts. The allocator here takes
// small buffers from pools by size, and leaves large ones to the garbage collector.
// mempool.NewAligned isn't used: it puts buffers that were resliced into pools of larger
// ones.

import (
	"math/bits"
	"sync"

	"github.com/lesismal/nbio/mempool"
)

const (
	// Pooled buffers have a size that is a power of two between these, both included.
	minPooledBits = 6
	maxPooledBits = 15
)

// sizedAllocator is an allocator whose buffers are at most twice as large as asked for.
type sizedAllocator struct {
	pools [maxPooledBits + 1]sync.Pool
}

var _ mempool.Allocator = (*sizedAllocator)(nil)

var setAllocatorOnce sync.Once

// setAllocator sets the allocator of nbio and nbhttp. They have one per process, so it must
// be called before the first engine starts.
func setAllocator() {
	setAllocatorOnce.Do(func() { mempool.DefaultMemPool = &sizedAllocator{} })
}

// Malloc returns a buffer of the given length, whose content is arbitrary.
func (sizedAllocator *sizedAllocator) Malloc(size int) *[]byte {
	class := max(minPooledBits, bits.Len(uint(max(size, 1)-1)))
	if class > maxPooledBits {
		buffer := make([]byte, size)
		return &buffer
	}
	if buffer, ok := sizedAllocator.pools[class].Get().(*[]byte); ok {
		*buffer = (*buffer)[:size]
		return buffer
	}
	buffer := make([]byte, size, 1<<class)
	return &buffer
}

// Realloc returns a buffer of the given length that begins with the content of the given
// one, which is freed.
func (sizedAllocator *sizedAllocator) Realloc(buffer *[]byte, size int) *[]byte {
	if size <= cap(*buffer) {
		*buffer = (*buffer)[:size]
		return buffer
	}
	grown := sizedAllocator.Malloc(size)
	copy(*grown, *buffer)
	sizedAllocator.Free(buffer)
	return grown
}

// Append appends to a buffer. It grows by a quarter at least, so that a body that arrives
// in many pieces isn't copied for each.
func (sizedAllocator *sizedAllocator) Append(buffer *[]byte, more ...byte) *[]byte {
	size := len(*buffer) + len(more)
	if size > cap(*buffer) {
		length := len(*buffer)
		buffer = sizedAllocator.Realloc(buffer, max(size, cap(*buffer)+cap(*buffer)/4))
		*buffer = (*buffer)[:length]
	}
	*buffer = append(*buffer, more...)
	return buffer
}

// AppendString appends a text to a buffer.
func (sizedAllocator *sizedAllocator) AppendString(buffer *[]byte, more string) *[]byte {
	return sizedAllocator.Append(buffer, []byte(more)...)
}

// Free takes a buffer that isn't used any more. It forgets large ones at once: a parser that
// was closed keeps its last buffer until its connection ends.
func (sizedAllocator *sizedAllocator) Free(buffer *[]byte) {
	if buffer == nil {
		return
	}
	capacity := uint(cap(*buffer))
	if class := bits.TrailingZeros(capacity); class >= minPooledBits && class <= maxPooledBits && capacity == 1<<class {
		sizedAllocator.pools[class].Put(buffer)
		return
	}
	*buffer = nil
}
