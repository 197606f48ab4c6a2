package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

// A request may end at most ended.MaxUpstreams processes. An upstream may start again under its id, at once, and
// the store may tell so seconds later: neither the list nor a new connection shows which process is there. So a
// run counts for a further process unless one of two things proves that it is one that ran the request before:
// its connection was established before that run began, or the state lists that start and is newer by entryLag
// than the process at the other end.

const (
	// entryLag is how long after an upstream accepts connections the store may still list its start of before.
	entryLag = 2 * time.Second
)

// process is the process at the other end of a connection to an upstream, as a run there is recorded.
type process struct {
	start  index.Start
	proven bool // otherwise it may have started again after start
}

// listedStart returns the start of the upstream that the state lists.
func listedStart(up *fleet.Upstream) index.Start { return index.Start{ID: up.ID, Born: up.Born} }

// identify returns the process at the other end of a connection that is about to be used.
func (q *request) identify(conn *upconn.Conn, up *fleet.Upstream) process {
	if s, found := q.ranBefore(conn, up.ID); found {
		return process{s, true}
	}
	if q.listedBefore(conn, up) {
		return process{listedStart(up), true}
	}
	if q.seen.RanAt(up.ID) {
		return process{q.laterStart(up.ID), false}
	}
	return process{listedStart(up), false}
}

// ranBefore returns the start as which an earlier run of the request at the same process is recorded: the
// connection was established before that run began.
func (q *request) ranBefore(conn *upconn.Conn, id string) (s index.Start, found bool) {
	for _, r := range slices.Backward(q.summary.runs) {
		if r.upstream == id && r.process.start.ID != "" && r.ran() && conn.Number <= r.connsBefore {
			return r.process.start, true
		}
	}
	return q.e.Failed.Find(time.Now(), q.key(), id, conn.Number)
}

// listedBefore reports whether the process at the other end of a connection is the listed start of the
// upstream, by a state that is newer than that process by entryLag.
func (q *request) listedBefore(conn *upconn.Conn, up *fleet.Upstream) bool {
	return !q.e.Fleet.View().Settled.Before(q.e.Pool.Since(conn).Add(entryLag)) && q.listed(listedStart(up))
}

// laterStart returns a start of an upstream that is none of those which are known to have run the request.
func (q *request) laterStart(id string) index.Start {
	s := index.Start{ID: id, Born: -time.Now().UnixMilli()}
	for q.seen.HasRun(s) {
		s.Born--
	}
	return s
}

// startOf returns the start as which the last run, at the upstream, is recorded.
func (q *request) startOf(up *fleet.Upstream) index.Start {
	if r := q.summary.runs.last(); r != nil && r.upstream == up.ID && r.process.start.ID != "" {
		return r.process.start
	}
	return listedStart(up)
}

// addsProcess returns why the request may not run at the process at the other end of a connection, empty if
// it may: it has run at as many processes as may end because of it, and this one may be a further one.
func (q *request) addsProcess(ctx context.Context, conn *upconn.Conn, up *fleet.Upstream) (cause string) {
	starts, confined := q.seen.Confined()
	if !confined {
		return ""
	}
	if s, found := q.ranBefore(conn, up.ID); found && slices.Contains(starts, s) {
		return ""
	}
	listed := listedStart(up)
	if !slices.Contains(starts, listed) {
		return causeRestarted
	}
	// A state that needs no confirmation lists what there is, but for a process that has not written its entry yet.
	by := q.e.Pool.Since(conn).Add(entryLag)
	if q.seen.BrokeOffAt(listed) && q.e.Confirm == nil && q.e.Fleet.View().Settled.Before(by) || !q.confirmed(ctx, by) {
		return causeUnconfirmed
	}
	if !q.listed(listed) {
		return causeRestarted
	}
	return ""
}

// wanted returns which idle connections to an upstream are preferred: those that prove most of what is at
// their other ends.
func (q *request) wanted(up *fleet.Upstream) (w upconn.Wanted) {
	settled := q.e.Fleet.View().Settled
	_, confined := q.seen.Confined()
	switch {
	case q.goesOn:
		w.By = settled
	case q.seen.RanAt(up.ID):
		for _, r := range q.summary.runs {
			if r.upstream == up.ID && r.ran() {
				w.UpTo = r.connsBefore
			}
		}
		if w.UpTo == 0 {
			w.By = settled.Add(-entryLag)
		}
	case confined:
		w.By = settled.Add(-entryLag)
	}
	return w
}

// takeWitness takes a further connection to the upstream, over which nothing is sent, if the request got no whole
// good answer before: it tells afterwards whether the process goes on, and a next run over it is at the same one.
func (q *request) takeWitness(ctx context.Context, up *fleet.Upstream) (err error) {
	if q.repeats() && q.seen.HasRuns() {
		q.witness, err = q.e.Pool.Get(ctx, up.ID, up.Address)
	}
	return err
}

// releaseWitness returns the connection of takeWitness to the pool.
func (q *request) releaseWitness() {
	if q.witness != nil {
		q.e.Pool.PutBack(q.witness)
		q.witness = nil
	}
}
