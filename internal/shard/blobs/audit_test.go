package blobs

import (
	"slices"
	"testing"
	"time"
)

// awaitList advances the clock until the list of the named holder is requested;
// audits of other holders before it find nothing to do.
func (b *harness) awaitList(name string) {
	b.Helper()
	for range 10 {
		b.now = b.now.Add(Interval)
		for _, e := range b.step(Tick{}) {
			l, ok := e.(List)
			if ok && l.To == name {
				return
			}
			if ok {
				b.step(Listed{From: l.To, Digests: b.h.at(l.To), Last: true})
			}
		}
	}
	b.Fail()
}

func TestAudit(t *testing.T) {
	all := []Digest{Sum([]byte("3")), Sum([]byte("4")), Sum([]byte("5")), Sum([]byte("6"))}
	slices.SortFunc(all, compare)
	tests := map[string]func(b *harness){
		"nothing to do": func(b *harness) {
			b.awaitList("a1")
			b.want(Listed{From: "a1", Digests: all, Last: true})
			b.Equal(len(b.advance(time.Minute)), 0)
		},
		// A VM was replaced before any daemon saw it down, and its folder is
		// empty. The audit finds this, and all its blobs are copied again.
		"a VM is back without its blobs": func(b *harness) {
			b.awaitList("a1")
			b.want(Listed{From: "a1", Last: true})
			out := b.advance(Interval)
			b.Equal(len(out), len(all))
			for _, e := range out {
				b.Equal(e.(Copy).From, "t1")
			}
		},
		// A daemon died between storing a blob and writing the reference to
		// the journal. The audit finds the blob, and it is dropped.
		"a blob without reference": func(b *harness) {
			b.awaitList("a1")
			with := append(slices.Clone(all), one)
			slices.SortFunc(with, compare)
			b.want(Listed{From: "a1", Digests: with, Last: true}, Drop{To: "a1", Digests: []Digest{one}})
		},
		// The list has two pages; one blob of the second is missing.
		"pages": func(b *harness) {
			b.awaitList("a1")
			b.want(Listed{From: "a1", Digests: all[:2]}, List{To: "a1", After: all[1]})
			b.want(Listed{From: "a1", After: all[1], Digests: all[3:], Last: true})
			out := b.advance(Interval)
			b.Equal(len(out), 1)
			b.Equal(out[0].(Copy).Digest, all[2])
		},
		// A page arrives twice. The second one is ignored and not compared
		// with the digests that are expected on the next page.
		"a page comes twice": func(b *harness) {
			b.awaitList("a1")
			b.want(Listed{From: "a1", Digests: all[:2]}, List{To: "a1", After: all[1]})
			b.want(Listed{From: "a1", Digests: all[:2]})
			b.want(Listed{From: "a1", After: all[1], Digests: all[2:], Last: true})
			b.Equal(len(b.advance(Interval)), 0)
		},
		// A blob is stored while the list is in transit. That it is not on the
		// list does not mean that the copy is missing.
		"stored meanwhile": func(b *harness) {
			b.awaitList("a1")
			b.storeBlob(one)
			b.want(Listed{From: "a1", Digests: all, Last: true})
			b.Equal(len(b.advance(Interval)), 0)
		},
		// A blob is on the holder's disk and on its list before the owner has
		// the acknowledgement. It is neither dropped nor counted as stored: its
		// other copy is still in progress.
		"stored meanwhile and on the list": func(b *harness) {
			b.awaitList("a1")
			d, at := one, ""
			for i := byte(0); at != "a1"; i++ {
				d = Sum([]byte{i})
				at = b.step(Store{Digest: d, Size: 10})[0].(Copy).To
			}
			with := append(slices.Clone(all), d)
			slices.SortFunc(with, compare)
			b.want(Listed{From: "a1", Digests: with, Last: true})
		},
		// A new owner has not loaded its journal yet. No audit starts before,
		// so nothing is dropped.
		"not before the journal is known": func(b *harness) {
			b.h.journalLoaded = false
			b.Equal(len(b.step(Tick{})), 0)
		},
		// The holder does not answer. The others are audited nevertheless.
		"no answer": func(b *harness) {
			b.awaitList("a1")
			b.now = b.now.Add(auditTimeout)
			b.awaitList("t1")
		},
		// A VM was down for so long that its blobs were copied elsewhere. Its
		// copies are dropped after it is up again.
		"back after the repair": func(b *harness) {
			b.step(down(a1))
			for _, e := range b.advance(lostAfter) {
				b.step(Copied{Digest: e.(Copy).Digest, To: e.(Copy).To})
			}
			b.step(Member{Member: a1})
			b.h.queueAudit("a1")
			b.awaitList("a1")
			b.want(Listed{From: "a1", Digests: all, Last: true}, Drop{To: "a1", Digests: all})
		},
		"every hour": func(b *harness) {
			for _, name := range []string{"a1", "t1", "u1"} {
				b.awaitList(name)
				b.step(Listed{From: name, Digests: b.h.at(name), Last: true})
			}
			b.advance(auditInterval - time.Minute)
			b.Equal(b.h.audit, (*audit)(nil))
			b.now = b.now.Add(time.Minute)
			b.awaitList("a1")
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, a1, t1, u1)
			for _, d := range all {
				b.step(Known{Digest: d, Size: 10, Holders: []string{"a1", "t1"}})
			}
			run(b)
		})
	}
}
