package frontd

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that carry no request for the time that the
// configuration in force allows. The HTTP server's own timeout can't change while it serves, and
// callers reuse a connection for as long as the newest configuration lets them. Set Timeout
// before use.
type idleConns struct {
	Timeout func() time.Duration

	mu      sync.Mutex
	timers  map[net.Conn]*time.Timer
	expired map[net.Conn]bool // reads of these end at once
}

// ended is a deadline that has passed.
var ended = time.Unix(1, 0)

// track is the ConnState callback of the HTTP server.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if i.expired[c] {
		delete(i.expired, c)
		if s == http.StateActive {
			_ = c.SetReadDeadline(time.Time{}) // its request had been read before
		}
	}
	if s != http.StateIdle {
		return
	}
	if i.timers == nil {
		i.timers = map[net.Conn]*time.Timer{}
	}
	i.wait(c, time.Now())
}

// wait ends reads of the connection once it has been idle since then for long enough; the caller holds
// i.mu. The server closes it then, unless it has just read a request, which is served.
func (i *idleConns) wait(c net.Conn, since time.Time) {
	var t *time.Timer
	t = time.AfterFunc(time.Until(since.Add(i.Timeout())), func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		switch {
		case i.timers[c] != t: // in use again, or closed
		case time.Since(since) < i.Timeout(): // the configuration has changed
			i.wait(c, since)
		default:
			i.end(c)
		}
	})
	i.timers[c] = t
}

// end ends reads of the connection; the caller holds i.mu.
func (i *idleConns) end(c net.Conn) {
	delete(i.timers, c)
	if i.expired == nil {
		i.expired = map[net.Conn]bool{}
	}
	i.expired[c] = true
	_ = c.SetReadDeadline(ended)
}

// restart has all connections that are idle wait as if they were so from now on, for a Timeout that is shorter than before.
func (i *idleConns) restart() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, t := range maps.Clone(i.timers) {
		t.Stop()
		i.wait(c, time.Now())
	}
}
