package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// pageTime bounds one page of a copy.
const pageTime = 3 * time.Second

type (
	// Invoker calls a method at one daemon.
	Invoker interface {
		Invoke(ctx context.Context, method string, params, out any) error
	}

	// Peers returns the way to a daemon.
	Peers func(address string) Invoker
)

// ErrTooFew reports that too few other places could be copied from.
var ErrTooFew = errors.New("too few places to copy from")

// Join copies all records of so many other places that every acknowledged
// record is among them. The roster is the one in which this holder is joining.
func (h *Holder) Join(ctx context.Context, r roster.Roster, peers Peers) (err error) {
	defer func() { err = errors.Wrap(err, "join") }()
	results := make(chan error, len(r.Places))
	asked := 0
	for _, p := range r.Places {
		if p.Life == h.life || p.Joining {
			continue
		}
		asked++
		go func() { results <- h.copyFrom(ctx, r.Version, p, peers) }()
	}
	whole := 0
	for range asked {
		one := <-results
		if one == nil {
			whole++
		}
		err = errors.CombineErrors(err, one)
		if whole >= r.Reads() {
			return nil
		}
	}
	return errors.CombineErrors(ErrTooFew, err)
}

func (h *Holder) copyFrom(ctx context.Context, version uint64, p roster.Place, peers Peers) (err error) {
	defer func() { err = errors.Wrapf(err, "copy from %s", p.Node) }()
	a := PullAsk{Stamp: Stamp{Version: version, Life: p.Life}, First: true}
	for {
		var reply PullReply
		if err = call(ctx, peers(p.Address), MethodPull, a, &reply); err != nil {
			return err
		}
		if reply.Refusal.Code != "" {
			return errors.Newf("refused: %s", reply.Refusal.Code)
		}
		if len(reply.Records) == 0 {
			return nil
		}
		if err = h.Fill(ctx, reply.Records); err != nil {
			return err
		}
		a.From, a.First = reply.After, false
	}
}

func call(ctx context.Context, p Invoker, method string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, pageTime)
	defer stop()
	data, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	var raw link.Raw
	if err = p.Invoke(ctx, method, link.Raw(data), &raw); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, out)
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
