package blobs

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// meet takes a daemon's new picture; only those that have a folder, or are
// thought to have one, matter. One that was started again may have come back
// without its blobs, so its list is compared soon.
func (h *Holders) meet(now time.Time, p swim.Member) {
	m := h.members[p.Name]
	if m == nil && !p.Disk {
		return
	}
	if m == nil {
		m = &member{}
		h.members[p.Name] = m
	}
	had := m.Disk
	if p.Incarnation > m.Incarnation {
		m.leaving = false
		h.due(p.Name)
	}
	m.Member = p
	if p.State != swim.Down {
		m.since, m.lost = time.Time{}, false
	} else if m.since.IsZero() {
		m.since = now
	}
	if had && !p.Disk {
		h.weakenAll(p.Name)
	}
}

func (h *Holders) leave(name string) {
	if m := h.members[name]; m != nil && !m.leaving {
		m.leaving = true
		h.weakenAll(name)
	}
}

// weaken queues a blob that has too few sound copies. One without any copy
// can't be repaired, only found again.
func (h *Holders) weaken(d Digest) {
	b := h.blobs[d]
	if b.refs == 0 || b.queued || len(b.copies) == 0 || len(h.sound(b)) >= wanted {
		return
	}
	b.queued = true
	h.repairs = append(h.repairs, d)
}

// weakenAll queues the blobs of a holder, in the order of their digests, so
// that the same messages always have the same effects.
func (h *Holders) weakenAll(name string) {
	for _, d := range h.at(name) {
		h.weaken(d)
	}
}

// at returns the digests that should be at the holder, in order.
func (h *Holders) at(name string) (out []Digest) {
	for d, b := range h.blobs {
		if slices.Contains(b.copies, name) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func (h *Holders) tick(now time.Time) (out []Effect) {
	for _, name := range slices.Sorted(maps.Keys(h.members)) {
		m := h.members[name]
		if m.State == swim.Down && !m.lost && now.Sub(m.since) >= grace {
			m.lost = true
			h.weakenAll(name)
		}
	}
	out = h.expire(now)
	if !h.ready {
		return out
	}
	out = append(out, h.repair(now)...)
	return append(out, h.nextAudit(now)...)
}

// expire gives up copies whose holder does not answer.
func (h *Holders) expire(now time.Time) (out []Effect) {
	var late []Failed
	for d, w := range h.work {
		for _, t := range w.tries {
			if !now.Before(t.until) {
				late = append(late, Failed{Digest: d, To: t.to})
			}
		}
	}
	slices.SortStableFunc(late, func(a, b Failed) int { return compare(a.Digest, b.Digest) })
	for _, f := range late {
		out = append(out, h.fail(now, f.Digest, f.To)...)
	}
	return out
}

// repair starts copies for weak blobs, a few at a time: when a VM with a large
// folder is lost, all its blobs are weak at once, and copying them must not
// take the network from the programs.
func (h *Holders) repair(now time.Time) (out []Effect) {
	for range min(len(h.repairs), maxLook) {
		if h.flying >= maxRepairs {
			return out
		}
		d := h.repairs[0]
		h.repairs = h.repairs[1:]
		b := h.blobs[d]
		if b == nil {
			continue
		}
		b.queued = false
		if e, ok := h.mend(now, d, b); ok {
			out = append(out, e)
			continue
		}
		h.settled(d)
		h.weaken(d)
	}
	return out
}

// settled forgets what a repair remembers where no repair is needed any more,
// or none is possible.
func (h *Holders) settled(d Digest) {
	b, w := h.blobs[d], h.work[d]
	if w == nil || w.stores > 0 || len(w.tries) > 0 {
		return
	}
	if len(h.sound(b)) >= wanted || len(b.copies) == 0 {
		delete(h.work, d)
	}
}

// mend makes one copy of a weak blob from a holder that can be read.
func (h *Holders) mend(now time.Time, d Digest, b *blob) (e Copy, ok bool) {
	w := h.work[d]
	if len(h.sound(b)) >= wanted || w != nil && len(w.tries) > 0 {
		return e, false
	}
	if w != nil && !now.Before(w.again) {
		w.failed = nil
	}
	source, ok := h.read(Read{Digest: d})[0].(Fetch)
	if !ok {
		return e, false
	}
	to, ok := h.choose(d)
	if !ok {
		return e, false
	}
	if w == nil {
		w = &work{}
		h.work[d] = w
	}
	w.tries = append(w.tries, try{to: to, until: now.Add(copyTimeout), repair: true})
	h.flying++
	return Copy{Digest: d, Size: b.size, From: source.From, To: to}, true
}

func compare(a, b Digest) int { return bytes.Compare(a[:], b[:]) }
