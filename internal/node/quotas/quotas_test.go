package quotas

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/quota"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// cluster is three daemons, each with the same list of members.
type cluster struct {
	members  []swim.Member
	limiters map[string]*Limiter
	hung     map[string]bool // peers that don't answer
	sent     int
}

func newCluster() *cluster {
	f := &cluster{limiters: map[string]*Limiter{}, hung: map[string]bool{}}
	cfg := file.File{
		System:   file.System{Shards: 3},
		Accounts: map[string]file.Account{"acct": {MaxPrograms: 4, TokensPerMinute: 6400}},
		Models:   map[string]file.Model{"m": {MaxTokens: 500}},
	}
	for i, name := range []string{"a", "b", "c"} {
		f.members = append(f.members, swim.Member{Name: name, Peer: name, State: swim.Alive, Shards: []swim.Shard{{Shard: i, Epoch: 1}}})
		f.limiters[name] = &Limiter{
			Self:    name,
			Members: func() []swim.Member { return f.members },
			Config:  func() file.File { return cfg },
			Live:    func(string) bool { return true },
			Send:    f.send,
		}
		f.limiters[name].Init(time.Now())
	}
	return f
}

func (f *cluster) send(ctx context.Context, peer string, a quota.Request) (quota.Answer, error) {
	f.sent++
	if f.hung[peer] {
		<-ctx.Done()
		return quota.Answer{}, ctx.Err()
	}
	return f.limiters[peer].Answer(a), nil
}

func (f *cluster) home() string {
	m, _ := Home(f.members, "acct", 3)
	return m.Name
}

// others returns the limiters of the daemons that are not the account's home.
func (f *cluster) others() []*Limiter {
	var out []*Limiter
	for _, m := range f.members {
		if m.Name != f.home() {
			out = append(out, f.limiters[m.Name])
		}
	}
	return out
}

func model(number, tokens int) call.Call {
	return call.Call{Account: "acct", Program: "p", Number: number, Kind: call.Model, Model: "m", MaxTokens: tokens}
}

// An account's programs run at several daemons. If each enforced the limit on its own, the
// account could use several times its limit.
func TestCallsOverAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster()
		in := 0
		var last result.Result
		for n := range 300 {
			for _, l := range f.limiters {
				r := l.Call(t.Context(), model(n, 100))
				if r.Code == "" {
					in++
					continue
				}
				last = r
			}
		}
		is.True(in <= 64 && in >= 60)
		is.Equal(last.Code, result.CodeLimited)
		is.Equal(last.Ran, result.No)
		is.True(last.RetryAfter > time.Minute)
		is.True(f.sent <= 80) // of 900 calls
		<-time.After(last.RetryAfter)
		is.Equal(f.others()[0].Call(t.Context(), model(300, 100)).Code, result.Code(""))
	})
}

// The model's maximum applies if the caller requests no maximum or a larger one.
func TestCost(t *testing.T) {
	cases := map[string]struct {
		c    call.Call
		cost int64
	}{
		"asked":    {call.Call{Model: "m", MaxTokens: 100}, 100},
		"default":  {call.Call{Model: "m"}, 500},
		"too much": {call.Call{Model: "m", MaxTokens: 900}, 500},
		"unknown":  {call.Call{Model: "x", MaxTokens: 900}, 900},
		"body":     {call.Call{Model: "m", MaxTokens: 1, Body: make([]byte, 400)}, 101},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(newCluster().limiters["a"].cost(c.c), c.cost)
		})
	}
}

// The account's home hangs: its connections stay open but it doesn't answer. The first caller
// must be refused within HomeTimeout and the next ones at once. Once the home is suspect, the
// account has a new home.
func TestHomeHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster()
		home, l := f.home(), f.others()[0]
		is.Equal(l.Call(t.Context(), model(0, 100)).Code, result.Code(""))
		is.Equal(l.Call(t.Context(), model(1, 100)).Code, result.Code(""))
		f.hung[home] = true
		is.Equal(l.Call(t.Context(), model(1, 50)).Code, result.Code("")) // from tokens granted before
		start := time.Now()
		r := l.Call(t.Context(), model(2, 500))
		is.Equal(time.Since(start), HomeTimeout)
		is.Equal(r.Code, result.CodeLimited)
		is.Equal(r.Ran, result.No)
		is.Equal(r.RetryAfter, retryUnreachable)
		start = time.Now()
		is.Equal(l.Call(t.Context(), model(3, 500)), r) // the same reason
		is.Equal(time.Since(start), time.Duration(0))
		for i := range f.members {
			if f.members[i].Name == home {
				f.members[i].State = swim.Suspect
			}
		}
		is.True(f.home() != home)
		<-time.After(r.RetryAfter)
		is.Equal(l.Call(t.Context(), model(2, 500)).Code, result.Code(""))
	})
}

