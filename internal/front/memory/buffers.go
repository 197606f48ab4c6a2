package memory

import "bytes"

// longBuffer is the size of a buffer for a long response. bytes.Buffer needs some more than the response to find its end.
const longBuffer = Longest + bytes.MinRead + 1

// Buffer returns an empty buffer with room for the longest response, for which Longest bytes must have been taken. New ones for
// each response would be garbage faster than it is collected.
func (b *Budget) Buffer() []byte {
	if p, ok := b.buffers.Get().(*[]byte); ok {
		return (*p)[:0]
	}
	return make([]byte, 0, longBuffer)
}

// Recycle takes back a buffer that Buffer returned, or part of it from its beginning on, and that nobody uses any more.
func (b *Budget) Recycle(buffer []byte) {
	if cap(buffer) >= longBuffer {
		buffer = buffer[:0]
		b.buffers.Put(&buffer)
	}
}
