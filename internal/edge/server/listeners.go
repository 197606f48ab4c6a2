package server

import (
	"net"
	"sync"
)

type (
	// ports are the listeners that are served. The HTTP library closes those that it
	// knows when it shuts down. One that it is given a moment later, while the daemon
	// is still starting, it would serve for ever, and the daemon would never end.
	listeners struct {
		mu     sync.Mutex
		list   []*onceListener
		closed bool
	}

	// port is a listener that may be closed twice.
	onceListener struct {
		net.Listener
		once sync.Once
	}
)

// open keeps a listener, and is false if there is nothing to be served any more.
func (p *listeners) add(l *onceListener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.list = append(p.list, l)
	}
	return !p.closed
}

// close closes all listeners, those that come later, too.
func (p *listeners) close() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.list {
		if failed := l.Close(); err == nil {
			err = failed
		}
	}
	return err
}

// Close refuses new connections.
func (p *onceListener) Close() (err error) {
	p.once.Do(func() { err = p.Listener.Close() })
	return err
}
