package quorum

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// shortChain is how many bytes of turns are read without leave.
const shortChain = 64 << 10

type (
	// chainQuery asks for a turn and the previous ones.
	chainQuery struct {
		program, turn string
		most          int64 // bytes that the turns may have; 0 for no bound
	}

	// longChainError reports turns that have more bytes than they may.
	longChainError struct{ size int64 }
)

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
