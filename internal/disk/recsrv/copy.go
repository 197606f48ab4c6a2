package recsrv

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// pageTimeout bounds one page of a copy, which normally takes some 20 ms;
	// pageAttempts and pageRetryPause bridge a restart of the other process.
	pageTimeout    = 2 * time.Second
	pageAttempts   = 3
	pageRetryPause = 100 * time.Millisecond
	// sourceTimeout bounds the question whether the VM that this one takes over from answers.
	sourceTimeout = 500 * time.Millisecond
	// sourceWait is how long a joining replica waits for sources that do not answer, since
	// it last copied from one: longer than VMs take to restart. It tries them again after
	// each sourceRetryPause.
	sourceWait       = 10 * time.Second
	sourceRetryPause = 300 * time.Millisecond
)

// copying is the progress of one copy.
type copying struct {
	roster  roster.Roster
	peers   Peers
	sources []roster.Replica // not copied from yet
	copied  int              // number of sources copied from
	refused bool             // a source refused the roster or its disk
}

// Peers returns the connection to the daemon at an address.
type Peers func(address string) link.Invoker

var (
	// ErrTooFewSources reports that too few other replicas could be copied from.
	ErrTooFewSources = errors.New("too few replicas to copy from")

	// errRefused reports a source that refuses the roster or the disk of a request.
	errRefused = errors.New("pull refused")
)

// CatchUp copies the records of a read quorum of other replicas, so that every
// acknowledged record is among them. It is used when this replica is joining the roster,
// and after a restart, in which it has missed records.
//
// The replicas have nearly the same records. Each is therefore first asked for its records
// without the turns' input and output, which is a fiftieth of the bytes, and only missing
// records are fetched in full.
//
// A joining replica waits for sources that do not answer yet, unless it is an additional one: a
// copy that starts over asks all of them again. One that takes over from a VM that is being retired copies from that one,
// which serves no callers any more, and from the others only if it does not answer.
func (s *Server) CatchUp(ctx context.Context, r roster.Roster, peers Peers) (err error) {
	defer func() { err = errors.Wrap(err, "catch up") }()
	refusals := s.refusals()
	defer func() {
		if err == nil && s.refusals() != refusals {
			err = errRefusedWrite // it may have been taken for held
		}
	}()
	self, _ := r.Find(s.diskID)
	if s.copyFromSource(ctx, r, self, peers) {
		return s.barrier(ctx, r.Version)
	}
	c := copying{roster: r, peers: peers, sources: s.sources(r)}
	for progress := time.Now(); ; {
		before := c.copied
		if err = s.copyFromEach(ctx, &c); c.copied >= r.ReadQuorum() {
			// Records that were indexed already may not have been synced yet.
			return s.barrier(ctx, r.Version)
		}
		if !self.Joining || self.Added {
			// This replica has all records that it acknowledged, or none are counted on
			// at it. Those that it lacks are only additional copies, so the ones
			// available are enough.
			return nil
		}
		if c.copied > before {
			progress = time.Now()
		}
		hopeless := c.refused || s.isStale(r) || c.copied+len(c.sources) < r.ReadQuorum()
		if hopeless || time.Since(progress) >= sourceWait || !pause.For(ctx, sourceRetryPause) {
			return errors.Wrapf(ErrTooFewSources, "copied from %d replicas, need %d (%v)", c.copied, r.ReadQuorum(), err)
		}
	}
}

// copyFromSource copies from the VM that this joining replica takes over from, and reports whether it has
// all records of that one. It refuses writes under older rosters from then on.
func (s *Server) copyFromSource(ctx context.Context, r roster.Roster, self roster.Replica, peers Peers) bool {
	if !self.Joining || self.Source.DiskID == "" {
		return false
	}
	peer := peers(self.Source.Address)
	limited, stop := context.WithTimeout(ctx, sourceTimeout)
	defer stop()
	var diskID string // one that does not answer would cost the time of three pages
	if err := link.InvokeTyped(limited, peer, MethodDiskID, struct{}{}, &diskID); err != nil || diskID != self.Source.DiskID {
		return false
	}
	return s.copyFrom(ctx, r.Version, roster.Replica{Node: self.Source.Node, DiskID: diskID}, peer) == nil
}

