package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/brkr"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns a configuration with n engines e0, e1 ... and two service
// upstreams t0, t1.
func fleet(n int) file.File {
	f := file.File{
		Limits: file.Limits{RetryShare: 0.1, HedgeShare: 0.1},
		Groups: map[string]file.Group{
			"engines": {Kind: file.Engines, QueueLimit: 4, QueueWait: 10 * time.Second, MaxInflight: 2},
			"tools":   {Kind: file.Services, MaxInflight: 100},
		},
		Services:  map[string]file.Service{"ledger": {Group: "tools", Idempotent: true, Hedge: true}},
		Upstreams: map[string]file.Upstream{},
	}
	for i := range n {
		f.Upstreams[fmt.Sprintf("e%d", i)] = file.Upstream{Group: "engines", Address: fmt.Sprintf("127.0.0.1:%d", i+1)}
	}
	for i := range 2 {
		f.Upstreams[fmt.Sprintf("t%d", i)] = file.Upstream{Group: "tools", Address: fmt.Sprintf("127.0.0.1:%d", 5000+i)}
	}
	return f
}

func submit(id string) Submit {
	return Submit{ID: id, Account: "a", Program: "p-" + id, Group: "engines", Model: "m", Attained: 1}
}

func submitTool(id string) Submit {
	return Submit{ID: id, Account: "a", Program: "p-" + id, Group: "tools", Service: "ledger", Idempotent: true}
}

func prompt(hashes ...uint64) []engine.Block {
	var out []engine.Block
	for _, h := range hashes {
		out = append(out, engine.Block{Hash: h, Tokens: 1000})
	}
	return out
}

// assigned returns the upstream that the effects assign the request to.
func assigned(effects []Effect, id string) string {
	for _, e := range effects {
		if a, ok := e.(Assign); ok && a.ID == id {
			return a.Upstream
		}
	}
	return ""
}

func refused(effects []Effect, id string) (Refuse, bool) {
	for _, e := range effects {
		if r, ok := e.(Refuse); ok && r.ID == id {
			return r, true
		}
	}
	return Refuse{}, false
}

func TestSubmitIsAnswered(t *testing.T) {
	cfg := file.File{Upstreams: map[string]file.Upstream{"e1": {Group: "engines", Address: "127.0.0.1:1"}}}
	tests := map[string]struct {
		ask  Submit
		want Effect
	}{
		"assigned":    {Submit{ID: "a", Group: "engines"}, Assign{ID: "a", Upstream: "e1", Address: "127.0.0.1:1"}},
		"no upstream": {Submit{ID: "a", Group: "other"}, Refuse{ID: "a", Code: result.CodeNoUpstream, Message: "no upstream in group other"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sched
			s.Step(time.Time{}, Configure{File: cfg})
			got := s.Step(time.Time{}, tt.ask)
			is.Equal(got, []Effect{tt.want})
		})
	}
}

func TestStaysOnCachedUpstream(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(8)})
	a := submit("1")
	a.Blocks = prompt(1, 2, 3)
	home := assigned(s.Step(epoch, a), "1")
	s.Step(epoch, Done{ID: "1", Upstream: home, Usage: engine.Usage{Prompt: 3000, Output: 10}})
	for i := range 20 {
		a.ID, a.Blocks = fmt.Sprint("n", i), append(a.Blocks, prompt(uint64(10+i))...)
		is.Equal(assigned(s.Step(epoch, a), a.ID), home)
		s.Step(epoch, Done{ID: a.ID, Upstream: home})
	}
}

// An upstream that is being replaced is marked as leaving in its load report or
// in the platform's list, whichever is first. A request sent there afterwards
// would fail with it and need a second attempt.
func TestLeavingGetsNoNewWork(t *testing.T) {
	tests := map[string]struct{ notice Message }{
		"own signal":       {Load{Upstream: "e0", Report: engine.Load{Seq: 1, Leaving: true}}},
		"list":             {VMs{List: []vmlist.VM{{Address: "127.0.0.1:1", State: vmlist.Leaving}, {Address: "127.0.0.1:2", State: vmlist.Live}}}},
		"list by name":     {VMs{List: []vmlist.VM{{Name: "e0", State: vmlist.Leaving}, {Name: "e1", State: vmlist.Live}}}},
		"gone from list":   {VMs{List: []vmlist.VM{{Name: "e1", State: vmlist.Live}}}},
		"no more declared": {Configure{File: without(fleet(2), "e0")}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sched
			s.Step(epoch, Configure{File: fleet(2)})
			s.Step(epoch, VMs{List: []vmlist.VM{{Name: "e0", State: vmlist.Live}, {Name: "e1", State: vmlist.Live}}})
			s.Step(epoch, tt.notice)
			for i := range 20 {
				id := fmt.Sprint(i)
				is.Equal(assigned(s.Step(epoch, submit(id)), id), "e1")
				s.Step(epoch, Done{ID: id, Upstream: "e1"})
			}
		})
	}
}

