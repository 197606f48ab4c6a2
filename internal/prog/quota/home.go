package quota

import "time"

type (
	// Home is the record of the accounts whose home is here. The zero value
	// knows of none.
	Home struct {
		start    time.Time
		accounts map[string]*account
	}

	// account is what the home knows of one account.
	account struct {
		granted window
		daemons map[string]*daemon
	}

	// asker is what the home knows of one daemon.
	daemon struct {
		granted  window
		open     int
		serial   int64 // of the ask that told open
		lastSeen time.Duration
	}
)

// Ask answers a daemon. A refusal by the home is not charged.
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

// Trim frees what is known of accounts and daemons that were idle for long.
func (h *Home) Trim(now time.Time) {
	at := elapsed(&h.start, now)
	for name, b := range h.accounts {
		b.trim(at)
		if len(b.daemons) == 0 {
			delete(h.accounts, name)
		}
	}
}

// Len is the number of accounts with state.
func (h *Home) Len() int { return len(h.accounts) }

// learn takes in what the asker tells of itself. What it was granted by
// another home counts from now on as if it were granted now, so that it is
// never forgotten too early.
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
	// A report that was overtaken by a newer ask would hide a program that is
	// being opened, and the account could open one too many.
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

// program lets a daemon open programs. The asker's count includes them.
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
	// Tokens beyond the call that are not spent in time are lost for a minute.
	// Callers that are slow would lose a good part of their limit, so a daemon
	// gets beforehand at most half of what it took just now.
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
