// Package quorum reads and writes durable records at the holders, for a daemon
// that serves callers.
//
// A write goes to f+1 places of the roster, and to others as soon as one fails or
// is slower than most, so that a slow disk delays nobody for long; it is
// acknowledged once f+1 have synced it. A read asks the nearest of these places
// first. That a turn does not exist is certain only after so many places have said
// so that they would include one with every acknowledged write.
package quorum

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/holder"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// placeTime bounds one request to one place. Slow disks take 150 ms, and
	// hang for seconds; a write that comes late is still of use.
	placeTime = 2500 * time.Millisecond
	// hedgeWrite is the least time after which a write that is not durable also
	// goes to the next place: on the slowest disks a sync takes 5 ms and may wait
	// for another.
	hedgeWrite = 20 * time.Millisecond
	// hedgeRead is the same of a read: a healthy place answers in 2 ms.
	hedgeRead = 25 * time.Millisecond
	// tryPause is kept between tries, so that a roster that just changed is learnt.
	tryPause = 40 * time.Millisecond
)

var (
	// ErrNoTurn reports a turn that certainly does not exist.
	ErrNoTurn = errors.New("no such turn")
	// ErrUnsure reports that too few places answered.
	ErrUnsure = errors.New("too few holders of records answer")
)

type (
	// Client is the daemon's access to the records.
	Client struct {
		Peer    func(address string) link.Invoker
		Roster  func() roster.Roster
		Learn   func(data []byte)         // takes a roster that a holder told
		Refresh func(ctx context.Context) // reads the roster from the store, at most now and then
		Domain  string                    // own failure domain

		writes paces
		reads  paces
	}

	// Result is what a write has learnt.
	Result struct {
		Shares []book.Share // of the program, what any place knows
	}

	reply struct {
		place roster.Place
		write holder.WriteReply
		read  holder.ReadReply
		err   error
	}
)

// Write makes a record durable. After an error it may be durable or not. The
// result of a reservation has what every acknowledged reservation of the program
// before it takes; that of other records may lack some.
func (c *Client) Write(ctx context.Context, rec book.Record) (res Result, err error) {
	defer func() { err = errors.Wrapf(err, "write record of %s", rec.Attempt) }()
	for {
		var stale bool
		if res, stale, err = c.write(ctx, rec); err == nil || ctx.Err() != nil {
			return res, err
		}
		if !c.again(ctx, stale) {
			return res, err
		}
	}
}

// again waits before the next try, and has a roster that may be old read anew. It
// is false if ctx has ended.
func (c *Client) again(ctx context.Context, stale bool) bool {
	if stale {
		c.Refresh(ctx)
	}
	return pause.For(ctx, tryPause)
}

func (c *Client) write(ctx context.Context, rec book.Record) (res Result, stale bool, err error) {
	r := c.Roster()
	if len(r.Places) < r.Writes() || len(r.Places) == 0 {
		return res, true, ErrUnsure
	}
	places := preferred(r, rec.Key())
	replies := make(chan reply, len(places))
	next := 0
	ask := func() {
		if next < len(places) {
			go c.writeTo(ctx, r.Version, places[next], rec, replies)
			next++
		}
	}
	for range r.Writes() {
		ask()
	}
	hedge := time.NewTicker(c.writes.hedge(places, hedgeWrite))
	defer hedge.Stop()
	shares := map[string]book.Share{}
	durable, answered := 0, 0
	for heard := 0; heard < len(places); {
		select {
		case got := <-replies:
			heard++
			if !c.accepted(got.err, got.write.Refusal, &stale) {
				// Under a newer roster other places count, so nothing is gained
				// by waiting for those of this one, which may be gone. A place
				// that refuses for a reason of its own (another disk is there
				// now, or it is full) is passed by.
				if got.write.Refusal.Version > r.Version {
					return res, stale, ErrUnsure
				}
				ask()
				continue
			}
			durable++
			if !got.place.Joining {
				answered++
			}
			for _, s := range got.write.Shares {
				shares[s.Attempt] = book.Join(shares[s.Attempt], s)
			}
		case <-hedge.C:
			ask()
		case <-ctx.Done():
			return res, stale, errors.CombineErrors(ErrUnsure, ctx.Err())
		}
		if durable < r.Writes() || rec.Reserved && answered < r.Reads() {
			continue
		}
		for _, s := range shares {
			res.Shares = append(res.Shares, s)
		}
		return res, false, nil
	}
	return res, stale, ErrUnsure
}

// writeTo writes to one place. It goes on after the caller has what it needs: a
// place that has the record is one more disk that may outlive the others.
func (c *Client) writeTo(ctx context.Context, version uint64, p roster.Place, rec book.Record, replies chan<- reply) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), placeTime)
	defer stop()
	a := holder.WriteAsk{Stamp: holder.Stamp{Version: version, Life: p.Life}, Record: rec}
	out := reply{place: p}
	began := time.Now()
	out.err = link.Ask(ctx, c.Peer(p.Address), holder.MethodWrite, a, &out.write)
	c.writes.note(p, time.Since(began), out.err)
	replies <- out
}

