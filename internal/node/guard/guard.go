// Package guard holds accounts to their limits at one daemon: it asks the
// account's home before a call or a program is let in, answers other daemons
// whose accounts have their home here, and reports what is open.
//
// The rules are in package quota. Guard adds the clock, the lock and the
// messages. A call waits for a home at most WaitHome; without an answer it is
// refused with a hint when to come back, so that a home that died or hangs never
// makes a caller wait.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/quota"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// WaitHome is the longest wait for the home's answer.
	WaitHome = 300 * time.Millisecond
	// retrySilent is the hint after a home did not answer: by then the others
	// have mostly noticed, and the account has a new home.
	retrySilent = time.Second

	homePrefix = "account:"
)

// Guard holds accounts to their limits. Set the fields before Init.
type Guard struct {
	Self    string
	Members func() []swim.Member
	Config  func() file.File
	// Send asks the daemon at a peer address.
	Send func(ctx context.Context, peer string, a quota.Ask) (quota.Answer, error)
	// Live reports whether a program is owned here and open.
	Live func(program string) bool

	mu    sync.Mutex
	home  quota.Home
	local quota.Local
}

// Init makes the guard ready.
func (g *Guard) Init(now time.Time) {
	g.local = quota.Local{Daemon: g.Self, Serial: now.UnixNano()}
}

// Answer answers another daemon, or this one, as the home of the account.
func (g *Guard) Answer(a quota.Ask) quota.Answer {
	acct := g.Config().Accounts[a.Account]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.home.Ask(time.Now(), a, quota.Limit{Tokens: acct.TokensPerMinute, Programs: acct.MaxPrograms})
}

// Open asks for room for a program. A result with a code refuses it; else
// Opened must follow.
func (g *Guard) Open(ctx context.Context, o call.Open) result.Result {
	g.mu.Lock()
	ask, fresh := g.local.Opening(time.Now(), o.Account, o.Program)
	g.mu.Unlock()
	if !fresh {
		return result.Result{}
	}
	a, err := g.ask(ctx, ask)
	if err == nil && a.OK {
		return result.Result{}
	}
	g.Closed(o.Program)
	if err != nil {
		return silent(retrySilent)
	}
	return result.Refuse(result.CodeLimited, "the account has as many programs open as it may").WithRetryAfter(a.Retry)
}

// Opened tells how an opening ended. One that failed may have been written all
// the same, so whether the program is open decides.
func (g *Guard) Opened(o call.Open, r result.Result) {
	if !r.OK() && !g.Live(o.Program) {
		g.Closed(o.Program)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.Opened(o.Program)
}

// Closed tells that a program is open here no more.
func (g *Guard) Closed(program string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.Closed(program)
}

// Adopt tells of a program that was taken over. Its calls below next count as
// charged.
func (g *Guard) Adopt(account, program string, next int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.Adopt(account, program, next)
}

// Call charges a call of a model. A result with a code refuses it.
func (g *Guard) Call(ctx context.Context, c call.Call) result.Result {
	cost := g.cost(c)
	if !g.known(c.Program) && !g.Live(c.Program) {
		return result.Result{} // the owner answers from the records, or refuses
	}
	if r, done := g.spend(c, cost); done {
		return r
	}
	sent := time.Now()
	g.mu.Lock()
	ask := g.local.Ask(sent, c.Account, cost)
	g.mu.Unlock()
	a, err := g.ask(ctx, ask)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil && ctx.Err() != nil:
		// The caller left, which tells nothing of the home. To take it for
		// silence would refuse the account's other callers.
		return silent(retrySilent)
	case err != nil:
		g.local.Silent(now, c.Account, retrySilent)
		return silent(retrySilent)
	case !a.OK:
		g.local.Deny(now, c.Account, cost, a.Retry)
		return spent(cost, a.Retry)
	case !g.local.Take(now, sent, ask, a):
		return silent(retrySilent)
	}
	g.local.Charge(c.Account, c.Program, c.Number)
	return result.Result{}
}

// Called tells how a call ended. A model call that failed runs again when it is
// repeated, and is charged again.
func (g *Guard) Called(c call.Call, r result.Result) {
	if r.Ran == result.No || r.Code != result.CodeUpstreamFailed && r.Code != result.CodeTimeout {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.Uncharge(c.Program, c.Number)
}

func (g *Guard) known(program string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.Knows(program)
}

// spend decides what needs no message.
func (g *Guard) spend(c call.Call, cost int64) (result.Result, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.local.Charged(c.Account, c.Program, c.Number) {
		return result.Result{}, true
	}
	if g.local.Spend(now, c.Account, cost) {
		g.local.Charge(c.Account, c.Program, c.Number)
		return result.Result{}, true
	}
	d, quiet := g.local.Denied(now, c.Account, cost)
	switch {
	case d <= 0:
		return result.Result{}, false
	case quiet:
		return silent(d), true
	}
	return spent(cost, d), true
}

// cost is the most that a call may use.
func (g *Guard) cost(c call.Call) int64 {
	most := g.Config().Models[c.Model].MaxTokens
	if n := c.MaxTokens; n > 0 && (most == 0 || n < most) {
		most = n
	}
	return int64(engine.Tokens(len(c.Body)) + most)
}

// Serve reports what is open and frees what is idle, until ctx ends.
func (g *Guard) Serve(ctx context.Context) {
	t := time.NewTicker(quota.ReportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.tick(ctx)
		}
	}
}

func (g *Guard) tick(ctx context.Context) {
	g.mu.Lock()
	programs := g.local.Programs()
	g.mu.Unlock()
	for _, p := range programs {
		if !g.Live(p) {
			g.Closed(p)
		}
	}
	now := time.Now()
	g.mu.Lock()
	g.home.Trim(now)
	reports := g.local.Reports(now)
	g.mu.Unlock()
	// A home that hangs must not keep the other homes from their reports.
	var work sync.WaitGroup
	for _, a := range reports {
		work.Go(func() { _, _ = g.ask(ctx, a) })
	}
	work.Wait()
}

func (g *Guard) ask(ctx context.Context, a quota.Ask) (quota.Answer, error) {
	m, ok := Home(g.Members(), a.Account, g.Config().System.Shards)
	if !ok || m.Name == g.Self {
		return g.Answer(a), nil
	}
	ctx, stop := context.WithTimeout(ctx, WaitHome)
	defer stop()
	return g.Send(ctx, m.Peer, a)
}

// Home returns the daemon that keeps an account's record: the owner of the
// account's shard. While that is not known to answer, it is the daemon that
// should own it, as an account must not wait for a lease to lapse, nor for the
// end of an outage of the store.
func Home(members []swim.Member, account string, shards int) (swim.Member, bool) {
	shard := locate.Shard(homePrefix+account, shards)
	m, ok := locate.Owner(members, shard)
	if ok && (m.State == swim.Alive || m.State == swim.Draining) {
		return m, true
	}
	return locate.Preferred(members, shard, shards)
}

func silent(retry time.Duration) result.Result {
	return result.Refuse(result.CodeLimited, "the account's limit could not be checked").WithRetryAfter(retry)
}

func spent(cost int64, retry time.Duration) result.Result {
	if retry <= 0 {
		return result.Refuse(result.CodeLimited, "the call may use %d tokens, more than the account may use in a minute", cost)
	}
	return result.Refuse(result.CodeLimited, "the account's tokens of this minute are used up").WithRetryAfter(retry)
}
