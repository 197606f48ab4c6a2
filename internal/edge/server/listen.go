package server

import (
	"io"
	"net"
	"time"
)

const (
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 1 << 20
)

type (
	// deadlineListener sets a deadline for each write to a caller. fasthttp's write
	// timeout covers a whole response instead and would cut a long healthy
	// stream. Without any deadline a caller that stopped reading would block its
	// call forever.
	deadlineListener struct {
		net.Listener
		timeout time.Duration
	}

	conn struct {
		net.Conn
		timeout       time.Duration
		lingerOnClose bool // its request was refused before it was read completely
	}

	// discardLogger drops fasthttp's own log, which only reports broken
	// connections.
	discardLogger struct{}
)

// Accept returns the next connection, with a deadline on each of its writes.
func (l deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, timeout: l.timeout}, nil
}

// Write fails with os.ErrDeadlineExceeded if the peer does not accept the data
// within the timeout.
func (c *conn) Write(p []byte) (n int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close first reads and discards what the peer is still sending, up to lingerTime
// and lingerBytes, if the request was refused early. Closing a socket with unread
// data makes the kernel send a reset, which can destroy the error response that
// was just written: the caller would see a broken connection without the reason.
func (c *conn) Close() error {
	if c.lingerOnClose {
		if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = w.CloseWrite()
		}
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// Printf drops the line.
func (discardLogger) Printf(string, ...any) {}
