// Package duplex is for connections that are read while a request is still being written.
//
// When the other end resets a connection, or leaves bytes unacknowledged for too long, the socket reports that once, to
// the call that comes first. If that is a write, a read behind it returns the end of the input, as after an orderly
// close, and a body that ends with its connection looks whole. Conn reports the end of the input only if no write has failed.
package duplex

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// settleTime is how long the end of the input waits for a write. The other end resets a connection that it has closed
// as soon as more bytes arrive there; one that has only closed its side may take long to read the rest.
const settleTime = time.Second

// ErrReset reports a connection that failed while it was written. What was read from it may be a part.
var ErrReset = errors.New("connection failed during a write")

// Conn is a connection whose end of the input is orderly. Set Conn before use.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	writes  int           // in progress
	settled chan struct{} // closed when none is in progress any more; nil while no read waits
	failure error         // of the first write that failed
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	end := c.Begin()
	defer func() { end(err) }()
	return c.Conn.Write(p)
}

// Begin begins a write that consists of several calls of Write, or that has not called it yet. The caller calls end with
// its result, once.
func (c *Conn) Begin() (end func(err error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	return c.end
}

func (c *Conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
	if c.writes--; c.writes == 0 && c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
}

// Read implements net.Conn. At the end of the input, it waits for writes in progress, no longer than settleTime. If one has
// failed, the error is that of the write, and wraps ErrReset unless this end has closed the connection, or its deadline has
// passed. A write that is still in progress has not failed: the other end keeps the connection, and has sent all that it will.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		c.settle()
		return n, c.cause(err)
	case errors.Is(err, net.ErrClosed): // perhaps because a write has failed
		return n, c.cause(err)
	default:
		return n, err
	}
}

// settle waits until no write is in progress, but no longer than settleTime.
func (c *Conn) settle() {
	settled := c.whenSettled()
	if settled == nil {
		return
	}
	late := time.NewTimer(settleTime)
	defer late.Stop()
	select {
	case <-settled:
	case <-late.C:
	}
}

// whenSettled returns what is closed when no write is in progress any more, nil if none is.
func (c *Conn) whenSettled() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > 0 && c.settled == nil {
		c.settled = make(chan struct{})
	}
	return c.settled
}

// cause returns the error of a read that got end: that of a write that failed before, or else end itself.
func (c *Conn) cause(end error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.failure == nil:
		return end
	case errors.Is(c.failure, net.ErrClosed), errors.Is(c.failure, os.ErrDeadlineExceeded):
		return c.failure
	default:
		return fmt.Errorf("%w: %w", ErrReset, shorten(c.failure))
	}
}

// shorten returns the error of the system in err, without the addresses, or else err itself.
func shorten(err error) error {
	var code syscall.Errno
	if errors.As(err, &code) {
		return code
	}
	return err
}
