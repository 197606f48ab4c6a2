package duplex

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/early"
)

// scripted is a connection whose calls end when the script says so.
type scripted struct {
	net.Conn
	reads, writes chan error
}

func (c *scripted) Read([]byte) (int, error) { return 0, <-c.reads }

func (c *scripted) Write(p []byte) (int, error) {
	err := <-c.writes
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Guards against a part of a response that is read to an orderly end, since the error of the connection went to a write.
func TestEndWhileWriting(t *testing.T) {
	const during = 100 * time.Millisecond
	cases := map[string]struct {
		before, after []error       // results of the writes that end before the end of the input, and of those that end a while later
		announced     bool          // a further write has begun and not called Write yet
		read          error         // of the connection
		want          error         // io.EOF for an orderly end
		cause         error         // besides; nil for none
		took          time.Duration // of the read
	}{
		"nothing written":                      {read: io.EOF, want: io.EOF},
		"written":                              {before: []error{nil, nil}, read: io.EOF, want: io.EOF},
		"reset, taken by the write":            {before: []error{syscall.ECONNRESET}, read: io.EOF, want: ErrReset, cause: syscall.ECONNRESET},
		"reset, and written again":             {before: []error{nil, syscall.ECONNRESET, syscall.EPIPE}, read: io.EOF, want: ErrReset, cause: syscall.ECONNRESET},
		"closed by the other end, then reset":  {before: []error{syscall.EPIPE}, read: io.EOF, want: ErrReset, cause: syscall.EPIPE},
		"not acknowledged in time":             {before: []error{syscall.ETIMEDOUT}, read: io.EOF, want: ErrReset, cause: syscall.ETIMEDOUT},
		"reset, the write has yet to tell":     {after: []error{syscall.ECONNRESET}, read: io.EOF, want: ErrReset, cause: syscall.ECONNRESET, took: during},
		"the other end reads the rest":         {after: []error{nil}, read: io.EOF, want: io.EOF, took: during},
		"reset during the second write":        {before: []error{nil}, after: []error{syscall.ECONNRESET}, read: io.EOF, want: ErrReset, took: during},
		"the other end does not read the rest": {announced: true, read: io.EOF, want: io.EOF, took: time.Second},
		"interrupted":                          {after: []error{os.ErrDeadlineExceeded}, read: io.EOF, want: os.ErrDeadlineExceeded, took: during},
		"closed here":                          {after: []error{net.ErrClosed}, read: io.EOF, want: net.ErrClosed, took: during},
		"closed here after a reset":            {before: []error{syscall.ECONNRESET}, read: net.ErrClosed, want: ErrReset, cause: syscall.ECONNRESET},
		"reset, taken by the read":             {announced: true, read: syscall.ECONNRESET, want: syscall.ECONNRESET},
		"bytes":                                {announced: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &scripted{reads: make(chan error, 1), writes: make(chan error, 1)}
				conn := &Conn{Conn: s}
				for _, err := range c.before {
					s.writes <- err
					_, got := conn.Write(nil)
					is.Equal(got, err)
				}
				for _, err := range c.after {
					go func() { _, _ = conn.Write(nil) }()
					synctest.Wait()
					time.AfterFunc(during, func() { s.writes <- err })
				}
				if c.announced {
					defer conn.Begin()(nil)
				}
				s.reads <- c.read
				began := time.Now()
				_, err := conn.Read(nil)
				is.True(errors.Is(err, c.want))
				is.True(c.cause == nil || errors.Is(err, c.cause))
				is.Equal(errors.Is(err, io.EOF), errors.Is(c.want, io.EOF))
				is.Equal(errors.Is(err, ErrReset), errors.Is(c.want, ErrReset))
				is.Equal(time.Since(began), c.took)
			})
		})
	}
}

// Guards against the same over TCP, whichever call the error goes to.
func TestEndOverTCP(t *testing.T) {
	const rounds, length = 20, 8 << 20
	cases := map[string]struct {
		end   early.End
		whole bool
	}{
		"reset":               {early.Reset, false},
		"closed, then reset":  {early.CloseAndReset, false},
		"closed, read, ended": {early.ReadThenClose, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &early.Upstream{Answers: []early.Answer{{Response: "part", End: c.end}}}
			address, err := u.Listen(t.Context())
			is.NoErr(err)
			defer u.Close()
			for range rounds {
				got, err := exchange(t, address, length)
				is.Equal(string(got), "part")
				is.Equal(err == nil, c.whole)
			}
		})
	}
}

// exchange sends a request with a body of so many bytes, and reads to the end of the input meanwhile.
func exchange(t *testing.T, address string, length int) (got []byte, err error) {
	t.Helper()
	is := is.New(t)
	var d net.Dialer
	nc, err := d.DialContext(t.Context(), "tcp", address)
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	conn := &Conn{Conn: nc}
	end := conn.Begin()
	go func() {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
		if err == nil {
			_, err = conn.Write(make([]byte, length))
		}
		end(err)
	}()
	return io.ReadAll(conn)
}

// Guards against a part of a response that passes for the whole one when the other end takes no more of the request, and the kernel gives the connection up.
func TestEndOfAStalledWrite(t *testing.T) {
	const userTimeout, unread = 18, 100 // TCP_USER_TIMEOUT, and its value in milliseconds
	is := is.New(t)
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	go func() {
		if nc, err := ln.Accept(); err == nil {
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(nc, "part")
			<-t.Context().Done()
		}
	}()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, unread) })
	}}
	nc, dialErr := d.DialContext(context.WithoutCancel(t.Context()), "tcp", ln.Addr().String())
	is.NoErr(dialErr)
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	conn := &Conn{Conn: nc}
	end := conn.Begin()
	go func() {
		_, err := conn.Write(make([]byte, 16<<20))
		end(err)
	}()
	got, err := io.ReadAll(conn)
	is.Equal(string(got), "part")
	is.True(errors.Is(err, syscall.ETIMEDOUT))
}
