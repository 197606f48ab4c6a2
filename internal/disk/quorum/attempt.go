package quorum

import (
	"context"
	"slices"

	"github.com/slaterock/slaterock/internal/disk/roster"
)

// writeAttempt is one attempt of a recordWrite, under one roster.
type writeAttempt struct {
	w        *recordWrite
	roster   roster.Roster
	replicas []roster.Replica // that lack the record, in order of preference
	asked    int              // of them
	received int              // answers
	replies  chan reply
	pending  map[string]bool // nodes that have not answered
	hopeless bool            // the record can't, or must not, get a quorum
	outdated bool            // a replica knows a newer roster
}

func newWriteAttempt(w *recordWrite, r roster.Roster) *writeAttempt {
	has := func(p roster.Replica) bool { return w.written[p.DiskID] }
	replicas := slices.DeleteFunc(preferenceOrder(r, w.rec.Key()), has)
	return &writeAttempt{w: w, roster: r, replicas: replicas, replies: make(chan reply, len(replicas)), pending: map[string]bool{}}
}

// send asks the next replica, if there is one.
func (a *writeAttempt) send(ctx context.Context) {
	if a.asked == len(a.replicas) {
		return
	}
	p := a.replicas[a.asked]
	a.asked++
	a.pending[p.Node] = true
	go a.w.client.writeTo(ctx, a.roster.Version, p, a.w.rec, a.replies)
}

// receive handles an answer; after a refusal it asks the next replica if that can help.
func (a *writeAttempt) receive(ctx context.Context, got reply) {
	a.received++
	delete(a.pending, got.replica.Node)
	if a.w.accept(got) {
		return
	}
	a.outdated = a.outdated || got.write.Refusal.Version > a.roster.Version
	// If a quorum is out of reach, the others are not asked: they may be overloaded too. The
	// answers of those asked already tell which have the record.
	a.hopeless = a.w.seen.spent || len(a.w.written)+len(a.replicas)-a.received < a.roster.WriteQuorum()
	if !a.hopeless {
		a.send(ctx)
	}
}

// ended reports whether no answer can help any more. If the roster is outdated, its other
// replicas may be gone, and are not waited for.
func (a *writeAttempt) ended() bool {
	return a.outdated || a.received == len(a.replicas) || a.hopeless && len(a.pending) == 0
}
