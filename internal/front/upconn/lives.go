package upconn

import (
	"slices"
	"time"
)

const (
	// livesFor is how long it is remembered that a process has run.
	livesFor = time.Minute
	// maxLives bounds the starts of an upstream that are remembered.
	maxLives = 4
)

type (
	// process identifies what listens at an address, over all its starts.
	process struct{ upstreamID, address string }

	// life is a time in which one start of a process is known to have run without a gap: it accepted a
	// connection at its beginning, and answered a request that was sent at its end.
	life struct{ from, to time.Time }

	// lives are those of one process, disjoint, in order.
	lives []life
)

// NoteAnswer notes that the upstream has answered a request that was sent at the given time, over this
// connection.
func (p *Pool) NoteAnswer(c *Conn, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lives == nil {
		p.lives = map[process]lives{}
	}
	key := process{c.upstreamID, c.address}
	p.lives[key] = p.lives[key].with(life{c.Opened, sent})
}

// Since returns the earliest time since which the process at the other end of a connection is known to have
// run: two that have run at the same address at the same time are one. It is not later than Opened.
func (p *Pool) Since(c *Conn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since(c)
}

func (p *Pool) since(c *Conn) time.Time {
	for _, l := range p.lives[process{c.upstreamID, c.address}] {
		if !c.Opened.Before(l.from) && c.Opened.Before(l.to) {
			return l.from
		}
	}
	return c.Opened
}

// with returns the lives with another one, which is merged with those that overlap it.
func (ls lives) with(n life) lives {
	rest := ls[:0]
	for _, l := range ls {
		if l.to.Before(n.from) || l.from.After(n.to) {
			rest = append(rest, l)
			continue
		}
		if l.from.Before(n.from) {
			n.from = l.from
		}
		if l.to.After(n.to) {
			n.to = l.to
		}
	}
	rest = append(rest, n)
	slices.SortFunc(rest, func(a, b life) int { return a.from.Compare(b.from) })
	return rest[max(0, len(rest)-maxLives):]
}
