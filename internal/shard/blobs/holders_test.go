package blobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// bench drives the machine with a clock of its own.
type bench struct {
	*is.I
	h   Holders
	now time.Time
}

var one, two = Sum([]byte("1")), Sum([]byte("2"))

func newBench(t *testing.T, members ...swim.Member) *bench {
	b := &bench{I: is.New(t), now: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
	b.step(Self{FailureDomain: "temeke"})
	for _, m := range members {
		b.step(Member{Member: m})
	}
	b.step(Ready{})
	return b
}

func (b *bench) step(m Message) []Effect { return b.h.Step(b.now, m) }

func (b *bench) want(m Message, want ...Effect) {
	b.Helper()
	b.Equal(b.step(m), want)
}

// pass moves the clock in ticks and returns the effects but for those of
// audits.
func (b *bench) pass(d time.Duration) (out []Effect) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(Interval)
		for _, e := range b.step(Tick{}) {
			if _, ok := e.(List); !ok {
				out = append(out, e)
			}
		}
	}
	return out
}

// stored places a blob at the two holders that the machine chooses.
func (b *bench) stored(d Digest) (kept Kept) {
	b.Helper()
	var last []Effect
	for _, e := range b.step(Store{Digest: d, Size: 10}) {
		last = b.step(Copied{Digest: d, To: e.(Copy).To})
	}
	b.Equal(len(last), 1)
	kept = last[0].(Kept)
	b.Equal(len(kept.Holders), 2)
	return kept
}

func vm(name, domain string) swim.Member {
	return swim.Member{Name: name, FailureDomain: domain, Disk: true, State: swim.Alive, Incarnation: 1}
}

func down(m swim.Member) Member {
	m.State = swim.Down
	return Member{Member: m}
}

var (
	a1 = vm("a1", "kariakoo")
	a2 = vm("a2", "kariakoo")
	t1 = vm("t1", "temeke")
	u1 = vm("u1", "ubungo")
)

