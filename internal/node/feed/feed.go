// Package feed carries the text of one answer from the attempt that receives
// it to the callers that wait for it.
//
// A caller may join when the answer is half there: it first gets all that came
// before, then what comes. A slow caller reads late from what is kept; it never
// holds up the attempt or another caller.
package feed

import (
	"strings"
	"sync"
)

type (
	// Feed is the text of one answer so far. The zero value is empty.
	Feed struct {
		mu     sync.Mutex
		text   strings.Builder
		pieces int
		more   chan struct{}
	}
)

// Add appends a piece.
func (f *Feed) Add(piece string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text.WriteString(piece)
	f.pieces++
	if f.more != nil {
		close(f.more)
		f.more = nil
	}
}

// Extend appends what is new of a text that begins at byte at of the answer, and
// returns how many bytes the feed has. Text behind a gap is left out.
func (f *Feed) Extend(at int, text string) int {
	f.mu.Lock()
	have := f.text.Len()
	f.mu.Unlock()
	if at <= have && at+len(text) > have {
		f.Add(text[have-at:])
		return at + len(text)
	}
	return have
}

// Text returns the whole text so far.
func (f *Feed) Text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text.String()
}

// Pieces returns how many pieces were added.
func (f *Feed) Pieces() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pieces
}

// After returns the text behind the first n bytes, and a channel that is closed
// when there is more.
func (f *Feed) After(n int) (text string, more <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.more == nil {
		f.more = make(chan struct{})
	}
	return f.text.String()[n:], f.more
}
