package upstrm

import (
	"bytes"
	"net"
)

type (
	repeatListener struct {
		net.Listener
		u *Upstream
	}

	// repeatConn sends some refusals once more, before the next response.
	repeatConn struct {
		net.Conn
		u    *Upstream
		late []byte // a refusal that is sent before the next response; nil for none
	}
)

var (
	responseStart = []byte("HTTP/1.1 ")
	refusalHeader = []byte("\r\nNot-Executed: ")
)

// Listener returns a listener over whose connections the upstream repeats refusals, see RepeatEvery.
func (u *Upstream) Listener(ln net.Listener) net.Listener { return repeatListener{ln, u} }

func (l repeatListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatConn{Conn: conn, u: l.u}, nil
}

// Write sends p, which begins a response if it begins with a status line: the server writes the header of a
// response at once.
func (c *repeatConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, responseStart) {
		return c.Conn.Write(p)
	}
	late := c.late
	c.late = nil
	if bytes.Contains(p, refusalHeader) && isNth(c.u.refusals.Add(1), &c.u.RepeatEvery) {
		c.late = bytes.Clone(p)
	}
	if len(late) > 0 {
		if _, err := c.Conn.Write(late); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
