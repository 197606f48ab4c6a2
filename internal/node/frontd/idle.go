package frontd

import (
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

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// track is the ConnState callback of the HTTP server.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if i.timers == nil {
		i.timers = map[net.Conn]*time.Timer{}
	}
	i.wait(c, time.Now())
}

// wait closes the connection once it has been idle since then for long enough; the caller holds
// i.mu.
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
			delete(i.timers, c)
			_ = c.Close()
		}
	})
	i.timers[c] = t
}
