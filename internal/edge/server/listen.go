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
	// listener bounds each write to a caller. The HTTP library bounds a whole
	// answer instead, which would cut a healthy stream that lasts long; without
	// any bound a caller that stopped reading would hold its call for ever.
	listener struct {
		net.Listener
		timeout time.Duration
	}

	conn struct {
		net.Conn
		timeout      time.Duration
		drainOnClose bool // its request was refused before it was read to its end
	}

	// silent drops the HTTP library's own log, which tells of broken
	// connections only.
	discardLogger struct{}
)

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, timeout: l.timeout}, nil
}

// Write fails if the other end does not take the data in time.
func (c *conn) Write(p []byte) (n int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close takes in, for a moment, what the other end is still sending. Closing
// with data unread makes the system reset the connection, and the refusal that
// was just written would be lost with it: the caller would see a broken
// connection and not why.
func (c *conn) Close() error {
	if c.drainOnClose {
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
