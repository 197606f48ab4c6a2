// Package quotas enforces the limits of accounts at one daemon. It admits model calls from tokens
// that were granted by the account's home, the daemon that keeps the account's record, and asks
// the home for more when these don't suffice. It asks the home before each new program, reports
// open programs to homes, and answers other daemons for the accounts that have their home here.
//
// The rules are in package quota; Limiter adds the clock, the lock and the messages. A request
// waits at most HomeTimeout for the home. Without an answer it is refused with a retry hint, so
// that a home that is down or hangs doesn't block callers.
package quotas

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
	// HomeTimeout limits the wait for the home's answer.
	HomeTimeout = 300 * time.Millisecond
	// retryUnreachable is the retry hint after a home did not answer. Within this time the
	// daemons have mostly detected the failure, and the account has a new home.
	retryUnreachable = time.Second

	homePrefix = "account:"
)

// Limiter enforces accounts' limits. Set the exported fields before Init.
type Limiter struct {
	Self    string
	Members func() []swim.Member
	Config  func() file.File
	// Send sends an Ask to the daemon at a peer address.
	Send func(ctx context.Context, peer string, a quota.Request) (quota.Answer, error)
	// Live reports whether a program is owned here and open.
	Live func(program string) bool

	mu    sync.Mutex
	home  quota.Home
	local quota.Local
}

// Init must be called before any other method.
func (l *Limiter) Init(now time.Time) {
	l.local = quota.Local{Daemon: l.Self, Serial: now.UnixNano()}
}

// Answer answers an Ask of another daemon, or of this one, as the home of the account.
func (l *Limiter) Answer(a quota.Request) quota.Answer {
	acct := l.Config().Accounts[a.Account]
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Request(time.Now(), a, quota.Limit{Tokens: acct.TokensPerMinute, Programs: acct.MaxPrograms})
}

// Open counts a program that is to be opened against the account's limit of open programs. A
// result with a code refuses the program; otherwise Opened must follow.
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

// Opened reports the result of opening a program. An opening that failed may have been written
// nevertheless, so the program stays counted if it is open.
func (l *Limiter) Opened(o call.Open, r result.Result) {
	if !r.OK() && !l.Live(o.Program) {
		l.Closed(o.Program)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Opened(o.Program)
}

// Closed reports that a program is no longer open here.
func (l *Limiter) Closed(program string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Closed(program)
}

// Adopt registers a program whose shard was taken over. Its calls with numbers below next count
// as charged.
func (l *Limiter) Adopt(account, program string, next int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Adopt(account, program, next)
}

// Call charges the account for a model call. A result with a code refuses the call.
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
	ask := l.local.Request(sent, c.Account, cost)
	l.mu.Unlock()
	a, err := l.ask(ctx, ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil && ctx.Err() != nil:
		// The caller disconnected, so the home's state is unknown. If it counted as
		// unreachable, the account's other callers would be refused.
		return homeUnreachable(retryUnreachable)
	case err != nil:
		l.local.DenyUnreachable(now, c.Account, retryUnreachable)
		return homeUnreachable(retryUnreachable)
	case !a.OK:
		l.local.Deny(now, c.Account, cost, a.Retry)
		return overLimit(cost, a.Retry)
	case !l.local.Apply(now, sent, ask, a):
		return homeUnreachable(retryUnreachable)
	}
	l.local.Charge(c.Account, c.Program, c.Number)
	return result.Result{}
}

// Called reports the result of a call. A model call that failed runs again when it is repeated,
// and is then charged again.
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
	return l.local.Counted(program)
}

// tryLocal decides on a call without a message to the home, if it can.
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
	retry, unreachable := l.local.Denied(now, c.Account, cost)
	switch {
	case retry <= 0:
		return result.Result{}, false
	case unreachable:
		return homeUnreachable(retry), true
	}
	return overLimit(cost, retry), true
}

// cost returns the most tokens that a call may use.
func (l *Limiter) cost(c call.Call) int64 {
	most := l.Config().Models[c.Model].MaxTokens
	if n := c.MaxTokens; n > 0 && (most == 0 || n < most) {
		most = n
	}
	return int64(engine.Tokens(len(c.Body)) + most)
}

// Serve reports open programs to their accounts' homes, and drops closed programs and expired
// records, until ctx ends.
func (l *Limiter) Serve(ctx context.Context) {
	t := time.NewTicker(quota.ReportInterval)
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
	// In parallel, so that a home that hangs doesn't delay the reports to others.
	var work sync.WaitGroup
	for _, a := range reports {
		work.Go(func() { _, _ = l.ask(ctx, a) })
	}
	work.Wait()
}

func (l *Limiter) ask(ctx context.Context, a quota.Request) (quota.Answer, error) {
	m, ok := Home(l.Members(), a.Account, l.Config().System.Shards)
	if !ok || m.Name == l.Self {
		return l.Answer(a), nil
	}
	ctx, stop := context.WithTimeout(ctx, HomeTimeout)
	defer stop()
	return l.Send(ctx, m.Peer, a)
}

// Home returns the daemon that keeps an account's record. It is the owner of the account's
// shard if that is alive or draining, and otherwise the daemon that should own the shard: an
// account must not wait until a lease expires or an outage of the store ends.
func Home(members []swim.Member, account string, shards int) (swim.Member, bool) {
	shard := locate.Shard(homePrefix+account, shards)
	m, ok := locate.Owner(members, shard)
	if ok && (m.State == swim.Alive || m.State == swim.Draining) {
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
