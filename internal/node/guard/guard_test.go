package guard

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

// fleet is three daemons, each with all members in its picture.
type fleet struct {
	members []swim.Member
	guards  map[string]*Guard
	down    map[string]bool // hangs
	sent    int
}

func newFleet() *fleet {
	f := &fleet{guards: map[string]*Guard{}, down: map[string]bool{}}
	cfg := file.File{
		System:   file.System{Shards: 3},
		Accounts: map[string]file.Account{"acct": {MaxPrograms: 4, TokensPerMinute: 6400}},
		Models:   map[string]file.Model{"m": {MaxTokens: 500}},
	}
	for i, name := range []string{"a", "b", "c"} {
		f.members = append(f.members, swim.Member{Name: name, Peer: name, State: swim.Alive, Shards: []swim.Shard{{Shard: i, Epoch: 1}}})
		f.guards[name] = &Guard{
			Self:    name,
			Members: func() []swim.Member { return f.members },
			Config:  func() file.File { return cfg },
			Live:    func(string) bool { return true },
			Send:    f.send,
		}
		f.guards[name].Init(time.Now())
	}
	return f
}

func (f *fleet) send(ctx context.Context, peer string, a quota.Ask) (quota.Answer, error) {
	f.sent++
	if f.down[peer] {
		<-ctx.Done()
		return quota.Answer{}, ctx.Err()
	}
	return f.guards[peer].Answer(a), nil
}

func (f *fleet) home() string {
	m, _ := Home(f.members, "acct", 3)
	return m.Name
}

// others are the daemons that are not the home.
func (f *fleet) others() []*Guard {
	var out []*Guard
	for _, m := range f.members {
		if m.Name != f.home() {
			out = append(out, f.guards[m.Name])
		}
	}
	return out
}

func model(number, tokens int) call.Call {
	return call.Call{Account: "acct", Program: "p", Number: number, Kind: call.Model, Model: "m", MaxTokens: tokens}
}

// An account's programs live at several daemons. If each let them have the
// limit, the account would use as many times its limit.
func TestCallsOverAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		in := 0
		var last result.Result
		for n := range 300 {
			for _, g := range f.guards {
				r := g.Call(t.Context(), model(n, 100))
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

// The model's own maximum counts where the caller asked for none or for more.
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
			is.New(t).Equal(newFleet().guards["a"].cost(c.c), c.cost)
		})
	}
}

// The account's home hangs: its connections stay open and nothing comes. The
// caller must learn within WaitHome that its call did not run, and the next
// callers at once; once the others notice, the account has a new home.
func TestHomeHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		home, g := f.home(), f.others()[0]
		is.Equal(g.Call(t.Context(), model(0, 100)).Code, result.Code(""))
		is.Equal(g.Call(t.Context(), model(1, 100)).Code, result.Code(""))
		f.down[home] = true
		is.Equal(g.Call(t.Context(), model(1, 50)).Code, result.Code("")) // out of the block
		start := time.Now()
		r := g.Call(t.Context(), model(2, 500))
		is.Equal(time.Since(start), WaitHome)
		is.Equal(r.Code, result.CodeLimited)
		is.Equal(r.Ran, result.No)
		is.Equal(r.RetryAfter, retrySilent)
		start = time.Now()
		is.Equal(g.Call(t.Context(), model(3, 500)), r) // the same honest reason
		is.Equal(time.Since(start), time.Duration(0))
		for i := range f.members {
			if f.members[i].Name == home {
				f.members[i].State = swim.Suspect
			}
		}
		is.True(f.home() != home)
		<-time.After(r.RetryAfter)
		is.Equal(g.Call(t.Context(), model(2, 500)).Code, result.Code(""))
	})
}

// A caller hangs up while the home is being asked. The account's other callers
// must not be refused for it.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		g := f.others()[0]
		f.down[f.home()] = true
		ctx, leave := context.WithTimeout(t.Context(), WaitHome/2)
		defer leave()
		is.Equal(g.Call(ctx, model(0, 100)).Ran, result.No)
		f.down[f.home()] = false
		is.Equal(g.Call(t.Context(), model(1, 100)).Code, result.Code(""))
	})
}

// A repeat joins the call under way, or gets the answer that is recorded. It
// must not be refused for want of tokens, nor be charged.
func TestRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		g := f.guards["a"]
		is.Equal(g.Open(t.Context(), call.Open{Account: "acct", Program: "p"}).Code, result.Code(""))
		g.Opened(call.Open{Account: "acct", Program: "p"}, result.Result{Code: result.CodeOK})
		c := call.Call{Account: "acct", Program: "p", Kind: call.Model, Model: "x", MaxTokens: 6000}
		for range 5 {
			is.Equal(g.Call(t.Context(), c).Code, result.Code(""))
			g.Called(c, result.Refuse(result.CodeOverloaded, "busy"))
		}
		g.Called(c, result.Failed(result.CodeUpstreamFailed, result.Unknown, "broke"))
		is.Equal(g.Call(t.Context(), c).Code, result.CodeLimited) // it would run again
	})
}

// Programs are opened at all daemons; what ends, or could not be opened, makes
// room, also for the others.
func TestOpenOverAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		in := 0
		for n := range 4 {
			for name, g := range f.guards {
				o := call.Open{Account: "acct", Program: fmt.Sprint(name, n)}
				if r := g.Open(t.Context(), o); r.Code != "" {
					is.Equal(r.Code, result.CodeLimited)
					is.Equal(r.Ran, result.No)
					continue
				}
				g.Opened(o, result.Result{Code: result.CodeOK})
				in++
			}
		}
		is.Equal(in, 4)
		ctx, stop := context.WithCancel(t.Context())
		for _, g := range f.guards {
			g.Live = func(string) bool { return false }
			go g.Serve(ctx)
		}
		<-time.After(quota.ReportEvery + time.Second)
		o := call.Open{Account: "acct", Program: "late"}
		is.Equal(f.guards["c"].Open(t.Context(), o).Code, result.Code(""))
		f.guards["c"].Opened(o, result.Refuse(result.CodeStoreDown, "down"))
		is.Equal(len(f.guards["c"].local.Programs()), 0)
		stop()
		synctest.Wait()
	})
}

// The home is found from a picture of the daemons. While the owner of the
// account's shard may be gone, the account has a home all the same.
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

// A failure of the link counts like silence.
func TestLinkFails(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	g := f.others()[0]
	g.Send = func(context.Context, string, quota.Ask) (quota.Answer, error) {
		return quota.Answer{}, errors.New("lost")
	}
	r := g.Open(t.Context(), call.Open{Account: "acct", Program: "p"})
	is.Equal(r.Code, result.CodeLimited)
	is.Equal(r.RetryAfter, retrySilent)
	is.Equal(len(g.local.Programs()), 0)
}

// BenchmarkCall is a call that is paid out of the block.
func BenchmarkCall(b *testing.B) {
	f := newFleet()
	g := f.guards["a"]
	now := time.Now()
	g.local.Take(now, now.Add(time.Hour), quota.Ask{Account: "acct"}, quota.Answer{OK: true, Tokens: 1 << 60})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if g.Call(b.Context(), model(n, 100)).Code != "" {
			b.Fatal("refused")
		}
	}
}
