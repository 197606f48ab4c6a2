package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/plat/duplex"
	"github.com/slaterock/slaterock/internal/plat/head"
)

const (
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the response is read.
	// It fits a connection's window, so the write cannot block on an upstream
	// that responds before it reads.
	inlineBody = 8 << 10
	// maxDiscarded is the number of bytes after which ClosedByPeer takes the upstream for one
	// that is still sending.
	maxDiscarded = 64 << 10
)

// MaxHead bounds the header of a response, with all informational ones before it, in bytes.
const MaxHead = 64 << 10

var (
	// ErrHeadTooLong reports a response whose header is longer than MaxHead.
	ErrHeadTooLong = errors.Newf("header of the response is longer than %d bytes", MaxHead)
	// ErrBodyTooLong reports a body that is longer than its bound.
	ErrBodyTooLong = errors.New("body is longer than its bound")

	errTwoHeads = errors.New("header of the response was cut, and another response follows within it")
	statusLine  = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)
)

type (
	// headReader reads from a connection, no more than left bytes while it is bounded. It passes on no bytes of a
	// broken head.
	headReader struct {
		conn    io.Reader
		left    int
		bounded bool
		checker head.Checker
	}

	// Conn is a connection to an upstream. It carries one request at a time.
	Conn struct {
		Reused bool      // it has carried a request before
		Opened time.Time // when it was established
		Start  int64     // of the process at the other end, as it has stated, in Unix milliseconds; 0 if it has not
		Number int64     // of the connections of its pool, in the order in which they were established, from 1

		net        net.Conn
		rw         *duplex.Conn // of net, for all reads and writes of requests and responses
		in         headReader
		br         *bufio.Reader // of in
		address    string
		upstreamID string // the upstream that was dialled; another one may have the same address later
		idleUntil  time.Time
		sent       atomic.Bool
		cut        bool       // a write in the foreground failed
		writing    chan error // result of a write in the background; nil for none
	}

	// Request is an HTTP request to an upstream.
	Request struct {
		Method string
		Target string // path and query, as the caller sent them
		Host   string
		Header http.Header
		Body   []byte
	}
)

// Send writes the request; a large one is written in the background. After an error and Close, Sent
// reports whether any of it may have reached the upstream.
func (c *Conn) Send(r Request) error {
	var b bytes.Buffer
	long := len(r.Body) > inlineBody
	if !long {
		b.Grow(1024 + len(r.Body))
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	c.writing = nil
	if !long {
		b.Write(r.Body)
		err := c.write(b.Bytes())
		c.cut = err != nil
		return err
	}
	done := make(chan error, 1)
	c.writing = done
	end := c.rw.Begin()
	go func() {
		err := c.writeParts(b.Bytes(), r.Body) // a long body is not copied
		end(err)
		done <- err
	}()
	return nil
}

func (c *Conn) write(p []byte) error {
	n, err := c.rw.Write(p)
	if n > 0 {
		c.sent.Store(true)
	}
	return err
}

func (c *Conn) writeParts(head, body []byte) error {
	if err := c.write(head); err != nil {
		return err
	}
	return c.write(body)
}

// Sent reports whether any byte of the request was written. It waits for a write in the background, which
// ends at once after Close.
func (c *Conn) Sent() bool {
	if c.writing != nil {
		err := <-c.writing
		c.writing <- err // for later calls, and for Written
	}
	return c.sent.Load()
}

// Receive reads the header of the response, whose body is still to be read.
// Informational responses (1xx) are skipped. It fails with ErrHeadTooLong if all these headers are
// longer than MaxHead, with a *head.Error if one of them is broken, and if the header was cut and goes
// on with that of another response. After an error, only Close may be called.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.in.left, c.in.bounded, c.in.checker = MaxHead, true, head.Checker{NoBody: method == http.MethodHead}
	defer func() { c.in.bounded = false }()
	received, _ := c.br.Peek(c.br.Buffered()) // with the response before; can't fail
	if _, err := c.in.checker.Check(received); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil && c.in.left == 0 && c.in.checker.Err() == nil {
			return nil, ErrHeadTooLong // some errors are about the line that was cut
		}
		if err != nil {
			return nil, c.Cause(err)
		}
		if resp.StatusCode < 200 {
			continue
		}
		if hasStatusLine(resp) {
			return nil, errTwoHeads
		}
		return resp, nil
	}
}

// Cause returns the cause of an error in reading the response: a *head.Error after broken bytes, which a library may hide, and
// else err itself.
func (c *Conn) Cause(err error) error {
	if broken := c.in.checker.Err(); broken != nil {
		return broken
	}
	return err
}

// hasStatusLine reports whether the reason or a field of the header has the first line of another response at its end.
func hasStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

