package quota

import "time"

const (
	// chargeHistory is the number of a program's latest call numbers for which
	// Local records whether they were charged.
	chargeHistory = 64
	// denialTTL is how long a refusal is repeated without a new request.
	denialTTL = time.Second
)

type (
	// Local is one daemon's share of the limits of all accounts. Set Daemon
	// before use, and Serial to more than the daemon used before a restart, such
	// as the time.
	Local struct {
		Daemon string
		Serial int64

		start    time.Time
		accounts map[string]*usage
		programs map[string]*program
	}

	// usage is the use of one account at this daemon.
	usage struct {
		left    int64 // tokens left of the block
		until   time.Time
		granted window
		open    int // programs, including those being opened
		denied  denial
	}

	// denial is a refusal that applies to calls of the same cost and above.
	denial struct {
		cost        int64
		until       time.Time
		freeAt      time.Time // when the home expects the tokens to be free
		unreachable bool      // the home did not answer
	}

	program struct {
		account string
		opening bool
		next    int    // above the highest call number that was charged
		charged uint64 // bit i: call next-1-i was charged
	}
)

// Spend deducts a call's cost from the block. It reports false if the block has
// expired or holds too few tokens.
func (l *Local) Spend(now time.Time, account string, cost int64) bool {
	u := l.accounts[account]
	if u == nil || !now.Before(u.until) || u.left < cost {
		return false
	}
	u.left -= cost
	return true
}

// Request returns the request for the cost of a call that Spend refused.
func (l *Local) Request(now time.Time, account string, cost int64) Request {
	req := l.Report(now, account)
	req.Tokens = cost
	return req
}

// Apply applies the answer to a request that was sent at the time sent, and spends
// the call's cost. It reports whether the call may proceed. Tokens of an answer
// that arrives too late to be spent count as granted nevertheless.
func (l *Local) Apply(now, sent time.Time, req Request, answer Answer) bool {
	if !answer.OK {
		return false
	}
	u := l.usage(req.Account)
	u.granted.add(elapsed(&l.start, sent), answer.Tokens)
	until := sent.Add(BlockTTL)
	if !now.Before(until) {
		return false
	}
	if u.left > 0 && now.Before(u.until) {
		u.left += answer.Tokens - req.Tokens
		u.until = earlier(u.until, until)
		return true
	}
	u.left, u.until = answer.Tokens-req.Tokens, until
	return true
}

// Opening counts a program that is about to be opened, and returns the request to
// send. It is false if the program is counted already. Otherwise Opened or Closed
// must follow.
func (l *Local) Opening(now time.Time, account, name string) (Request, bool) {
	if !l.Add(account, name) {
		return Request{}, false
	}
	l.programs[name].opening = true
	req := l.Report(now, account)
	req.Programs = 1
	return req, true
}

// Opened marks a program as open after its request was granted.
func (l *Local) Opened(name string) {
	if p := l.programs[name]; p != nil {
		p.opening = false
	}
}

// Add counts an open program. It reports false if the program is counted already.
func (l *Local) Add(account, name string) bool {
	if _, known := l.programs[name]; known {
		return false
	}
	if l.programs == nil {
		l.programs = map[string]*program{}
	}
	l.programs[name] = &program{account: account}
	l.usage(account).open++
	return true
}

// Closed stops counting a program.
func (l *Local) Closed(name string) {
	p := l.programs[name]
	if p == nil {
		return
	}
	delete(l.programs, name)
	l.accounts[p.account].open--
}

// Programs returns the counted programs, without those being opened.
func (l *Local) Programs() []string {
	out := make([]string, 0, len(l.programs))
	for name, p := range l.programs {
		if !p.opening {
			out = append(out, name)
		}
	}
	return out
}

// Counted reports whether the program is counted.
func (l *Local) Counted(name string) bool { return l.programs[name] != nil }

// Deny records that a call of the cost was refused and that the tokens are
// expected to be free after the given time. For at most denialTTL, Denied then
// refuses such calls without a message to the home.
func (l *Local) Deny(now time.Time, account string, cost int64, after time.Duration) {
	if after <= 0 {
		return
	}
	l.usage(account).denied = denial{cost: cost, until: now.Add(min(after, denialTTL)), freeAt: now.Add(after)}
}

// DenyUnreachable records that the home did not answer. For the given time, Denied
// then refuses all calls without a message to the home.
func (l *Local) DenyUnreachable(now time.Time, account string, after time.Duration) {
	l.usage(account).denied = denial{until: now.Add(after), freeAt: now.Add(after), unreachable: true}
}

// Denied returns the time until the tokens for a call that is refused without a
// message are expected to be free, and whether it is refused because the home did
// not answer. It returns 0 for a call that is not refused.
func (l *Local) Denied(now time.Time, account string, cost int64) (after time.Duration, unreachable bool) {
	u := l.accounts[account]
	if u == nil || cost < u.denied.cost || !now.Before(u.denied.until) {
		return 0, false
	}
	return u.denied.freeAt.Sub(now), u.denied.unreachable
}

// Charged reports whether a call was charged before, so that a repeat isn't charged
// twice. It covers the last 64 call numbers of programs opened or taken over by
// this daemon; older calls and other programs count as not charged.
func (l *Local) Charged(account, name string, number int) bool {
	p := l.programs[name]
	if p == nil || p.account != account {
		return false
	}
	back := p.next - 1 - number
	return back >= 0 && back < chargeHistory && p.charged&(1<<back) != 0
}

// Adopt counts a program that was taken over. Its calls below next have ended
// and count as charged.
func (l *Local) Adopt(account, name string, next int) {
	if l.Add(account, name) {
		p := l.programs[name]
		p.next, p.charged = next, ^uint64(0)
	}
}

// Charge records that a call was charged.
func (l *Local) Charge(account, name string, number int) {
	p := l.programs[name]
	if p == nil || p.account != account {
		return
	}
	if ahead := number + 1 - p.next; ahead > 0 {
		p.charged <<= min(ahead, chargeHistory)
		p.next = number + 1
	}
	if back := p.next - 1 - number; back < chargeHistory {
		p.charged |= 1 << back
	}
}

// Uncharge clears the record that a call was charged, because a repeat runs again.
func (l *Local) Uncharge(name string, number int) {
	p := l.programs[name]
	if p == nil {
		return
	}
	if back := p.next - 1 - number; back >= 0 && back < chargeHistory {
		p.charged &^= 1 << back
	}
}

// Report returns the report of an account's use for its home.
func (l *Local) Report(now time.Time, account string) Request {
	l.Serial++
	req := Request{Account: account, Daemon: l.Daemon, Serial: l.Serial}
	if u := l.accounts[account]; u != nil {
		u.granted.trim(elapsed(&l.start, now), reportedGrantRetention)
		req.Granted, req.Open = u.granted.sum, u.open
	}
	return req
}

// Reports returns a report for each account with open programs, recent grants or
// an unexpired block, and removes the others.
func (l *Local) Reports(now time.Time) []Request {
	out := make([]Request, 0, len(l.accounts))
	for name, u := range l.accounts {
		req := l.Report(now, name)
		if req.Open == 0 && req.Granted == 0 && !now.Before(u.until) {
			delete(l.accounts, name)
			continue
		}
		out = append(out, req)
	}
	return out
}

func (l *Local) usage(account string) *usage {
	if l.accounts == nil {
		l.accounts = map[string]*usage{}
	}
	u := l.accounts[account]
	if u == nil {
		u = &usage{}
		l.accounts[account] = u
	}
	return u
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
