package pick

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/cached"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/meta"
)

// holdersOf returns a Picker.Holders by the ids of the upstreams, which were born at 0.
func holdersOf(byPart map[uint64][]string) func(time.Time, uint64, []Holder) []Holder {
	return func(_ time.Time, part uint64, list []Holder) []Holder {
		for _, id := range byPart[part] {
			list = append(list, Holder{ID: id, Upstream: cached.UpstreamOf(id, 0)})
		}
		return list
	}
}

func TestProgramsGoToSharedParts(t *testing.T) {
	shared := []meta.Part{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 1560}}
	cases := map[string]struct {
		holders map[uint64][]string
		load    map[string]int
		change  func([]fleet.Upstream, *Request)
		want    string
	}{
		"one has them":                 {map[uint64][]string{1: {"u3"}, 2: {"u3"}}, nil, nil, "u3"},
		"one has more of them":         {map[uint64][]string{1: {"u1", "u3"}, 2: {"u3"}}, nil, nil, "u3"},
		"only the first part is known": {map[uint64][]string{1: {"u3"}}, nil, nil, "u3"},
		"the less loaded of two":       {map[uint64][]string{1: {"u1", "u3"}, 2: {"u1", "u3"}}, map[string]int{"u0": 1, "u1": 2, "u2": 1, "u3": 1, "u4": 1}, nil, "u3"},
		"most have them, one without is idle": {
			map[uint64][]string{1: {"u0", "u1", "u2", "u4"}, 2: {"u0", "u1", "u2", "u4"}}, map[string]int{"u0": 1, "u1": 1, "u2": 1, "u4": 1}, nil, "u3",
		},
		"the load costs less than a prefill": {
			map[uint64][]string{1: {"u3"}, 2: {"u3"}}, map[string]int{"u0": 1, "u1": 1, "u2": 1, "u3": 2, "u4": 1}, nil, "u3",
		},
		"the load costs more than a prefill": {
			map[uint64][]string{1: {"u0", "u1", "u2", "u4"}, 2: {"u0", "u1", "u2", "u4"}}, map[string]int{"u0": 8, "u1": 8, "u2": 8, "u4": 8}, nil, "u3",
		},
		"the prompt is cached elsewhere": {
			map[uint64][]string{1: {"u3"}, 2: {"u3"}}, nil, func(_ []fleet.Upstream, r *Request) { r.Prefer, r.Tokens = "u1", 4000 }, "u1",
		},
		"the only one that has them is busy": {
			map[uint64][]string{1: {"u3"}, 2: {"u3"}}, map[string]int{"u0": 3, "u1": 2, "u2": 3, "u3": 3, "u4": 3}, nil, "u1",
		},
		"the prompt is cached at a full one": { // a later turn takes any that is free, as without shared parts
			map[uint64][]string{1: {"u3"}, 2: {"u3"}}, map[string]int{"u1": 6}, func(_ []fleet.Upstream, r *Request) { r.Prefer, r.Tokens = "u1", 4000 }, "u0",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			disableJitter(t)
			p := &Picker{Domain: "x", Holders: holdersOf(c.holders)}
			p.PeersUpdated(c.load, 1)
			list := ups(5)
			r := Request{Key: "k", Shared: shared}
			if c.change != nil {
				c.change(list, &r)
			}
			r.Candidates = fleet.NewService(list...)
			is.New(t).Equal(choose(p, r), c.want)
		})
	}
}

// Guards against a program that is sent to an engine that restarted under its id without its cache.
func TestHoldersOfEarlierIncarnation(t *testing.T) {
	disableJitter(t)
	is := is.New(t)
	list := ups(5)
	p := &Picker{Domain: "x", Holders: holdersOf(map[uint64][]string{1: {"u0", "u1"}})}
	r := Request{Key: "k", Shared: []meta.Part{{ID: 1, Tokens: 2560}}}
	for i := range 2 {
		list[i].Born, list[1-i].Born = 0, 1
		r.Candidates = fleet.NewService(list...)
		u, _ := p.Choose(now, r)
		p.Done(u.ID)
		is.Equal(u.ID, list[i].ID)
	}
}

// Guards against fronts that prefill the same prefix at as many engines, when none has it yet.
func TestSamePrefixSameEngine(t *testing.T) {
	is := is.New(t)
	service := fleet.NewService(ups(71)...)
	count := map[string]int{}
	for i := range 50 {
		p := &Picker{Name: fmt.Sprint("front", i), Domain: "x", Age: func() time.Duration { return 300 * time.Millisecond }}
		count[choose(p, Request{Candidates: service, Key: fmt.Sprint(i), Shared: []meta.Part{{ID: 1, Tokens: 2560}}})]++
	}
	is.True(len(count) <= 3)
}

