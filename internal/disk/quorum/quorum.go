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
	"fmt"
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
	// shortChain is how many bytes of turns are read without leave.
	shortChain = 64 << 10
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
	// chainQuery asks for a turn and the previous ones.
	chainQuery struct {
		program, turn string
		most          int64 // bytes that the turns may have; 0 for no bound
	}

	// longChainError reports turns that have more bytes than they may.
	longChainError struct{ size int64 }

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

// Read returns a turn with its chain, the oldest first. It retries until ctx ends. The
// error is ErrNoTurn only if an absence quorum lacks the turn.
//
// A replica may have a turn and lack a previous one that was written while the replica
// was down. The turns that one replica lacks are therefore read from the others, one
// by one; an absence quorum is counted for each turn separately.
func (c *Client) Read(ctx context.Context, program, turn string) (chain []index.Turn, err error) {
	return c.ReadWithin(ctx, program, turn, nil)
}

// ReadWithin does what Read does, but has room called before it reads turns of more than shortChain bytes, with the bytes
// of them; nil for no bound. An error of room ends it.
func (c *Client) ReadWithin(ctx context.Context, program, turn string, room func(ctx context.Context, n int64) error) (chain []index.Turn, err error) {
	defer func() { err = errors.Wrapf(err, "read turn %s", turn) }()
	q := chainQuery{program: program}
	if room != nil {
		q.most = shortChain
	}
	for next := turn; next != ""; {
		q.turn = next
		var part []index.Turn
		part, next, err = c.readPart(ctx, q)
		var long *longChainError
		switch {
		case errors.As(err, &long):
			if err = room(ctx, long.size); err != nil {
				return nil, err
			}
			q.most = long.size
			continue
		case errors.Is(err, ErrNoTurn) && len(chain) > 0:
			// An absence quorum lacks a previous turn although a later one is stored.
			// That is not ErrNoTurn, which would mean that the requested turn does not
			// exist.
			return nil, errors.Wrapf(ErrNoQuorum, "a previous turn is missing: %s", next)
		case err != nil:
			return nil, err
		}
		chain = append(chain, part...)
		q.most = left(q.most, part)
	}
	slices.Reverse(chain)
	return chain, nil
}

// left returns the bytes that further turns may have.
func left(most int64, part []index.Turn) int64 {
	if most == 0 {
		return 0
	}
	for _, t := range part {
		most -= turnBytes(index.Record{Turn: &t})
	}
	return max(most, 1)
}

func (e *longChainError) Error() string { return fmt.Sprintf("the turns have %d bytes", e.size) }

func isLong(err error) bool {
	var long *longChainError
	return errors.As(err, &long)
}

// readPart returns the turn and the previous ones, the newest first, as far as one
// replica has them, and the id of the first that it lacks.
func (c *Client) readPart(ctx context.Context, q chainQuery) (part []index.Turn, next string, err error) {
	for wait := retryPause; ; {
		var seen refusals
		part, next, err = c.tryRead(ctx, q, &seen)
		if err == nil || errors.Is(err, ErrNoTurn) || isLong(err) || ctx.Err() != nil {
			return part, next, err
		}
		wait = nextPause(wait, seen.busy)
		if !c.waitRetry(ctx, seen.stale, wait) {
			return nil, q.turn, err
		}
	}
}

func (c *Client) tryRead(ctx context.Context, q chainQuery, seen *refusals) (part []index.Turn, next string, err error) {
	r, turn := c.Roster(), q.turn
	replicas := c.readOrder(r, q.program)
	if len(replicas) == 0 {
		seen.stale = true
		return nil, turn, ErrNoQuorum
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	replies := make(chan reply, len(replicas))
	send := c.sendNext(ctx, r.Version, q, replicas, replies)
	send()
	hedge := time.NewTicker(c.readLatency.hedge(replicas, minReadHedge))
	defer hedge.Stop()
	absent := 0
	for received := 0; received < len(replicas); {
		select {
		case got := <-replies:
			received++
			send()
			if !c.accepted(got.err, got.read.Refusal, seen) {
				if got.read.Refusal.Version > r.Version {
					return nil, turn, ErrNoQuorum // r is stale: retry with the newer roster
				}
				continue
			}
			if got.read.Size > 0 {
				return nil, turn, &longChainError{got.read.Size}
			}
			if len(got.read.Chain) > 0 {
				return got.read.Chain, got.read.Next, nil
			}
			if !got.replica.Joining {
				absent++
			}
			if absent >= r.AbsenceQuorum() {
				return nil, turn, ErrNoTurn
			}
		case <-hedge.C:
			send()
		case <-ctx.Done():
			return nil, turn, seen.mark(errors.CombineErrors(ErrNoQuorum, ctx.Err()))
		}
	}
	return nil, turn, seen.mark(ErrNoQuorum)
}

// sendNext returns a function that sends the read to the next replica.
func (c *Client) sendNext(ctx context.Context, version uint64, q chainQuery, replicas []roster.Replica, replies chan<- reply) func() {
	next := 0
	return func() {
		if next == len(replicas) {
			return
		}
		p := replicas[next]
		next++
		go func() {
			limited, stop := context.WithTimeout(ctx, replicaTimeout)
			defer stop()
			out := reply{replica: p}
			req := recsrv.ReadRequest{Target: recsrv.Target{Version: version, DiskID: p.DiskID}, Turn: q.turn, Most: q.most}
			began := time.Now()
			out.err = link.InvokeTyped(limited, c.Peer(p.Address), recsrv.MethodRead, req, &out.read)
			c.readLatency.observe(p, time.Since(began), out.err)
			replies <- out
		}()
	}
}

// readOrder returns the replicas in the order in which a read asks them: those that
// the program's records are written to first, and of these the ones in this daemon's
// failure domain first.
func (c *Client) readOrder(r roster.Roster, key string) []roster.Replica {
	list := preferenceOrder(r, key)
	preferred := list[:min(r.WriteQuorum(), len(list))]
	slices.SortStableFunc(preferred, func(a, b roster.Replica) int {
		return cmp.Compare(c.distance(a), c.distance(b))
	})
	return list
}

func (c *Client) distance(p roster.Replica) int {
	switch {
	case p.Joining:
		return 2
	case p.Domain != c.Domain:
		return 1
	default:
		return 0
	}
}
