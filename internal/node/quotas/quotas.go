// Package guard holds accounts to their limits at one daemon: it asks the
// account's home before a call or a program is let in, answers other daemons
// whose accounts have their home here, and reports what is open.
//
// The rules are in package quota. Guard adds the clock, the lock and the
// messages. A call waits for a home at most WaitHome; without an answer it is
// refused with a hint when to come back, so that a home that died or hangs never
// makes a caller wait.
package quotas

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/beat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/quota"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// WaitHome is the longest wait for the home's answer.
	HomeTimeout = 300 * time.Millisecond
	// retrySilent is the hint after a home did not answer: by then the others
	// have mostly noticed, and the account has a new home.
	retryUnreachable = time.Second

	homePrefix = "account:"
)

// Guard holds accounts to their limits. Set the fields before Init.
type Limiter struct {
	Self    string
	Members func() []beat.Member
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
func (l *Limiter) Init(now time.Time) {
	l.local = quota.Local{Daemon: l.Self, Serial: now.UnixNano()}
}

// Answer answers another daemon, or this one, as the home of the account.
func (l *Limiter) Answer(a quota.Ask) quota.Answer {
	acct := l.Config().Accounts[a.Account]
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Ask(time.Now(), a, quota.Limit{Tokens: acct.TokensPerMinute, Programs: acct.MaxPrograms})
}

// Open asks for room for a program. A result with a code refuses it; else
// Opened must follow.
func (l *Limiter) Open(ctx context.Context, o call.Open) result.Result {
	l.mu.Lock()
	ask, fresh := l.local.Opening(time.Now(), o.Account, o.Program)
	l.mu.Unlock()
	if !fresh {
		return result.Result{}
	}
	a, err := l.ask(ctx, ask)
	if err == nil && a.OK {
		return result.Result{}
	}
	l.Closed(o.Program)
	if err != nil {
		return homeUnreachable(retryUnreachable)
	}
	return result.Refuse(result.CodeLimited, "the account has as many programs open as it may").WithRetryAfter(a.Retry)
}

// Opened tells how an opening ended. One that failed may have been written all
// the same, so whether the program is open decides.
func (l *Limiter) Opened(o call.Open, r result.Result) {
	if !r.OK() && !l.Live(o.Program) {
		l.Closed(o.Program)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Opened(o.Program)
}

// Closed tells that a program is open here no more.
func (l *Limiter) Closed(program string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Closed(program)
}

// Adopt tells of a program that was taken over. Its calls below next count as
// charged.
func (l *Limiter) Adopt(account, program string, next int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Adopt(account, program, next)
}

// Call charges a call of a model. A result with a code refuses it.
func (l *Limiter) Call(ctx context.Context, c call.Call) result.Result {
	cost := l.cost(c)
	if !l.known(c.Program) && !l.Live(c.Program) {
		return result.Result{} // the owner answers from the records, or refuses
	}
	if r, done := l.tryLocal(c, cost); done {
		return r
	}
	sent := time.Now()
	l.mu.Lock()
	ask := l.local.Ask(sent, c.Account, cost)
	l.mu.Unlock()
	a, err := l.ask(ctx, ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil && ctx.Err() != nil:
		// The caller left, which tells nothing of the home. To take it for
		// silence would refuse the account's other callers.
		return homeUnreachable(retryUnreachable)
	case err != nil:
		l.local.Silent(now, c.Account, retryUnreachable)
		return homeUnreachable(retryUnreachable)
	case !a.OK:
		l.local.Deny(now, c.Account, cost, a.Retry)
		return overLimit(cost, a.Retry)
	case !l.local.Take(now, sent, ask, a):
		return homeUnreachable(retryUnreachable)
	}
	l.local.Charge(c.Account, c.Program, c.Number)
	return result.Result{}
}

// Called tells how a call ended. A model call that failed runs again when it is
// repeated, and is charged again.
func (l *Limiter) Called(c call.Call, r result.Result) {
	if r.Ran == result.No || r.Code != result.CodeUpstreamFailed && r.Code != result.CodeTimeout {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Uncharge(c.Program, c.Number)
}

func (l *Limiter) known(program string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local.Knows(program)
}

// spend decides what needs no message.
func (l *Limiter) tryLocal(c call.Call, cost int64) (result.Result, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local.Charged(c.Account, c.Program, c.Number) {
		return result.Result{}, true
	}
	if l.local.Spend(now, c.Account, cost) {
		l.local.Charge(c.Account, c.Program, c.Number)
		return result.Result{}, true
	}
	d, quiet := l.local.Denied(now, c.Account, cost)
	switch {
	case d <= 0:
		return result.Result{}, false
	case quiet:
		return homeUnreachable(d), true
	}
	return overLimit(cost, d), true
}

// cost is the most that a call may use.
func (l *Limiter) cost(c call.Call) int64 {
	most := l.Config().Models[c.Model].MaxTokens
	if n := c.MaxTokens; n > 0 && (most == 0 || n < most) {
		most = n
	}
	return int64(engine.Tokens(len(c.Body)) + most)
}

// Serve reports what is open and frees what is idle, until ctx ends.
func (l *Limiter) Serve(ctx context.Context) {
	t := time.NewTicker(quota.ReportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.tick(ctx)
		}
	}
}

func (l *Limiter) tick(ctx context.Context) {
	l.mu.Lock()
	programs := l.local.Programs()
	l.mu.Unlock()
	for _, p := range programs {
		if !l.Live(p) {
			l.Closed(p)
		}
	}
	now := time.Now()
	l.mu.Lock()
	l.home.Trim(now)
	reports := l.local.Reports(now)
	l.mu.Unlock()
	// A home that hangs must not keep the other homes from their reports.
	var work sync.WaitGroup
	for _, a := range reports {
		work.Go(func() { _, _ = l.ask(ctx, a) })
	}
	work.Wait()
}

func (l *Limiter) ask(ctx context.Context, a quota.Ask) (quota.Answer, error) {
	m, ok := Home(l.Members(), a.Account, l.Config().System.Shards)
	if !ok || m.Name == l.Self {
		return l.Answer(a), nil
	}
	ctx, stop := context.WithTimeout(ctx, HomeTimeout)
	defer stop()
	return l.Send(ctx, m.Peer, a)
}

// Home returns the daemon that keeps an account's record: the owner of the
// account's shard. While that is not known to answer, it is the daemon that
// should own it, as an account must not wait for a lease to lapse, nor for the
// end of an outage of the store.
func Home(members []beat.Member, account string, shards int) (beat.Member, bool) {
	shard := locate.Shard(homePrefix+account, shards)
	m, ok := locate.Owner(members, shard)
	if ok && (m.State == beat.Alive || m.State == beat.Draining) {
		return m, true
	}
	return locate.Preferred(members, shard, shards)
}

func homeUnreachable(retry time.Duration) result.Result {
	return result.Refuse(result.CodeLimited, "the account's limit could not be checked").WithRetryAfter(retry)
}

func overLimit(cost int64, retry time.Duration) result.Result {
	if retry <= 0 {
		return result.Refuse(result.CodeLimited, "the call may use %d tokens, more than the account may use in a minute", cost)
	}
	return result.Refuse(result.CodeLimited, "the account's tokens of this minute are used up").WithRetryAfter(retry)
}
