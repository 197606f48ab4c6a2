package head

const (
	codingName  = "transfer-encoding"
	codingValue = "chunked"

	statusNoContent   = 204
	statusNotModified = 304

	maxSizeDigits = 15 // hexadecimal; more would not fit int
)

type (
	// coding finds out whether a head says that the body comes in chunks.
	coding struct {
		name, value int // bytes of codingName and codingValue that the line has so far; -1 for another line
		chunked     bool
	}

	// chunk is what is known of a chunk.
	chunk struct {
		digits int // of its size so far
		left   int // bytes of its data that are to come
	}
)

// begin begins a line.
func (k *coding) begin() { k.name, k.value = 0, 0 }

func (k *coding) stepName(b byte) {
	if b != ':' {
		k.name = match(k.name, codingName, b)
	}
}

// stepValue takes a byte of a value, or the end of its line.
func (k *coding) stepValue(b byte) {
	switch {
	case k.name != len(codingName) || b == ' ' || b == '\t':
	case b == '\r' || b == '\n':
		k.chunked = k.chunked || k.value == len(codingValue)
	default:
		k.value = match(k.value, codingValue, b)
	}
}

// match returns how many bytes of the word are there once b has come behind n of them; -1 if it is another word.
func match(n int, word string, b byte) int {
	if n < 0 || n >= len(word) || b|0x20 != word[n]|0x20 {
		return -1
	}
	return n + 1
}

// isChunked reports whether the body of the response comes in chunks. HTTP/1.0 has none.
func (c *Checker) isChunked() bool {
	return c.coding.chunked && c.minor > '0' && !c.NoBody && c.status != statusNoContent && c.status != statusNotModified
}

// stepChunk takes a byte between the data of chunks. What is no size, or no end of a chunk, is left to the library, which reads no
// body from it.
func (c *Checker) stepChunk(b byte) {
	v, isHex := hexDigit(b)
	switch {
	case c.state == inChunkSize && isHex && c.chunk.digits < maxSizeDigits:
		c.chunk.left = c.chunk.left<<4 | v
		c.chunk.digits++
	case c.state == inChunkEnd && b == '\r':
	case c.state == inChunkEnd && b == '\n':
		c.state, c.chunk = inChunkSize, chunk{}
	case c.state == inChunkEnd || c.chunk.digits == 0 || c.state == inChunkSize && isHex:
		c.state = unchecked
	case b == '\n':
		c.beginChunk()
	default:
		c.state = inChunkExtension
	}
}

// beginChunk begins the data of a chunk, or what follows the last one.
func (c *Checker) beginChunk() {
	c.state = inChunk
	if c.chunk.left == 0 {
		c.state, c.trailer = atLineStart, true
	}
}

// skipChunk skips data of the chunk, n bytes at most, and returns how many.
func (c *Checker) skipChunk(n int) int {
	n = min(n, c.chunk.left)
	c.chunk.left -= n
	if c.chunk.left == 0 {
		c.state = inChunkEnd
	}
	return n
}

func hexDigit(b byte) (v int, ok bool) {
	switch lower := b | 0x20; {
	case isDigit(b):
		return int(b - '0'), true
	case lower >= 'a' && lower <= 'f':
		return int(lower-'a') + 10, true
	default:
		return 0, false
	}
}
