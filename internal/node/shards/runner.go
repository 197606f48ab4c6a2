package shards

import (
	"context"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
	"github.com/slaterock/slaterock/internal/prog/state"
)

var _ runner.Runner = (*Shards)(nil)

func (s *Shards) find(program string) *ownedShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[locate.Shard(program, s.cfg.System.Shards)]
}

func notOwner() result.Result {
	return result.Refuse(result.CodeNotOwner, "the program belongs to another daemon")
}

// limits returns the account's limits, none without a Limiter.
func (s *Shards) limits(account string) file.Account {
	if s.Limiter == nil {
		return file.Account{}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.cfg.Accounts[account]
}

// Open implements runner.Runner.
func (s *Shards) Open(ctx context.Context, o call.Open) result.Result {
	w := s.find(o.Program)
	switch {
	case w == nil:
		return notOwner()
	case s.limits(o.Account).MaxPrograms <= 0:
		return w.Open(ctx, o)
	}
	if r := s.Limiter.Open(ctx, o); r.Code != "" {
		return r
	}
	r := w.Open(ctx, o)
	s.Limiter.Opened(o, r)
	return r
}

// Call implements runner.Runner.
func (s *Shards) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	w := s.find(c.Program)
	switch {
	case w == nil:
		return notOwner()
	case c.Kind != call.Model || s.limits(c.Account).TokensPerMinute <= 0:
		return w.Call(ctx, c, sink)
	}
	if r := s.Limiter.Call(ctx, c); r.Code != "" {
		return r
	}
	r := w.Call(ctx, c, sink)
	s.Limiter.Called(c, r)
	return r
}

// End implements runner.Runner.
func (s *Shards) End(ctx context.Context, e call.End) result.Result {
	w := s.find(e.Program)
	if w == nil {
		return notOwner()
	}
	r := w.End(ctx, e)
	if r.OK() && s.Limiter != nil {
		s.Limiter.Closed(e.Program)
	}
	return r
}

// History implements runner.Runner.
func (s *Shards) History(ctx context.Context, account, program string) (hist.History, result.Result) {
	if w := s.find(program); w != nil {
		return w.History(ctx, account, program)
	}
	return hist.History{}, notOwner()
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
		return hist.History{}, notOwner()
	}
	return w.Request(ctx, account, request)
}

// Live returns those of the programs that are open here. Programs of shards that are not
// owned here count as open, because only their owner knows that they have ended.
func (s *Shards) Live(programs []string) []string {
	var out []string
	for _, p := range programs {
		if w := s.find(p); w == nil || w.Live(p) {
			out = append(out, p)
		}
	}
	return out
}

// Has reports whether the program is owned here and open.
func (s *Shards) Has(program string) bool {
	w := s.find(program)
	return w != nil && w.Live(program)
}

// openProgram is a program that was open when its shard was taken over.
type openProgram struct {
	account, program string
	next             int // calls with lower numbers count as charged
}

// openPrograms lists the open programs of a shard. Call it before the shard's host runs,
// which then changes the fold.
func openPrograms(f state.Fold) []openProgram {
	var out []openProgram
	for id, p := range f.Programs {
		if p.Closed == "" {
			out = append(out, openProgram{account: p.Open.Account, program: id, next: chargedBelow(p)})
		}
	}
	return out
}

// chargedBelow returns the number below which no call of the program is to be charged. The
// last call that ended runs again if its outcome is not final. A call in progress during
// the handover, p.Moved, was charged by the former owner.
func chargedBelow(p *state.Program) int {
	switch {
	case p.Moved != nil:
		return p.Moved.Call.Number + 1
	case p.Next > 0 && !p.Final:
		return p.Next - 1
	}
	return p.Next
}

// registerPrograms registers with Limiter the open programs of a shard that was taken over.
func (s *Shards) registerPrograms(list []openProgram) {
	for _, a := range list {
		acct := s.limits(a.account)
		if acct.MaxPrograms > 0 || acct.TokensPerMinute > 0 {
			s.Limiter.Adopt(a.account, a.program, a.next)
		}
	}
}
