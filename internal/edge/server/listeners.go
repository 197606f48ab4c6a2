package server

import (
	"net"
	"sync"
)

type (
	// listeners are the listeners being served. After close, add refuses new ones:
	// fasthttp's shutdown closes only the listeners that it already has, so one that
	// is passed to Serve later, when a daemon is stopped during its start, would be
	// served forever and the daemon would never exit.
	listeners struct {
		mu     sync.Mutex
		list   []*onceListener
		closed bool
	}

	// onceListener is a listener whose Close may be called more than once.
	onceListener struct {
		net.Listener
		once sync.Once
	}
)

// add registers a listener; false means that the server has shut down.
func (p *listeners) add(l *onceListener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.list = append(p.list, l)
	}
	return !p.closed
}

// close closes all listeners and makes add refuse further ones.
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

// Close closes the listener on the first call.
func (p *onceListener) Close() (err error) {
	p.once.Do(func() { err = p.Listener.Close() })
	return err
}
