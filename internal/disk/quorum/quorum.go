// Package quorum reads and writes durable records at the holders, for a daemon
// that serves callers.
//
// A write goes to all places of the roster and is acknowledged once f+1 have
// synced it, so the slowest disk delays nobody. A read asks the nearest place
// first. That a turn does not exist is certain only after so many places have
// said so that they would include one with every acknowledged write.
package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/holder"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	// placeTime bounds one request to one place. Slow disks take 150 ms, and
	// hang for seconds; a write that comes late is still of use.
	placeTime = 2500 * time.Millisecond
	// hedgeAfter is when a read that has no answer also goes to the next
	// place: a healthy one answers in 2 ms.
	hedgeAfter = 25 * time.Millisecond
	// pause is kept between tries, so that a roster that just changed is learnt.
	pause = 40 * time.Millisecond
)

var (
	// ErrNoTurn reports a turn that certainly does not exist.
	ErrNoTurn = errors.New("no such turn")
	// ErrUnsure reports that too few places answered.
	ErrUnsure = errors.New("too few holders of records answer")
)

type (
	// Invoker calls a method at one daemon.
	Invoker interface {
		Invoke(ctx context.Context, method string, params, out any) error
	}

	// Client is the daemon's access to the records.
	Client struct {
		Peer    func(address string) Invoker
		Roster  func() roster.Roster
		Learn   func(data []byte)         // takes a roster that a holder told
		Refresh func(ctx context.Context) // reads the roster from the store, at most now and then
		Domain  string                    // own failure domain
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
		if stale {
			c.Refresh(ctx)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return res, err
		}
	}
}

func (c *Client) write(ctx context.Context, rec book.Record) (res Result, stale bool, err error) {
	r := c.Roster()
	if len(r.Places) < r.Writes() || len(r.Places) == 0 {
		return res, true, ErrUnsure
	}
	replies := make(chan reply, len(r.Places))
	for _, p := range r.Places {
		go func() {
			// It goes on after the caller has what it needs: each place that
			// has the record is one more disk that may outlive the others.
			limited, stop := context.WithTimeout(context.WithoutCancel(ctx), placeTime)
			defer stop()
			a := holder.WriteAsk{Stamp: holder.Stamp{Version: r.Version, Life: p.Life}, Record: rec}
			out := reply{place: p}
			out.err = c.ask(limited, p, holder.MethodWrite, a, &out.write)
			replies <- out
		}()
	}
	shares := map[string]book.Share{}
	durable, answered := 0, 0
	for range r.Places {
		select {
		case got := <-replies:
			if !c.accepted(got.err, got.write.Refusal, &stale) {
				continue
			}
			durable++
			if !got.place.Joining {
				answered++
			}
			for _, s := range got.write.Shares {
				shares[s.Attempt] = book.Join(shares[s.Attempt], s)
			}
		case <-ctx.Done():
			return res, stale, errors.CombineErrors(ErrUnsure, ctx.Err())
		}
		if durable >= r.Writes() && (answered >= r.Reads() || !rec.Reserved) {
			for _, s := range shares {
				res.Shares = append(res.Shares, s)
			}
			return res, false, nil
		}
	}
	return res, stale, ErrUnsure
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

func (c *Client) ask(ctx context.Context, p roster.Place, method string, in, out any) error {
	data, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	var raw link.Raw
	if err = c.Peer(p.Address).Invoke(ctx, method, link.Raw(data), &raw); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, out)
}

// Read returns a turn with its chain, the oldest first. The error is ErrNoTurn
// only if it is certain that the turn does not exist.
//
// A place may hold a turn and lack one before it that was written while the place
// was away. So what a place lacks is asked of the others, turn by turn; only the
// places' answers about one and the same turn can add up to a certain no.
func (c *Client) Read(ctx context.Context, turn string) (chain []book.Turn, err error) {
	defer func() { err = errors.Wrapf(err, "read turn %s", turn) }()
	for next := turn; next != ""; {
		var part []book.Turn
		part, next, err = c.readPart(ctx, next)
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
func (c *Client) readPart(ctx context.Context, turn string) (part []book.Turn, next string, err error) {
	for {
		var stale bool
		part, next, stale, err = c.tryRead(ctx, turn)
		if err == nil || errors.Is(err, ErrNoTurn) || ctx.Err() != nil {
			return part, next, err
		}
		if stale {
			c.Refresh(ctx)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, turn, err
		}
	}
}

func (c *Client) tryRead(ctx context.Context, turn string) (part []book.Turn, next string, stale bool, err error) {
	r := c.Roster()
	places := c.nearest(r)
	if len(places) == 0 {
		return nil, turn, true, ErrUnsure
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	replies := make(chan reply, len(places))
	ask := c.asker(ctx, r.Version, turn, places, replies)
	ask()
	hedge := time.NewTicker(hedgeAfter)
	defer hedge.Stop()
	without := 0
	for heard := 0; heard < len(places); {
		select {
		case got := <-replies:
			heard++
			ask()
			if !c.accepted(got.err, got.read.Refusal, &stale) {
				continue
			}
			if len(got.read.Chain) > 0 {
				return got.read.Chain, got.read.Next, false, nil
			}
			if !got.place.Joining {
				without++
			}
			if without >= r.Reads() {
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
			out.err = c.ask(limited, p, holder.MethodRead, a, &out.read)
			replies <- out
		}()
	}
}

// nearest returns the places in the order in which a read asks them: those in
// the own failure domain first, those that are joining last.
func (c *Client) nearest(r roster.Roster) []roster.Place {
	var own, other, joining []roster.Place
	for _, p := range r.Places {
		switch {
		case p.Joining:
			joining = append(joining, p)
		case p.Domain == c.Domain:
			own = append(own, p)
		default:
			other = append(other, p)
		}
	}
	return append(append(own, other...), joining...)
}
