package blobs

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// world plays the folders and the journal around the machine. A step of it
// may lose, spoil, delay or refuse; heal ends all that.
type world struct {
	*rapid.T
	h       Holders
	now     time.Time
	vms     map[string]swim.Member
	disks   map[string]map[Digest]bool
	journal map[Digest][]string
	refs    map[Digest]int
	flying  []Copy
	healed  bool
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: time.Unix(0, 0), journal: map[Digest][]string{}, refs: map[Digest]int{}}
	w.vms, w.disks = map[string]swim.Member{}, map[string]map[Digest]bool{}
	for _, domain := range []string{"d0", "d0", "d1", "d2", "d2"} {
		name := fmt.Sprintf("v%d", len(w.vms))
		w.vms[name], w.disks[name] = vm(name, domain), map[Digest]bool{}
		w.do(Member{Member: w.vms[name]})
	}
	w.do(Ready{})
	return w
}

func (w *world) do(m Message) {
	for _, e := range w.h.Step(w.now, m) {
		w.carry(e)
	}
}

func (w *world) carry(e Effect) {
	switch e := e.(type) {
	case Copy:
		w.flying = append(w.flying, e)
	case Kept:
		w.kept(e)
	case Drop:
		w.drop(e)
	case List:
		w.list(e)
	}
}

// kept checks that a text which leaves the owner's memory for the first time
// is on two disks in two failure domains.
func (w *world) kept(k Kept) {
	if w.refs[k.Digest] == 0 {
		domains := map[string]bool{}
		for _, name := range k.Holders {
			if w.disks[name][k.Digest] {
				domains[w.vms[name].FailureDomain] = true
			}
		}
		if len(domains) < wanted {
			w.Fatalf("kept at %v, domains %v", k.Holders, domains)
		}
	}
	w.journal[k.Digest] = k.Holders
}

// drop checks that nothing is dropped where the journal says that it is.
func (w *world) drop(e Drop) {
	for _, d := range e.Digests {
		if w.refs[d] > 0 && slices.Contains(w.journal[d], e.To) {
			w.Fatalf("dropped a needed copy at %s", e.To)
		}
		delete(w.disks[e.To], d)
	}
}

func (w *world) list(e List) {
	if w.vms[e.To].State == swim.Down {
		return
	}
	all := slices.SortedFunc(maps.Keys(w.disks[e.To]), compare)
	w.do(Listed{From: e.To, Digests: all, Last: true})
}

// land ends the i-th copy under way.
func (w *world) land(i int, ok bool) {
	c := w.flying[i]
	w.flying = slices.Delete(w.flying, i, i+1)
	there := c.From == "" || w.disks[c.From][c.Digest] && w.vms[c.From].State != swim.Down
	if !ok || !there || w.vms[c.To].State == swim.Down {
		w.do(Failed{Digest: c.Digest, To: c.To})
		return
	}
	w.disks[c.To][c.Digest] = true
	w.do(Copied{Digest: c.Digest, To: c.To})
}

func (w *world) pass(n int) {
	for range n {
		w.now = w.now.Add(Interval)
		w.do(Tick{})
		for w.healed && len(w.flying) > 0 {
			w.land(0, true)
		}
	}
}

func (w *world) pick() string {
	return rapid.SampledFrom([]string{"v0", "v1", "v2", "v3", "v4"}).Draw(w.T, "vm")
}

func (w *world) digest() Digest {
	return Sum([]byte{rapid.Byte().Draw(w.T, "text") % 8})
}

