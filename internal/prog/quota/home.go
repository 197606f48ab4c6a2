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
func (h *Home) Request(now time.Time, req Request, limit Limit) Answer {
	at := elapsed(&h.start, now)
	acc, from := h.update(at, req)
	switch {
	case req.Programs > 0:
		return acc.admitProgram(from, req, limit)
	case req.Tokens > 0:
		return acc.admitTokens(at, from, req, limit)
	}
	return Answer{OK: true}
}

// Trim stops counting the open programs of daemons without a report within
// reportTTL. It removes those of them that have no recent grants either, and the
// accounts without daemons.
func (h *Home) Trim(now time.Time) {
	at := elapsed(&h.start, now)
	for name, acc := range h.accounts {
		acc.trim(at)
		if len(acc.daemons) == 0 {
			delete(h.accounts, name)
		}
	}
}

// Len returns the number of accounts with state.
func (h *Home) Len() int { return len(h.accounts) }

// update merges the daemon's report into the account's state. Tokens granted to it
// by another home are counted as if they were granted now, so that they are never
// dropped too early.
func (h *Home) update(now time.Duration, req Request) (*account, *daemon) {
	if h.accounts == nil {
		h.accounts = map[string]*account{}
	}
	acc := h.accounts[req.Account]
	if acc == nil {
		acc = &account{daemons: map[string]*daemon{}}
		h.accounts[req.Account] = acc
	}
	acc.trim(now)
	from := acc.daemons[req.Daemon]
	if from == nil {
		from = &daemon{}
		acc.daemons[req.Daemon] = from
	}
	// A report that arrives after a newer request must not replace it: it would
	// omit a program that is being opened, and the account could open one too
	// many.
	if req.Serial > from.serial {
		from.lastSeen, from.open, from.serial = now, req.Open, req.Serial
	}
	acc.grant(now, from, req.Granted-from.granted.sum)
	return acc, from
}

func (acc *account) grant(now time.Duration, to *daemon, n int64) {
	to.granted.add(now, n)
	acc.granted.add(now, n)
}

// admitProgram decides whether the daemon may open programs. Its count of open
// programs includes them already.
func (acc *account) admitProgram(from *daemon, req Request, limit Limit) Answer {
	open := 0
	for _, d := range acc.daemons {
		open += d.open
	}
	if limit.Programs > 0 && open > limit.Programs {
		from.open -= req.Programs
		return Answer{Retry: time.Second}
	}
	return Answer{OK: true}
}

func (acc *account) admitTokens(now time.Duration, to *daemon, req Request, limit Limit) Answer {
	if limit.Tokens > 0 && req.Tokens > limit.Tokens {
		return Answer{}
	}
	free := limit.Tokens - acc.granted.sum
	if limit.Tokens > 0 && req.Tokens > free {
		return Answer{Retry: acc.granted.waitFor(now, req.Tokens-free, grantRetention)}
	}
	// Tokens beyond the call's cost that are not spent in time are lost for a
	// minute. Slow callers would lose a large part of their limit, so a daemon
	// gets in advance at most half of what it was granted within BlockTTL.
	ahead := min(limit.Tokens/limitDivisor, (free-req.Tokens)/freeDivisor, to.granted.since(now-BlockTTL)/2)
	n := req.Tokens + max(ahead, 0)
	acc.grant(now, to, n)
	return Answer{OK: true, Tokens: n}
}

func (acc *account) trim(now time.Duration) {
	acc.granted.trim(now, grantRetention)
	for name, d := range acc.daemons {
		d.granted.trim(now, grantRetention)
		silent := now-d.lastSeen > reportTTL
		if silent {
			d.open, d.serial = 0, 0
		}
		if silent && d.granted.sum == 0 {
			delete(acc.daemons, name)
		}
	}
}
