// Package quorum is the client side of the replicated durable records: it reads and
// writes them at the record servers, for a daemon that serves callers.
//
// A write goes to f+1 replicas of the roster, and is hedged to others as soon as one
// fails or is slower than most, so that a slow disk adds little latency. It is
// acknowledged once f+1 have synced it; a reservation also waits for a read quorum, so
// that it sees the earlier ones. A read asks the nearest of these replicas first. A turn
// is reported as missing only after an absence quorum (roster.AbsenceQuorum) has answered
// that they lack it: if it had been acknowledged, one of them would have it.
package quorum

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// replicaTimeout bounds one request to one replica. A faulty disk takes 150 ms, or
	// hangs for seconds; a late write still adds a copy.
	replicaTimeout = 2500 * time.Millisecond
	// minWriteHedge is the minimum delay before a write that is not yet durable also
	// goes to the next replica: on the slowest disks without a fault a sync takes 5 ms,
	// and may wait for the one before.
	minWriteHedge = 20 * time.Millisecond
	// minReadHedge is the same for reads: a healthy replica answers in 2 ms.
	minReadHedge = 25 * time.Millisecond
	// retryPause is the pause between attempts, in which a roster that has just
	// changed reaches this daemon.
	retryPause = 40 * time.Millisecond
	// RetryTime is how long a reservation that replicas refuse or don't get is tried again. A
	// killed one is skipped within 20 ms, and a changed roster is known within 0.1 s, so one
	// that takes longer is unlikely to succeed.
	RetryTime = 900 * time.Millisecond
	// maxRetryPause is the longest pause between attempts while replicas are overloaded.
	maxRetryPause = time.Second
)

var (
	// ErrNoTurn reports a turn that does not exist, as an absence quorum of replicas
	// has confirmed.
	ErrNoTurn = errors.New("no such turn")
	// ErrNoQuorum reports that too few replicas answered.
	ErrNoQuorum = errors.New("no quorum: too few record servers answered")
	// ErrNotWritten reports that no replica has the record, or will have it: all that were
	// asked have refused it.
	ErrNotWritten = errors.New("record refused by the record servers")
	// ErrSpent reports a reservation for which the program's budget has no room, whatever
	// becomes of its attempts under way.
	ErrSpent = errors.New("budget spent")
	// ErrOverloaded reports that replicas refused the record because they have too much to do.
	ErrOverloaded = errors.New("record servers are overloaded")
)

type (
	// Client reads and writes records. Set the fields before use.
	Client struct {
		Peer    func(address string) link.Invoker
		Roster  func() roster.Roster
		Room    *memory.Budget            // for copies of long records; nil for no bound
		Learn   func(data []byte)         // called with a newer roster, encoded, from a record server's refusal
		Refresh func(ctx context.Context) // reads the roster from the store; limits its own rate
		Domain  string                    // own failure domain

		writeLatency latencies
		readLatency  latencies
	}

	// Result is the outcome of a write.
	Result struct {
		Charges []index.Charge // of a reservation's program, merged from the replicas that had answered
		Runs    []index.Run    // of the request of a record with a run, merged likewise
		Parts   []index.Part   // likewise, if they were asked for; in no order
		// Incomplete reports, of a query, that runs may be missing which were not acknowledged: so many
		// replicas have refused records lately that no write quorum may have been left.
		Incomplete bool
	}

	// refusals are the reasons for which replicas refused the requests of one attempt.
	refusals struct {
		stale bool // the roster may be stale
		busy  bool // a replica is overloaded
		spent bool // a replica knows that the program's budget has no room
	}

	reply struct {
		replica roster.Replica
		write   recsrv.WriteReply
		read    recsrv.ReadReply
		err     error
	}
)

// mark returns err as an ErrSpent or ErrOverloaded if that is why the attempt failed.
func (s refusals) mark(err error) error {
	switch {
	case s.spent:
		return errors.Mark(err, ErrSpent)
	case s.busy:
		return errors.Mark(err, ErrOverloaded)
	default:
		return err
	}
}

