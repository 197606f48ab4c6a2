// Package upconn keeps connections to upstreams.
//
// A general HTTP client sends some requests again by itself, hides whether a
// byte has left, and reads whatever comes over a kept connection as the next
// answer. A request that must run at most once allows none of this. Conn carries
// one request and tells what left; Pool keeps connections between requests and
// gives none that the upstream has closed or over which something came unasked.
package upconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTime bounds a connect; within a region it takes a millisecond.
	dialTimeout = 700 * time.Millisecond
	// A connection on which probes stay unanswered is dropped after about
	// probeIdle + probeCount*probeEvery.
	probeIdle      = 2 * time.Second
	probeEvery     = time.Second
	probeCount     = 2
	unackedTimeout = 3 * time.Second
	// tcpUserTimeout is the option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18

	// idleMargin is kept to the time at which the upstream closes an idle
	// connection: a request that crosses the close may or may not have run.
	idleMargin = 300 * time.Millisecond
	// defaultIdle holds for an upstream that tells no time.
	defaultIdle = 700 * time.Millisecond
)

type (
	// Pool keeps idle connections. The zero value is ready.
	Pool struct {
		Dial func(ctx context.Context, address string) (net.Conn, error) // nil for TCP

		mu     sync.Mutex
		idle   map[string][]*Conn // by address, the longest idle first
		opened int64
	}
)

// Take returns a connection to the upstream: a kept one if there is one that
// can be used, else a new one.
func (p *Pool) Get(ctx context.Context, id, address string) (*Conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.upstreamID == id && time.Now().Before(c.idleUntil) && c.reusable() {
			c.Reused = true
			c.sent.Store(false)
			return c, nil
		}
		c.Close()
	}
	dial := p.Dial
	if dial == nil {
		dial = connect
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &Conn{net: nc, br: bufio.NewReaderSize(nc, readBuffer), address: address, upstreamID: id}, nil
}

// Keep takes a connection back whose answer has been read whole. Idle is how
// long the upstream keeps it, 0 if it did not tell.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdle
	}
	if !c.written() || c.br.Buffered() > 0 || idle <= idleMargin || c.Deadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idle - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// pop takes the connection used last, which is the least likely to be closed.
func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Idle tells whether a connection to the address is kept unused.
func (p *Pool) Idle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// Sweep closes idle connections whose time is over. It is called every second or so.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
