package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var limit = Limit{Tokens: 6400, Programs: 4}

type (
	// fleet is a number of daemons and the successive homes of one account.
	fleet struct {
		now    time.Time
		homes  []*Home
		home   int
		locals []*Local
		skew   []time.Duration
		spent  []charge
		opened int
	}

	charge struct {
		at     time.Time
		tokens int64
	}
)

func newFleet(daemons int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), homes: []*Home{{}}}
	for i := range daemons {
		f.locals = append(f.locals, &Local{Daemon: string(rune('a' + i))})
		f.skew = append(f.skew, time.Duration(i)*371*time.Millisecond)
	}
	return f
}

// clock returns the time on a daemon's clock.
func (f *fleet) clock(i int) time.Time { return f.now.Add(f.skew[i]) }

func (f *fleet) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fleet) moveHome() {
	f.homes = append(f.homes, &Home{})
	f.home = len(f.homes) - 1
}

func (f *fleet) restart(i int) { f.locals[i] = &Local{Daemon: f.locals[i].Daemon, Serial: 1 << 30} }

// call has a daemon decide on a call and reports whether it is admitted.
func (f *fleet) call(i int, cost int64) bool {
	if f.locals[i].Spend(f.clock(i), "acct", cost) {
		return f.count(cost)
	}
	sent := f.clock(i)
	req := f.locals[i].Request(sent, "acct", cost)
	a := f.homes[f.home].Request(f.now, req, limit)
	return f.apply(i, sent, req, a)
}

func (f *fleet) apply(i int, sent time.Time, req Request, answer Answer) bool {
	if !f.locals[i].Apply(f.clock(i), sent, req, answer) {
		return false
	}
	return f.count(req.Tokens)
}

func (f *fleet) count(cost int64) bool {
	f.spent = append(f.spent, charge{f.now, cost})
	return true
}

// exhaust has a daemon make calls until one is refused.
func (f *fleet) exhaust(i int, cost int64) {
	for f.call(i, cost) {
	}
}

// peak returns the highest sum of tokens in any minute.
func (f *fleet) peak() int64 {
	peak, sum, first := int64(0), int64(0), 0
	for _, c := range f.spent {
		sum += c.tokens
		for c.at.Sub(f.spent[first].at) >= Period {
			sum -= f.spent[first].tokens
			first++
		}
		peak = max(peak, sum)
	}
	return peak
}

// If each daemon counted for itself, an account could use its limit once per
// daemon; if grants expired too late, callers within the limit would be refused.
func TestTokens(t *testing.T) {
	cases := map[string]struct {
		run      func(f *fleet)
		peak     int64 // the highest sum in a minute that is allowed
		minTotal int64 // that must have been admitted
	}{
		"one daemon uses all": {
			run:  func(f *fleet) { f.exhaust(0, 100) },
			peak: 6400, minTotal: 6300,
		},
		"two daemons race for the last tokens": {
			run: func(f *fleet) {
				f.exhaust(0, 5900)
				sent := f.now
				one, two := f.locals[1].Request(f.clock(1), "acct", 400), f.locals[2].Request(f.clock(2), "acct", 400)
				a, b := f.homes[0].Request(f.now, one, limit), f.homes[0].Request(f.now, two, limit)
				f.apply(1, sent.Add(f.skew[1]), one, a)
				f.apply(2, sent.Add(f.skew[2]), two, b)
			},
			peak: 6400, minTotal: 6300,
		},
		"slow callers get all": {
			run: func(f *fleet) {
				for n := range 64 {
					f.call(n%3, 100)
					f.advance(900 * time.Millisecond)
				}
			},
			peak: 6400, minTotal: 6400,
		},
		"the minute rolls": {
			run: func(f *fleet) {
				for range 240 {
					f.exhaust(0, 100)
					f.exhaust(1, 100)
					f.advance(time.Second)
				}
			},
			peak: 6400, minTotal: 4*6400 - 600,
		},
		"an answer is lost": {
			run: func(f *fleet) {
				f.homes[0].Request(f.now, f.locals[0].Request(f.clock(0), "acct", 3200), limit)
				f.exhaust(1, 100)
				f.exhaust(2, 10)
			},
			peak: 3200, minTotal: 2900,
		},
		"an answer is late": {
			run: func(f *fleet) {
				sent := f.clock(0)
				req := f.locals[0].Request(sent, "acct", 3200)
				a := f.homes[0].Request(f.now, req, limit)
				f.advance(BlockTTL)
				f.apply(0, sent, req, a)
			},
			peak: 0, minTotal: 0,
		},
		"an asker dies with a block": {
			run: func(f *fleet) {
				f.call(0, 100)
				f.restart(0)
				f.exhaust(0, 100)
			},
			peak: 6400, minTotal: 6100,
		},
		"the home dies and its askers tell the next": {
			run: func(f *fleet) {
				f.exhaust(0, 100)
				f.moveHome()
				f.exhaust(0, 100)
				f.exhaust(1, 100)
			},
			peak: 6400, minTotal: 6300,
		},
		"the home dies and those who know are silent": {
			run: func(f *fleet) {
				f.exhaust(0, 100)
				f.moveHome()
				f.exhaust(1, 100)
			},
			peak: 2 * 6400, minTotal: 2 * 6300,
		},
		"the home moves and comes back": {
			run: func(f *fleet) {
				f.exhaust(0, 100)
				f.moveHome()
				f.call(1, 100)
				f.home = 0
				f.exhaust(2, 100)
			},
			peak: 2 * 6400, minTotal: 6400,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			c.run(f)
			total := int64(0)
			for _, s := range f.spent {
				total += s.tokens
			}
			is.True(f.peak() <= c.peak)
			is.True(total >= c.minTotal)
		})
	}
}

