package limits

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/bucket"
)

func accounts(t testing.TB, rate float64) *accnt.Accounts {
	a, err := accnt.New([]accnt.Account{{Name: "a", Rate: rate, Burst: rate}, {Name: "free"}})
	is.New(t).NoErr(err)
	return a
}

// newLimiter returns the limiter of the only daemon, whose account has no tokens.
func newLimiter(t testing.TB, rate float64) (*Limiter, *accnt.Accounts) {
	l := &Limiter{Tolerance: bucket.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}}
	list := accounts(t, rate)
	l.Update(time.Now(), list, bucket.PeerUsage{Fronts: 1, Total: 1})
	l.Drain(time.Now())
	return l, list
}

// A request waits for a token no longer than it is useful, and is decided again as soon as
// something changes that it depends on: a caller would wait in vain otherwise.
func TestAcquire(t *testing.T) {
	const rate, token = 10, 100 * time.Millisecond
	cases := map[string]struct {
		account string
		until   time.Duration
		then    func(l *Limiter, cancel context.CancelFunc) // after 50 ms
		ok      bool
		least   time.Duration
		most    time.Duration
	}{
		"refill":      {"a", time.Second, nil, true, token, 3 * token},
		"no time":     {"a", token / 2, nil, false, 0, 0},
		"no limit":    {"free", 0, nil, true, 0, 0},
		"unknown":     {"other", 0, nil, true, 0, 0},
		"disconnects": {"a", time.Second, func(_ *Limiter, cancel context.CancelFunc) { cancel() }, false, token / 2, token / 2},
		"account gone": {"a", time.Second, func(l *Limiter, _ context.CancelFunc) {
			l.Update(time.Now(), nil, bucket.PeerUsage{Fronts: 1, Total: 1})
		}, true, token / 2, token / 2},
		"limit lowered":  {"a", 500 * time.Millisecond, lower, false, token / 2, token / 2},
		"no share":       {"a", time.Second, isolate, false, token / 2, token / 2},
		"others use it":  {"a", 500 * time.Millisecond, othersUse, false, token / 2, 499 * time.Millisecond},
		"token returned": {"a", time.Second, func(l *Limiter, _ context.CancelFunc) { l.Refund(time.Now(), "a"); l.Refund(time.Now(), "a") }, true, token / 2, token / 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l, _ := newLimiter(t, rate)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.then != nil {
					timer := time.AfterFunc(token/2, func() { c.then(l, cancel) })
					defer timer.Stop()
				}
				began := time.Now()
				d := l.Acquire(ctx, Request{Account: c.account, Begun: true, Until: began.Add(c.until)})
				took := time.Since(began)
				is.Equal(d.OK, c.ok)
				is.True(took >= c.least && took <= c.most)
				is.Equal(len(l.Demand(time.Now()).Waiting), 0)
				is.Equal(l.Used(time.Now())["a"] > 0, c.ok && c.account == "a" && name != "account gone" && name != "token returned")
			})
		})
	}
}

func lower(l *Limiter, _ context.CancelFunc) {
	a, _ := accnt.New([]accnt.Account{{Name: "a", Rate: 0.1, Burst: 1}})
	l.Update(time.Now(), a, bucket.PeerUsage{Fronts: 1, Total: 1})
}

func isolate(l *Limiter, _ context.CancelFunc) {
	l.Update(time.Now(), l.accounts, bucket.PeerUsage{Fronts: 0, Total: 10})
}

func othersUse(l *Limiter, _ context.CancelFunc) {
	l.Update(time.Now(), l.accounts, bucket.PeerUsage{Fronts: 10, Total: 10, Used: map[string]int{"a": 10}})
}

// Requests that wait must all be served in the end, at the rate of the limit, by timers alone: a
// lost wake-up would leave them waiting until their time is over.
func TestAllAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate, n = 100, 200
		l, list := newLimiter(t, rate)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				time.Sleep(100 * time.Millisecond) // on the virtual clock
				l.Update(time.Now(), list, bucket.PeerUsage{Fronts: 1, Total: 1})
			}
		}()
		began, done := time.Now(), make(chan bool)
		for range n {
			go func() { done <- l.Acquire(ctx, Request{Account: "a", Begun: true, Until: began.Add(time.Minute)}).OK }()
		}
		for range n {
			is.True(<-done)
		}
		took := time.Since(began)
		cancel()
		time.Sleep(time.Second) // until the goroutine has ended
		is.True(took > n*time.Second/rate*9/10 && took < n*time.Second/rate*3/2)
	})
}

// A flood must not exhaust a front's memory: what 10,000 waiting requests hold, less the
// goroutines that serve them in any case, is less than 16 MB.
func TestMemoryOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 10000
		l, _ := newLimiter(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range n {
			go l.Acquire(ctx, Request{Account: "a", Begun: true, Until: time.Now().Add(time.Hour)})
		}
		synctest.Wait()
		runtime.GC()
		runtime.ReadMemStats(&after)
		is.Equal(l.Demand(time.Now()).Waiting["a"], n)
		t.Log(int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(after.StackInuse)-int64(before.StackInuse))
		is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < 16<<20)
		cancel()
		synctest.Wait()
		is.Equal(len(l.Demand(time.Now()).Waiting), 0)
		is.Equal(len(l.waiting.waiters), 0)
	})
}

// A request that does not wait must not allocate: it is on the path of each request.
func TestAcquireDoesNotAllocate(t *testing.T) {
	l, _ := newLimiter(t, 1e9)
	r := Request{Account: "a", Begun: true, Until: time.Now().Add(time.Hour)}
	ctx := t.Context()
	is.New(t).True(l.Acquire(ctx, r).OK)
	is.New(t).Equal(testing.AllocsPerRun(1000, func() { l.Acquire(ctx, r) }), 0.0)
}

// The cost of a request that does not wait.
func BenchmarkAcquire(b *testing.B) {
	l := &Limiter{}
	var list []accnt.Account
	for i := range 10000 {
		list = append(list, accnt.Account{Name: fmt.Sprint(i), Rate: 1e9, Burst: 1e9})
	}
	a, err := accnt.New(list)
	is.New(b).NoErr(err)
	l.Update(time.Now(), a, bucket.PeerUsage{Fronts: 320, Total: 320})
	r := Request{Account: "77", Begun: true, Until: time.Now().Add(time.Hour)}
	ctx := b.Context()
	b.ReportAllocs()
	for b.Loop() {
		l.Acquire(ctx, r)
	}
}