// A caller disconnects while its daemon waits for the home. The account's other callers must
// not be refused because of it.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster()
		l := f.others()[0]
		f.hung[f.home()] = true
		ctx, leave := context.WithTimeout(t.Context(), HomeTimeout/2)
		defer leave()
		is.Equal(l.Call(ctx, model(0, 100)).Ran, result.No)
		f.hung[f.home()] = false
		is.Equal(l.Call(t.Context(), model(1, 100)).Code, result.Code(""))
	})
}

// A repeated call joins the call in progress or gets the recorded answer. It must neither be
// refused because tokens are used up nor be charged.
func TestRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster()
		l := f.limiters["a"]
		is.Equal(l.Open(t.Context(), call.Open{Account: "acct", Program: "p"}).Code, result.Code(""))
		l.Opened(call.Open{Account: "acct", Program: "p"}, result.Result{Code: result.CodeOK})
		c := call.Call{Account: "acct", Program: "p", Kind: call.Model, Model: "x", MaxTokens: 6000}
		for range 5 {
			is.Equal(l.Call(t.Context(), c).Code, result.Code(""))
			l.Called(c, result.Refuse(result.CodeOverloaded, "busy"))
		}
		l.Called(c, result.Failed(result.CodeUpstreamFailed, result.Unknown, "broke"))
		is.Equal(l.Call(t.Context(), c).Code, result.CodeLimited) // it runs again
	})
}

// Programs are opened at all daemons. One that ends or could not be opened no longer counts,
// at any daemon.
func TestOpenOverAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster()
		in := 0
		for n := range 4 {
			for name, l := range f.limiters {
				o := call.Open{Account: "acct", Program: fmt.Sprint(name, n)}
				if r := l.Open(t.Context(), o); r.Code != "" {
					is.Equal(r.Code, result.CodeLimited)
					is.Equal(r.Ran, result.No)
					continue
				}
				l.Opened(o, result.Result{Code: result.CodeOK})
				in++
			}
		}
		is.Equal(in, 4)
		ctx, stop := context.WithCancel(t.Context())
		for _, l := range f.limiters {
			l.Live = func(string) bool { return false }
			go l.Serve(ctx)
		}
		<-time.After(quota.ReportInterval + time.Second)
		o := call.Open{Account: "acct", Program: "late"}
		is.Equal(f.limiters["c"].Open(t.Context(), o).Code, result.Code(""))
		f.limiters["c"].Opened(o, result.Refuse(result.CodeStoreDown, "down"))
		is.Equal(len(f.limiters["c"].local.Programs()), 0)
		stop()
		synctest.Wait()
	})
}

// The home is derived from the list of members. An account has a home also while the owner of
// its shard is suspect or down.
func TestHome(t *testing.T) {
	shard := locate.Shard(homePrefix+"acct", 3)
	owned := func(s swim.State) []swim.Member {
		return []swim.Member{
			{Name: "a", State: swim.Alive},
			{Name: "b", State: s, Shards: []swim.Shard{{Shard: shard, Epoch: 2}}},
		}
	}
	cases := map[string]struct {
		members []swim.Member
		home    string
		found   bool
	}{
		"owner":            {owned(swim.Alive), "b", true},
		"draining owner":   {owned(swim.Draining), "b", true},
		"suspect owner":    {owned(swim.Suspect), "a", true},
		"owner down":       {owned(swim.Down), "a", true},
		"nobody is known":  {nil, "", false},
		"nobody owns it":   {[]swim.Member{{Name: "a", State: swim.Alive}}, "a", true},
		"all are draining": {[]swim.Member{{Name: "a", State: swim.Draining}}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, ok := Home(c.members, "acct", 3)
			is.Equal(m.Name, c.home)
			is.Equal(ok, c.found)
		})
	}
}

// A failed request to the home counts like one without an answer.
func TestLinkFails(t *testing.T) {
	is := is.New(t)
	f := newCluster()
	l := f.others()[0]
	l.Send = func(context.Context, string, quota.Request) (quota.Answer, error) {
		return quota.Answer{}, errors.New("lost")
	}
	r := l.Open(t.Context(), call.Open{Account: "acct", Program: "p"})
	is.Equal(r.Code, result.CodeLimited)
	is.Equal(r.RetryAfter, retryUnreachable)
	is.Equal(len(l.local.Programs()), 0)
}

// BenchmarkCall measures a call that is covered by tokens granted before.
func BenchmarkCall(b *testing.B) {
	f := newCluster()
	l := f.limiters["a"]
	now := time.Now()
	l.local.Apply(now, now.Add(time.Hour), quota.Request{Account: "acct"}, quota.Answer{OK: true, Tokens: 1 << 60})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if l.Call(b.Context(), model(n, 100)).Code != "" {
			b.Fatal("refused")
		}
	}
}
