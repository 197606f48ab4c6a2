package recsrv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// pageTime bounds one page of a copy, which takes some 20 ms where nothing
	// is wrong; pageTries and pagePause bridge a restart of the other process.
	pageTimeout    = 2 * time.Second
	pageAttempts   = 3
	pageRetryPause = 100 * time.Millisecond
)

// Peers returns the way to a daemon.
type Peers func(address string) link.Invoker

// ErrTooFew reports that too few other places could be copied from.
var ErrTooFewSources = errors.New("too few places to copy from")

// Join copies the records of so many other places that every acknowledged record
// is among them. The roster is the one in which this holder is joining, or one in
// which it has missed some.
//
// The places hold nearly the same. So each first tells what it has without texts,
// which is a fiftieth of the bytes, and only what is missing here is fetched.
func (s *Server) CatchUp(ctx context.Context, r roster.Roster, peers Peers) (err error) {
	defer func() { err = errors.Wrap(err, "join") }()
	copied := 0
	for _, p := range r.Replicas {
		if p.DiskID == s.diskID || p.Joining {
			continue
		}
		copyErr := s.copyFrom(ctx, r.Version, p, peers(p.Address))
		if copyErr == nil {
			copied++
		}
		err = errors.CombineErrors(err, copyErr)
		if copied >= r.ReadQuorum() {
			// What this holder knew already may have been on its way to the disk.
			return s.barrier(ctx, r.Version)
		}
	}
	if self, _ := r.Find(s.diskID); !self.Joining {
		// This holder has all that it acknowledged. What it missed only makes
		// one more copy, so it takes what there is.
		return nil
	}
	return errors.Wrapf(ErrTooFewSources, "%d of %d (%v)", copied, r.ReadQuorum(), err)
}

func (s *Server) copyFrom(ctx context.Context, version uint64, p roster.Replica, peer link.Invoker) (err error) {
	defer func() { err = errors.Wrapf(err, "copy from %s", p.Node) }()
	req := PullRequest{Target: Target{Version: version, DiskID: p.DiskID}, First: true}
	var end seglog.Pos
	for {
		reply, err := pull(ctx, peer, req)
		if err != nil {
			return err
		}
		if req.First {
			end = reply.End
		}
		missing, err := s.missing(reply)
		if err != nil {
			return err
		}
		if err = s.fetch(ctx, req.Target, missing, peer); err != nil {
			return err
		}
		if len(reply.Records) == 0 || !reply.After.Before(end) {
			return nil
		}
		req.From, req.First = reply.After, false
	}
}

// missing returns where the records lie that this holder lacks.
func (s *Server) missing(reply PullReply) (list []seglog.Pos, err error) {
	for i, data := range reply.Records {
		r, err := index.Decode(data)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		if !s.index.Has(r) {
			list = append(list, reply.Positions[i])
		}
		s.mu.Unlock()
	}
	return list, nil
}

// fetch copies whole records, some at a time.
func (s *Server) fetch(ctx context.Context, t Target, list []seglog.Pos, peer link.Invoker) error {
	for len(list) > 0 {
		n, size := 0, 0
		for n < len(list) && (n == 0 || size+list[n].Size <= pageSize) {
			size += list[n].Size
			n++
		}
		reply, err := pull(ctx, peer, PullRequest{Target: t, Pick: list[:n]})
		if err != nil {
			return err
		}
		if err = s.Import(ctx, reply.Records); err != nil {
			return err
		}
		list = list[n:]
	}
	return nil
}

// pull makes one ask, again where it had no answer: it is idempotent, and a copy
// that starts over takes seconds in which one more loss could not be borne.
func pull(ctx context.Context, peer link.Invoker, req PullRequest) (reply PullReply, err error) {
	for range pageAttempts {
		reply = PullReply{}
		if err = call(ctx, peer, MethodPull, req, &reply); err == nil {
			break
		}
		if !pause.For(ctx, pageRetryPause) {
			return reply, errors.CombineErrors(ctx.Err(), err)
		}
	}
	if err == nil && reply.Refusal.Code != "" {
		err = errors.Newf("refused: %s", reply.Refusal.Code)
	}
	return reply, err
}

func call(ctx context.Context, p link.Invoker, method string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, pageTimeout)
	defer stop()
	return link.Ask(ctx, p, method, in, out)
}

// HandOver copies all records from here to every other place. It is used where
// no VM can take this one's place: afterwards the others hold everything
// without it. The holder must be frozen.
func (s *Server) CopyToOthers(ctx context.Context, r roster.Roster, peers Peers) (err error) {
	defer func() { err = errors.Wrap(err, "hand over") }()
	if err = s.barrier(ctx, r.Version); err != nil {
		return err
	}
	var from seglog.Pos
	for {
		recs, _, after, err := s.log.Scan(from, pageSize)
		if err != nil || len(recs) == 0 {
			return err
		}
		for _, p := range r.Replicas {
			if p.DiskID == s.diskID {
				continue
			}
			var reply ImportReply
			req := ImportRequest{Target: Target{Version: r.Version, DiskID: p.DiskID}, Records: recs}
			if err := call(ctx, peers(p.Address), MethodImport, req, &reply); err != nil {
				return err
			}
			if reply.Refusal.Code != "" {
				return errors.Newf("%s refused: %s", p.Node, reply.Refusal.Code)
			}
		}
		from = after
	}
}
