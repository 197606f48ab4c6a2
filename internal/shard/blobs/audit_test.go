package blobs

import (
	"slices"
	"testing"
	"time"
)

// awaitList advances the clock until the list of the named holder is requested;
// audits of other holders before it find nothing to do.
func (h *harness) awaitList(name string) {
	h.Helper()
	for range 10 {
		h.now = h.now.Add(Interval)
		for _, e := range h.step(Tick{}) {
			l, ok := e.(List)
			if ok && l.To == name {
				return
			}
			if ok {
				h.step(Listed{From: l.To, Digests: h.holders.heldAt(l.To), Last: true})
			}
		}
	}
	h.Fail()
}

func TestAudit(t *testing.T) {
	all := []Digest{Sum([]byte("3")), Sum([]byte("4")), Sum([]byte("5")), Sum([]byte("6"))}
	slices.SortFunc(all, compare)
	tests := map[string]func(h *harness){
		"nothing to do": func(h *harness) {
			h.awaitList("a1")
			h.want(Listed{From: "a1", Digests: all, Last: true})
			h.Equal(len(h.advance(time.Minute)), 0)
		},
		// A VM was replaced before any daemon saw it down, and its folder is
		// empty. The audit finds this, and all its blobs are copied again.
		"a VM is back without its blobs": func(h *harness) {
			h.awaitList("a1")
			h.want(Listed{From: "a1", Last: true})
			out := h.advance(Interval)
			h.Equal(len(out), len(all))
			for _, e := range out {
				h.Equal(e.(Copy).From, "t1")
			}
		},
		// A daemon died between storing a blob and writing the reference to
		// the journal. The audit finds the blob, and it is dropped.
		"a blob without reference": func(h *harness) {
			h.awaitList("a1")
			with := append(slices.Clone(all), one)
			slices.SortFunc(with, compare)
			h.want(Listed{From: "a1", Digests: with, Last: true}, Drop{To: "a1", Digests: []Digest{one}})
		},
		// The list has two pages; one blob of the second is missing.
		"pages": func(h *harness) {
			h.awaitList("a1")
			h.want(Listed{From: "a1", Digests: all[:2]}, List{To: "a1", After: all[1]})
			h.want(Listed{From: "a1", After: all[1], Digests: all[3:], Last: true})
			out := h.advance(Interval)
			h.Equal(len(out), 1)
			h.Equal(out[0].(Copy).Digest, all[2])
		},
		// A page arrives twice. The second one is ignored and not compared
		// with the digests that are expected on the next page.
		"a page comes twice": func(h *harness) {
			h.awaitList("a1")
			h.want(Listed{From: "a1", Digests: all[:2]}, List{To: "a1", After: all[1]})
			h.want(Listed{From: "a1", Digests: all[:2]})
			h.want(Listed{From: "a1", After: all[1], Digests: all[2:], Last: true})
			h.Equal(len(h.advance(Interval)), 0)
		},
		// A blob is stored while the list is in transit. That it is not on the
		// list does not mean that the copy is missing.
		"stored meanwhile": func(h *harness) {
			h.awaitList("a1")
			h.storeBlob(one)
			h.want(Listed{From: "a1", Digests: all, Last: true})
			h.Equal(len(h.advance(Interval)), 0)
		},
		// A blob is on the holder's disk and on its list before the owner has
		// the acknowledgement. It is neither dropped nor counted as stored: its
		// other copy is still in progress.
		"stored meanwhile and on the list": func(h *harness) {
			h.awaitList("a1")
			d, heldAt := one, ""
			for i := byte(0); heldAt != "a1"; i++ {
				d = Sum([]byte{i})
				heldAt = h.step(Store{Digest: d, Size: 10})[0].(Copy).To
			}
			with := append(slices.Clone(all), d)
			slices.SortFunc(with, compare)
			h.want(Listed{From: "a1", Digests: with, Last: true})
		},
		// A new owner has not loaded its journal yet. No audit starts before,
		// so nothing is dropped.
		"not before the journal is known": func(h *harness) {
			h.holders.journalLoaded = false
			h.Equal(len(h.step(Tick{})), 0)
		},
		// The holder does not answer. The others are audited nevertheless.
		"no answer": func(h *harness) {
			h.awaitList("a1")
			h.now = h.now.Add(auditTimeout)
			h.awaitList("t1")
		},
		// A VM was down for so long that its blobs were copied elsewhere. Its
		// copies are dropped after it is up again.
		"back after the repair": func(h *harness) {
			h.step(down(a1))
			for _, e := range h.advance(lostAfter) {
				h.step(Copied{Digest: e.(Copy).Digest, To: e.(Copy).To})
			}
			h.step(Member{Member: a1})
			h.holders.queueAudit("a1")
			h.awaitList("a1")
			h.want(Listed{From: "a1", Digests: all, Last: true}, Drop{To: "a1", Digests: all})
		},
		"every hour": func(h *harness) {
			for _, name := range []string{"a1", "t1", "u1"} {
				h.awaitList(name)
				h.step(Listed{From: name, Digests: h.holders.heldAt(name), Last: true})
			}
			h.advance(auditInterval - time.Minute)
			h.Equal(h.holders.audit, (*audit)(nil))
			h.now = h.now.Add(time.Minute)
			h.awaitList("a1")
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, a1, t1, u1)
			for _, d := range all {
				h.step(Known{Digest: d, Size: 10, Holders: []string{"a1", "t1"}})
			}
			run(h)
		})
	}
}
