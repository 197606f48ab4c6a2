package server

import (
	"net"
	"time"
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
		timeout time.Duration
	}

	// silent drops the HTTP library's own log, which tells of broken
	// connections only.
	silent struct{}
)

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{Conn: c, timeout: l.timeout}, nil
}

// Write fails if the other end does not take the data in time.
func (c conn) Write(p []byte) (n int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Printf drops the line.
func (silent) Printf(string, ...any) {}
