// Package memory bounds the bytes of long responses that a front holds at a time.
//
// Each response has a bound of its own, but hundreds are under way. Short ones need no leave; a long one
// takes its bound from a common budget once it turns out to be long, and waits until that much is free.
// So one that has begun to grow goes on to its end, and short ones are never held up by long ones.
package memory

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// Short is the length up to which a response, or an event of a stream, needs no leave, in bytes.
	Short = 64 << 10
	// Longest is the most that may be taken at once, in bytes.
	Longest = 16 << 20
	// share is the part of the VM's memory that long responses may take. Growing buffers are copied, so
	// they take up to twice that.
	share = 8
)

// ErrNone reports that no memory was free for a long response in time.
var ErrNone = errors.New("no memory for a long response")

// Budget is the memory for long responses. The zero value has room for one of the longest.
type Budget struct {
	VM int64 // memory of the VM, in bytes; set before use

	once sync.Once
	free *semaphore.Weighted
}

// Limit returns the bytes that may be taken at a time.
func (b *Budget) Limit() int64 { return max(b.VM/share, Longest) }

// Take takes n bytes, at most Longest, once they are free. It fails with ErrNone if ctx ends before.
func (b *Budget) Take(ctx context.Context, n int64) error {
	return errors.Mark(b.semaphore().Acquire(ctx, n), ErrNone)
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) { b.semaphore().Release(n) }

func (b *Budget) semaphore() *semaphore.Weighted {
	b.once.Do(func() { b.free = semaphore.NewWeighted(b.Limit()) })
	return b.free
}
