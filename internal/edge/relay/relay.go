// Package relay takes requests to the daemon that owns their program.
//
// A Relay is the runner.Runner behind the callers' server. If the program's
// shard is owned here it hands the request to the local Runner, else to the
// owner's, one hop away: what arrives from another daemon is given to the local
// Runner by whoever receives it, never to a Relay, so that no request can go in
// circles while pictures of ownership differ.
//
// Owners move. When an owner says that it is not the owner any more, or the way
// to it breaks, the Relay looks again and repeats the request, for a bounded
// time and with growing, jittered pauses. That is safe because an owner joins a
// call that is under way and answers a recorded one from the journal: the call
// number makes the repeat idempotent. What the caller was already sent of a
// streamed answer is not sent twice.
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

// DefaultPatience is how long a request waits for an owner that can be
// reached. It covers a takeover after a lease has lapsed.
const DefaultPatience = 20 * time.Second

type (
	// Remote is another daemon's Runner. Try is Call, but an attempt whose
	// outcome did not come back is an error instead of a result.
	Remote interface {
		runner.Runner
		Try(ctx context.Context, c call.Call, sink runner.Sink) (result.Result, error)
	}

	// Relay finds the owner of each request's program. Local and Members are
	// set before use.
	Relay struct {
		Self    string // this daemon's name
		Local   runner.Runner
		Members func() []swim.Member
		Shards  func() int
		// Peer returns the Runner of the daemon with the peer address.
		Peer func(address string) Remote
		// Unsent reports whether an error of Try proves that the request did
		// not reach the peer. Without it none does.
		Unsent   func(err error) bool
		Patience time.Duration
	}

	// local makes the daemon's own Runner look like a Remote.
	local struct{ runner.Runner }

	// ask makes one attempt at one daemon.
	ask func(to Remote) (result.Result, error)
)

var _ runner.Runner = (*Relay)(nil)

// Try calls the Runner, whose way can't break.
func (l local) Try(ctx context.Context, c call.Call, sink runner.Sink) (result.Result, error) {
	return l.Call(ctx, c, sink), nil
}

// Open opens a program at its owner.
func (r *Relay) Open(ctx context.Context, o call.Open) result.Result {
	return r.follow(ctx, r.shard(o.Program), func(to Remote) (result.Result, error) {
		return settled(to.Open(ctx, o))
	})
}

// Call runs a call at its program's owner.
func (r *Relay) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	t := transcript{sink: sink, gone: stop}
	res := r.follow(ctx, r.shard(c.Program), func(to Remote) (result.Result, error) {
		return to.Try(ctx, c, t.begin())
	})
	return t.check(res)
}

// End ends a program at its owner.
func (r *Relay) End(ctx context.Context, e call.End) result.Result {
	return r.follow(ctx, r.shard(e.Program), func(to Remote) (result.Result, error) {
		return settled(to.End(ctx, e))
	})
}

// History returns a program's history from its owner.
func (r *Relay) History(ctx context.Context, account, program string) (h hist.History, res result.Result) {
	res = r.follow(ctx, r.shard(program), func(to Remote) (found result.Result, err error) {
		h, found = to.History(ctx, account, program)
		return settled(found)
	})
	return h, res
}

// Request returns what became of one request, whose name leads to its shard.
func (r *Relay) Request(ctx context.Context, account, request string) (h hist.History, res result.Result) {
	shard, ok := locate.RequestShard(request, r.Shards())
	if !ok {
		return hist.History{}, result.Refuse(result.CodeNotFound, "no request %s", request)
	}
	res = r.follow(ctx, shard, func(to Remote) (found result.Result, err error) {
		h, found = to.Request(ctx, account, request)
		return settled(found)
	})
	return h, res
}

// follow makes attempts until one settles the request or patience is over.
func (r *Relay) follow(ctx context.Context, shard int, do ask) result.Result {
	s := search{patience: r.Patience}
	for {
		if m, found := locate.Owner(r.Members(), shard); found {
			s.begin(m, shard)
			res, err := do(r.at(m))
			if s.settles(ctx, res, err, r.unsent(err)) {
				return s.honest(res)
			}
		}
		if !s.wait(ctx) {
			return s.give(ctx)
		}
	}
}

// settled turns an outcome that did not come back into an error. All requests
// but calls can be repeated whatever became of them.
func settled(res result.Result) (result.Result, error) {
	if res.Code == result.CodeUnknown && res.Ran == result.Unknown {
		return res, errors.New(res.Message)
	}
	return res, nil
}

func (r *Relay) at(m swim.Member) Remote {
	if m.Name == r.Self {
		return local{r.Local}
	}
	return r.Peer(m.Peer)
}

func (r *Relay) unsent(err error) bool {
	return err != nil && r.Unsent != nil && r.Unsent(err)
}

func (r *Relay) shard(program string) int {
	return locate.Shard(program, r.Shards())
}
