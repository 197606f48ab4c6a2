package quota

import "time"

const (
	// remembered is how many of a program's latest call numbers are known to
	// be charged or not.
	chargeHistory = 64
	// denyFor is how long a refusal is repeated without asking again.
	denialTTL = time.Second
)

type (
	// Local is what one daemon may spend. Set Daemon before use, and Serial to
	// more than any former life of the daemon used, such as the time.
	Local struct {
		Daemon string
		Serial int64

		start    time.Time
		accounts map[string]*usage
		programs map[string]*program
	}

	// usage is one account's at this daemon.
	usage struct {
		left    int64 // of the block
		until   time.Time
		granted window
		open    int // programs, those being opened included
		denied  denial
	}

	// denial is a refusal that holds for calls of the same cost and above.
	denial struct {
		cost        int64
		until       time.Time
		freeAt      time.Time // when the tokens were said to be free
		unreachable bool      // the home did not answer
	}

	program struct {
		account string
		opening bool
		next    int    // above the highest call number that was charged
		charged uint64 // bit i: call next-1-i was charged
	}
)

// Spend takes the cost of a call out of the block, if that holds as much.
func (l *Local) Spend(now time.Time, account string, cost int64) bool {
	u := l.accounts[account]
	if u == nil || !now.Before(u.until) || u.left < cost {
		return false
	}
	u.left -= cost
	return true
}

// Ask is the ask for the cost of a call that Spend refused.
func (l *Local) Request(now time.Time, account string, cost int64) Request {
	a := l.Report(now, account)
	a.Tokens = cost
	return a
}

// Take notes the answer to an ask that was sent at a time, and spends the
// call's cost. It reports whether the call may go on. An answer that came too
// late to be spent is counted as granted all the same.
func (l *Local) Apply(now, sent time.Time, req Request, a Answer) bool {
	if !a.OK {
		return false
	}
	u := l.usage(req.Account)
	u.granted.add(elapsed(&l.start, sent), a.Tokens)
	until := sent.Add(BlockTTL)
	if !now.Before(until) {
		return false
	}
	if u.left > 0 && now.Before(u.until) {
		u.left += a.Tokens - req.Tokens
		u.until = earlier(u.until, until)
		return true
	}
	u.left, u.until = a.Tokens-req.Tokens, until
	return true
}

// Opening counts a program that is about to be opened, and returns the ask.
// It is false if the program is counted already. Opened or Closed follows.
func (l *Local) Opening(now time.Time, account, name string) (Request, bool) {
	if !l.Add(account, name) {
		return Request{}, false
	}
	l.programs[name].opening = true
	a := l.Report(now, account)
	a.Programs = 1
	return a, true
}

// Opened ends an opening that went well.
func (l *Local) Opened(name string) {
	if p := l.programs[name]; p != nil {
		p.opening = false
	}
}

// Add counts an open program. It is false if it is counted already.
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

// Closed counts a program no more.
func (l *Local) Closed(name string) {
	p := l.programs[name]
	if p == nil {
		return
	}
	delete(l.programs, name)
	l.accounts[p.account].open--
}

// Programs returns the programs that are counted and not just being opened.
func (l *Local) Programs() []string {
	out := make([]string, 0, len(l.programs))
	for name, p := range l.programs {
		if !p.opening {
			out = append(out, name)
		}
	}
	return out
}

// Knows reports whether the program is counted.
func (l *Local) Counted(name string) bool { return l.programs[name] != nil }

// Deny notes that the cost was refused and would be free after a time. For a
// second, such calls are refused without a message to the home.
func (l *Local) Deny(now time.Time, account string, cost int64, after time.Duration) {
	if after <= 0 {
		return
	}
	l.usage(account).denied = denial{cost: cost, until: now.Add(min(after, denialTTL)), freeAt: now.Add(after)}
}

// Silent notes that the home did not answer, and is not to be asked for a time.
func (l *Local) DenyUnreachable(now time.Time, account string, after time.Duration) {
	l.usage(account).denied = denial{until: now.Add(after), freeAt: now.Add(after), unreachable: true}
}

// Denied returns for how long a call of the cost is still refused, or 0, and
// whether that is because the home did not answer.
func (l *Local) Denied(now time.Time, account string, cost int64) (after time.Duration, unreachable bool) {
	u := l.accounts[account]
	if u == nil || cost < u.denied.cost || !now.Before(u.denied.until) {
		return 0, false
	}
	return u.denied.freeAt.Sub(now), u.denied.unreachable
}

// Charged reports whether a call was charged before, so that a repeat isn't
// charged twice. It knows the last 64 numbers of programs opened or taken over
// here; older ones and other programs count as not charged.
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

// Charge notes that a call was charged.
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

// Uncharge forgets that a call was charged, because a repeat runs again.
func (l *Local) Uncharge(name string, number int) {
	p := l.programs[name]
	if p == nil {
		return
	}
	if back := p.next - 1 - number; back >= 0 && back < chargeHistory {
		p.charged &^= 1 << back
	}
}

// Report is what a home needs to know of an account.
func (l *Local) Report(now time.Time, account string) Request {
	l.Serial++
	a := Request{Account: account, Daemon: l.Daemon, Serial: l.Serial}
	if u := l.accounts[account]; u != nil {
		u.granted.trim(elapsed(&l.start, now), claimRetention)
		a.Granted, a.Open = u.granted.sum, u.open
	}
	return a
}

// Reports returns a report for each account with programs open or tokens
// granted, and frees the others.
func (l *Local) Reports(now time.Time) []Request {
	out := make([]Request, 0, len(l.accounts))
	for name, u := range l.accounts {
		a := l.Report(now, name)
		if a.Open == 0 && a.Granted == 0 && !now.Before(u.until) {
			delete(l.accounts, name)
			continue
		}
		out = append(out, a)
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