func without(f file.File, name string) file.File {
	delete(f.Upstreams, name)
	return f
}

// A non-idempotent attempt fails after the upstream may have executed it. Sent
// again, it would for instance issue a receipt twice.
func TestRetryOnlyWhereSafe(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		outcome    Outcome
		want       result.Code // empty: another attempt is sent
	}{
		"idempotent, failed":     {true, Failed, ""},
		"idempotent, unsent":     {true, Unsent, ""},
		"non-idempotent, unsent": {false, Unsent, ""},
		"non-idempotent, failed": {false, Failed, result.CodeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sched
			s.Step(epoch, Configure{File: fleet(1)})
			a := submitTool("1")
			a.Idempotent = tt.idempotent
			first := assigned(s.Step(epoch, a), "1")
			s.Step(epoch, Done{ID: "1", Upstream: first, Outcome: tt.outcome})
			a.Retry = true
			got := s.Step(epoch, a)
			if r, ok := refused(got, "1"); ok {
				is.Equal(r.Code, tt.want)
				r, ok = refused(s.Step(epoch, a), "1") // submitting again is refused too
				is.True(ok)
				is.Equal(r.Code, tt.want)
				return
			}
			is.Equal(tt.want, result.Code(""))
			is.Equal(assigned(got, "1"), "") // backs off first
			is.True(assigned(s.Step(epoch.Add(time.Second), Tick{}), "1") != "")
		})
	}
}

// An upstream refuses connections. A further attempt must go elsewhere, or it
// would fail again.
func TestRetryAvoidsFailedUpstream(t *testing.T) {
	is := is.New(t)
	var s Sched
	f := fleet(1)
	f.Limits.RetryShare = 1
	s.Step(epoch, Configure{File: f})
	now := epoch
	for i := range 50 {
		a := submitTool(fmt.Sprint(i))
		first := assigned(s.Step(now, a), a.ID)
		s.Step(now, Done{ID: a.ID, Upstream: first, Outcome: Unsent})
		out := s.Step(now, a) // without Retry and Avoid
		second := assigned(append(out, s.Step(now.Add(time.Second), Tick{})...), a.ID)
		now = now.Add(time.Minute / 2)
		is.True(second != "" && second != first)
		s.Step(now, Done{ID: a.ID, Upstream: second})
	}
}

// A further attempt is submitted for every request, as when all upstreams of a
// group fail. Without a budget the load would double when the group can least
// serve it; with it the retries stay a share of the traffic.
func TestRetriesAreAShareOfTraffic(t *testing.T) {
	is := is.New(t)
	var s Sched
	f := fleet(2)
	f.Limits.RetryShare = 0.1
	s.Step(epoch, Configure{File: f})
	spent := 0
	now := epoch
	for i := range 1000 {
		now = now.Add(time.Second)
		a := submitTool(fmt.Sprint(i))
		up := assigned(s.Step(now, a), a.ID)
		s.Step(now, Done{ID: a.ID, Upstream: up, Outcome: Succeeded})
		a.Retry = true
		got := s.Step(now, a)
		if r, ok := refused(got, a.ID); ok {
			is.Equal(r.Code, result.CodeUpstreamFailed)
			is.True(r.RetryAfter > 0)
			continue
		}
		spent++
		s.Step(now, Done{ID: a.ID, Upstream: assigned(got, a.ID)})
	}
	is.True(spent >= 95 && spent <= 110)
}

// A configured share of 0 disables further attempts. Taken for an unset value
// it would allow a tenth.
func TestZeroShareDisables(t *testing.T) {
	is := is.New(t)
	var s Sched
	f := fleet(1)
	f.Limits = file.Limits{}
	s.Step(epoch, Configure{File: f})
	now := epoch
	for i := range 30 {
		a := submitTool(fmt.Sprint(i))
		up := assigned(s.Step(now, a), a.ID)
		now = now.Add(time.Second)
		s.Step(now, Done{ID: a.ID, Upstream: up})
	}
	s.Step(now, submitTool("slow"))
	is.Equal(assigned(s.Step(now.Add(time.Minute), Tick{}), "slow"), "")
	a := submitTool("again")
	a.Retry = true
	r, ok := refused(s.Step(now, a), a.ID)
	is.True(ok)
	is.Equal(r.Code, result.CodeUpstreamFailed)
}