// isStale reports whether this server has seen a newer roster.
func (s *Server) isStale(r roster.Roster) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minVersion > r.Version
}

// sources returns the replicas that this one may copy from, in the order in which it asks
// them. Replicas that join at the same time begin with different ones: the complete replicas
// serve all callers meanwhile, and the slowest of them decides how long a reservation takes.
func (s *Server) sources(r roster.Roster) (list []roster.Replica) {
	joiningBefore := 0 // in the roster
	counting := true
	for _, p := range r.Replicas {
		switch {
		case p.DiskID == s.diskID:
			counting = false
		case !p.Joining:
			list = append(list, p)
		case counting:
			joiningBefore++
		}
	}
	if len(list) == 0 {
		return nil
	}
	first := joiningBefore % len(list)
	return slices.Concat(list[first:], list[:first])
}

// copyFromEach copies from the remaining sources until there are enough, and leaves those that
// failed.
func (s *Server) copyFromEach(ctx context.Context, c *copying) (err error) {
	var failed []roster.Replica
	for _, p := range c.sources {
		if c.copied >= c.roster.ReadQuorum() {
			break
		}
		copyErr := s.copyFrom(ctx, c.roster.Version, p, c.peers(p.Address))
		if copyErr != nil {
			failed = append(failed, p)
			c.refused = c.refused || errors.Is(copyErr, errRefused)
			err = errors.CombineErrors(err, copyErr)
			continue
		}
		c.copied++
	}
	c.sources = failed
	return err
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
		if end.Before(reply.End) {
			end = reply.End
		}
		missing, err := s.missing(reply)
		if err != nil {
			return err
		}
		moved, err := s.fetch(ctx, req.Target, missing, peer)
		if err != nil {
			return err
		}
		if end.Before(moved) {
			end = moved
		}
		if len(reply.Records) == 0 || !reply.After.Before(end) {
			return nil
		}
		req.From, req.First = reply.After, false
	}
}

// missing returns the positions of the records that this replica lacks.
func (s *Server) missing(reply PullReply) (list []seglog.Pos, err error) {
	for i, data := range reply.Records {
		r, err := index.Decode(data)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		if !s.holds(r) {
			list = append(list, reply.Positions[i])
		}
		s.mu.Unlock()
	}
	return list, nil
}

// fetch copies the records at these positions in full, about pageSize bytes at a time. The source may have
// moved some of them: moved is the position before which these come.
func (s *Server) fetch(ctx context.Context, t Target, list []seglog.Pos, peer link.Invoker) (moved seglog.Pos, err error) {
	for len(list) > 0 {
		n, size := 0, 0
		for n < len(list) && (n == 0 || size+list[n].Size <= pageSize) {
			size += list[n].Size
			n++
		}
		reply, err := pull(ctx, peer, PullRequest{Target: t, Pick: list[:n]})
		if err != nil {
			return moved, err
		}
		if moved.Before(reply.End) {
			moved = reply.End
		}
		if err = s.Import(ctx, reply.Records); err != nil {
			return moved, err
		}
		list = list[n:]
	}
	return moved, nil
}

// pull makes one request and retries it after an error: it is idempotent, and a copy
// that starts over takes seconds in which the loss of another disk could lose records.
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
		err = errors.Wrap(errRefused, reply.Refusal.Code)
	}
	return reply, err
}

func call(ctx context.Context, p link.Invoker, method string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, pageTimeout)
	defer stop()
	return link.InvokeTyped(ctx, p, method, in, out)
}

// CopyToOthers copies all records to every other replica. It is used to retire this
// VM where no other can replace it: afterwards each of the others has all records. The
// server must be frozen.
func (s *Server) CopyToOthers(ctx context.Context, r roster.Roster, peers Peers) (err error) {
	defer func() { err = errors.Wrap(err, "copy to others") }()
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
				return errors.Newf("%s refused the copy: %s", p.Node, reply.Refusal.Code)
			}
		}
		from = after
	}
}
