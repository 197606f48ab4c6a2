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

// model simulates the folders and the journal around the state machine. Its
// steps inject faults: lost VMs and disks, corrupt copies, slow and failed
// copies. heal ends them.
type model struct {
	*rapid.T
	holders Holders
	now     time.Time
	vms     map[string]swim.Member
	disks   map[string]map[Digest]bool
	journal map[Digest][]string
	refs    map[Digest]int
	copying []Copy
	healed  bool
}

func newModel(t *rapid.T) *model {
	md := &model{T: t, now: time.Unix(0, 0), journal: map[Digest][]string{}, refs: map[Digest]int{}}
	md.vms, md.disks = map[string]swim.Member{}, map[string]map[Digest]bool{}
	for _, domain := range []string{"d0", "d0", "d1", "d2", "d2"} {
		name := fmt.Sprintf("v%d", len(md.vms))
		md.vms[name], md.disks[name] = vm(name, domain), map[Digest]bool{}
		md.do(Member{Member: md.vms[name]})
	}
	md.do(JournalLoaded{})
	return md
}

func (md *model) do(m Message) {
	for _, e := range md.holders.Step(md.now, m) {
		md.execute(e)
	}
}

func (md *model) execute(e Effect) {
	switch e := e.(type) {
	case Copy:
		md.copying = append(md.copying, e)
	case Stored:
		md.stored(e)
	case Drop:
		md.drop(e)
	case List:
		md.list(e)
	}
}

// stored checks that a text that had no reference before is on two disks in two
// failure domains.
func (md *model) stored(s Stored) {
	if md.refs[s.Digest] == 0 {
		domains := map[string]bool{}
		for _, name := range s.Holders {
			if md.disks[name][s.Digest] {
				domains[md.vms[name].FailureDomain] = true
			}
		}
		if len(domains) < replicas {
			md.Fatalf("stored at %v, but on disk only in failure domains %v", s.Holders, domains)
		}
	}
	md.journal[s.Digest] = s.Holders
}

// drop checks that no copy is dropped that the journal refers to.
func (md *model) drop(e Drop) {
	for _, d := range e.Digests {
		if md.refs[d] > 0 && slices.Contains(md.journal[d], e.To) {
			md.Fatalf("dropped a copy that the journal refers to at %s", e.To)
		}
		delete(md.disks[e.To], d)
	}
}

func (md *model) list(e List) {
	if md.vms[e.To].State == swim.Down {
		return
	}
	all := slices.SortedFunc(maps.Keys(md.disks[e.To]), compare)
	md.do(Listed{From: e.To, Digests: all, Last: true})
}

// endCopy ends the i-th copy in progress.
func (md *model) endCopy(i int, ok bool) {
	c := md.copying[i]
	md.copying = slices.Delete(md.copying, i, i+1)
	there := c.From == "" || md.disks[c.From][c.Digest] && md.vms[c.From].State != swim.Down
	if !ok || !there || md.vms[c.To].State == swim.Down {
		md.do(CopyFailed{Digest: c.Digest, To: c.To})
		return
	}
	md.disks[c.To][c.Digest] = true
	md.do(Copied{Digest: c.Digest, To: c.To})
}

func (md *model) advance(n int) {
	for range n {
		md.now = md.now.Add(Interval)
		md.do(Tick{})
		for md.healed && len(md.copying) > 0 {
			md.endCopy(0, true)
		}
	}
}

func (md *model) drawVM() string {
	return rapid.SampledFrom([]string{"v0", "v1", "v2", "v3", "v4"}).Draw(md.T, "vm")
}

func (md *model) drawDigest() Digest {
	return Sum([]byte{rapid.Byte().Draw(md.T, "text") % 8})
}