func TestStore(t *testing.T) {
	plain := vm("p", "mikocheni")
	plain.Disk = false
	tests := map[string]struct {
		members []swim.Member
		run     func(b *bench)
	}{
		"kept after both copies": {[]swim.Member{a1, t1, plain}, func(b *bench) {
			out := b.step(Store{Digest: one, Size: 10})
			b.Equal(len(out), 2)
			first, second := out[0].(Copy).To, out[1].(Copy).To
			b.want(Copied{Digest: one, To: first})
			b.want(Copied{Digest: one, To: second}, Kept{Digest: one, Size: 10, Holders: []string{first, second}})
		}},
		"two failure domains": {[]swim.Member{a1, a2, t1}, func(b *bench) {
			for i := range 32 {
				k := b.stored(Sum([]byte{byte(i)}))
				b.True(k.Holders[0] == "t1" || k.Holders[1] == "t1")
			}
		}},
		"stored once, asked twice": {[]swim.Member{a1, t1}, func(b *bench) {
			k := b.stored(one)
			b.want(Store{Digest: one, Size: 10}, k)
			b.want(Release{Digest: one})
			b.Equal(len(b.step(Release{Digest: one})), 2)
			b.want(Release{Digest: one})
		}},
		"asked twice at once": {[]swim.Member{a1, t1}, func(b *bench) {
			out := b.step(Store{Digest: one, Size: 10})
			b.want(Store{Digest: one, Size: 10})
			b.want(Copied{Digest: one, To: out[0].(Copy).To})
			b.Equal(len(b.step(Copied{Digest: one, To: out[1].(Copy).To})), 1)
			b.want(Release{Digest: one})
			b.Equal(len(b.step(Release{Digest: one})), 2)
		}},
		// All VMs with a disk are in one failure domain, or there are none.
		// One failure would take all copies, so the text goes into the
		// journal at once.
		"one failure domain": {[]swim.Member{a1, a2, plain}, func(b *bench) {
			b.want(Store{Digest: one, Size: 10}, Inline{Digest: one})
		}},
		"no folder": {nil, func(b *bench) {
			b.want(Store{Digest: one, Size: 10}, Inline{Digest: one})
		}},
		// A folder is full. The copy goes to another VM.
		"one refuses": {[]swim.Member{a1, t1, u1}, func(b *bench) {
			out := b.step(Store{Digest: one, Size: 10})
			refused, other := out[0].(Copy).To, out[1].(Copy).To
			next := b.step(Failed{Digest: one, To: refused})
			b.Equal(len(next), 1)
			third := next[0].(Copy).To
			b.True(third != refused && third != other)
			b.want(Copied{Digest: one, To: third})
			b.want(Copied{Digest: one, To: other}, Kept{Digest: one, Size: 10, Holders: []string{third, other}})
		}},
		"all but one refuse": {[]swim.Member{a1, t1}, func(b *bench) {
			out := b.step(Store{Digest: one, Size: 10})
			b.want(Copied{Digest: one, To: out[0].(Copy).To})
			b.want(Failed{Digest: one, To: out[1].(Copy).To}, Inline{Digest: one})
		}},
		// A VM takes the copy and never answers, because its disk hangs. The
		// program does not wait for it: the copy goes elsewhere, and in the
		// end into the journal.
		"one hangs": {[]swim.Member{a1, t1, u1}, func(b *bench) {
			out := b.step(Store{Digest: one, Size: 10})
			b.want(Copied{Digest: one, To: out[0].(Copy).To})
			next := b.pass(storeTimeout)
			b.Equal(len(next), 1)
			b.True(next[0].(Copy).To != out[1].(Copy).To)
			b.Equal(b.pass(storeTimeout), []Effect{Inline{Digest: one}})
			b.want(Copied{Digest: one, To: next[0].(Copy).To})
		}},
		// The VM with the first copy is going to be replaced before the second
		// copy is there. The text needs a third place, or its program waits
		// for an answer that never comes.
		"the first holder leaves before the second copy": {[]swim.Member{a1, t1, u1}, func(b *bench) {
			out := b.step(Store{Digest: one, Size: 10})
			first, second := out[0].(Copy).To, out[1].(Copy).To
			b.want(Copied{Digest: one, To: first})
			b.want(Leaving{Name: first})
			next := b.step(Copied{Digest: one, To: second})
			b.Equal(len(next), 1)
			third := next[0].(Copy).To
			b.want(Copied{Digest: one, To: third}, Kept{Digest: one, Size: 10, Holders: []string{second, third}})
		}},
		"a leaving VM gets nothing new": {[]swim.Member{a1, t1, u1}, func(b *bench) {
			b.want(Leaving{Name: "u1"})
			for i := range 32 {
				for _, name := range b.stored(Sum([]byte{byte(i)})).Holders {
					b.True(name != "u1")
				}
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { tt.run(newBench(t, tt.members...)) })
	}
}

func TestRepair(t *testing.T) {
	ab := Known{Digest: one, Size: 10, Holders: []string{"a1", "t1"}}
	again := Copy{Digest: one, Size: 10, From: "t1", To: "u1"}
	tests := map[string]func(b *bench){
		// A VM with a disk is replaced, and its copies are gone with it. They
		// are made again from the others, in a third failure domain, and the
		// journal is told.
		"a VM is lost": func(b *bench) {
			b.step(ab)
			b.step(down(a1))
			b.Equal(b.pass(grace), []Effect{again})
			b.want(Copied{Digest: one, To: "u1"}, Kept{Digest: one, Size: 10, Holders: []string{"t1", "u1"}})
			b.Equal(len(b.pass(time.Minute)), 0)
		},
		// A VM restarts. Its disk is still there, and nothing is copied.
		"a VM restarts": func(b *bench) {
			b.step(ab)
			b.step(down(a1))
			b.Equal(len(b.pass(grace/2)), 0)
			b.step(Member{Member: a1})
			b.Equal(len(b.pass(2*grace)), 0)
		},
		// A VM is going to be replaced. Its blobs are copied while it can
		// still be read.
		"a VM is leaving": func(b *bench) {
			b.step(Known{Digest: one, Size: 10, Holders: []string{"a1"}})
			b.step(Leaving{Name: "a1"})
			out := b.pass(Interval)
			b.Equal(len(out), 1)
			b.Equal(out[0].(Copy).From, "a1")
		},
		// The VM to which a lost blob is copied fails too. The copy goes to
		// yet another one after a while.
		"the repair fails": func(b *bench) {
			b.step(Member{Member: vm("m1", "mikocheni")})
			b.step(ab)
			b.step(down(a1))
			out := b.pass(grace)
			b.Equal(len(out), 1)
			to := out[0].(Copy).To
			b.want(Failed{Digest: one, To: to})
			next := b.pass(Interval)
			b.Equal(len(next), 1)
			b.True(next[0].(Copy).To != to)
		},
		// The daemon that takes the copy hangs.
		"the repair hangs": func(b *bench) {
			b.step(ab)
			b.step(down(a1))
			b.Equal(len(b.pass(grace)), 1)
			b.Equal(len(b.pass(copyTimeout)), 0)
			b.Equal(b.h.flying, 0)
			b.Equal(b.pass(retryAfter+2*Interval), []Effect{again})
		},
		// A VM with many blobs is lost. Only a few copies are made at a time.
		"many are lost at once": func(b *bench) {
			for i := range 100 {
				b.step(Known{Digest: Sum([]byte{byte(i)}), Size: 10, Holders: []string{"a1", "t1"}})
			}
			b.step(down(a1))
			copied := 0
			for out := b.pass(grace); len(out) > 0; out = b.pass(Interval) {
				b.True(len(out) <= maxRepairs)
				for _, e := range out {
					b.Equal(len(b.step(Copied{Digest: e.(Copy).Digest, To: e.(Copy).To})), 1)
					copied++
				}
			}
			b.Equal(copied, 100)
		},
		// Both VMs are lost together and one comes back after a long time.
		"both are lost, one is back": func(b *bench) {
			b.step(ab)
			b.step(down(a1))
			b.step(down(t1))
			b.Equal(len(b.pass(2*grace)), 0)
			b.want(Read{Digest: one}, Unreadable{Digest: one})
			b.step(Member{Member: t1})
			b.Equal(b.pass(Interval), []Effect{again})
		},
		// A reader finds a copy missing or spoilt. It is made again.
		"a copy is spoilt": func(b *bench) {
			b.step(ab)
			b.step(Gone{Digest: one, From: "t1"})
			out := b.pass(Interval)
			b.Equal(len(out), 1)
			b.Equal(out[0].(Copy).From, "a1")
		},
		// The journal names a holder that nobody has heard of. Its copy is
		// given up only when a restart would be over.
		"a holder is unknown": func(b *bench) {
			b.step(Known{Digest: one, Size: 10, Holders: []string{"x", "t1"}})
			b.Equal(len(b.pass(grace-Interval)), 0)
			b.Equal(len(b.pass(Interval)), 1)
		},
		// A VM comes back without its disk.
		"a folder is gone": func(b *bench) {
			b.step(ab)
			bare := a1
			bare.Disk = false
			b.step(Member{Member: bare})
			b.Equal(b.pass(Interval), []Effect{again})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(newBench(t, a1, t1, u1)) })
	}
}

func TestRead(t *testing.T) {
	tests := map[string]func(b *bench){
		"own failure domain first, then others": func(b *bench) {
			b.want(Read{Digest: one}, Fetch{Digest: one, From: "t1"})
			b.want(Read{Digest: one, Tried: []string{"t1"}}, Fetch{Digest: one, From: "a1"})
			b.want(Read{Digest: one, Tried: []string{"t1", "a1"}}, Unreadable{Digest: one})
		},
		"a suspect comes last": func(b *bench) {
			suspect := t1
			suspect.State = swim.Suspect
			b.step(Member{Member: suspect})
			b.want(Read{Digest: one}, Fetch{Digest: one, From: "a1"})
			b.step(down(a1))
			b.want(Read{Digest: one}, Fetch{Digest: one, From: "t1"})
		},
		"never heard of": func(b *bench) {
			b.want(Read{Digest: two}, Unreadable{Digest: two})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, a1, t1)
			b.step(Known{Digest: one, Size: 10, Holders: []string{"a1", "t1"}})
			run(b)
		})
	}
}
