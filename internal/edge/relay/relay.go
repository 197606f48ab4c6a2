// Package relay forwards requests to the daemon that owns their program.
//
// A Relay is the runner.Runner behind the HTTP server. If this daemon owns the
// program's shard it passes the request to the local Runner, otherwise to the
// Runner of the owner, at most one hop away: a daemon passes requests that it
// receives from a peer to its local Runner, never to a Relay, so that requests
// can't loop while daemons disagree about ownership.
//
// Ownership moves. If a daemon answers that it is not the owner, or the link to it
// breaks, the Relay looks up the owner again and retries, for a bounded time and
// with exponential, jittered backoff. Retries are safe because the call number
// makes them idempotent: an owner attaches a repeated call to the one in flight,
// and answers a completed one from the journal. Text of a stream that was already
// sent to the caller is not sent again.
package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// DefaultRetryTimeout is how long a request is retried until an owner can be
// reached. It is long enough for a takeover after a lease has expired.
const DefaultRetryTimeout = 20 * time.Second

type (
	// Remote is another daemon's Runner. Try is Call, except that it returns an
	// error if the outcome of the attempt was not received.
	Remote interface {
		runner.Runner
		Try(ctx context.Context, c call.Call, sink runner.Sink) (result.Result, error)
	}

	// Relay forwards each request to the owner of its program. Its fields are set
	// before use; only Unsent and RetryTimeout may be zero.
	Relay struct {
		Self    string // this daemon's name
		Local   runner.Runner
		Members func() []swim.Member
		Shards  func() int
		// Peer returns the Runner of the daemon with the peer address.
		Peer func(address string) Remote
		// Unsent reports whether an error of Try proves that the request did
		// not reach the peer. If nil, no error does.
		Unsent       func(err error) bool
		RetryTimeout time.Duration // 0 is DefaultRetryTimeout
	}

	// localRemote adapts the local Runner to Remote.
	localRemote struct{ runner.Runner }

	// attemptFunc makes one attempt of a request at one daemon.
	attemptFunc func(to Remote) (result.Result, error)
)

var _ runner.Runner = (*Relay)(nil)

// Try calls the Runner and never fails: there is no link to lose.
func (l localRemote) Try(ctx context.Context, c call.Call, sink runner.Sink) (result.Result, error) {
	return l.Call(ctx, c, sink), nil
}

// Open opens a program at its owner.
func (r *Relay) Open(ctx context.Context, o call.Open) result.Result {
	return r.forward(ctx, r.shard(o.Program), func(to Remote) (result.Result, error) {
		return unknownAsError(to.Open(ctx, o))
	})
}

// Call runs a call at its program's owner.
func (r *Relay) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	t := transcript{sink: sink, cancel: stop}
	res := r.forward(ctx, r.shard(c.Program), func(to Remote) (result.Result, error) {
		return to.Try(ctx, c, t.nextSink())
	})
	return t.check(res)
}

// End ends a program at its owner.
func (r *Relay) End(ctx context.Context, e call.End) result.Result {
	return r.forward(ctx, r.shard(e.Program), func(to Remote) (result.Result, error) {
		return unknownAsError(to.End(ctx, e))
	})
}

// History returns a program's history from its owner.
func (r *Relay) History(ctx context.Context, account, program string) (h hist.History, res result.Result) {
	res = r.forward(ctx, r.shard(program), func(to Remote) (found result.Result, err error) {
		h, found = to.History(ctx, account, program)
		return unknownAsError(found)
	})
	return h, res
}

// Request returns the history entry of one request, whose id determines its shard.
func (r *Relay) Request(ctx context.Context, account, request string) (h hist.History, res result.Result) {
	shard, ok := locate.RequestShard(request, r.Shards())
	if !ok {
		return hist.History{}, result.Refuse(result.CodeNotFound, "no request %s", request)
	}
	res = r.forward(ctx, shard, func(to Remote) (found result.Result, err error) {
		h, found = to.Request(ctx, account, request)
		return unknownAsError(found)
	})
	return h, res
}

// forward makes attempts at the shard's current owner until one is final or the
// retry timeout is over.
func (r *Relay) forward(ctx context.Context, shard int, do attemptFunc) result.Result {
	s := retryState{timeout: r.RetryTimeout}
	for {
		if m, found := locate.Owner(r.Members(), shard); found {
			s.startAttempt(m, shard)
			res, err := do(r.at(m))
			if s.endAttempt(ctx, res, err, r.unsent(err)) {
				return s.adjustRan(res)
			}
		}
		if !s.wait(ctx) {
			return s.failure(ctx)
		}
	}
}

// unknownAsError turns an unknown outcome into an error, so that the request is
// retried. All requests except calls can be repeated whatever their outcome was.
func unknownAsError(res result.Result) (result.Result, error) {
	if res.Code == result.CodeUnknown && res.Ran == result.Unknown {
		return res, errors.New(res.Message)
	}
	return res, nil
}

func (r *Relay) at(m swim.Member) Remote {
	if m.Name == r.Self {
		return localRemote{r.Local}
	}
	return r.Peer(m.Peer)
}

func (r *Relay) unsent(err error) bool {
	return err != nil && r.Unsent != nil && r.Unsent(err)
}

func (r *Relay) shard(program string) int {
	return locate.Shard(program, r.Shards())
}
