package shards

import (
	"context"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

var _ runner.Runner = (*Shards)(nil)

func (s *Shards) find(program string) *ward {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[locate.Shard(program, s.cfg.System.Shards)]
}

func notHere() result.Result {
	return result.Refuse(result.CodeNotOwner, "the program belongs to another daemon")
}

// Open implements runner.Runner.
func (s *Shards) Open(ctx context.Context, o call.Open) result.Result {
	if w := s.find(o.Program); w != nil {
		return w.Open(ctx, o)
	}
	return notHere()
}

// Call implements runner.Runner.
func (s *Shards) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	if w := s.find(c.Program); w != nil {
		return w.Call(ctx, c, sink)
	}
	return notHere()
}

// End implements runner.Runner.
func (s *Shards) End(ctx context.Context, e call.End) result.Result {
	if w := s.find(e.Program); w != nil {
		return w.End(ctx, e)
	}
	return notHere()
}

// History implements runner.Runner.
func (s *Shards) History(ctx context.Context, account, program string) (hist.History, result.Result) {
	if w := s.find(program); w != nil {
		return w.History(ctx, account, program)
	}
	return hist.History{}, notHere()
}

// Request implements runner.Runner.
func (s *Shards) Request(ctx context.Context, account, request string) (hist.History, result.Result) {
	s.mu.RLock()
	shard, ok := locate.RequestShard(request, s.cfg.System.Shards)
	w := s.hosts[shard]
	s.mu.RUnlock()
	switch {
	case !ok:
		return hist.History{}, result.Refuse(result.CodeNotFound, "no such request")
	case w == nil:
		return hist.History{}, notHere()
	}
	return w.Request(ctx, account, request)
}

// Live returns those of the programs that are open here. Programs of shards
// that are not owned here count as open: their owner must say otherwise.
func (s *Shards) Live(programs []string) []string {
	var out []string
	for _, p := range programs {
		if w := s.find(p); w == nil || w.Live(p) {
			out = append(out, p)
		}
	}
	return out
}