// Guards against a holder that is not found among thousands, of which only some are compared, or
// that loses to the order of those that lack more.
func TestHoldersAmongThousands(t *testing.T) {
	is := is.New(t)
	p := &Picker{Domain: "x", Holders: holdersOf(map[uint64][]string{1: {"u4321"}})}
	service := fleet.NewService(ups(10000)...)
	shared := []meta.Part{{ID: 1, Tokens: 2560}, {ID: 2, Tokens: 100}} // nobody has the second
	for last := range uint64(50) {
		shared[1].ID = 2 + last
		got := choose(p, Request{Candidates: service, Key: "k", Shared: shared})
		p.Done(got)
		is.Equal(got, "u4321")
	}
}

// costBefore is the cost as it was before parts of prompts were named.
func costBefore(p *Picker, now time.Time, u *fleet.Upstream, r *Request, confidence float64) float64 {
	cost := noiseCost / 2 * jitter()
	if u.Domain != p.Domain {
		cost += crossDomainCost
	}
	if p.Idle == nil || !p.Idle(u.Address) {
		cost += newConnCost
	}
	prefillCost := 0.0
	if r.Prefer != "" && u.ID != r.Prefer {
		prefillCost = float64(r.Tokens) / prefillPerMs
	}
	cost += prefillCost
	if r.Prefer == "" {
		cost += (noiseCost + spreadCost*(1-confidence)) * weight(cmp.Or(r.Key, p.Name), u.ID)
	}
	own, peers := 0, p.peers[u.ID]
	if s := p.upstreams[u.ID]; s != nil {
		own = s.ownInFlight
		failing, slow := s.outcomes(now)
		cost += failing + slow
	}
	if own+peers == 0 {
		return cost
	}
	cost += prefillCost * float64(own+peers)
	batch := float64(max(u.Batch, 1))
	inFlight := float64(own) + confidence*float64(peers)
	if r.Key != "" {
		cost += contentionCost * inFlight
	} else {
		share := min(inFlight/batch, 1)
		cost += loadCost * share * share
	}
	return cost + queueCost*max(inFlight-batch+1, 0)/batch
}

// Guards against choices that change where callers don't name the parts of their prompts, although
// pairs of other programs are known.
func TestSameChoiceWithoutParts(t *testing.T) {
	disableJitter(t)
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(8, 8))
	p := &Picker{Name: "front", Domain: "0", Holders: holdersOf(map[uint64][]string{1: {"u1"}})}
	age := time.Duration(0)
	p.Age = func() time.Duration { return age }
	list := ups(40)
	for i := range list {
		list[i].Domain = fmt.Sprint(i % 6)
	}
	service := fleet.NewService(list...)
	for i := range 3000 {
		age = time.Duration(rnd.IntN(300)) * time.Millisecond
		if i%50 == 0 {
			load := map[string]int{}
			for _, u := range list {
				load[u.ID] = rnd.IntN(6)
			}
			p.PeersUpdated(load, 8)
		}
		r := Request{Candidates: service, Key: []string{"", fmt.Sprint(i)}[rnd.IntN(2)], Tokens: rnd.IntN(5000)}
		if r.Key != "" && rnd.IntN(2) == 0 {
			r.Prefer = list[rnd.IntN(len(list))].ID
		}
		want, lowest := "", math.Inf(1)
		for j := range service.Len() {
			if cost := costBefore(p, now, service.At(j), &r, p.confidence()); cost < lowest {
				want, lowest = service.At(j).ID, cost
			}
		}
		got := choose(p, r)
		is.Equal(got, want)
		if rnd.IntN(3) > 0 {
			p.Done(got)
		}
		p.RecordOutcome(now, got, rnd.Float64()*4, rnd.IntN(30) == 0)
	}
}

// BenchmarkChooseShared selects for new programs with three shared parts that 100 engines have.
func BenchmarkChooseShared(b *testing.B) {
	for _, n := range []int{100, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list, holders := ups(n), map[uint64][]Holder{}
			for i := range 100 {
				for part := range uint64(3) {
					holders[part] = append(holders[part], Holder{ID: list[i*n/100].ID, Upstream: cached.UpstreamOf(list[i*n/100].ID, 0)})
				}
			}
			p := &Picker{Domain: "x", Holders: func(_ time.Time, part uint64, list []Holder) []Holder { return append(list, holders[part]...) }}
			r := Request{Candidates: fleet.NewService(list...), Key: "k", Shared: []meta.Part{{ID: 0, Tokens: 900}, {ID: 1, Tokens: 900}, {ID: 2, Tokens: 900}}}
			at := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				u, _ := p.Choose(at, r)
				p.Done(u.ID)
			}
		})
	}
}
