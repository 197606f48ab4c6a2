package sched

import (
	"cmp"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

func TestMemoryIsReleased(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(2)})
	a := submit("1")
	a.Blocks = prompt(1, 2)
	up := assigned(s.Step(epoch, a), "1")
	is.Equal(s.Step(epoch, ProgramEnded{Program: a.Program}), []Effect{Release{Upstream: up, Program: a.Program}})
	// The stream continued after the release and left memory again.
	is.Equal(s.Step(epoch, Done{ID: "1", Upstream: up, Outcome: Cancelled}), []Effect{Release{Upstream: up, Program: a.Program}})
}

// Some of a program's calls ran while another daemon owned it. Each engine that may hold
// memory for it must get one release, whichever daemon placed the calls.
func TestMemoryFromPreviousOwnerIsReleased(t *testing.T) {
	cases := map[string]struct {
		placed  bool // by this owner too
		engines []string
		want    []Effect
	}{
		"all before":       {false, []string{"e0", "e1"}, []Effect{Release{"e0", "p"}, Release{"e1", "p"}}},
		"some here":        {true, []string{"e0", "e1"}, []Effect{Release{"e0", "p"}, Release{"e1", "p"}}},
		"one that is gone": {false, []string{"e7", "e1"}, []Effect{Release{"e1", "p"}}},
		"no call at all":   {false, nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sched
			s.Step(epoch, Configure{File: fleet(2)})
			if c.placed {
				a := submit("1")
				a.Program, a.Blocks = "p", prompt(1, 2)
				assigned(s.Step(epoch, a), "1")
			}
			got := s.Step(epoch, ProgramEnded{Program: "p", Engines: c.engines})
			slices.SortFunc(got, func(a, b Effect) int { return cmp.Compare(a.(Release).Upstream, b.(Release).Upstream) })
			is.Equal(got, c.want)
		})
	}
}

// A shard moved to another daemon while one of its calls is still in flight
// here. A release at the end of that call would drop the cache that the new
// owner uses.
func TestMovedProgramIsNotReleased(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(1)})
	a := submit("1")
	a.Blocks = prompt(1, 2)
	up := assigned(s.Step(epoch, a), "1")
	is.Equal(len(s.Step(epoch, ProgramMoved{Program: a.Program})), 0)
	is.Equal(len(s.Step(epoch, Done{ID: "1", Upstream: up})), 0)
}

func TestLeavingUpstreamExportsPrefixes(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(2)})
	a := submit("1")
	a.Blocks = prompt(1, 2)
	up := assigned(s.Step(epoch, a), "1")
	s.Step(epoch, Done{ID: "1", Upstream: up})
	got := s.Step(epoch, Load{Upstream: up, Report: engine.Load{Seq: 1, Leaving: true}})
	is.Equal(len(got), 1)
	is.Equal(got[0].(Export).Program, a.Program)
	is.True(got[0].(Export).To != up)
}

// A daemon died before it released its programs' engine memory. The sweep must
// release a program that two readings in a row found without an owner.
func TestSweepReleasesOrphans(t *testing.T) {
	is := is.New(t)
	var s Sched
	s.Step(epoch, Configure{File: fleet(1)})
	is.Equal(s.Step(epoch, Tick{}), []Effect{List{Upstream: "e0"}})
	h := Held{Upstream: "e0", Programs: []string{"dead", "alive"}, Live: []string{"alive"}}
	is.Equal(len(s.Step(epoch, h)), 0)
	is.Equal(s.Step(epoch, h), []Effect{Release{Upstream: "e0", Program: "dead"}})
}
