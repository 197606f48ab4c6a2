package quota

import "time"

type (
	// Home is the state of the accounts that have this daemon as their home.
	// The zero value is ready for use.
	Home struct {
		start    time.Time
		accounts map[string]*account
	}

	// account is the home's state of one account.
	account struct {
		granted window
		daemons map[string]*daemon
	}

	// daemon is the home's state of one daemon's use of an account.
	daemon struct {
		granted  window
		open     int
		serial   int64 // of the request that open is from
		lastSeen time.Duration
	}
)

// Request handles a daemon's request. A refused request is not charged.
func (h *Home) Request(now time.Time, a Request, limit Limit) Answer {
	at := elapsed(&h.start, now)
	b, from := h.update(at, a)
	switch {
	case a.Programs > 0:
		return b.admitProgram(from, a, limit)
	case a.Tokens > 0:
		return b.admitTokens(at, from, a, limit)
	}
	return Answer{OK: true}
}

// Trim removes the daemons that have neither recent reports nor recent grants,
// and the accounts without daemons.
func (h *Home) Trim(now time.Time) {
	at := elapsed(&h.start, now)
	for name, b := range h.accounts {
		b.trim(at)
		if len(b.daemons) == 0 {
			delete(h.accounts, name)
		}
	}
}

// Len returns the number of accounts with state.
func (h *Home) Len() int { return len(h.accounts) }

// update merges the daemon's report into the account's state. Tokens granted to it
// by another home are counted as if they were granted now, so that they are never
// dropped too early.
func (h *Home) update(now time.Duration, a Request) (*account, *daemon) {
	if h.accounts == nil {
		h.accounts = map[string]*account{}
	}
	b := h.accounts[a.Account]
	if b == nil {
		b = &account{daemons: map[string]*daemon{}}
		h.accounts[a.Account] = b
	}
	b.trim(now)
	from := b.daemons[a.Daemon]
	if from == nil {
		from = &daemon{}
		b.daemons[a.Daemon] = from
	}
	// A report that arrives after a newer request must not replace it: it would
	// omit a program that is being opened, and the account could open one too
	// many.
	if a.Serial > from.serial {
		from.lastSeen, from.open, from.serial = now, a.Open, a.Serial
	}
	b.grant(now, from, a.Granted-from.granted.sum)
	return b, from
}

func (b *account) grant(now time.Duration, to *daemon, n int64) {
	to.granted.add(now, n)
	b.granted.add(now, n)
}

// admitProgram decides whether the daemon may open programs. Its count of open
// programs includes them already.
func (b *account) admitProgram(from *daemon, a Request, limit Limit) Answer {
	open := 0
	for _, d := range b.daemons {
		open += d.open
	}
	if limit.Programs > 0 && open > limit.Programs {
		from.open -= a.Programs
		return Answer{Retry: time.Second}
	}
	return Answer{OK: true}
}

func (b *account) admitTokens(now time.Duration, to *daemon, a Request, limit Limit) Answer {
	if limit.Tokens > 0 && a.Tokens > limit.Tokens {
		return Answer{}
	}
	free := limit.Tokens - b.granted.sum
	if limit.Tokens > 0 && a.Tokens > free {
		return Answer{Retry: b.granted.waitFor(now, a.Tokens-free, grantRetention)}
	}
	// Tokens beyond the call's cost that are not spent in time are lost for a
	// minute. Slow callers would lose a large part of their limit, so a daemon
	// gets in advance at most half of what it was granted within BlockTTL.
	ahead := min(limit.Tokens/limitDivisor, (free-a.Tokens)/freeDivisor, to.granted.since(now-BlockTTL)/2)
	n := a.Tokens + max(ahead, 0)
	b.grant(now, to, n)
	return Answer{OK: true, Tokens: n}
}

func (b *account) trim(now time.Duration) {
	b.granted.trim(now, grantRetention)
	for name, d := range b.daemons {
		d.granted.trim(now, grantRetention)
		silent := now-d.lastSeen > reportTTL
		if silent {
			d.open, d.serial = 0, 0
		}
		if silent && d.granted.sum == 0 {
			delete(b.daemons, name)
		}
	}
}
