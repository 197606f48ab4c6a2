// Package upconn pools HTTP/1.1 connections to upstreams.
//
// A general HTTP client retries some requests by itself, hides whether any byte was
// written, and reads whatever an idle connection receives as the next response. None
// of this is acceptable for a request that must run at most once. Conn carries one request
// at a time and reports whether any of it was written. Pool keeps idle connections, and
// hands out none that the upstream has closed or over which it sent unsolicited bytes.
package upconn

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/plat/duplex"
)

const (
	// dialTimeout bounds a connect, which takes a millisecond within a region.
	dialTimeout = 700 * time.Millisecond
	// A connection whose keep-alive probes are not acknowledged is closed after about
	// probeIdle + probeCount*probeEvery.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 2
	// unackedTimeout is the TCP_USER_TIMEOUT of connections: how long sent bytes may
	// remain unacknowledged.
	unackedTimeout = 3 * time.Second
	// tcpUserTimeout is the option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18

	// idleMargin is how long before the upstream's idle timeout a connection is
	// closed here: a request sent while the upstream closes it may or may not run.
	idleMargin = 300 * time.Millisecond
	// defaultIdle is the idle timeout of an upstream that states none.
	defaultIdle = 700 * time.Millisecond
)

type (
	// Pool keeps idle connections. The zero value is ready.
	Pool struct {
		Dial func(ctx context.Context, address string) (net.Conn, error) // nil for TCP

		mu     sync.Mutex
		idle   map[string][]*Conn // by address, least recently used first
		lives  map[process]lives
		opened int64

		unsolicited atomic.Int64
	}

	// Wanted tells which idle connections are preferred: those to a process that ran at some moment. The
	// zero value is all.
	Wanted struct {
		By   time.Time // the process is known to have run by then; zero for any
		UpTo int64     // highest Conn.Number: it was established before the next one; 0 for any
	}
)

// Get returns a connection to the upstream with this id and address: a reusable idle one if
// there is one, and a new one otherwise.
func (p *Pool) Get(ctx context.Context, id, address string) (*Conn, error) {
	return p.GetWanted(ctx, id, address, Wanted{})
}

// GetWanted does what Get does, but prefers an idle connection that is wanted.
func (p *Pool) GetWanted(ctx context.Context, id, address string, wanted Wanted) (*Conn, error) {
	for {
		c := p.pop(address, wanted)
		if c == nil {
			break
		}
		ok, unsolicited := c.reusable()
		if unsolicited {
			p.unsolicited.Add(1)
		}
		if ok && c.upstreamID == id && time.Now().Before(c.idleUntil) {
			c.Reuse()
			return c, nil
		}
		c.Close()
	}
	return p.open(ctx, id, address)
}

func (p *Pool) open(ctx context.Context, id, address string) (*Conn, error) {
	dial := p.Dial
	if dial == nil {
		dial = connect
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := newConn(nc, id, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	c.Number = p.opened
	return c, nil
}

func newConn(nc net.Conn, id, address string) *Conn {
	c := &Conn{Opened: time.Now(), net: nc, rw: &duplex.Conn{Conn: nc}, address: address, upstreamID: id}
	c.in.conn = c.rw
	c.br = bufio.NewReaderSize(&c.in, readBuffer)
	return c
}

// Probe opens a new connection to the upstream, and keeps it for the next request. The error is
// that of the connect. Idle connections tell nothing: their end may not have been received yet.
func (p *Pool) Probe(ctx context.Context, id, address string) error {
	c, err := p.open(ctx, id, address)
	if err != nil {
		return err
	}
	p.Put(c, 0)
	return nil
}

// Put returns a connection whose response was read completely. Idle is the upstream's idle
// timeout, 0 if it stated none. A connection that cannot be reused is closed.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdle
	}
	if !c.Written() || c.Unread() > 0 || idle <= idleMargin || c.Deadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idle - idleMargin)
	p.keep(c)
}

// PutBack returns a connection that Get returned and over which nothing was sent. Its idle time goes on.
func (p *Pool) PutBack(c *Conn) {
	c.idleUntil = c.idleEnd()
	p.keep(c)
}

func (p *Pool) keep(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// pop removes the most recently used connection, which is the least likely to be closed, of those that
// are wanted, or else of all. It returns nil if there is none.
func (p *Pool) pop(address string, wanted Wanted) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	i := p.findWanted(list, wanted)
	if i < 0 {
		i = len(list) - 1
	}
	c := list[i]
	p.idle[address] = slices.Delete(list, i, i+1)
	return c
}

// findWanted returns the index of the most recently used connection that is wanted, -1 if there is none.
func (p *Pool) findWanted(list []*Conn, wanted Wanted) int {
	for i := len(list) - 1; i >= 0; i-- {
		if wanted.By.IsZero() || !p.since(list[i]).After(wanted.By) {
			if wanted.UpTo == 0 || list[i].Number <= wanted.UpTo {
				return i
			}
		}
	}
	return -1
}

// Idle reports whether there is an idle connection to the address.
func (p *Pool) Idle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// CloseExpired closes connections that have been idle for too long. It is to be called about
// once a second.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, l := range p.lives {
		if now.Sub(l[len(l)-1].to) > livesFor {
			delete(p.lives, key)
		}
	}
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

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Unsolicited returns how many idle connections were closed so far because bytes had come over them: an
// upstream has sent more than the responses that it owed.
func (p *Pool) Unsolicited() int64 { return p.unsolicited.Load() }
