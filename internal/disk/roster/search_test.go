package roster

import (
	"flag"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
)

type (
	// event is a change, and its name; it returns false if it can't occur.
	event struct {
		name string
		do   func(*world) bool
	}
)

const (
	searchVMs  = 7
	walkSteps  = 60
	searchDays = 400 // of daemons that work without further events: more than any state needs
)

var (
	exhaustive = flag.Bool("exhaustive", false, "TestAllRosterStates searches states with a record, too")
	walks      = flag.Int("walks", 40, "how many random sequences TestRosterWalks plays of each kind")
)

// search is a breadth-first search over all states that the events lead to.
type search struct {
	t     *testing.T
	vms   int
	acked bool
	seen  map[string]step // states, and how each was reached first
	queue []world
	trail []string // events of a random sequence
}

// step is the state before an event, and the event.
type step struct{ before, event string }

func events(i int) []event { return slices.Concat(daemons(i), troubles(i)) }

// settle lets the daemons work until there is nothing left to do.
func (w *world) settle() {
	for range searchDays {
		worked := false
		for i := range w.vms {
			for _, e := range daemons(i) {
				worked = e.do(w) || worked
			}
		}
		if !worked {
			return
		}
	}
}

// readable reports whether each read quorum of complete replicas that may answer has the record.
func (w *world) readable() bool {
	complete, lack := 0, 0
	for _, p := range w.roster.Replicas {
		if k := w.live(p.DiskID); k >= 0 && !p.Joining {
			complete++
			if !w.vms[k].has {
				lack++
			}
		}
	}
	return complete >= w.roster.ReadQuorum() && lack < w.roster.ReadQuorum()
}

// check lets the daemons work without further events: there must be quorums of complete replicas, all
// replicas must be complete if there are VMs enough, and the record must be there whichever f replicas are lost next.
func (s *search) check(w world) bool {
	before := w.key()
	w.settle()
	complete, joining, held := 0, 0, 0
	for _, p := range w.roster.Replicas {
		k := w.live(p.DiskID)
		switch {
		case k < 0:
			continue
		case p.Joining:
			joining++
		default:
			complete++
		}
		if w.vms[k].has {
			held++
		}
	}
	serves := joining == 0 && complete >= max(w.roster.ReadQuorum(), w.roster.WriteQuorum())
	enough := w.usable() < len(w.roster.Replicas) || w.complete()
	kept := !w.acked || w.readable() && held > complete-w.roster.ReadQuorum()
	if serves && enough && kept || w.excused() {
		return true
	}
	s.t.Errorf("serves: %v, all complete: %v, record kept: %v, after: %s\n%v", serves, enough, kept, s.path(before), w.roster)
	return false
}

// path returns the events that lead to a state.
func (s *search) path(key string) (text string) {
	for at := s.seen[key]; at.event != ""; at = s.seen[at.before] {
		text = at.event + "; " + text
	}
	return text
}

func (s *search) push(w world, from step) {
	k := w.key()
	if _, known := s.seen[k]; known {
		return
	}
	s.seen[k] = from
	s.queue = append(s.queue, w)
}

// run begins with each of the states that may follow from one, in which the record was acknowledged by a write
// quorum.
func (s *search) run(start world) {
	s.seen = map[string]step{}
	s.push(start, step{})
	for len(s.queue) > 0 {
		w := s.queue[0]
		s.queue = s.queue[1:]
		if !s.check(w) {
			return
		}
		key := w.key()
		for i := range s.vms {
			for _, e := range events(i) {
				next := w
				if !e.do(&next) {
					continue
				}
				next.recover()
				s.push(next, step{key, e.name + " " + node(i)})
			}
		}
		s.ack(w, key)
	}
}

// ack adds the states in which the record is acknowledged now, by each write quorum of replicas that are up.
func (s *search) ack(w world, key string) {
	if !s.acked || w.acked {
		return
	}
	n := len(w.roster.Replicas)
	for set := uint(0); set < 1<<n; set++ {
		if bits.OnesCount(set) != w.roster.WriteQuorum() {
			continue
		}
		next, ok := w, true
		next.acked = true
		for j, p := range w.roster.Replicas {
			if set>>j&1 == 0 {
				continue
			}
			k := w.live(p.DiskID)
			if ok = ok && k >= 0; ok {
				next.vms[k].has = true
			}
		}
		if ok {
			s.push(next, step{key, fmt.Sprintf("acknowledged by %b", set)})
		}
	}
}

// newWorld returns a state with a first roster of as many VMs as it may have replicas.
func newWorld(failures int) (w world) {
	for i := range w.vms {
		w.vms[i].newDisk(i)
		w.vms[i].up = i < MaxReplicas(failures)
	}
	w.roster, _ = Initial(w.members(), failures)
	return w
}

// Guards against a roster that never becomes complete again, or loses a record, after any sequence of events of three VMs and a spare. With -args -exhaustive it takes a minute, and the states with a record too.
func TestAllRosterStates(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		s := &search{t: t, vms: 4, acked: *exhaustive}
		w := newWorld(1)
		w.lasting = lasting
		s.run(w)
		t.Logf("%d states, lost VMs have successors: %v", len(s.seen), lasting)
	}
}

// The same for sequences of random events, of more VMs, and with two losses at a time.
func TestRosterWalks(t *testing.T) {
	cases := map[string]struct {
		failures, vms int
		lasting       bool
	}{
		"one loss, three VMs":             {1, 3, false},
		"one loss, five VMs":              {1, 5, false},
		"two losses, six VMs":             {2, 6, false},
		"two losses, seven":               {2, 7, false},
		"one loss, three VMs, successors": {1, 3, true},
		"one loss, four VMs, successors":  {1, 4, true},
		"two losses, six VMs, successors": {2, 6, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*walks) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				s := &search{t: t, vms: c.vms, seen: map[string]step{}, acked: true}
				w, last := newWorld(c.failures), ""
				w.lasting = c.lasting
				for range walkSteps {
					s.queue = nil
					s.ack(w, last)
					if len(s.queue) > 0 && rnd.IntN(walkSteps/3) == 0 {
						w = s.queue[rnd.IntN(len(s.queue))]
					}
					i := rnd.IntN(c.vms)
					list := events(i)
					next, e := w, list[rnd.IntN(len(list))]
					if !e.do(&next) {
						continue
					}
					next.recover()
					w = next
					s.trail = append(s.trail, e.name+" "+node(i))
					if !s.check(w) {
						t.Fatalf("seed %d: %v", seed, s.trail)
					}
				}
			}
		})
	}
}
