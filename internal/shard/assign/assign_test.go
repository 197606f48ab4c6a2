package assign_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/shard/assign"
)

const shards = 8

var start = time.Unix(1_800_000_000, 0)

// fleet is the state machines of several daemons with a common membership view,
// and the owners of the shards.
type fleet struct {
	now         time.Time
	members     []swim.Member
	assigners   map[string]*assign.Assigner
	owner       map[int]string
	cannotClaim map[string]bool // daemons whose claims fail
	claims      int
	handovers   int
}

func newFleet(n int) *fleet {
	f := &fleet{now: start, assigners: map[string]*assign.Assigner{}, owner: map[int]string{}, cannotClaim: map[string]bool{}}
	for i := range n {
		f.join(fmt.Sprint("d", i))
	}
	return f
}

func (f *fleet) join(name string) {
	seed := uint64(len(f.assigners)+1) * 7919
	f.assigners[name] = &assign.Assigner{Self: name, Shards: shards, Rand: func() uint64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return seed >> 33
	}}
	f.members = append(f.members, swim.Member{Name: name, State: swim.Alive})
	f.assigners[name].Step(f.now, assign.Leased{OK: true})
}

func (f *fleet) setState(name string, s swim.State) {
	for i := range f.members {
		if f.members[i].Name == name {
			f.members[i].State = s
		}
	}
}

// advance moves the clock; claims and handovers take effect at once and are in
// the next membership view.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for i := range f.members {
			f.members[i].Shards = nil
			for s := range shards {
				if f.owner[s] == f.members[i].Name {
					f.members[i].Shards = append(f.members[i].Shards, swim.Shard{Shard: s, Epoch: 1})
				}
			}
		}
		for _, m := range f.members {
			if m.State == swim.Down {
				continue
			}
			a := f.assigners[m.Name]
			a.Step(f.now, assign.View{Members: f.members})
			for _, e := range a.Step(f.now, assign.Tick{}) {
				f.execute(m.Name, e)
			}
		}
	}
}

func (f *fleet) execute(name string, e assign.Effect) {
	a := f.assigners[name]
	switch e := e.(type) {
	case assign.Claim:
		f.claims++
		ok := f.owner[e.Shard] == "" && !f.cannotClaim[name]
		if ok {
			f.owner[e.Shard] = name
		}
		a.Step(f.now, assign.Claimed{Shard: e.Shard, OK: ok})
	case assign.HandOver:
		f.handovers++
		delete(f.owner, e.Shard)
		a.Step(f.now, assign.Released{Shard: e.Shard})
		if to := f.assigners[e.To.Name]; to != nil {
			for _, e := range to.Step(f.now, assign.Offered{Shard: e.Shard}) {
				f.execute(to.Self, e)
			}
		}
	}
}

func (f *fleet) kill(name string) {
	f.setState(name, swim.Down)
	for s, o := range f.owner {
		if o == name {
			delete(f.owner, s)
		}
	}
}

// Daemons join, die, drain or fail to claim. Afterwards each shard must have an
// owner, no daemon may own more than four shards, and ownership must not change
// any more.
func TestEveryShardGetsOwner(t *testing.T) {
	tests := map[string]func(f *fleet){
		"at start": func(*fleet) {},
		"one dies": func(f *fleet) { f.kill(f.owner[0]) },
		"one drains": func(f *fleet) {
			f.setState(f.owner[0], swim.Draining)
			f.assigners[f.owner[0]].Step(f.now, assign.Drain{})
		},
		"one joins":   func(f *fleet) { f.join("new") },
		"can't claim": func(f *fleet) { name := f.owner[0]; f.kill(f.owner[1]); f.cannotClaim[name] = true },
		"none can for a while": func(f *fleet) {
			for n := range f.assigners {
				f.cannotClaim[n] = true
			}
			f.kill(f.owner[0])
			f.advance(10 * time.Second)
			clear(f.cannotClaim)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4)
			f.advance(10 * time.Second)
			is.Equal(len(f.owner), shards)
			change(f)
			f.advance(40 * time.Second)
			is.Equal(len(f.owner), shards) // each has an owner
			per := map[string]int{}
			for s, o := range f.owner {
				per[o]++
				for _, m := range f.members {
					is.True(m.Name != o || m.State == swim.Alive)
				}
				want, ok := locate.Preferred(f.members, s, shards)
				is.True(ok)
				is.True(o == want.Name || f.cannotClaim[want.Name])
			}
			for _, n := range per {
				is.True(n <= 4)
			}
			claims, handovers := f.claims, f.handovers
			f.advance(time.Minute)
			is.Equal(f.handovers, handovers) // ownership is stable
			is.True(f.claims-claims <= 0)
		})
	}
}

// A daemon that is not the preferred owner of any shard needs no lease, which
// would cost the store a write every two seconds. It needs one as soon as it
// becomes the preferred owner of a shard, here because all others die.
func TestNeedsLease(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.advance(10 * time.Second)
	idle := ""
	for name, a := range f.assigners {
		owns := 0
		for _, o := range f.owner {
			if o == name {
				owns++
			}
		}
		is.Equal(a.NeedsLease(f.now), owns > 0)
		if owns == 0 {
			idle = name
		}
	}
	is.True(idle != "") // 12 daemons, 8 shards
	for _, m := range f.members {
		if m.Name != idle {
			f.kill(m.Name)
		}
	}
	f.advance(200 * time.Millisecond)
	is.True(f.assigners[idle].NeedsLease(f.now))
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 80, 320} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			a := &assign.Assigner{Self: "d0", Shards: 64, Rand: func() uint64 { return 1 }}
			members := make([]swim.Member, n)
			for i := range members {
				members[i] = swim.Member{Name: fmt.Sprint("d", i), State: swim.Alive}
			}
			for s := range 64 {
				i := s % n
				members[i].Shards = append(members[i].Shards, swim.Shard{Shard: s, Epoch: 1})
			}
			a.Step(start, assign.Leased{OK: true})
			for b.Loop() {
				a.Step(start, assign.View{Members: members})
				a.Step(start, assign.Tick{})
			}
		})
	}
}
