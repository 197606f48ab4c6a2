package blobs

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/peer/beat"
)

// known takes over a reference from the journal. A holder that nobody has heard
// of counts as down from now on.
func (h *Holders) addReference(now time.Time, k Known) {
	if b := h.blobs[k.Digest]; b != nil {
		b.refs++
		return
	}
	for _, name := range k.Holders {
		if h.members[name] == nil {
			h.members[name] = &member{Member: beat.Member{Name: name, Disk: true, State: beat.Down}, downSince: now}
		}
	}
	h.blobs[k.Digest] = &blob{size: k.Size, refs: 1, copies: slices.Clone(k.Holders)}
	h.queueRepair(k.Digest)
}

// store places a text. One that is placed already needs no further copy.
func (h *Holders) store(now time.Time, s Store) []Effect {
	b, w := h.blobs[s.Digest], h.placement[s.Digest]
	if b != nil && len(h.durableHolders(b)) >= replicas {
		b.refs++
		return []Effect{Stored{Digest: s.Digest, Size: b.size, Holders: slices.Clone(b.copies)}}
	}
	if b == nil {
		b = &blob{size: s.Size}
		h.blobs[s.Digest] = b
	}
	if w == nil {
		w = &placement{}
		h.placement[s.Digest] = w
	}
	w.pendingStores++
	if w.pendingStores > 1 {
		return nil
	}
	w.deadline = now.Add(placeTimeout)
	return h.place(now, s.Digest)
}

// place starts the copies that a text still lacks. Where there are too few
// folders the text goes into the journal: a single copy would be lost with its
// VM, and some of those fail every day.
func (h *Holders) place(now time.Time, d Digest) (out []Effect) {
	b, w := h.blobs[d], h.placement[d]
	for len(h.durableHolders(b))+len(w.attempts) < replicas {
		to, ok := h.chooseHolder(d)
		if !ok || !now.Before(w.deadline) {
			return h.inline(d)
		}
		w.attempts = append(w.attempts, attempt{to: to, expires: now.Add(storeTimeout)})
		out = append(out, Copy{Digest: d, Size: b.size, To: to})
	}
	return out
}

// inline gives up placing. A blob that the journal referred to before stays
// known, since a holder that is lost now may come back with it, and the journal
// is told of the copies that were made.
func (h *Holders) inline(d Digest) []Effect {
	h.endPlacement(d)
	out := []Effect{Inline{Digest: d}}
	if h.blobs[d].refs == 0 {
		delete(h.blobs, d)
		return out
	}
	return append(out, h.reportHolders(d)...)
}

// copied takes note of a copy. An answer to a try that was given up is ignored;
// what it left on the disk shows in the holder's list.
func (h *Holders) copied(now time.Time, c Copied) []Effect {
	if !h.endAttempt(c.Digest, c.To) {
		return nil
	}
	b, w := h.blobs[c.Digest], h.placement[c.Digest]
	b.copies = append(b.copies, c.To)
	if w.pendingStores > 0 && len(h.durableHolders(b)) < replicas {
		return h.place(now, c.Digest) // the other copy's holder may be lost by now
	}
	b.refs += w.pendingStores
	h.endPlacement(c.Digest)
	return h.reportHolders(c.Digest)
}

// keep tells the journal of the holders. Those that are lost stay on the list
// only while there are too few others.
func (h *Holders) reportHolders(d Digest) []Effect {
	b := h.blobs[d]
	if durableHolders := h.durableHolders(b); len(durableHolders) >= replicas {
		b.copies = durableHolders
	}
	h.queueRepair(d)
	return []Effect{Stored{Digest: d, Size: b.size, Holders: slices.Clone(b.copies)}}
}

// fail gives up a copy: a text goes elsewhere at once, a repair waits for its
// next turn.
func (h *Holders) copyFailed(now time.Time, d Digest, to string) []Effect {
	if !h.endAttempt(d, to) {
		return nil
	}
	w := h.placement[d]
	w.failed = append(w.failed, to)
	w.retryAt = now.Add(retryAfter)
	if w.pendingStores > 0 {
		return h.place(now, d)
	}
	h.forgetRepair(d)
	h.queueRepair(d)
	return nil
}

// land ends the try at the holder and reports whether there was one.
func (h *Holders) endAttempt(d Digest, to string) bool {
	w := h.placement[d]
	if w == nil {
		return false
	}
	i := slices.IndexFunc(w.attempts, func(t attempt) bool { return t.to == to })
	if i < 0 {
		return false
	}
	if w.attempts[i].repair {
		h.activeRepairs--
	}
	w.attempts = slices.Delete(w.attempts, i, i+1)
	return true
}

// finish forgets the placing of a blob with the tries that are left.
func (h *Holders) endPlacement(d Digest) {
	w := h.placement[d]
	if w == nil {
		return
	}
	for _, t := range w.attempts {
		if t.repair {
			h.activeRepairs--
		}
	}
	delete(h.placement, d)
}

func (h *Holders) release(d Digest) (out []Effect) {
	b := h.blobs[d]
	if b == nil || b.refs == 0 {
		return nil
	}
	b.refs--
	w := h.placement[d]
	if b.refs > 0 || w != nil && w.pendingStores > 0 {
		return nil
	}
	h.endPlacement(d)
	delete(h.blobs, d)
	for _, name := range b.copies {
		out = append(out, Drop{To: name, Digests: []Digest{d}})
	}
	return out
}

// gone removes a copy that is certainly not there.
func (h *Holders) removeCopy(d Digest, from string) {
	b := h.blobs[d]
	if b == nil {
		return
	}
	b.copies = slices.DeleteFunc(b.copies, func(n string) bool { return n == from })
	h.queueRepair(d)
}

// read chooses the nearest holder that is up, then others that are up, then
// those that are only suspected.
func (h *Holders) read(r Read) []Effect {
	best, top := "", 0
	if b := h.blobs[r.Digest]; b != nil {
		for _, name := range b.copies {
			if n := h.readRank(name); n > top && !slices.Contains(r.Tried, name) {
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
func (h *Holders) readRank(name string) int {
	m := h.members[name]
	switch {
	case m == nil || !m.Disk || m.State == beat.Down:
		return 0
	case m.State == beat.Suspect:
		return 1
	case m.FailureDomain != h.ownDomain:
		return 2
	}
	return 3
}

// choose returns the holder for a further copy: up, in a failure domain that
// has none yet, and otherwise the one that the digest falls to, so that blobs
// spread evenly.
func (h *Holders) chooseHolder(d Digest) (best string, ok bool) {
	b, w := h.blobs[d], h.placement[d]
	taken := h.usedDomains(b, w)
	top := uint64(0)
	for name, m := range h.members {
		if !m.Disk || m.State != beat.Alive || m.leaving || slices.Contains(taken, m.FailureDomain) {
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
func (h *Holders) usedDomains(b *blob, w *placement) (out []string) {
	for _, name := range h.durableHolders(b) {
		out = append(out, h.members[name].FailureDomain)
	}
	if w == nil {
		return out
	}
	for _, t := range w.attempts {
		out = append(out, h.members[t.to].FailureDomain)
	}
	return out
}

// sound returns the holders whose copies count: all but those that are lost
// or about to be.
func (h *Holders) durableHolders(b *blob) (out []string) {
	for _, name := range b.copies {
		if m := h.members[name]; m != nil && m.Disk && !m.lost && !m.leaving {
			out = append(out, name)
		}
	}
	return out
}
