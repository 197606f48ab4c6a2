package blobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// harness drives the state machine with a clock of its own.
type harness struct {
	*is.I
	holders Holders
	now     time.Time
}

var one, two = Sum([]byte("1")), Sum([]byte("2"))

func newHarness(t *testing.T, members ...swim.Member) *harness {
	h := &harness{I: is.New(t), now: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
	h.step(Self{FailureDomain: "temeke"})
	for _, m := range members {
		h.step(Member{Member: m})
	}
	h.step(JournalLoaded{})
	return h
}

func (h *harness) step(m Message) []Effect { return h.holders.Step(h.now, m) }

func (h *harness) want(m Message, want ...Effect) {
	h.Helper()
	h.Equal(h.step(m), want)
}

// advance moves the clock tick by tick and returns the effects except those of
// audits.
func (h *harness) advance(d time.Duration) (out []Effect) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(Interval)
		for _, e := range h.step(Tick{}) {
			if _, ok := e.(List); !ok {
				out = append(out, e)
			}
		}
	}
	return out
}

// storeBlob stores a blob at the two holders that the state machine chooses.
func (h *harness) storeBlob(d Digest) (stored Stored) {
	h.Helper()
	var last []Effect
	for _, e := range h.step(Store{Digest: d, Size: 10}) {
		last = h.step(Copied{Digest: d, To: e.(Copy).To})
	}
	h.Equal(len(last), 1)
	stored = last[0].(Stored)
	h.Equal(len(stored.Holders), 2)
	return stored
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
		run     func(h *harness)
	}{
		"kept after both copies": {[]swim.Member{a1, t1, plain}, func(h *harness) {
			out := h.step(Store{Digest: one, Size: 10})
			h.Equal(len(out), 2)
			first, second := out[0].(Copy).To, out[1].(Copy).To
			h.want(Copied{Digest: one, To: first})
			h.want(Copied{Digest: one, To: second}, Stored{Digest: one, Size: 10, Holders: []string{first, second}})
		}},
		"two failure domains": {[]swim.Member{a1, a2, t1}, func(h *harness) {
			for i := range 32 {
				s := h.storeBlob(Sum([]byte{byte(i)}))
				h.True(s.Holders[0] == "t1" || s.Holders[1] == "t1")
			}
		}},
		"stored once, asked twice": {[]swim.Member{a1, t1}, func(h *harness) {
			s := h.storeBlob(one)
			h.want(Store{Digest: one, Size: 10}, s)
			h.want(Release{Digest: one})
			h.Equal(len(h.step(Release{Digest: one})), 2)
			h.want(Release{Digest: one})
		}},
		"asked twice at once": {[]swim.Member{a1, t1}, func(h *harness) {
			out := h.step(Store{Digest: one, Size: 10})
			h.want(Store{Digest: one, Size: 10})
			h.want(Copied{Digest: one, To: out[0].(Copy).To})
			h.Equal(len(h.step(Copied{Digest: one, To: out[1].(Copy).To})), 1)
			h.want(Release{Digest: one})
			h.Equal(len(h.step(Release{Digest: one})), 2)
		}},
		// All VMs with a disk are in one failure domain. One failure could
		// destroy all copies, so the text goes into the journal at once.
		"one failure domain": {[]swim.Member{a1, a2, plain}, func(h *harness) {
			h.want(Store{Digest: one, Size: 10}, Inline{Digest: one})
		}},
		"no folder": {nil, func(h *harness) {
			h.want(Store{Digest: one, Size: 10}, Inline{Digest: one})
		}},
		// A folder is full. The copy goes to another VM.
		"one refuses": {[]swim.Member{a1, t1, u1}, func(h *harness) {
			out := h.step(Store{Digest: one, Size: 10})
			refused, other := out[0].(Copy).To, out[1].(Copy).To
			next := h.step(CopyFailed{Digest: one, To: refused})
			h.Equal(len(next), 1)
			third := next[0].(Copy).To
			h.True(third != refused && third != other)
			h.want(Copied{Digest: one, To: third})
			h.want(Copied{Digest: one, To: other}, Stored{Digest: one, Size: 10, Holders: []string{third, other}})
		}},
		"all but one refuse": {[]swim.Member{a1, t1}, func(h *harness) {
			out := h.step(Store{Digest: one, Size: 10})
			h.want(Copied{Digest: one, To: out[0].(Copy).To})
			h.want(CopyFailed{Digest: one, To: out[1].(Copy).To}, Inline{Digest: one})
		}},
		// A VM does not answer the copy request, because its disk hangs. The
		// program waits only for the timeout: then the copy goes to another VM,
		// and after a second timeout the text goes into the journal.
		"one hangs": {[]swim.Member{a1, t1, u1}, func(h *harness) {
			out := h.step(Store{Digest: one, Size: 10})
			h.want(Copied{Digest: one, To: out[0].(Copy).To})
			next := h.advance(storeTimeout)
			h.Equal(len(next), 1)
			h.True(next[0].(Copy).To != out[1].(Copy).To)
			h.Equal(h.advance(storeTimeout), []Effect{Inline{Digest: one}})
			h.want(Copied{Digest: one, To: next[0].(Copy).To})
		}},
		// The VM with the first copy is about to be replaced before the second
		// copy is made. The text then needs a third holder; if no further copy
		// were started, the Store would never be answered.
		"the first holder leaves before the second copy": {[]swim.Member{a1, t1, u1}, func(h *harness) {
			out := h.step(Store{Digest: one, Size: 10})
			first, second := out[0].(Copy).To, out[1].(Copy).To
			h.want(Copied{Digest: one, To: first})
			h.want(Leaving{Name: first})
			next := h.step(Copied{Digest: one, To: second})
			h.Equal(len(next), 1)
			third := next[0].(Copy).To
			h.want(Copied{Digest: one, To: third}, Stored{Digest: one, Size: 10, Holders: []string{second, third}})
		}},
		"a leaving VM gets nothing new": {[]swim.Member{a1, t1, u1}, func(h *harness) {
			h.want(Leaving{Name: "u1"})
			for i := range 32 {
				for _, name := range h.storeBlob(Sum([]byte{byte(i)})).Holders {
					h.True(name != "u1")
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
	tests := map[string]func(h *harness){
		// A VM with a disk is replaced and its copies are lost. They are made
		// again from the other ones, in a third failure domain, and the journal
		// gets the new holders.
		"a VM is lost": func(h *harness) {
			h.step(ab)
			h.step(down(a1))
			h.Equal(h.advance(lostAfter), []Effect{again})
			h.want(Copied{Digest: one, To: "u1"}, Stored{Digest: one, Size: 10, Holders: []string{"t1", "u1"}})
			h.Equal(len(h.advance(time.Minute)), 0)
		},
		// A VM restarts. Its disk is still there, and nothing is copied.
		"a VM restarts": func(h *harness) {
			h.step(ab)
			h.step(down(a1))
			h.Equal(len(h.advance(lostAfter/2)), 0)
			h.step(Member{Member: a1})
			h.Equal(len(h.advance(2*lostAfter)), 0)
		},
		// A VM is about to be replaced. Its blobs are copied while they can
		// still be read from it.
		"a VM is leaving": func(h *harness) {
			h.step(Known{Digest: one, Size: 10, Holders: []string{"a1"}})
			h.step(Leaving{Name: "a1"})
			out := h.advance(Interval)
			h.Equal(len(out), 1)
			h.Equal(out[0].(Copy).From, "a1")
		},
		// The VM to which a lost copy is written again fails too. The next
		// attempt goes to another one.
		"the repair fails": func(h *harness) {
			h.step(Member{Member: vm("m1", "mikocheni")})
			h.step(ab)
			h.step(down(a1))
			out := h.advance(lostAfter)
			h.Equal(len(out), 1)
			to := out[0].(Copy).To
			h.want(CopyFailed{Digest: one, To: to})
			next := h.advance(Interval)
			h.Equal(len(next), 1)
			h.True(next[0].(Copy).To != to)
		},
		// The daemon that receives the copy hangs. The attempt times out and is
		// repeated after retryAfter.
		"the repair hangs": func(h *harness) {
			h.step(ab)
			h.step(down(a1))
			h.Equal(len(h.advance(lostAfter)), 1)
			h.Equal(len(h.advance(repairTimeout)), 0)
			h.Equal(h.holders.activeRepairs, 0)
			h.Equal(h.advance(retryAfter+2*Interval), []Effect{again})
		},
		// A VM with many blobs is lost. At most maxRepairs copies are made at a
		// time.
		"many are lost at once": func(h *harness) {
			for i := range 100 {
				h.step(Known{Digest: Sum([]byte{byte(i)}), Size: 10, Holders: []string{"a1", "t1"}})
			}
			h.step(down(a1))
			copied := 0
			for out := h.advance(lostAfter); len(out) > 0; out = h.advance(Interval) {
				h.True(len(out) <= maxRepairs)
				for _, e := range out {
					h.Equal(len(h.step(Copied{Digest: e.(Copy).Digest, To: e.(Copy).To})), 1)
					copied++
				}
			}
			h.Equal(copied, 100)
		},
		// Both VMs are lost together and one is up again after a long time. Its
		// copy is the source of a new one.
		"both are lost, one is back": func(h *harness) {
			h.step(ab)
			h.step(down(a1))
			h.step(down(t1))
			h.Equal(len(h.advance(2*lostAfter)), 0)
			h.want(Read{Digest: one}, Unreadable{Digest: one})
			h.step(Member{Member: t1})
			h.Equal(h.advance(Interval), []Effect{again})
		},
		// A reader finds a copy missing or corrupt. It is made again.
		"a copy is spoilt": func(h *harness) {
			h.step(ab)
			h.step(CopyMissing{Digest: one, From: "t1"})
			out := h.advance(Interval)
			h.Equal(len(out), 1)
			h.Equal(out[0].(Copy).From, "a1")
		},
		// The journal names a holder that is not a known daemon. Its copy
		// counts as lost only after lostAfter, which is longer than a restart.
		"a holder is unknown": func(h *harness) {
			h.step(Known{Digest: one, Size: 10, Holders: []string{"x", "t1"}})
			h.Equal(len(h.advance(lostAfter-Interval)), 0)
			h.Equal(len(h.advance(Interval)), 1)
		},
		// A VM no longer reports a data folder. Its blobs are copied at once.
		"a folder is gone": func(h *harness) {
			h.step(ab)
			bare := a1
			bare.Disk = false
			h.step(Member{Member: bare})
			h.Equal(h.advance(Interval), []Effect{again})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(newHarness(t, a1, t1, u1)) })
	}
}

func TestRead(t *testing.T) {
	tests := map[string]func(h *harness){
		"own failure domain first, then others": func(h *harness) {
			h.want(Read{Digest: one}, Fetch{Digest: one, From: "t1"})
			h.want(Read{Digest: one, Tried: []string{"t1"}}, Fetch{Digest: one, From: "a1"})
			h.want(Read{Digest: one, Tried: []string{"t1", "a1"}}, Unreadable{Digest: one})
		},
		"a suspect comes last": func(h *harness) {
			suspect := t1
			suspect.State = swim.Suspect
			h.step(Member{Member: suspect})
			h.want(Read{Digest: one}, Fetch{Digest: one, From: "a1"})
			h.step(down(a1))
			h.want(Read{Digest: one}, Fetch{Digest: one, From: "t1"})
		},
		"never heard of": func(h *harness) {
			h.want(Read{Digest: two}, Unreadable{Digest: two})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, a1, t1)
			h.step(Known{Digest: one, Size: 10, Holders: []string{"a1", "t1"}})
			run(h)
		})
	}
}