// store waits for its answer, as an owner does.
func (w *world) store() {
	d := w.digest()
	had := w.refs[d]
	kept := len(w.journal[d]) > 0 && had > 0
	w.do(Store{Digest: d, Size: 1})
	for i := 0; w.h.work[d] != nil && w.h.work[d].stores > 0; i++ {
		if i > 100 {
			w.Fatalf("store of %s has no answer", d)
		}
		j := slices.IndexFunc(w.flying, func(c Copy) bool { return c.Digest == d })
		if j < 0 || rapid.IntRange(0, 9).Draw(w.T, "hang") == 0 {
			w.pass(1)
			continue
		}
		w.land(j, rapid.IntRange(0, 3).Draw(w.T, "refuse") > 0)
	}
	if b := w.h.blobs[d]; b != nil && b.refs > had {
		w.refs[d]++
	} else if !kept {
		delete(w.journal, d)
	}
}

func (w *world) release() {
	d := w.digest()
	if w.refs[d] > 0 {
		w.refs[d]--
		w.do(Release{Digest: d})
	}
}

func (w *world) set(name string, s swim.State) {
	m := w.vms[name]
	if m.State == swim.Down && s != swim.Down {
		m.Incarnation++
	}
	m.State = s
	w.vms[name] = m
	w.do(Member{Member: m})
}

// heal starts all VMs again, so that none is leaving, and lets the machine work for two audits: the first
// may find a copy that a repair then makes needless.
func (w *world) heal() {
	w.healed = true
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		w.set(name, swim.Down)
		w.set(name, swim.Alive)
	}
	w.pass(2*int(auditEvery/Interval) + 300)
}

// check is what must hold once everything is well for a while: what was read
// at least once somewhere is on two disks, and disks hold nothing else.
func (w *world) check() {
	for d, n := range w.refs {
		at := 0
		for _, name := range w.journal[d] {
			if w.disks[name][d] {
				at++
			}
		}
		lost := !slices.ContainsFunc(slices.Collect(maps.Values(w.disks)), func(m map[Digest]bool) bool { return m[d] })
		if n > 0 && at < wanted && !lost {
			w.Fatalf("%s is on %d disks, journal %v", d, at, w.journal[d])
		}
	}
	for name, disk := range w.disks {
		for d := range disk {
			if w.refs[d] == 0 || !slices.Contains(w.journal[d], name) {
				w.Fatalf("%s holds %s needlessly", name, d)
			}
		}
	}
	if w.h.flying != 0 || len(w.h.work) != 0 {
		w.Fatalf("work is left: %d repairs, %d blobs", w.h.flying, len(w.h.work))
	}
}

// fixed makes every run draw the same cases, unless a seed is asked for.
func fixed(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// VMs fail, come back with and without their disks, copies fail and hang, in
// any order. Texts that the journal refers to are never dropped, and when all
// is well again each that any disk still has is on two.
func TestAnyOrderOfFailures(t *testing.T) {
	fixed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"store":   func(*rapid.T) { w.store() },
			"release": func(*rapid.T) { w.release() },
			"down":    func(*rapid.T) { w.set(w.pick(), swim.Down) },
			"up":      func(*rapid.T) { w.set(w.pick(), swim.Alive) },
			"suspect": func(*rapid.T) { w.set(w.pick(), swim.Suspect) },
			"leaving": func(*rapid.T) { w.do(Leaving{Name: w.pick()}) },
			"replaced": func(*rapid.T) {
				name := w.pick()
				w.set(name, swim.Down)
				w.disks[name] = map[Digest]bool{}
			},
			"spoilt": func(*rapid.T) {
				name, d := w.pick(), w.digest()
				if w.disks[name][d] {
					delete(w.disks[name], d)
					w.do(Gone{Digest: d, From: name})
				}
			},
			"land": func(t *rapid.T) {
				if len(w.flying) > 0 {
					w.land(rapid.IntRange(0, len(w.flying)-1).Draw(t, "copy"), rapid.Bool().Draw(t, "ok"))
				}
			},
			"pass":      func(t *rapid.T) { w.pass(rapid.IntRange(1, 5).Draw(t, "ticks")) },
			"pass long": func(*rapid.T) { w.pass(150) },
		})
		w.heal()
		w.check()
	})
}