// preferred returns the places in the order in which a program's records go to
// them. Writing to f+1 of the 2f+1 places takes a third to two fifths off the
// holders' work and off the bytes between failure domains; that all daemons
// prefer the same ones keeps a program's turns together, so that the first place
// that is asked has the whole chain.
func preferred(r roster.Roster, key string) []roster.Place {
	list := slices.Clone(r.Places)
	slices.SortStableFunc(list, func(a, b roster.Place) int {
		if a.Joining != b.Joining {
			if a.Joining {
				return 1
			}
			return -1
		}
		return cmp.Compare(xxhash.Sum64String(key+a.Node), xxhash.Sum64String(key+b.Node))
	})
	return list
}

// accepted tells whether a place did what it was asked.
func (c *Client) accepted(err error, refusal holder.Refusal, stale *bool) bool {
	if err != nil {
		return false
	}
	if refusal.Code == "" {
		return true
	}
	*stale = true
	if len(refusal.Roster) > 0 {
		c.Learn(refusal.Roster)
	}
	return false
}

// Read returns a turn with its chain, the oldest first. The error is ErrNoTurn
// only if it is certain that the turn does not exist.
//
// A place may hold a turn and lack one before it that was written while the place
// was away. So what a place lacks is asked of the others, turn by turn; only the
// places' answers about one and the same turn can add up to a certain no.
func (c *Client) Read(ctx context.Context, program, turn string) (chain []book.Turn, err error) {
	defer func() { err = errors.Wrapf(err, "read turn %s", turn) }()
	for next := turn; next != ""; {
		var part []book.Turn
		part, next, err = c.readPart(ctx, program, next)
		switch {
		case errors.Is(err, ErrNoTurn) && len(chain) > 0:
			return nil, errors.Wrapf(ErrUnsure, "a turn before it is missing: %s", next)
		case err != nil:
			return nil, err
		}
		chain = append(chain, part...)
	}
	slices.Reverse(chain)
	return chain, nil
}

// readPart returns the turn and those before it, the newest first, as far as one
// place has them, and the first that it lacks.
func (c *Client) readPart(ctx context.Context, program, turn string) (part []book.Turn, next string, err error) {
	for {
		var stale bool
		part, next, stale, err = c.tryRead(ctx, program, turn)
		if err == nil || errors.Is(err, ErrNoTurn) || ctx.Err() != nil {
			return part, next, err
		}
		if !c.again(ctx, stale) {
			return nil, turn, err
		}
	}
}

func (c *Client) tryRead(ctx context.Context, program, turn string) (part []book.Turn, next string, stale bool, err error) {
	r := c.Roster()
	places := c.nearest(r, program)
	if len(places) == 0 {
		return nil, turn, true, ErrUnsure
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	replies := make(chan reply, len(places))
	ask := c.asker(ctx, r.Version, turn, places, replies)
	ask()
	hedge := time.NewTicker(c.reads.hedge(places, hedgeRead))
	defer hedge.Stop()
	without := 0
	for heard := 0; heard < len(places); {
		select {
		case got := <-replies:
			heard++
			ask()
			if !c.accepted(got.err, got.read.Refusal, &stale) {
				if got.read.Refusal.Version > r.Version {
					return nil, turn, stale, ErrUnsure // as for writes
				}
				continue
			}
			if len(got.read.Chain) > 0 {
				return got.read.Chain, got.read.Next, false, nil
			}
			if !got.place.Joining {
				without++
			}
			if without >= r.Certain() {
				return nil, turn, false, ErrNoTurn
			}
		case <-hedge.C:
			ask()
		case <-ctx.Done():
			return nil, turn, stale, errors.CombineErrors(ErrUnsure, ctx.Err())
		}
	}
	return nil, turn, stale, ErrUnsure
}

// asker returns a function that asks the next place.
func (c *Client) asker(ctx context.Context, version uint64, turn string, places []roster.Place, replies chan<- reply) func() {
	next := 0
	return func() {
		if next == len(places) {
			return
		}
		p := places[next]
		next++
		go func() {
			limited, stop := context.WithTimeout(ctx, placeTime)
			defer stop()
			out := reply{place: p}
			a := holder.ReadAsk{Stamp: holder.Stamp{Version: version, Life: p.Life}, Turn: turn}
			began := time.Now()
			out.err = link.Ask(limited, c.Peer(p.Address), holder.MethodRead, a, &out.read)
			c.reads.note(p, time.Since(began), out.err)
			replies <- out
		}()
	}
}

// nearest returns the places in the order in which a read asks them: those that
// the program's records go to first, and of these the one in the own failure
// domain first.
func (c *Client) nearest(r roster.Roster, key string) []roster.Place {
	list := preferred(r, key)
	first := list[:min(r.Writes(), len(list))]
	slices.SortStableFunc(first, func(a, b roster.Place) int {
		return cmp.Compare(c.distance(a), c.distance(b))
	})
	return list
}

func (c *Client) distance(p roster.Place) int {
	switch {
	case p.Joining:
		return 2
	case p.Domain != c.Domain:
		return 1
	default:
		return 0
	}
}