// Write makes a record durable. It retries until ctx ends, a reservation for RetryTime; one that overloaded
// replicas have refused, or that exceeds the budget, fails at once. After an error the record may be durable or
// not, unless the error is ErrNotWritten. The result of a reservation has the charge of every
// reservation of the program that was acknowledged before, and that of a record with a run every run
// of the same request; those of other records have none.
func (c *Client) Write(ctx context.Context, rec index.Record) (res Result, err error) {
	defer func() { err = errors.Wrapf(err, "write record of %s", rec.Attempt) }()
	w := recordWrite{client: c, rec: rec}
	began := time.Now()
	for wait := retryPause; ; {
		if err = w.try(ctx); err == nil {
			return w.result(), nil
		}
		wait = nextPause(wait, w.seen.busy)
		refused := w.seen.spent || rec.Reserved && w.seen.busy && errors.Is(err, ErrNotWritten)
		late := rec.Reserved && time.Since(began) >= RetryTime
		if refused || late || ctx.Err() != nil || !c.waitRetry(ctx, w.seen.stale, wait) {
			return res, err
		}
	}
}

// Answering reports whether as many replicas as a reservation needs answer, before ctx ends, a call that
// waits for no disk.
func (c *Client) Answering(ctx context.Context) bool {
	r := c.Roster()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	answers := make(chan *roster.Replica, len(r.Replicas))
	for _, p := range r.Replicas {
		go func() {
			var diskID string
			err := link.InvokeTyped(ctx, c.Peer(p.Address), recsrv.MethodDiskID, struct{}{}, &diskID)
			if err != nil || diskID != p.DiskID {
				answers <- nil
				return
			}
			answers <- &p
		}()
	}
	all, complete := 0, 0
	for range r.Replicas {
		p := <-answers
		if p == nil {
			continue
		}
		all++
		if !p.Joining {
			complete++
		}
		if all >= r.WriteQuorum() && complete >= r.ReadQuorum() {
			return true
		}
	}
	return false
}

// waitRetry waits before the next attempt, and first refreshes the roster if it may
// be stale. It returns false if ctx has ended.
func (c *Client) waitRetry(ctx context.Context, stale bool, wait time.Duration) bool {
	if stale {
		c.Refresh(ctx)
	}
	return pause.For(ctx, wait)
}

// nextPause returns the pause after one of length last. While replicas are overloaded it about
// doubles each time: retries at a fixed pause would keep them overloaded.
func nextPause(last time.Duration, busy bool) time.Duration {
	if !busy {
		return retryPause
	}
	return min(last+last/2+rand.N(last), maxRetryPause)
}

// preferenceOrder returns the replicas in the order in which a program's records are
// written to them, by rendezvous hashing; joining ones come last. Writing to f+1 of the
// 2f+1 replicas saves a third (f = 1) to two fifths (f = 2) of the record servers' work and
// of the bytes between failure domains. All daemons use the same order, which keeps a
// program's turns together, so that the first replica asked has the whole chain.
func preferenceOrder(r roster.Roster, key string) []roster.Replica {
	list := slices.Clone(r.Replicas)
	slices.SortStableFunc(list, func(a, b roster.Replica) int {
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

// accepted reports whether a replica executed the request. After a refusal it adds the reason
// to seen, and passes on the roster that came with it.
func (c *Client) accepted(err error, refusal recsrv.Refusal, seen *refusals) bool {
	seen.busy = seen.busy || refusal.Code == recsrv.CodeBusy || errors.Is(err, link.ErrOverloaded)
	seen.spent = seen.spent || refusal.Code == recsrv.CodeSpent
	switch {
	case err != nil:
		return false
	case refusal.Code == "":
		return true
	case refusal.Code == recsrv.CodeBusy || refusal.Code == recsrv.CodeSpent:
		return false
	}
	seen.stale = true
	if len(refusal.Roster) > 0 {
		c.Learn(refusal.Roster)
	}
	return false
}