// store sends a Store and runs the model until it is answered, as an owner does.
func (md *model) store() {
	d := md.drawDigest()
	had := md.refs[d]
	alreadyStored := len(md.journal[d]) > 0 && had > 0
	md.do(Store{Digest: d, Size: 1})
	for i := 0; md.holders.placement[d] != nil && md.holders.placement[d].pendingStores > 0; i++ {
		if i > 100 {
			md.Fatalf("store of %s was not answered", d)
		}
		j := slices.IndexFunc(md.copying, func(c Copy) bool { return c.Digest == d })
		if j < 0 || rapid.IntRange(0, 9).Draw(md.T, "hang") == 0 {
			md.advance(1)
			continue
		}
		md.endCopy(j, rapid.IntRange(0, 3).Draw(md.T, "refuse") > 0)
	}
	if b := md.holders.blobs[d]; b != nil && b.refs > had {
		md.refs[d]++
	} else if !alreadyStored {
		delete(md.journal, d)
	}
}

func (md *model) release() {
	d := md.drawDigest()
	if md.refs[d] > 0 {
		md.refs[d]--
		md.do(Release{Digest: d})
	}
}

func (md *model) setState(name string, s swim.State) {
	m := md.vms[name]
	if m.State == swim.Down && s != swim.Down {
		m.Incarnation++
	}
	m.State = s
	md.vms[name] = m
	md.do(Member{Member: m})
}

// heal restarts all VMs, so that none is leaving, and advances the clock by two
// audits: the first may find a copy that a repair then makes needless.
func (md *model) heal() {
	md.healed = true
	for _, name := range slices.Sorted(maps.Keys(md.vms)) {
		md.setState(name, swim.Down)
		md.setState(name, swim.Alive)
	}
	md.advance(2*int(auditInterval/Interval) + 300)
}

// check verifies the state after heal: each referenced blob that any disk still
// has is on two disks, the disks hold no other blobs, and no placement is left.
func (md *model) check() {
	for d, n := range md.refs {
		at := 0
		for _, name := range md.journal[d] {
			if md.disks[name][d] {
				at++
			}
		}
		lost := !slices.ContainsFunc(slices.Collect(maps.Values(md.disks)), func(m map[Digest]bool) bool { return m[d] })
		if n > 0 && at < replicas && !lost {
			md.Fatalf("%s is on %d disks, journal %v", d, at, md.journal[d])
		}
	}
	for name, disk := range md.disks {
		for d := range disk {
			if md.refs[d] == 0 || !slices.Contains(md.journal[d], name) {
				md.Fatalf("%s holds %s without a reference in the journal", name, d)
			}
		}
	}
	if md.holders.activeRepairs != 0 || len(md.holders.placement) != 0 {
		md.Fatalf("placements are left: %d active repairs, %d blobs", md.holders.activeRepairs, len(md.holders.placement))
	}
}

// useFixedSeed makes every run draw the same cases unless a seed is set by flag.
func useFixedSeed(t *testing.T) {
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

// VMs fail and restart with and without their disks, and copies fail and hang,
// in any order. Blobs that the journal refers to must never be dropped, and once
// the faults end, each one that any disk still has must be on two.
func TestAnyOrderOfFailures(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		md := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"store":   func(*rapid.T) { md.store() },
			"release": func(*rapid.T) { md.release() },
			"down":    func(*rapid.T) { md.setState(md.drawVM(), swim.Down) },
			"up":      func(*rapid.T) { md.setState(md.drawVM(), swim.Alive) },
			"suspect": func(*rapid.T) { md.setState(md.drawVM(), swim.Suspect) },
			"leaving": func(*rapid.T) { md.do(Leaving{Name: md.drawVM()}) },
			"replaced": func(*rapid.T) {
				name := md.drawVM()
				md.setState(name, swim.Down)
				md.disks[name] = map[Digest]bool{}
			},
			"spoilt": func(*rapid.T) {
				name, d := md.drawVM(), md.drawDigest()
				if md.disks[name][d] {
					delete(md.disks[name], d)
					md.do(CopyMissing{Digest: d, From: name})
				}
			},
			"land": func(t *rapid.T) {
				if len(md.copying) > 0 {
					md.endCopy(rapid.IntRange(0, len(md.copying)-1).Draw(t, "copy"), rapid.Bool().Draw(t, "ok"))
				}
			},
			"pass":      func(t *rapid.T) { md.advance(rapid.IntRange(1, 5).Draw(t, "ticks")) },
			"pass long": func(*rapid.T) { md.advance(150) },
		})
		md.heal()
		md.check()
	})
}
