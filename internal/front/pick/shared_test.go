package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/meta"
)

// threeSpeeds are the factors of upstreams named u0, u1 and so on.
func threeSpeeds(u *fleet.Upstream) float64 {
	i := 0
	_, _ = fmt.Sscanf(u.ID, "u%d", &i)
	return []float64{0.6, 1, 1.6}[i%3]
}

// Guards against new programs that are kept from the engine that has the longest known beginning of
// their prompt, when engines differ in speed and the parts after it are their own.
func TestLongestBeginningWithSpeeds(t *testing.T) {
	is := is.New(t)
	for _, holder := range []string{"u3", "u4", "u5"} { // of each speed
		p := &Picker{Domain: "x", Factor: threeSpeeds, Holders: holdersOf(map[uint64][]string{1: {holder}})}
		service, there := fleet.NewService(ups(72)...), 0
		for i := range uint64(50) {
			shared := []meta.Part{{ID: 1, Tokens: 60000}, {ID: 100 + i, Tokens: 100}}
			id := choose(p, Request{Candidates: service, Key: fmt.Sprint(i), Tokens: 60200, Shared: shared})
			if p.Done(id); id == holder {
				there++
			}
		}
		t.Log(holder, there)
		is.True(there >= 48)
	}
}

// Guards against a program that gets no engine, or one that it may not have, when all engines that
// have its prefix or its prompt are leaving, excluded, slow or gone.
func TestAnotherEngineThanTheCachedOne(t *testing.T) {
	holders := map[string][]string{"none": nil, "one": {"u3"}, "one that is gone": {"u99"}, "two": {"u3", "u4"}}
	for name, held := range holders {
		for _, n := range []int{6, 72, 200} {
			for _, prefer := range []string{"", "u3"} {
				t.Run(fmt.Sprint(name, " of ", n, " ", prefer), func(t *testing.T) {
					is := is.New(t)
					list := ups(n)
					list[3].Leaving = true
					p := &Picker{Domain: "x", Factor: threeSpeeds, Holders: holdersOf(map[uint64][]string{1: held})}
					r := Request{
						Candidates: fleet.NewService(list...), Prefer: prefer, Tokens: 3000, Shared: []meta.Part{{ID: 1, Tokens: 2560}},
						Exclude: map[string]bool{"u4": true},
					}
					for i := range 100 {
						r.Key = fmt.Sprint(i)
						u, ok := p.Choose(now, r)
						p.Done(u.ID)
						is.True(ok && u.ID != "u3" && u.ID != "u4")
					}
				})
			}
		}
	}
}

// Guards against speeds that outweigh cached prefixes, and prefixes that outweigh speeds: with
// engines of three speeds and 16 prefixes, new programs go where their prefix is, and fast engines
// run more of them.
func TestPrefixesAndSpeeds(t *testing.T) {
	const engines, prefixes = 72, 16
	is := is.New(t)
	rng := rand.New(rand.NewPCG(4, 4))
	type running struct {
		front *Picker
		id    string
		until time.Time
	}
	var (
		fronts  []*Picker
		turns   []running
		list    = ups(engines)
		held    = map[uint64][]string{}
		bySpeed = map[float64]int{}
		found   int
		all     int
	)
	for i := range 20 {
		fronts = append(fronts, &Picker{
			Name: fmt.Sprint(i), Domain: "x", Age: func() time.Duration { return 100 * time.Millisecond }, Factor: threeSpeeds,
			Holders: func(at time.Time, part uint64, list []Holder) []Holder { return holdersOf(held)(at, part, list) },
		})
	}
	for i := range list {
		list[i].Batch = 16
	}
	service, load := fleet.NewService(list...), map[string]int{}
	for step := range 800 {
		at := now.Add(time.Duration(step) * 10 * time.Millisecond)
		turns = slices.DeleteFunc(turns, func(r running) bool {
			if r.until.After(at) {
				return false
			}
			r.front.Done(r.id)
			load[r.id]--
			return true
		})
		if step%10 == 0 {
			for _, front := range fronts {
				own, peers := front.OwnInFlight(), map[string]int{}
				for id, n := range load {
					peers[id] = n - own[id]
				}
				front.PeersUpdated(peers, len(fronts)-1)
			}
		}
		for i := range 24 {
			part, front := 1+rng.Uint64N(prefixes), fronts[rng.IntN(len(fronts))]
			u, _ := front.Choose(at, Request{
				Candidates: service, Key: fmt.Sprint(step, i), Tokens: 4000, Shared: []meta.Part{{ID: part, Tokens: 2560}},
			})
			took := threeSpeeds(&u) * (234 + 12*float64(load[u.ID]))
			turns = append(turns, running{front, u.ID, at.Add(time.Duration(took * float64(time.Millisecond)))})
			load[u.ID]++
			known := slices.Contains(held[part], u.ID)
			if !known {
				held[part] = append(held[part], u.ID)
			}
			if step < 400 {
				continue
			}
			bySpeed[threeSpeeds(&u)]++
			if all++; known {
				found++
			}
		}
	}
	t.Logf("%d of %d had their prefix; by factor: %v", found, all, bySpeed)
	is.True(float64(found) > 0.9*float64(all))
	is.True(bySpeed[0.6] > bySpeed[1] && bySpeed[1] > bySpeed[1.6])
	is.True(float64(bySpeed[0.6]) > 1.5*float64(bySpeed[1.6]))
}
