package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// With all factors 1 each choice must be the one that is made without factors.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	disableJitter(t)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	list := ups(60)
	plain, with := &Picker{Domain: "x"}, &Picker{Domain: "x", Factor: func(*fleet.Upstream) float64 { return 1 }}
	age := func() time.Duration { return 200 * time.Millisecond }
	plain.Age, with.Age = age, age
	for i := range 3000 {
		at := now.Add(time.Duration(i) * 3 * time.Millisecond)
		r := Request{Candidates: fleet.NewService(list...), Tokens: rng.IntN(9000)}
		if i%2 == 0 {
			r.Key = fmt.Sprint(i)
		}
		if i%3 == 0 {
			r.Prefer = list[rng.IntN(60)].ID
		}
		a, _ := plain.Choose(at, r)
		b, _ := with.Choose(at, r)
		is.Equal(a.ID, b.ID)
		peers, slowdown, failed, done := map[string]int{list[i%60].ID: rng.IntN(8)}, 4*rng.Float64(), rng.IntN(20) == 0, rng.IntN(60)
		for _, p := range []*Picker{plain, with} {
			p.PeersUpdated(peers, 1)
			p.RecordOutcome(at, a.ID, slowdown, failed)
			p.Done(list[done].ID)
		}
	}
}

// An upstream that all daemons know to be slow must be avoided by one that has not used it, but not
// however busy the others are; a program whose prompt is there stays.
func TestSlowUpstreamsAreAvoided(t *testing.T) {
	cases := map[string]struct {
		factor float64 // of u0
		prefer string
		load   int // at u1
		want   string
	}{
		"alike":                    {1, "", 1, "u0"},
		"slow":                     {1.6, "", 1, "u1"},
		"slow, the other is busy":  {1.6, "", 8, "u0"},
		"faster, but busy":         {0.5, "", 0, "u0"},
		"slow, with the prompt":    {2, "u0", 0, "u0"},
		"a straggler":              {9, "u0", 0, "u1"},
		"a straggler, others full": {9, "u0", 60, "u0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			disableJitter(t)
			list := ups(2)
			list[0].Batch, list[1].Batch = 16, 16
			p := &Picker{Domain: "x", Factor: func(u *fleet.Upstream) float64 { return map[string]float64{"u0": c.factor, "u1": 1}[u.ID] }}
			p.PeersUpdated(map[string]int{"u1": c.load}, 1)
			r := Request{Candidates: fleet.NewService(list...), Key: "k", Prefer: c.prefer, Tokens: 4000}
			is.New(t).Equal(choose(p, r), c.want)
		})
	}
}

// BenchmarkChooseBySpeed selects among upstreams of different speed.
func BenchmarkChooseBySpeed(b *testing.B) {
	list := ups(10000)
	load := map[string]int{}
	for i := range list {
		load[list[i].ID] = i % 8
	}
	p := &Picker{Domain: "x", Age: func() time.Duration { return 200 * time.Millisecond }}
	p.Factor = func(u *fleet.Upstream) float64 { return 0.6 + float64(len(u.ID)%3)/2 }
	p.PeersUpdated(load, 1)
	r := Request{Candidates: fleet.NewService(list...), Key: "k", Tokens: 4000}
	b.ReportAllocs()
	for b.Loop() {
		u, _ := p.Choose(now, r)
		p.Done(u.ID)
	}
}
