package upstrm

import (
	"bufio"
	"bytes"
	"net"
	"net/textproto"

	"github.com/slaterock/slaterock/internal/fake/broken"
)

type (
	repeatListener struct {
		net.Listener
		u *Upstream
	}

	// repeatConn sends some refusals once more, before the next response, and some responses broken.
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

// Listener returns a listener over whose connections the upstream repeats refusals and spoils responses, see RepeatEvery
// and SpoilEvery.
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
	whole := len(p)
	if n := c.u.responses.Add(1); isNth(n, &c.u.SpoilEvery) {
		c.u.RunLog.addSpoiled(p)
		p = []byte(broken.Nth(string(p), n/c.u.SpoilEvery.Load()))
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
	if _, err := c.Conn.Write(p); err != nil {
		return 0, err
	}
	return whole, nil
}

// addSpoiled notes that a response is sent broken, of which this is the beginning, unless it is a refusal.
func (l *RunLog) addSpoiled(response []byte) {
	_, fields, _ := bytes.Cut(response, []byte("\r\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil || h.Get("Server-Signature") == "" {
		return
	}
	l.addCut(h.Get("Request-Id"))
}

// addCut notes that the response of an execution of the attempt is not sent whole.
func (l *RunLog) addCut(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spoiled == nil {
		l.spoiled = map[string]int{}
	}
	l.spoiled[id]++
}

// Spoiled returns how many responses of an attempt's executions were sent broken, or cut while the request was being written.
func (l *RunLog) Spoiled(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spoiled[id]
}
