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

// fleet is several daemons' machines with one picture, and who owns what.
type fleet struct {
	now     time.Time
	members []swim.Member
	all     map[string]*assign.Assign
	owner   map[int]string
	deaf    map[string]bool // claims of these fail
	claims  int
	gives   int
}

func newFleet(n int) *fleet {
	f := &fleet{now: start, all: map[string]*assign.Assign{}, owner: map[int]string{}, deaf: map[string]bool{}}
	for i := range n {
		f.join(fmt.Sprint("d", i))
	}
	return f
}

func (f *fleet) join(name string) {
	seed := uint64(len(f.all)+1) * 7919
	f.all[name] = &assign.Assign{Self: name, Shards: shards, Rand: func() uint64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return seed >> 33
	}}
	f.members = append(f.members, swim.Member{Name: name, State: swim.Alive})
	f.all[name].Step(f.now, assign.Leased{OK: true})
}

func (f *fleet) state(name string, s swim.State) {
	for i := range f.members {
		if f.members[i].Name == name {
			f.members[i].State = s
		}
	}
}

// pass lets time pass; claims and gifts take effect at once, and the pictures
// show it.
func (f *fleet) pass(d time.Duration) {
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
			a := f.all[m.Name]
			a.Step(f.now, assign.View{Members: f.members})
			for _, e := range a.Step(f.now, assign.Tick{}) {
				f.carry(m.Name, e)
			}
		}
	}
}

func (f *fleet) carry(name string, e assign.Effect) {
	a := f.all[name]
	switch e := e.(type) {
	case assign.Claim:
		f.claims++
		ok := f.owner[e.Shard] == "" && !f.deaf[name]
		if ok {
			f.owner[e.Shard] = name
		}
		a.Step(f.now, assign.Claimed{Shard: e.Shard, OK: ok})
	case assign.Give:
		f.gives++
		delete(f.owner, e.Shard)
		a.Step(f.now, assign.Gone{Shard: e.Shard})
		if to := f.all[e.To.Name]; to != nil {
			for _, e := range to.Step(f.now, assign.Offered{Shard: e.Shard}) {
				f.carry(to.Self, e)
			}
		}
	}
}

func (f *fleet) die(name string) {
	f.state(name, swim.Down)
	for s, o := range f.owner {
		if o == name {
			delete(f.owner, s)
		}
	}
}

// Daemons come, die, drain and can't claim. A user would notice a shard without
// an owner, all load on one daemon, or shards that never rest.
func TestShardsFindOwners(t *testing.T) {
	tests := map[string]func(f *fleet){
		"at start":    func(*fleet) {},
		"one dies":    func(f *fleet) { f.die(f.owner[0]) },
		"one drains":  func(f *fleet) { f.state(f.owner[0], swim.Draining); f.all[f.owner[0]].Step(f.now, assign.Drain{}) },
		"one joins":   func(f *fleet) { f.join("new") },
		"can't claim": func(f *fleet) { name := f.owner[0]; f.die(f.owner[1]); f.deaf[name] = true },
		"none can for a while": func(f *fleet) {
			for n := range f.all {
				f.deaf[n] = true
			}
			f.die(f.owner[0])
			f.pass(10 * time.Second)
			clear(f.deaf)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4)
			f.pass(10 * time.Second)
			is.Equal(len(f.owner), shards)
			change(f)
			f.pass(40 * time.Second)
			is.Equal(len(f.owner), shards) // each has an owner
			per := map[string]int{}
			for s, o := range f.owner {
				per[o]++
				for _, m := range f.members {
					is.True(m.Name != o || m.State == swim.Alive)
				}
				want, ok := locate.Preferred(f.members, s, shards)
				is.True(ok)
				is.True(o == want.Name || f.deaf[want.Name])
			}
			for _, n := range per {
				is.True(n <= 4)
			}
			claims, gives := f.claims, f.gives
			f.pass(time.Minute)
			is.Equal(f.gives, gives) // and rests there
			is.True(f.claims-claims <= 0)
		})
	}
}

// A daemon that should own nothing has no use for a lease, which would cost the
// store a write every two seconds; it needs one as soon as a shard would be
// without an owner.
func TestWantsALease(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.pass(10 * time.Second)
	idle := ""
	for name, a := range f.all {
		owns := 0
		for _, o := range f.owner {
			if o == name {
				owns++
			}
		}
		is.Equal(a.Wants(f.now), owns > 0)
		if owns == 0 {
			idle = name
		}
	}
	is.True(idle != "") // 12 daemons, 8 shards
	for _, m := range f.members {
		if m.Name != idle {
			f.die(m.Name)
		}
	}
	f.pass(200 * time.Millisecond)
	is.True(f.all[idle].Wants(f.now))
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 80, 320} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			a := &assign.Assign{Self: "d0", Shards: 64, Rand: func() uint64 { return 1 }}
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
