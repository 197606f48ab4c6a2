package quorum

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// recordWrite is one record being written, over all attempts under one roster: a replica that has
// the record is not asked again.
type recordWrite struct {
	client *Client
	rec    index.Record

	version  uint64                  // of the roster; a newer one starts over
	quorum   int                     // to write under that roster
	written  map[string]bool         // disk IDs of the replicas that have the record
	complete int                     // those of them that are not joining
	taking   int                     // those of them that have refused no record lately
	charges  map[string]index.Charge // by attempt, merged from their answers
	runs     map[string]index.Run    // likewise
	parts    map[partOf]index.Part   // likewise
	maybe    bool                    // some replica may have the record although it did not say so
	seen     refusals                // in the last attempt
}

// partOf identifies a part: replicas have the same ones.
type partOf struct {
	attempt string
	seq     int
}

// try asks the replicas that lack the record until enough have it, or can't have it.
func (w *recordWrite) try(ctx context.Context) error {
	r := w.client.Roster()
	w.seen = refusals{}
	if len(r.Replicas) < r.WriteQuorum() || len(r.Replicas) == 0 {
		w.seen.stale = true
		return ErrNoQuorum
	}
	w.begin(r)
	a := newWriteAttempt(w, r)
	for range max(r.WriteQuorum()-len(w.written), 1) {
		a.send(ctx)
	}
	hedge := time.NewTicker(w.client.writeLatency.hedge(a.replicas, minWriteHedge))
	defer hedge.Stop()
	for !a.ended() {
		select {
		case got := <-a.replies:
			a.receive(ctx, got)
		case <-hedge.C:
			if a.hopeless {
				return w.failure(a.pending)
			}
			a.send(ctx)
		case <-ctx.Done():
			if w.enough(r) {
				return nil
			}
			return errors.CombineErrors(w.failure(a.pending), ctx.Err())
		}
		if w.enough(r) && w.wantsNoMore(ctx, a) {
			return nil
		}
	}
	if w.enough(r) {
		return nil
	}
	return w.failure(a.pending)
}

// wantsNoMore reports whether a result that has enough answers is complete. For an incomplete one it asks
// the next replica.
func (w *recordWrite) wantsNoMore(ctx context.Context, a *writeAttempt) bool {
	if !w.isIncomplete() {
		return true
	}
	if len(a.pending) == 0 {
		a.send(ctx)
	}
	return false
}

// isIncomplete reports whether the runs that a query found may lack some that were refused.
func (w *recordWrite) isIncomplete() bool { return w.rec.IsQuery() && w.taking < w.quorum }

// begin forgets what was written under an older roster: a replica that joined since may have
// copied the records before.
func (w *recordWrite) begin(r roster.Roster) {
	if w.written != nil && w.version == r.Version {
		return
	}
	w.maybe = w.maybe || len(w.written) > 0
	w.version, w.quorum, w.complete, w.taking = r.Version, r.WriteQuorum(), 0, 0
	w.written, w.charges, w.runs = map[string]bool{}, map[string]index.Charge{}, map[string]index.Run{}
	w.parts = map[partOf]index.Part{}
}

// enough reports whether the record is durable and may be. A reservation, or a record with a run, also
// needs a read quorum of complete replicas, so that its result has all that was acknowledged before.
func (w *recordWrite) enough(r roster.Roster) bool {
	reads := w.rec.Reserved || w.rec.Run != nil
	return !w.seen.spent && len(w.written) >= r.WriteQuorum() && (!reads || w.complete >= r.ReadQuorum())
}

// accept notes a replica's answer, and reports whether the replica has the record.
func (w *recordWrite) accept(got reply) bool {
	if !w.client.accepted(got.err, got.write.Refusal, &w.seen) {
		w.maybe = w.maybe || mayHaveRun(got.err)
		return false
	}
	w.written[got.replica.DiskID] = true
	if !got.replica.Joining {
		w.complete++
	}
	if !got.write.Refusing {
		w.taking++
	}
	for _, charge := range got.write.Charges {
		w.charges[charge.Attempt] = index.Merge(w.charges[charge.Attempt], charge)
	}
	for _, run := range got.write.Runs {
		w.runs[run.Attempt] = index.MergeRuns(w.runs[run.Attempt], run)
	}
	for _, part := range got.write.Parts {
		w.parts[partOf{part.Attempt, part.Seq}] = part
	}
	return true
}

// mayHaveRun reports whether a request that failed may have been executed.
func mayHaveRun(err error) bool {
	var failure *link.Error
	if errors.As(err, &failure) {
		return failure.MayHaveRun
	}
	return err != nil
}

// failure returns an ErrNoQuorum that says how many replicas have the record and which have
// not answered. It is an ErrNotWritten too if none has the record or will have it, and an
// ErrSpent or ErrOverloaded if that is why.
func (w *recordWrite) failure(pending map[string]bool) error {
	w.maybe = w.maybe || len(pending) > 0
	err := errors.Wrapf(ErrNoQuorum, "%d wrote, no answer from %s", len(w.written), strings.Join(slices.Sorted(maps.Keys(pending)), ", "))
	if !w.maybe && len(w.written) == 0 {
		err = errors.Mark(err, ErrNotWritten)
	}
	return w.seen.mark(err)
}

func (w *recordWrite) result() (res Result) {
	res.Incomplete = w.isIncomplete()
	for _, charge := range w.charges {
		res.Charges = append(res.Charges, charge)
	}
	for _, run := range w.runs {
		res.Runs = append(res.Runs, run)
	}
	for _, part := range w.parts {
		res.Parts = append(res.Parts, part)
	}
	return res
}

// writeTo writes to one replica. It goes on after the write quorum is reached, and
// after ctx is cancelled: each further copy may outlive the others.
func (c *Client) writeTo(ctx context.Context, version uint64, p roster.Replica, rec index.Record, replies chan<- reply) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), replicaTimeout)
	defer stop()
	req := recsrv.WriteRequest{Target: recsrv.Target{Version: version, DiskID: p.DiskID}, Record: rec, Budget: rec.Budget, Parts: rec.AskParts}
	out := reply{replica: p}
	if out.err = c.takeCopy(ctx, rec); out.err == nil {
		began := time.Now()
		out.err = link.InvokeTyped(ctx, c.Peer(p.Address), recsrv.MethodWrite, req, &out.write)
		c.writeLatency.observe(p, time.Since(began), out.err)
		c.returnCopy(rec)
	}
	replies <- out
}

// takeCopy takes the memory for a copy of a long record, which may be sent on after its request is over.
func (c *Client) takeCopy(ctx context.Context, rec index.Record) error {
	n := turnBytes(rec)
	if c.Room == nil || n <= shortChain {
		return nil
	}
	if err := c.Room.TakeCopy(ctx, n); err != nil {
		return &link.Error{Cause: errors.CombineErrors(link.ErrOverloaded, err)}
	}
	return nil
}

func (c *Client) returnCopy(rec index.Record) {
	if n := turnBytes(rec); c.Room != nil && n > shortChain {
		c.Room.ReturnCopy(n)
	}
}

// turnBytes returns the bytes of a record's turn.
func turnBytes(rec index.Record) int64 {
	if rec.Turn == nil {
		return 0
	}
	return int64(len(rec.Turn.Input) + len(rec.Turn.Output))
}