// A refused caller retries after the time in the answer. If that is too short, it
// is refused again and again; if a call that can never fit got one, it would be
// retried for ever.
func TestRetryHint(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.exhaust(0, 100)
	a := f.homes[0].Request(f.now, f.locals[0].Request(f.clock(0), "acct", 1000), limit)
	is.True(!a.OK)
	is.True(a.Retry > Period && a.Retry <= grantRetention+time.Second)
	f.advance(a.Retry - time.Second)
	is.True(!f.call(0, 1000))
	f.advance(time.Second)
	is.True(f.call(0, 1000))
	never := f.homes[0].Request(f.now, f.locals[0].Request(f.clock(0), "acct", limit.Tokens+1), limit)
	is.Equal(never, Answer{})
}

// Callers of an account that is over its limit keep sending calls. If each call
// cost a message, the home's load would be highest for refused calls.
func TestDenied(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	l := f.locals[0]
	denied := func(cost int64, after time.Duration, silent bool) {
		t.Helper()
		d, quiet := l.Denied(f.now, "acct", cost)
		is.Equal(d, after)
		is.Equal(quiet, silent)
	}
	l.Deny(f.now, "acct", 100, 20*time.Second)
	denied(100, 20*time.Second, false)
	denied(99, 0, false) // a smaller call may fit
	f.advance(denialTTL)
	denied(100, 0, false) // expired: the home is asked again
	l.DenyUnreachable(f.now, "acct", time.Second)
	denied(1, time.Second, true)
	f.advance(time.Second)
	denied(1, 0, false)
}

// A caller repeats a call whose answer it lost. If each repeat were charged, a bad
// connection would exhaust the account's limit.
func TestChargedOnce(t *testing.T) {
	is := is.New(t)
	l := &Local{Daemon: "a"}
	l.Charge("acct", "p", 0)
	is.True(!l.Charged("acct", "p", 0)) // a program that is not counted
	l.Adopt("acct", "p", 3)
	is.True(l.Charged("acct", "p", 2))
	is.True(!l.Charged("acct", "p", 3))
	l.Charge("acct", "p", 5)
	is.True(l.Charged("acct", "p", 5))
	is.True(!l.Charged("acct", "p", 4)) // skipped numbers count as not charged
	is.True(!l.Charged("acct", "p", 3))
	l.Charge("acct", "p", 4)
	is.True(l.Charged("acct", "p", 4))
	l.Uncharge("p", 4)
	is.True(!l.Charged("acct", "p", 4))
	is.True(!l.Charged("other", "p", 5)) // another account's program
	l.Charge("acct", "p", 500)
	is.True(!l.Charged("acct", "p", 5)) // older than the history
}

// Tens of thousands of accounts are used for a while. If the state of idle ones
// were kept, memory would grow for as long as a daemon runs.
func TestIdleAccountsAreFreed(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.call(0, 100)
	f.open(1, "p")
	f.advance(grantRetention + 2*time.Second)
	f.report(1)
	f.homes[0].Trim(f.now)
	is.Equal(f.homes[0].Len(), 1) // a program is open
	f.locals[1].Closed("p")
	f.report(0)
	f.report(1)
	f.advance(reportTTL + time.Second)
	f.homes[0].Trim(f.now)
	is.Equal(f.homes[0].Len(), 0)
	is.Equal(len(f.locals[0].accounts), 0)
	is.Equal(len(f.locals[1].accounts), 0)
}
