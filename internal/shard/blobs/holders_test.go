package blobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/beat"
)

// harness drives the state machine with a clock of its own.
type harness struct {
	*is.I
	h   Holders
	now time.Time
}

var one, two = Sum([]byte("1")), Sum([]byte("2"))

func newHarness(t *testing.T, members ...beat.Member) *harness {
	b := &harness{I: is.New(t), now: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
	b.step(Self{FailureDomain: "temeke"})
	for _, m := range members {
		b.step(Member{Member: m})
	}
	b.step(JournalLoaded{})
	return b
}

func (b *harness) step(m Message) []Effect { return b.h.Step(b.now, m) }

func (b *harness) want(m Message, want ...Effect) {
	b.Helper()
	b.Equal(b.step(m), want)
}

// advance moves the clock tick by tick and returns the effects except those of
// audits.
func (b *harness) advance(d time.Duration) (out []Effect) {
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

// storeBlob stores a blob at the two holders that the state machine chooses.
func (b *harness) storeBlob(d Digest) (kept Stored) {
	b.Helper()
	var last []Effect
	for _, e := range b.step(Store{Digest: d, Size: 10}) {
		last = b.step(Copied{Digest: d, To: e.(Copy).To})
	}
	b.Equal(len(last), 1)
	kept = last[0].(Stored)
	b.Equal(len(kept.Holders), 2)
	return kept
}

func vm(name, domain string) beat.Member {
	return beat.Member{Name: name, FailureDomain: domain, Disk: true, State: beat.Alive, Incarnation: 1}
}

func down(m beat.Member) Member {
	m.State = beat.Down
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
		members []beat.Member
		run     func(b *harness)
	}{
		"kept after both copies": {[]beat.Member{a1, t1, plain}, func(b *harness) {
			out := b.step(Store{Digest: one, Size: 10})
			b.Equal(len(out), 2)
			first, second := out[0].(Copy).To, out[1].(Copy).To
			b.want(Copied{Digest: one, To: first})
			b.want(Copied{Digest: one, To: second}, Stored{Digest: one, Size: 10, Holders: []string{first, second}})
		}},
		"two failure domains": {[]beat.Member{a1, a2, t1}, func(b *harness) {
			for i := range 32 {
				k := b.storeBlob(Sum([]byte{byte(i)}))
				b.True(k.Holders[0] == "t1" || k.Holders[1] == "t1")
			}
		}},
		"stored once, asked twice": {[]beat.Member{a1, t1}, func(b *harness) {
			k := b.storeBlob(one)
			b.want(Store{Digest: one, Size: 10}, k)
			b.want(Release{Digest: one})
			b.Equal(len(b.step(Release{Digest: one})), 2)
			b.want(Release{Digest: one})
		}},
		"asked twice at once": {[]beat.Member{a1, t1}, func(b *harness) {
			out := b.step(Store{Digest: one, Size: 10})
			b.want(Store{Digest: one, Size: 10})
			b.want(Copied{Digest: one, To: out[0].(Copy).To})
			b.Equal(len(b.step(Copied{Digest: one, To: out[1].(Copy).To})), 1)
			b.want(Release{Digest: one})
			b.Equal(len(b.step(Release{Digest: one})), 2)
		}},
		// All VMs with a disk are in one failure domain. One failure could
		// destroy all copies, so the text goes into the journal at once.
		"one failure domain": {[]beat.Member{a1, a2, plain}, func(b *harness) {
			b.want(Store{Digest: one, Size: 10}, Inline{Digest: one})
		}},
		"no folder": {nil, func(b *harness) {
			b.want(Store{Digest: one, Size: 10}, Inline{Digest: one})
		}},
		// A folder is full. The copy goes to another VM.
		"one refuses": {[]beat.Member{a1, t1, u1}, func(b *harness) {
			out := b.step(Store{Digest: one, Size: 10})
			refused, other := out[0].(Copy).To, out[1].(Copy).To
			next := b.step(CopyFailed{Digest: one, To: refused})
			b.Equal(len(next), 1)
			third := next[0].(Copy).To
			b.True(third != refused && third != other)
			b.want(Copied{Digest: one, To: third})
			b.want(Copied{Digest: one, To: other}, Stored{Digest: one, Size: 10, Holders: []string{third, other}})
		}},
		"all but one refuse": {[]beat.Member{a1, t1}, func(b *harness) {
			out := b.step(Store{Digest: one, Size: 10})
			b.want(Copied{Digest: one, To: out[0].(Copy).To})
			b.want(CopyFailed{Digest: one, To: out[1].(Copy).To}, Inline{Digest: one})
		}},
		// A VM does not answer the copy request, because its disk hangs. The
		// program does not wait for it: after a timeout the copy goes to another
		// VM, and after a second timeout the text goes into the journal.
		"one hangs": {[]beat.Member{a1, t1, u1}, func(b *harness) {
			out := b.step(Store{Digest: one, Size: 10})
			b.want(Copied{Digest: one, To: out[0].(Copy).To})
			next := b.advance(storeTimeout)
			b.Equal(len(next), 1)
			b.True(next[0].(Copy).To != out[1].(Copy).To)
			b.Equal(b.advance(storeTimeout), []Effect{Inline{Digest: one}})
			b.want(Copied{Digest: one, To: next[0].(Copy).To})
		}},
		// The VM with the first copy is about to be replaced before the second
		// copy is made. The text needs a third holder; without one the Store
		// would never be answered.
		"the first holder leaves before the second copy": {[]beat.Member{a1, t1, u1}, func(b *harness) {
			out := b.step(Store{Digest: one, Size: 10})
			first, second := out[0].(Copy).To, out[1].(Copy).To
			b.want(Copied{Digest: one, To: first})
			b.want(Leaving{Name: first})
			next := b.step(Copied{Digest: one, To: second})
			b.Equal(len(next), 1)
			third := next[0].(Copy).To
			b.want(Copied{Digest: one, To: third}, Stored{Digest: one, Size: 10, Holders: []string{second, third}})
		}},
		"a leaving VM gets nothing new": {[]beat.Member{a1, t1, u1}, func(b *harness) {
			b.want(Leaving{Name: "u1"})
			for i := range 32 {
				for _, name := range b.storeBlob(Sum([]byte{byte(i)})).Holders {
					b.True(name != "u1")
				}
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { tt.run(newHarness(t, tt.members...)) })
	}
}

func TestRepair(t *testing.T) {
	ab := Known{Digest: one, Size: 10, Holders: []string{"a1", "t1"}}
	again := Copy{Digest: one, Size: 10, From: "t1", To: "u1"}
	tests := map[string]func(b *harness){
		// A VM with a disk is replaced and its copies are lost. They are made
		// again from the other ones, in a third failure domain, and the journal
		// gets the new holders.
		"a VM is lost": func(b *harness) {
			b.step(ab)
			b.step(down(a1))
			b.Equal(b.advance(lostAfter), []Effect{again})
			b.want(Copied{Digest: one, To: "u1"}, Stored{Digest: one, Size: 10, Holders: []string{"t1", "u1"}})
			b.Equal(len(b.advance(time.Minute)), 0)
		},
		// A VM restarts. Its disk is still there, and nothing is copied.
		"a VM restarts": func(b *harness) {
			b.step(ab)
			b.step(down(a1))
			b.Equal(len(b.advance(lostAfter/2)), 0)
			b.step(Member{Member: a1})
			b.Equal(len(b.advance(2*lostAfter)), 0)
		},
		// A VM is about to be replaced. Its blobs are copied while they can
		// still be read from it.
		"a VM is leaving": func(b *harness) {
			b.step(Known{Digest: one, Size: 10, Holders: []string{"a1"}})
			b.step(Leaving{Name: "a1"})
			out := b.advance(Interval)
			b.Equal(len(out), 1)
			b.Equal(out[0].(Copy).From, "a1")
		},
		// The VM to which a lost copy is written again fails too. The next
		// attempt goes to another one.
		"the repair fails": func(b *harness) {
			b.step(Member{Member: vm("m1", "mikocheni")})
			b.step(ab)
			b.step(down(a1))
			out := b.advance(lostAfter)
			b.Equal(len(out), 1)
			to := out[0].(Copy).To
			b.want(CopyFailed{Digest: one, To: to})
			next := b.advance(Interval)
			b.Equal(len(next), 1)
			b.True(next[0].(Copy).To != to)
		},
		// The daemon that receives the copy hangs. The attempt times out and is
		// repeated after retryAfter.
		"the repair hangs": func(b *harness) {
			b.step(ab)
			b.step(down(a1))
			b.Equal(len(b.advance(lostAfter)), 1)
			b.Equal(len(b.advance(copyTimeout)), 0)
			b.Equal(b.h.activeRepairs, 0)
			b.Equal(b.advance(retryAfter+2*Interval), []Effect{again})
		},
		// A VM with many blobs is lost. At most maxRepairs copies are made at a
		// time.
		"many are lost at once": func(b *harness) {
			for i := range 100 {
				b.step(Known{Digest: Sum([]byte{byte(i)}), Size: 10, Holders: []string{"a1", "t1"}})
			}
			b.step(down(a1))
			copied := 0
			for out := b.advance(lostAfter); len(out) > 0; out = b.advance(Interval) {
				b.True(len(out) <= maxRepairs)
				for _, e := range out {
					b.Equal(len(b.step(Copied{Digest: e.(Copy).Digest, To: e.(Copy).To})), 1)
					copied++
				}
			}
			b.Equal(copied, 100)
		},
		// Both VMs are lost together and one is up again after a long time. Its
		// copy is the source of a new one.
		"both are lost, one is back": func(b *harness) {
			b.step(ab)
			b.step(down(a1))
			b.step(down(t1))
			b.Equal(len(b.advance(2*lostAfter)), 0)
			b.want(Read{Digest: one}, Unreadable{Digest: one})
			b.step(Member{Member: t1})
			b.Equal(b.advance(Interval), []Effect{again})
		},
		// A reader finds a copy missing or corrupt. It is made again.
		"a copy is spoilt": func(b *harness) {
			b.step(ab)
			b.step(CopyMissing{Digest: one, From: "t1"})
			out := b.advance(Interval)
			b.Equal(len(out), 1)
			b.Equal(out[0].(Copy).From, "a1")
		},
		// The journal names a holder that is not a known daemon. Its copy
		// counts as lost only after lostAfter, which is longer than a restart.
		"a holder is unknown": func(b *harness) {
			b.step(Known{Digest: one, Size: 10, Holders: []string{"x", "t1"}})
			b.Equal(len(b.advance(lostAfter-Interval)), 0)
			b.Equal(len(b.advance(Interval)), 1)
		},
		// A VM no longer reports a data folder. Its blobs are copied at once.
		"a folder is gone": func(b *harness) {
			b.step(ab)
			bare := a1
			bare.Disk = false
			b.step(Member{Member: bare})
			b.Equal(b.advance(Interval), []Effect{again})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(newHarness(t, a1, t1, u1)) })
	}
}

func TestRead(t *testing.T) {
	tests := map[string]func(b *harness){
		"own failure domain first, then others": func(b *harness) {
			b.want(Read{Digest: one}, Fetch{Digest: one, From: "t1"})
			b.want(Read{Digest: one, Tried: []string{"t1"}}, Fetch{Digest: one, From: "a1"})
			b.want(Read{Digest: one, Tried: []string{"t1", "a1"}}, Unreadable{Digest: one})
		},
		"a suspect comes last": func(b *harness) {
			suspect := t1
			suspect.State = beat.Suspect
			b.step(Member{Member: suspect})
			b.want(Read{Digest: one}, Fetch{Digest: one, From: "a1"})
			b.step(down(a1))
			b.want(Read{Digest: one}, Fetch{Digest: one, From: "t1"})
		},
		"never heard of": func(b *harness) {
			b.want(Read{Digest: two}, Unreadable{Digest: two})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, a1, t1)
			b.step(Known{Digest: one, Size: 10, Holders: []string{"a1", "t1"}})
			run(b)
		})
	}
}
