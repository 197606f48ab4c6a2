package proxy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	retainedFor = time.Minute // of the route /keep/
	longWait    = 50 * time.Second
)

// slowStream returns a stream that takes so long, with an event each second.
func slowStream(takes time.Duration) string {
	var events strings.Builder
	for n := range int(takes / time.Second) {
		e := fmt.Sprintf("id:%d\ndata:x\n\n", n+1)
		fmt.Fprintf(&events, "%s%x\r\n%s\r\n", strings.Repeat("PAUSE", 10), len(e), e)
	}
	return chunked + events.String() + end
}

// indexOf returns the index of a replica that has the records that a front has written.
func indexOf(env *testEnv, only func(index.Record) bool) (ix index.Index) {
	for _, r := range env.rec.stored() {
		if only(r) {
			ix.Apply(r, seglog.Pos{Segment: 1}, time.Now())
		}
	}
	return ix
}

// Guards against turns, charges and runs that are forgotten too early after an attempt that took long, and
// against reservations of attempts that still run.
func TestRetentionBeginsWithTheEndOfAnAttempt(t *testing.T) {
	all := func(index.Record) bool { return true }
	unsettled := func(r index.Record) bool { return !r.IsOver() }
	cases := map[string]struct {
		path, budget string
		takes        time.Duration
		only         func(index.Record) bool // the records that a replica has got
		from         time.Duration           // from the start of the attempt: where its retention begins at the earliest
		most         time.Duration           // and at the latest
	}{
		"short turn":             {"/keep/", "500", time.Second, all, time.Second, 2 * time.Second},
		"long turn":              {"/keep/", "500", 40 * time.Second, all, 40 * time.Second, 41 * time.Second},
		"long turn, no budget":   {"/keep/", "", 40 * time.Second, all, 40 * time.Second, 41 * time.Second},
		"its settlement is lost": {"/keep/", "500", 40 * time.Second, unsettled, longWait, longWait + settleTimeout},
		"stream that is resumed": {"/both/", "500", 40 * time.Second, all, 40 * time.Second, 41 * time.Second},
		"failed at the upstream": {"/keep/", "500", longWait + time.Second, all, longWait, longWait + settleTimeout},
		"only runs are recorded": {"/resume/", "", longWait + time.Second, all, longWait, longWait + settleTimeout},
		"parts of a long stream": {"/both/", "500", 40 * time.Second, func(r index.Record) bool { return r.Part != nil }, 40 * time.Second, 41 * time.Second},
		"runs, settlement lost":  {"/both/", "500", 40 * time.Second, unsettled, longWait, longWait + settleTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{slowStream(c.takes)})
				defer env.close()
				began := time.Now()
				env.do(t.Context(), c.path, map[string]string{"Program": "p", "Budget": c.budget, "Wait": longWait.String()}, "in")
				synctest.Wait()
				ix := indexOf(env, c.only)
				is.Equal(len(ix.Expired(began.Add(c.from+retainedFor), 1)), 0)
				is.Equal(len(ix.Expired(began.Add(c.most+retainedFor+index.ClockSlack+time.Millisecond), 1)), 1)
			})
		})
	}
}

// Guards against a turn that is retained for the time of the configuration of its start, where a longer one came in
// force while it ran.
func TestRetentionOfTheConfigurationAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{slowStream(20 * time.Second)})
		defer env.close()
		longer := slices.Clone(routes)
		for i := range longer {
			longer[i].RetainFor *= 2
		}
		time.AfterFunc(10*time.Second, func() {
			v := env.e.Fleet.View()
			table := route.New(2, longer, []route.Service{{Name: "s", EventTokens: 3}}, route.Limits{BodyBytes: 100})
			env.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: v.Revision + 1, Table: table, Upstreams: v.Listed.List()})
		})
		env.do(t.Context(), "/keep/", map[string]string{"Program": "p", "Budget": "500", "Wait": longWait.String()}, "in")
		ended := time.Now()
		ix := indexOf(env, func(index.Record) bool { return true })
		is.Equal(len(ix.Expired(ended.Add(2*retainedFor), 1)), 0)
	})
}

// Guards against a stored turn whose output lies in a buffer that a later response takes.
func TestLongOutputsAreStoredApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		long := func(letter string) string {
			var events strings.Builder
			for n := range 4 {
				e := fmt.Sprintf("id:%d\ndata:%s\n\n", n+1, strings.Repeat(letter, 40<<10))
				fmt.Fprintf(&events, "%x\r\n%s\r\n", len(e), e)
			}
			return chunked + events.String() + end
		}
		env := newTestEnv([]string{long("a"), long("b"), long("c")})
		defer env.close()
		for i := range 3 {
			env.do(t.Context(), "/keep/", map[string]string{"Id": fmt.Sprint("t", i), "Program": "p"}, "in")
		}
		synctest.Wait()
		for i, letter := range []string{"a", "b", "c"} {
			is.Equal(string(env.rec.turns[fmt.Sprint("t", i)].Output), strings.Repeat(strings.Repeat(letter, 40<<10)+"\n", 4))
		}
	})
}
