package parts

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
)

func day() scenario {
	return scenario{fronts: 50, engines: 71, prefixes: 16, zipf: 0.7, rate: 100, length: 14 * time.Second, loss: 0.05}
}

// measure plays the scenario and logs what came of it.
func measure(t *testing.T, name string, s scenario, named bool) result {
	t.Helper()
	s.named = named
	r := play(s)
	copies := 0
	for _, h := range r.holders {
		copies += len(h)
	}
	slices.Sort(r.waits)
	t.Logf("%s, %s: %d programs, %d turns, %d shared tokens prefilled again, %d assumed wrongly, wait mean %.1f p99 %.1f ms, mean turn %.1f ms, %d copies", t.Name(), name, r.programs, r.turns, r.again, r.wrong,
		r.meanWait(), r.waits[len(r.waits)*99/100], r.meanTurn(), copies)
	return r
}

func (r result) meanWait() float64 { return r.wait.Seconds() * 1000 / float64(r.turns) }
func (r result) meanTurn() float64 { return r.took.Seconds() * 1000 / float64(r.turns) }

// Guards against prefixes that are prefilled at engine after engine, and against programs that
// crowd at the engines that have them cached.
func TestPrefixesAreReused(t *testing.T) {
	cases := map[string]func(*scenario){
		"all reports arrive":   func(s *scenario) { s.loss = 0 },
		"one report in five":   func(s *scenario) { s.loss = 0.2 }, // is lost
		"engines evict":        func(s *scenario) { s.keeps = 6 },
		"few fronts, no hubs":  func(s *scenario) { s.fronts = 20 },
		"twice the load":       func(s *scenario) { s.rate, s.length = 200, 10*time.Second },
		"three times the load": func(s *scenario) { s.rate, s.length = 300, 8*time.Second },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := day()
			change(&s)
			today, named := measure(t, "not named", s, false), measure(t, "named", s, true)
			is.True(3*named.again < today.again)
			is.True(named.meanWait() <= today.meanWait())
			is.True(named.meanTurn() <= today.meanTurn())
		})
	}
}

// Guards against a prefix that all programs share, whose first engines get all of them.
func TestHotPrefixSpreads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := day()
	s.prefixes = 1
	today, named := measure(t, "not named", s, false), measure(t, "named", s, true)
	for _, holders := range named.holders {
		is.True(len(holders)*places > 2*150) // 150 turns are in flight
	}
	slices.Sort(named.waits)
	is.True(named.waits[len(named.waits)*99/100] < 100)
	is.True(named.meanTurn() < 1.1*today.meanTurn())
}

// Guards against first turns of the same prefix that begin at all fronts at the same time, before
// they hear of each other, and prefill it at as many engines.
func TestFirstTurnsConverge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := day()
	s.prefixes, s.rate, s.length = 1, 300, 2100*time.Millisecond // 30 programs in 0.1 s
	today, named := measure(t, "not named", s, false), measure(t, "named", s, true)
	for _, holders := range named.holders {
		t.Log(len(holders), "engines")
		is.True(len(holders) <= 6)
	}
	is.True(3*named.again < today.again)
}

// Guards against programs that are sent to an engine for a prefix that it lost when it restarted
// under its id.
func TestRestartVoidsPairs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := day()
	s.at = 8 * time.Second
	s.event = func(r *run) {
		for i := range r.list {
			if len(r.engine[r.list[i].ID].prefix) > 0 {
				r.engine[r.list[i].ID].prefix = nil
				r.list[i].Born++
			}
		}
		r.publish()
	}
	is.Equal(measure(t, "restarted", s, true).wrong, 0)
	s.event = func(r *run) {
		for _, e := range r.engine {
			e.prefix = nil
		}
	}
	evicted := measure(t, "evicted", s, true)
	is.True(evicted.wrong > 0)
	is.True(evicted.wrong <= 300*prefixTokens) // once for each pair, as it is prefilled again
}

// BenchmarkChoose selects among 10,000 engines for a program with three shared parts, which
// hundreds of them have.
func BenchmarkChoose(b *testing.B) {
	var list []fleet.Upstream
	for i := range 10000 {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("engine-", i), Service: "s", Batch: places})
	}
	var t Table
	p, at := pick.Picker{Holders: t.Holders}, time.Now()
	r := pick.Request{Candidates: fleet.NewService(list...), Key: "k", Shared: []meta.Part{{ID: 1, Tokens: 900}, {ID: 2, Tokens: 900}, {ID: 3, Tokens: 900}}}
	for i := range 400 {
		t.Use(at, r.Shared, list[25*i])
	}
	b.ReportAllocs()
	for b.Loop() {
		u, _ := p.Choose(at, r)
		p.Done(u.ID)
	}
}

// Guards against messages that grow with the number of fronts: 320 of them, before 1,000 new
// programs a second with 40 prefixes.
func TestBytesOfPairs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := day()
	s.fronts, s.engines, s.prefixes, s.rate, s.length = 320, 400, 40, 1000, 5*time.Second
	r := measure(t, "320 fronts", s, true)
	var perSecond []int
	for _, n := range r.pairBytes {
		perSecond = append(perSecond, n/3) // programs arrive during the last 3 s
	}
	slices.Sort(perSecond)
	t.Logf("pairs received by a front: median %d bytes/s, at most %d", perSecond[len(perSecond)/2], perSecond[len(perSecond)-1])
	is.True(perSecond[len(perSecond)/2] < 2200)
}
