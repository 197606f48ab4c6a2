package quota

import "time"

const (
	// remembered is how many of a program's latest call numbers are known to
	// be charged or not.
	remembered = 64
	// denyFor is how long a refusal is repeated without asking again.
	denyFor = time.Second
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
		cost   int64
		until  time.Time
		frees  time.Time // when the tokens were said to be free
		silent bool      // the home did not answer
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
	p := l.accounts[account]
	if p == nil || !now.Before(p.until) || p.left < cost {
		return false
	}
	p.left -= cost
	return true
}

// Ask is the ask for the cost of a call that Spend refused.
func (l *Local) Ask(now time.Time, account string, cost int64) Ask {
	a := l.Report(now, account)
	a.Tokens = cost
	return a
}

// Take notes the answer to an ask that was sent at a time, and spends the
// call's cost. It reports whether the call may go on. An answer that came too
// late to be spent is counted as granted all the same.
func (l *Local) Take(now, sent time.Time, asked Ask, a Answer) bool {
	if !a.OK {
		return false
	}
	p := l.usage(asked.Account)
	p.granted.add(elapsed(&l.start, sent), a.Tokens)
	until := sent.Add(BlockLife)
	if !now.Before(until) {
		return false
	}
	if p.left > 0 && now.Before(p.until) {
		p.left += a.Tokens - asked.Tokens
		p.until = earlier(p.until, until)
		return true
	}
	p.left, p.until = a.Tokens-asked.Tokens, until
	return true
}

// Opening counts a program that is about to be opened, and returns the ask.
// It is false if the program is counted already. Opened or Closed follows.
func (l *Local) Opening(now time.Time, account, name string) (Ask, bool) {
	if !l.Add(account, name) {
		return Ask{}, false
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
func (l *Local) Knows(name string) bool { return l.programs[name] != nil }

// Deny notes that the cost was refused and would be free after a time. For a
// second, such calls are refused without a message to the home.
func (l *Local) Deny(now time.Time, account string, cost int64, after time.Duration) {
	if after <= 0 {
		return
	}
	l.usage(account).denied = denial{cost: cost, until: now.Add(min(after, denyFor)), frees: now.Add(after)}
}

// Silent notes that the home did not answer, and is not to be asked for a time.
func (l *Local) Silent(now time.Time, account string, after time.Duration) {
	l.usage(account).denied = denial{until: now.Add(after), frees: now.Add(after), silent: true}
}

// Denied returns for how long a call of the cost is still refused, or 0, and
// whether that is because the home did not answer.
func (l *Local) Denied(now time.Time, account string, cost int64) (after time.Duration, silent bool) {
	p := l.accounts[account]
	if p == nil || cost < p.denied.cost || !now.Before(p.denied.until) {
		return 0, false
	}
	return p.denied.frees.Sub(now), p.denied.silent
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
	return back >= 0 && back < remembered && p.charged&(1<<back) != 0
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
		p.charged <<= min(ahead, remembered)
		p.next = number + 1
	}
	if back := p.next - 1 - number; back < remembered {
		p.charged |= 1 << back
	}
}

// Uncharge forgets that a call was charged, because a repeat runs again.
func (l *Local) Uncharge(name string, number int) {
	p := l.programs[name]
	if p == nil {
		return
	}
	if back := p.next - 1 - number; back >= 0 && back < remembered {
		p.charged &^= 1 << back
	}
}

// Report is what a home needs to know of an account.
func (l *Local) Report(now time.Time, account string) Ask {
	l.Serial++
	a := Ask{Account: account, Daemon: l.Daemon, Serial: l.Serial}
	if p := l.accounts[account]; p != nil {
		p.granted.trim(elapsed(&l.start, now), claimKeep)
		a.Granted, a.Open = p.granted.sum, p.open
	}
	return a
}

// Reports returns a report for each account with programs open or tokens
// granted, and frees the others.
func (l *Local) Reports(now time.Time) []Ask {
	out := make([]Ask, 0, len(l.accounts))
	for name, p := range l.accounts {
		a := l.Report(now, name)
		if a.Open == 0 && a.Granted == 0 && !now.Before(p.until) {
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
	p := l.accounts[account]
	if p == nil {
		p = &usage{}
		l.accounts[account] = p
	}
	return p
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
