// Package feed passes the text of one answer from the attempt that receives it to the callers
// that wait for it.
//
// A caller may join at any time: it first reads the text received so far, then each further
// piece. A feed keeps the whole text, so a slow caller delays neither the attempt nor other
// callers.
package feed

import (
	"strings"
	"sync"
)

type (
	// Feed is the text received so far of one answer. The zero value is empty.
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

// Extend appends the part of text that the feed doesn't have yet, and returns the feed's length
// in bytes. The text starts at byte offset of the answer; it is ignored if that is beyond the
// feed's end.
func (f *Feed) Extend(offset int, text string) int {
	f.mu.Lock()
	have := f.text.Len()
	f.mu.Unlock()
	if offset <= have && offset+len(text) > have {
		f.Add(text[have-offset:])
		return offset + len(text)
	}
	return have
}

// Text returns the text received so far.
func (f *Feed) Text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text.String()
}

// Pieces returns the number of pieces added.
func (f *Feed) Pieces() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pieces
}

// After returns the text after the first n bytes, and a channel that is closed when a piece is
// added.
func (f *Feed) After(n int) (text string, more <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.more == nil {
		f.more = make(chan struct{})
	}
	return f.text.String()[n:], f.more
}
