package quota

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// message is a request on its way to the home, or the answer on its way back.
type message struct {
	from     int
	sent     time.Time
	request  Request
	answer   Answer
	answered bool
}

// Messages are reordered and lost, clocks differ, daemons restart without state,
// and homes move. No minute may see more than the limit once for each home that
// the account had; if the home never moved, that is the limit itself.
func TestAnyOrder(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", "300"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(rt, "daemons"))
		moves := rapid.IntRange(0, 2).Draw(rt, "moves")
		var inFlight []message
		for range rapid.IntRange(50, 400).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(f.locals)-1).Draw(rt, "daemon")
			switch rapid.SampledFrom([]string{"call", "call", "call", "carry", "carry", "carry", "lose", "wait", "tick", "restart", "move"}).Draw(rt, "step") {
			case "call":
				inFlight = append(inFlight, f.request(i, int64(rapid.IntRange(1, 2000).Draw(rt, "cost")))...)
			case "carry":
				inFlight = f.deliver(inFlight, rapid.IntRange(0, 50).Draw(rt, "message"))
			case "lose":
				if len(inFlight) > 0 {
					inFlight = inFlight[1:]
				}
			case "wait":
				f.advance(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "ms")) * time.Millisecond)
			case "tick":
				f.report(i)
				f.homes[f.home].Trim(f.now)
			case "restart":
				if rapid.IntRange(0, 9).Draw(rt, "seldom") == 0 {
					f.restart(i)
				}
			case "move":
				if len(f.homes) <= moves {
					f.moveHome()
				}
			}
		}
		if peak := f.peak(); peak > limit.Tokens*int64(len(f.homes)) {
			rt.Fatalf("%d tokens in one minute with %d successive homes", peak, len(f.homes))
		}
	})
}

// request admits a call from the block, or returns the request to the home.
func (f *fleet) request(i int, cost int64) []message {
	now := f.clock(i)
	if f.locals[i].Spend(now, "acct", cost) {
		f.count(cost)
		return nil
	}
	return []message{{from: i, sent: now, request: f.locals[i].Request(now, "acct", cost)}}
}

// deliver delivers one of the messages in flight; at selects it.
func (f *fleet) deliver(inFlight []message, at int) []message {
	if len(inFlight) == 0 {
		return inFlight
	}
	at %= len(inFlight)
	m := inFlight[at]
	rest := append(append([]message(nil), inFlight[:at]...), inFlight[at+1:]...)
	if !m.answered {
		m.answer, m.answered = f.homes[f.home].Request(f.now, m.request, limit), true
		return append(rest, m)
	}
	f.apply(m.from, m.sent, m.request, m.answer)
	return rest
}

// Daemons that always use the same home must get most of the limit over ten
// minutes: if the home took a daemon's report of the home's own grants for grants
// of another home, it would count them twice, and the account would get half.
func TestLimitIsReached(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	for range 600 * 4 {
		for i := range f.locals {
			f.exhaust(i, 37)
		}
		f.advance(250 * time.Millisecond)
	}
	total := int64(0)
	for _, c := range f.spent {
		total += c.tokens
	}
	is.True(f.peak() <= limit.Tokens)
	is.True(total >= 10*limit.Tokens*85/100)
	t.Logf("%d of %d tokens in ten minutes", total, 10*limit.Tokens)
}

func BenchmarkSpend(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	l := Local{Daemon: "a"}
	l.Apply(now, now, Request{Account: "acct"}, Answer{OK: true, Tokens: 1 << 60})
	b.ReportAllocs()
	for b.Loop() {
		if !l.Spend(now, "acct", 100) {
			b.Fatal("refused")
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	h := Home{}
	a := Request{Account: "acct", Daemon: "a", Tokens: 100}
	b.ReportAllocs()
	for b.Loop() {
		a.Serial++
		now = now.Add(time.Millisecond)
		h.Request(now, a, Limit{Tokens: 1 << 60})
	}
}

// BenchmarkMemory measures the bytes of one account at its home, with one daemon
// that requested tokens in ten different seconds of a minute.
func BenchmarkMemory(b *testing.B) {
	const accounts = 10_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := Home{}
		now := time.Unix(1_800_000_000, 0)
		for range 10 {
			for i := range accounts {
				h.Request(now, Request{Account: fmt.Sprint("acct-", i), Daemon: "a", Tokens: 1}, limit)
			}
			now = now.Add(6 * time.Second)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/accounts, "B/account")
		runtime.KeepAlive(&h)
	}
}
