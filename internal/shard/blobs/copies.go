package blobs

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// known takes over a reference from the journal. A holder that nobody has heard
// of counts as down from now on.
func (h *Holders) known(now time.Time, k Known) {
	if b := h.blobs[k.Digest]; b != nil {
		b.refs++
		return
	}
	for _, name := range k.Holders {
		if h.members[name] == nil {
			h.members[name] = &member{Member: swim.Member{Name: name, Disk: true, State: swim.Down}, since: now}
		}
	}
	h.blobs[k.Digest] = &blob{size: k.Size, refs: 1, copies: slices.Clone(k.Holders)}
	h.weaken(k.Digest)
}

// store places a text. One that is placed already needs no further copy.
func (h *Holders) store(now time.Time, s Store) []Effect {
	b, w := h.blobs[s.Digest], h.work[s.Digest]
	if b != nil && len(h.sound(b)) >= wanted {
		b.refs++
		return []Effect{Kept{Digest: s.Digest, Size: b.size, Holders: slices.Clone(b.copies)}}
	}
	if b == nil {
		b = &blob{size: s.Size}
		h.blobs[s.Digest] = b
	}
	if w == nil {
		w = &work{}
		h.work[s.Digest] = w
	}
	w.stores++
	if w.stores > 1 {
		return nil
	}
	w.limit = now.Add(storeLimit)
	return h.place(now, s.Digest)
}

// place starts the copies that a text still lacks. Where there are too few
// folders the text goes into the journal: a single copy would be lost with its
// VM, and some of those fail every day.
func (h *Holders) place(now time.Time, d Digest) (out []Effect) {
	b, w := h.blobs[d], h.work[d]
	for len(h.sound(b))+len(w.tries) < wanted {
		to, ok := h.choose(d)
		if !ok || !now.Before(w.limit) {
			return h.inline(d)
		}
		w.tries = append(w.tries, try{to: to, until: now.Add(storeTimeout)})
		out = append(out, Copy{Digest: d, Size: b.size, To: to})
	}
	return out
}

// inline gives up placing. A blob that the journal referred to before stays
// known, since a holder that is lost now may come back with it, and the journal
// is told of the copies that were made.
func (h *Holders) inline(d Digest) []Effect {
	h.finish(d)
	out := []Effect{Inline{Digest: d}}
	if h.blobs[d].refs == 0 {
		delete(h.blobs, d)
		return out
	}
	return append(out, h.keep(d)...)
}

// copied takes note of a copy. An answer to a try that was given up is ignored;
// what it left on the disk shows in the holder's list.
func (h *Holders) copied(now time.Time, c Copied) []Effect {
	if !h.land(c.Digest, c.To) {
		return nil
	}
	b, w := h.blobs[c.Digest], h.work[c.Digest]
	b.copies = append(b.copies, c.To)
	if w.stores > 0 && len(h.sound(b)) < wanted {
		return h.place(now, c.Digest) // the other copy's holder may be lost by now
	}
	b.refs += w.stores
	h.finish(c.Digest)
	return h.keep(c.Digest)
}

// keep tells the journal of the holders. Those that are lost stay on the list
// only while there are too few others.
func (h *Holders) keep(d Digest) []Effect {
	b := h.blobs[d]
	if sound := h.sound(b); len(sound) >= wanted {
		b.copies = sound
	}
	h.weaken(d)
	return []Effect{Kept{Digest: d, Size: b.size, Holders: slices.Clone(b.copies)}}
}

// fail gives up a copy: a text goes elsewhere at once, a repair waits for its
// next turn.
func (h *Holders) fail(now time.Time, d Digest, to string) []Effect {
	if !h.land(d, to) {
		return nil
	}
	w := h.work[d]
	w.failed = append(w.failed, to)
	w.again = now.Add(retryAfter)
	if w.stores > 0 {
		return h.place(now, d)
	}
	h.settled(d)
	h.weaken(d)
	return nil
}

