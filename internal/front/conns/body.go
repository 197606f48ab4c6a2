package conns

import (
	"context"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/memory"
)

var (
	// ErrBodyTooLong reports a body that is longer than its bound.
	ErrBodyTooLong = errors.New("body is longer than its bound")
	// ErrBodyTimeout reports a body that did not arrive in time.
	ErrBodyTimeout = errors.New("body did not arrive in time")
)

// bodyReader reads a body that moves its client.
type bodyReader struct {
	body   io.Reader
	client *memory.Client
	length int64 // of the body, as far as it is known
}

func (b *bodyReader) Read(p []byte) (n int, err error) {
	n, err = b.body.Read(p)
	if n > 0 {
		b.client.Receive(n, b.length)
	}
	return n, err
}

// ReadBody reads the body of the request, of limit bytes at most. It takes the length that is announced before it
// reads, and the limit for a body without one (a negative length) that turns out to be long; the connection holds that
// until the request is over. It fails with memory.ErrNone if there is no room in time, with memory.ErrShed if the client had to give
// way, with ErrBodyTooLong, and with ErrBodyTimeout if the body is not whole at the deadline of ctx. The request
// must not run then.
func (c *Conn) ReadBody(ctx context.Context, r io.Reader, length, limit int64) (body []byte, err error) {
	defer func() {
		if err = c.explain(ctx, err); err != nil {
			c.dropBody()
		}
	}()
	switch {
	case length == 0:
		return nil, nil
	case length > limit:
		return nil, errors.Wrapf(ErrBodyTooLong, "%d bytes", limit)
	}
	if until, set := ctx.Deadline(); set {
		_ = c.SetReadDeadline(until) // a connection that is closed fails the read
	}
	if !c.client.Move(memory.Body) { // from here on it may have to give way, which ends the read
		return nil, memory.ErrShed
	}
	if length > 0 {
		body, err = c.readLength(ctx, r, length)
	} else {
		body, err = c.readChunks(ctx, r, limit)
	}
	if err != nil {
		return nil, err
	}
	if !c.client.Move(memory.Running) {
		return nil, memory.ErrShed
	}
	c.noteWhole()
	return body, nil
}

// explain tells why a body is not whole. The reader may hide why the connection was not read on.
func (c *Conn) explain(ctx context.Context, err error) error {
	switch {
	case err == nil || errors.IsAny(err, memory.ErrShed, memory.ErrNone, ErrBodyTooLong):
		return err
	case !c.client.Move(memory.Running):
		return errors.Mark(err, memory.ErrShed)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errors.Mark(err, ErrBodyTimeout)
	default:
		return err
	}
}

// readLength reads a body of n bytes.
func (c *Conn) readLength(ctx context.Context, r io.Reader, n int64) (body []byte, err error) {
	if err = c.takeBody(ctx, n); err != nil {
		return nil, err
	}
	body = make([]byte, n)
	_, err = io.ReadFull(&bodyReader{body: r, client: &c.client, length: n}, body)
	return body, err
}

// readChunks reads a body whose length is not announced.
func (c *Conn) readChunks(ctx context.Context, r io.Reader, limit int64) (body []byte, err error) {
	short := min(memory.Short, limit)
	if err = c.takeBody(ctx, short); err != nil {
		return nil, err
	}
	from := &bodyReader{body: r, client: &c.client, length: short}
	body, err = io.ReadAll(io.LimitReader(from, short))
	if err != nil || int64(len(body)) < short {
		c.giveBody(short, int64(len(body)))
		return body, err
	}
	room := min(limit, c.client.MostBody()) // the body may well be shorter than it may be
	if err = c.takeBody(ctx, room); err != nil {
		return nil, err
	}
	c.giveBody(short, 0)
	from.length = room
	long := make([]byte, room+1) // a byte more shows that it is too long
	n, err := fill(from, long, copy(long, body))
	switch {
	case err == nil && room < limit:
		return nil, memory.ErrNone
	case err == nil:
		return nil, errors.Wrapf(ErrBodyTooLong, "%d bytes", limit)
	case !errors.Is(err, io.EOF):
		return nil, err
	case int64(n) > room/2:
		return long[:n], nil
	default:
		c.giveBody(room, int64(n))
		return slices.Clone(long[:n]), nil
	}
}

// fill reads into p from position n on until it is full, and returns where it ended. Its error is io.EOF only at the
// end of a whole body.
func fill(r io.Reader, p []byte, n int) (int, error) {
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// takeBody takes n bytes for a body, for which a long one waits.
func (c *Conn) takeBody(ctx context.Context, n int64) error {
	if n <= memory.Short {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.grow(n) {
			return memory.ErrNone
		}
		return nil
	}
	if err := c.client.WaitBody(ctx, n); err != nil {
		return err
	}
	c.setBuffers(bodyBuffer, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body += n
	return nil
}

// TakeHistory takes n bytes for the history of a request, besides its body, until the request is over. It fails with
// memory.ErrNone if there is no room in time.
func (c *Conn) TakeHistory(ctx context.Context, n int64) error {
	if err := c.client.WaitBody(ctx, n); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body += n
	return nil
}

// giveBody returns what a body of length n did not need of what was taken.
func (c *Conn) giveBody(taken, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if taken <= memory.Short {
		c.client.Give(memory.Requests, taken-n)
		c.request -= taken - n
		return
	}
	c.client.Give(memory.Bodies, taken-n)
	c.body -= taken - n
}

// dropBody returns all that was taken for a long body.
func (c *Conn) dropBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body > 0 {
		c.setBuffers(readBuffer, 0)
	}
	c.client.Give(memory.Bodies, c.body)
	c.body = 0
}

// noteWhole notes that the body has been read.
func (c *Conn) noteWhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = false
	if c.body > 0 {
		c.setBuffers(readBuffer, 0)
	}
}

// Refuse prepares a response to a request whose body may not have been read, and reports whether that is so: the HTTP server
// reads the rest of it before it answers, and a client that sends no more would have it wait.
func (c *Conn) Refuse() (unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // a connection that is closed fails the read
	}
	return c.unread
}
