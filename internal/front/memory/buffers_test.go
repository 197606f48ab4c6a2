package memory

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a buffer that grows, which is not the one that comes back, and against one that is too small for the next
// response.
func TestBuffers(t *testing.T) {
	is := is.New(t)
	var b Budget
	buffer := b.Buffer()
	is.Equal(len(buffer), 0)
	is.True(cap(buffer) > Longest)
	b.Recycle(append(buffer, "text"...))
	again := b.Buffer()
	is.Equal(len(again), 0)
	is.True(cap(again) > Longest)
	b.Recycle(make([]byte, 0, Short))
	is.True(cap(b.Buffer()) > Longest)
}
