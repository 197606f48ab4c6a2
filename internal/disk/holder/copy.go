package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// pageTime bounds one page of a copy, which takes some 20 ms where nothing
	// is wrong; pageTries and pagePause bridge a restart of the other process.
	pageTime  = 2 * time.Second
	pageTries = 3
	pagePause = 100 * time.Millisecond
)

// Peers returns the way to a daemon.
type Peers func(address string) link.Invoker

// ErrTooFew reports that too few other places could be copied from.
var ErrTooFew = errors.New("too few places to copy from")

// Join copies the records of so many other places that every acknowledged record
// is among them. The roster is the one in which this holder is joining, or one in
// which it has missed some.
//
// The places hold nearly the same. So each first tells what it has without texts,
// which is a fiftieth of the bytes, and only what is missing here is fetched.
func (h *Holder) Join(ctx context.Context, r roster.Roster, peers Peers) (err error) {
	defer func() { err = errors.Wrap(err, "join") }()
	whole := 0
	for _, p := range r.Places {
		if p.Life == h.life || p.Joining {
			continue
		}
		one := h.copyFrom(ctx, r.Version, p, peers(p.Address))
		if one == nil {
			whole++
		}
		err = errors.CombineErrors(err, one)
		if whole >= r.Reads() {
			// What this holder knew already may have been on its way to the disk.
			return h.barrier(ctx, r.Version)
		}
	}
	if self, _ := r.Find(h.life); !self.Joining {
		// This holder has all that it acknowledged. What it missed only makes
		// one more copy, so it takes what there is.
		return nil
	}
	return errors.Wrapf(ErrTooFew, "%d of %d (%v)", whole, r.Reads(), err)
}

func (h *Holder) copyFrom(ctx context.Context, version uint64, p roster.Place, peer link.Invoker) (err error) {
	defer func() { err = errors.Wrapf(err, "copy from %s", p.Node) }()
	a := PullAsk{Stamp: Stamp{Version: version, Life: p.Life}, First: true}
	var end seglog.Pos
	for {
		reply, err := pull(ctx, peer, a)
		if err != nil {
			return err
		}
		if a.First {
			end = reply.End
		}
		missing, err := h.missing(reply)
		if err != nil {
			return err
		}
		if err = h.fetch(ctx, a.Stamp, missing, peer); err != nil {
			return err
		}
		if len(reply.Records) == 0 || !reply.After.Before(end) {
			return nil
		}
		a.From, a.First = reply.After, false
	}
}

// missing returns where the records lie that this holder lacks.
func (h *Holder) missing(reply PullReply) (list []seglog.Pos, err error) {
	for i, data := range reply.Records {
		r, err := book.Decode(data)
		if err != nil {
			return nil, err
		}
		h.mu.Lock()
		if !h.book.Has(r) {
			list = append(list, reply.Places[i])
		}
		h.mu.Unlock()
	}
	return list, nil
}

// fetch copies whole records, some at a time.
func (h *Holder) fetch(ctx context.Context, s Stamp, list []seglog.Pos, peer link.Invoker) error {
	for len(list) > 0 {
		n, size := 0, 0
		for n < len(list) && (n == 0 || size+list[n].Size <= pageSize) {
			size += list[n].Size
			n++
		}
		reply, err := pull(ctx, peer, PullAsk{Stamp: s, Pick: list[:n]})
		if err != nil {
			return err
		}
		if err = h.Fill(ctx, reply.Records); err != nil {
			return err
		}
		list = list[n:]
	}
	return nil
}

// pull makes one ask, again where it had no answer: it is idempotent, and a copy
// that starts over takes seconds in which one more loss could not be borne.
func pull(ctx context.Context, peer link.Invoker, a PullAsk) (reply PullReply, err error) {
	for range pageTries {
		reply = PullReply{}
		if err = call(ctx, peer, MethodPull, a, &reply); err == nil {
			break
		}
		if !pause.For(ctx, pagePause) {
			return reply, errors.CombineErrors(ctx.Err(), err)
		}
	}
	if err == nil && reply.Refusal.Code != "" {
		err = errors.Newf("refused: %s", reply.Refusal.Code)
	}
	return reply, err
}

func call(ctx context.Context, p link.Invoker, method string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, pageTime)
	defer stop()
	return link.Ask(ctx, p, method, in, out)
}

// HandOver copies all records from here to every other place. It is used where
// no VM can take this one's place: afterwards the others hold everything
// without it. The holder must be frozen.
func (h *Holder) HandOver(ctx context.Context, r roster.Roster, peers Peers) (err error) {
	defer func() { err = errors.Wrap(err, "hand over") }()
	if err = h.barrier(ctx, r.Version); err != nil {
		return err
	}
	var from seglog.Pos
	for {
		recs, _, after, err := h.log.Scan(from, pageSize)
		if err != nil || len(recs) == 0 {
			return err
		}
		for _, p := range r.Places {
			if p.Life == h.life {
				continue
			}
			var reply FillReply
			a := FillAsk{Stamp: Stamp{Version: r.Version, Life: p.Life}, Records: recs}
			if err := call(ctx, peers(p.Address), MethodFill, a, &reply); err != nil {
				return err
			}
			if reply.Refusal.Code != "" {
				return errors.Newf("%s refused: %s", p.Node, reply.Refusal.Code)
			}
		}
		from = after
	}
}