func (r *headReader) Read(p []byte) (n int, err error) {
	if !r.bounded {
		return r.checker.Read(r.conn, p)
	}
	if r.left == 0 {
		return 0, ErrHeadTooLong
	}
	n, err = r.checker.Read(r.conn, p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// Reuse prepares the connection for a further request, once the response to the last one was read.
func (c *Conn) Reuse() {
	c.Reused = true
	c.sent.Store(false)
}

// Interrupt makes reads and writes fail at once, including those in progress.
func (c *Conn) Interrupt() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

// Deadline sets the deadline of reads and writes; the zero time is none.
func (c *Conn) Deadline(t time.Time) error { return c.net.SetDeadline(t) }

// Close closes the connection. Do not call Pool.Put after it.
func (c *Conn) Close() { _ = c.net.Close() }

// Written reports whether the whole request has been written.
func (c *Conn) Written() bool {
	if c.writing == nil {
		return !c.cut
	}
	select {
	case err := <-c.writing:
		if err != nil {
			c.writing <- err // for later calls
			return false
		}
		c.writing = nil
		return true
	default:
		return false
	}
}

// Unread returns how many bytes were received and not read yet.
func (c *Conn) Unread() int { return c.br.Buffered() }

// reusable reports whether an idle connection is still open and has received nothing. Unsolicited bytes
// would be read as the response to the next request; it also reports whether such have come.
func (c *Conn) reusable() (ok, unsolicited bool) {
	if c.br.Buffered() > 0 {
		return false, true
	}
	sc, isSocket := c.net.(syscall.Conn)
	if !isSocket {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var p [1]byte
		n, _, err := syscall.Recvfrom(int(fd), p[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok, unsolicited = errors.Is(err, syscall.EAGAIN), n > 0
		return true
	})
	return err == nil && ok, unsolicited
}

// IsOpen reports whether a connection over which nothing is under way is still open: the process at its
// other end goes on. One over which unsolicited bytes came can't be used any more.
func (c *Conn) IsOpen() bool {
	if _, isSocket := c.net.(syscall.Conn); isSocket {
		ok, unsolicited := c.reusable()
		if !unsolicited {
			return ok
		}
		defer c.Close()
		return !c.ClosedByPeer()
	}
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // fails like the read if it is closed
	var p [1]byte
	n, err := c.net.Read(p[:])
	_ = c.net.SetReadDeadline(time.Time{})
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

// IdleIsOver reports whether the upstream may have closed the connection, over which nothing is under way, since
// it was idle for too long.
func (c *Conn) IdleIsOver(now time.Time) bool { return !now.Before(c.idleEnd()) }

// idleEnd returns until when the upstream keeps the connection at least, if nothing is sent over it.
func (c *Conn) idleEnd() time.Time {
	if !c.Reused {
		return c.Opened.Add(defaultIdle - idleMargin)
	}
	return c.idleUntil
}

// ClosedByPeer reports whether the upstream has closed the connection, for example because its
// process has ended. It discards what the upstream sent before, so only Close may be called after it.
func (c *Conn) ClosedByPeer() (closed bool) {
	sc, ok := c.net.(syscall.Conn)
	if !ok || c.net.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var p [4 << 10]byte
	err = raw.Read(func(fd uintptr) bool {
		for range maxDiscarded / len(p) {
			n, _, err := syscall.Recvfrom(int(fd), p[:], syscall.MSG_DONTWAIT)
			if err != nil || n == 0 {
				closed = !errors.Is(err, syscall.EAGAIN)
				break
			}
		}
		return true
	})
	return err == nil && closed
}

// connect dials an upstream. TCP detects a dead connection: by keep-alive probes while
// nothing is sent, and by TCP_USER_TIMEOUT while bytes are unacknowledged.
func connect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			ctrl := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout/time.Millisecond))
			})
			return errors.CombineErrors(ctrl, err)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// ReadAll reads a whole body, into a buffer of the length that is expected. It fails with ErrBodyTooLong if the body is
// longer than limit bytes.
func ReadAll(r io.Reader, expected, limit int64) ([]byte, error) {
	// Without bytes.MinRead more the buffer would grow to find the end.
	return ReadInto(make([]byte, 0, min(expected, limit)+bytes.MinRead), r, limit)
}

// ReadInto does the same into a buffer that is given.
func ReadInto(buffer []byte, r io.Reader, limit int64) ([]byte, error) {
	b := bytes.NewBuffer(buffer[:0])
	_, err := b.ReadFrom(io.LimitReader(r, limit+1))
	if err == nil && int64(b.Len()) > limit {
		return nil, errors.Wrapf(ErrBodyTooLong, "%d bytes", limit)
	}
	return b.Bytes(), err
}

// Discard reads a whole body without keeping it. It fails with ErrBodyTooLong if the body is longer than
// limit bytes.
func Discard(r io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		return errors.Wrapf(ErrBodyTooLong, "%d bytes", limit)
	}
	return err
}