// An upstream crashes and refuses every connection. Until its breaker opens,
// each request sent there is delayed by a failed attempt.
func TestBreakerStopsRequests(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(1)})
	failures := 0
	for i := range 200 {
		a := submitTool(fmt.Sprint(i))
		up := assigned(s.Step(epoch, a), a.ID)
		out := Succeeded
		if up == "t0" {
			out = Unsent
			failures++
		}
		s.Step(epoch, Done{ID: a.ID, Upstream: up, Outcome: out})
	}
	is.Equal(failures, brkr.Threshold)
	later := epoch.Add(2 * time.Second)
	probes := 0
	for i := range 20 {
		a := submitTool(fmt.Sprint("p", i))
		if assigned(s.Step(later, a), a.ID) == "t0" {
			probes++
		}
	}
	is.Equal(probes, 1) // half-open: one probe at a time
}

// A group runs four requests at a time and four more may queue. The others are
// refused at once as overloaded, with a retry delay.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(2)})
	var sent, refused int
	for i := range 20 {
		got := s.Step(epoch, submit(fmt.Sprint(i)))
		for _, e := range got {
			switch e := e.(type) {
			case Assign:
				sent++
			case Refuse:
				refused++
				is.Equal(e.Code, result.CodeOverloaded)
				is.True(e.RetryAfter > 0)
			}
		}
	}
	is.Equal(sent, 4)
	is.Equal(refused, 12)
}

func TestHedgePastP95(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(1)})
	now := epoch
	for i := range 30 {
		a := submitTool(fmt.Sprint(i))
		up := assigned(s.Step(now, a), a.ID)
		now = now.Add(100 * time.Millisecond)
		s.Step(now, Done{ID: a.ID, Upstream: up})
	}
	s.Step(now, First{ID: "begun", Upstream: assigned(s.Step(now, submitTool("begun")), "begun")})
	up := assigned(s.Step(now, submitTool("slow")), "slow")
	is.Equal(assigned(s.Step(now.Add(90*time.Millisecond), Tick{}), "slow"), "")
	got := s.Step(now.Add(200*time.Millisecond), Tick{})
	is.Equal(len(got), 1)
	hedge := got[0].(Assign)
	is.True(hedge.Hedge && hedge.Upstream != up)
	is.Equal(assigned(s.Step(now.Add(300*time.Millisecond), Tick{}), "slow"), "") // at most one hedge
}

// All upstreams hang, so a queued request waits longer than was estimated at its
// arrival. It must be refused after twice the maximum wait, before its caller
// times out.
func TestQueueWaitIsBounded(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(1)})
	for i := range 3 {
		s.Step(epoch, submit(fmt.Sprint(i)))
	}
	is.Equal(len(s.byID), 3)
	_, ok := refused(s.Step(epoch.Add(20*time.Second), Tick{}), "2")
	is.True(!ok)
	r, ok := refused(s.Step(epoch.Add(21*time.Second), Tick{}), "2")
	is.True(ok)
	is.Equal(r.Code, result.CodeOverloaded)
	is.True(r.RetryAfter > 0)
}

func TestOnlyUpstreamsWithModel(t *testing.T) {
	is := is.New(t)
	var s Sched
	f := fleet(3)
	u := f.Upstreams["e1"]
	u.Models = []string{"large"}
	f.Upstreams["e1"] = u
	s.Step(epoch, Configure{File: f})
	for i := range 30 {
		a := submit(fmt.Sprint(i))
		up := assigned(s.Step(epoch, a), a.ID)
		is.True(up != "" && up != "e1")
		s.Step(epoch, Done{ID: a.ID, Upstream: up})
	}
}

// An upstream is replaced by a new process under the same name. The state of the
// old one, here its open breaker, must not apply to the new one.
func TestReplacedUpstreamStartsFresh(t *testing.T) {
	is := is.New(t)
	var s Sched
	f := fleet(1)
	s.Step(epoch, Configure{File: f})
	for i := range brkr.Threshold {
		a := submit(fmt.Sprint(i))
		s.Step(epoch, a)
		s.Step(epoch, Done{ID: a.ID, Upstream: "e0", Outcome: Unsent})
	}
	r, ok := refused(s.Step(epoch, submit("no")), "no")
	is.True(ok)
	is.Equal(r.Code, result.CodeNoUpstream)
	is.True(r.RetryAfter > 0) // until the breaker allows a probe
	u := f.Upstreams["e0"]
	u.Address = "127.0.0.1:99"
	f.Upstreams["e0"] = u
	s.Step(epoch, Configure{File: f})
	is.Equal(assigned(s.Step(epoch, submit("yes")), "yes"), "e0")
}