// land ends the try at the holder and reports whether there was one.
func (h *Holders) land(d Digest, to string) bool {
	w := h.work[d]
	if w == nil {
		return false
	}
	i := slices.IndexFunc(w.tries, func(t try) bool { return t.to == to })
	if i < 0 {
		return false
	}
	if w.tries[i].repair {
		h.flying--
	}
	w.tries = slices.Delete(w.tries, i, i+1)
	return true
}

// finish forgets the placing of a blob with the tries that are left.
func (h *Holders) finish(d Digest) {
	w := h.work[d]
	if w == nil {
		return
	}
	for _, t := range w.tries {
		if t.repair {
			h.flying--
		}
	}
	delete(h.work, d)
}

func (h *Holders) release(d Digest) (out []Effect) {
	b := h.blobs[d]
	if b == nil || b.refs == 0 {
		return nil
	}
	b.refs--
	w := h.work[d]
	if b.refs > 0 || w != nil && w.stores > 0 {
		return nil
	}
	h.finish(d)
	delete(h.blobs, d)
	for _, name := range b.copies {
		out = append(out, Drop{To: name, Digests: []Digest{d}})
	}
	return out
}

// gone removes a copy that is certainly not there.
func (h *Holders) gone(d Digest, from string) {
	b := h.blobs[d]
	if b == nil {
		return
	}
	b.copies = slices.DeleteFunc(b.copies, func(n string) bool { return n == from })
	h.weaken(d)
}

// read chooses the nearest holder that is up, then others that are up, then
// those that are only suspected.
func (h *Holders) read(r Read) []Effect {
	best, top := "", 0
	if b := h.blobs[r.Digest]; b != nil {
		for _, name := range b.copies {
			if n := h.rank(name); n > top && !slices.Contains(r.Tried, name) {
				best, top = name, n
			}
		}
	}
	if top == 0 {
		return []Effect{Unreadable{Digest: r.Digest}}
	}
	return []Effect{Fetch{Digest: r.Digest, From: best}}
}

// rank orders holders for reading; 0 is one that can't be read.
func (h *Holders) rank(name string) int {
	m := h.members[name]
	switch {
	case m == nil || !m.Disk || m.State == swim.Down:
		return 0
	case m.State == swim.Suspect:
		return 1
	case m.FailureDomain != h.domain:
		return 2
	}
	return 3
}

// choose returns the holder for a further copy: up, in a failure domain that
// has none yet, and otherwise the one that the digest falls to, so that blobs
// spread evenly.
func (h *Holders) choose(d Digest) (best string, ok bool) {
	b, w := h.blobs[d], h.work[d]
	taken := h.domains(b, w)
	top := uint64(0)
	for name, m := range h.members {
		if !m.Disk || m.State != swim.Alive || m.leaving || slices.Contains(taken, m.FailureDomain) {
			continue
		}
		if slices.Contains(b.copies, name) || w != nil && slices.Contains(w.failed, name) {
			continue
		}
		score := xxhash.Sum64(append(d[:], name...))
		if !ok || score > top || score == top && name < best {
			best, top, ok = name, score, true
		}
	}
	return best, ok
}

// domains returns the failure domains in which the blob has or gets a copy.
func (h *Holders) domains(b *blob, w *work) (out []string) {
	for _, name := range h.sound(b) {
		out = append(out, h.members[name].FailureDomain)
	}
	if w == nil {
		return out
	}
	for _, t := range w.tries {
		out = append(out, h.members[t.to].FailureDomain)
	}
	return out
}

// sound returns the holders whose copies count: all but those that are lost
// or about to be.
func (h *Holders) sound(b *blob) (out []string) {
	for _, name := range b.copies {
		if m := h.members[name]; m != nil && m.Disk && !m.lost && !m.leaving {
			out = append(out, name)
		}
	}
	return out
}
