package blobs

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// addReference adds a reference from the journal. A holder whose state is not
// known counts as down from now on.
func (h *Holders) addReference(now time.Time, k Known) {
	if b := h.blobs[k.Digest]; b != nil {
		b.refs++
		return
	}
	for _, name := range k.Holders {
		if h.members[name] == nil {
			h.members[name] = &member{Member: swim.Member{Name: name, Disk: true, State: swim.Down}, downSince: now}
		}
	}
	h.blobs[k.Digest] = &blob{size: k.Size, refs: 1, holders: slices.Clone(k.Holders)}
	h.queueRepair(k.Digest)
}

// store starts placing a text. One that has enough copies already is only
// counted as referenced once more.
func (h *Holders) store(now time.Time, s Store) []Effect {
	b, p := h.blobs[s.Digest], h.placement[s.Digest]
	if b != nil && len(h.durableHolders(b)) >= replicas {
		b.refs++
		return []Effect{Stored{Digest: s.Digest, Size: b.size, Holders: slices.Clone(b.holders)}}
	}
	if b == nil {
		b = &blob{size: s.Size}
		h.blobs[s.Digest] = b
	}
	if p == nil {
		p = &placement{}
		h.placement[s.Digest] = p
	}
	p.pendingStores++
	if p.pendingStores > 1 {
		return nil
	}
	p.deadline = now.Add(placeTimeout)
	return h.place(now, s.Digest)
}

// place starts the copies that a text still lacks. If too few folders are
// available or the deadline has passed, the text goes into the journal: a single
// copy would be lost with its VM, and some VMs fail every day.
func (h *Holders) place(now time.Time, d Digest) (out []Effect) {
	b, p := h.blobs[d], h.placement[d]
	for len(h.durableHolders(b))+len(p.attempts) < replicas {
		to, ok := h.chooseHolder(d)
		if !ok || !now.Before(p.deadline) {
			return h.inline(d)
		}
		p.attempts = append(p.attempts, attempt{to: to, expires: now.Add(storeTimeout)})
		out = append(out, Copy{Digest: d, Size: b.size, To: to})
	}
	return out
}

// inline ends a placement that failed. A blob that the journal already refers to
// stays known, since a holder that is lost now may return with a copy, and the
// holders of the copies that were made are reported to the journal.
func (h *Holders) inline(d Digest) []Effect {
	h.endPlacement(d)
	out := []Effect{Inline{Digest: d}}
	if h.blobs[d].refs == 0 {
		delete(h.blobs, d)
		return out
	}
	return append(out, h.reportHolders(d)...)
}

// copied records a finished copy. The result of an attempt that has ended is
// ignored; an audit finds what it left on the disk.
func (h *Holders) copied(now time.Time, c Copied) []Effect {
	if !h.endAttempt(c.Digest, c.To) {
		return nil
	}
	b, p := h.blobs[c.Digest], h.placement[c.Digest]
	b.holders = append(b.holders, c.To)
	if p.pendingStores > 0 && len(h.durableHolders(b)) < replicas {
		return h.place(now, c.Digest) // the other copy's holder may have been lost since
	}
	b.refs += p.pendingStores
	h.endPlacement(c.Digest)
	return h.reportHolders(c.Digest)
}

// reportHolders reports a blob's holders to the journal. Those that are lost or
// leaving stay among them only while there are too few others.
func (h *Holders) reportHolders(d Digest) []Effect {
	b := h.blobs[d]
	if durableHolders := h.durableHolders(b); len(durableHolders) >= replicas {
		b.holders = durableHolders
	}
	h.queueRepair(d)
	return []Effect{Stored{Digest: d, Size: b.size, Holders: slices.Clone(b.holders)}}
}

// copyFailed ends an attempt. A text that is being stored is copied to another
// holder at once or goes into the journal; a repair is queued again.
func (h *Holders) copyFailed(now time.Time, d Digest, to string) []Effect {
	if !h.endAttempt(d, to) {
		return nil
	}
	p := h.placement[d]
	p.failed = append(p.failed, to)
	p.retryAt = now.Add(retryAfter)
	if p.pendingStores > 0 {
		return h.place(now, d)
	}
	h.forgetRepair(d)
	h.queueRepair(d)
	return nil
}

// endAttempt ends the attempt at the holder and reports whether there was one.
func (h *Holders) endAttempt(d Digest, to string) bool {
	p := h.placement[d]
	if p == nil {
		return false
	}
	i := slices.IndexFunc(p.attempts, func(t attempt) bool { return t.to == to })
	if i < 0 {
		return false
	}
	if p.attempts[i].repair {
		h.activeRepairs--
	}
	p.attempts = slices.Delete(p.attempts, i, i+1)
	return true
}

// endPlacement deletes a blob's placement with its remaining attempts.
func (h *Holders) endPlacement(d Digest) {
	p := h.placement[d]
	if p == nil {
		return
	}
	for _, t := range p.attempts {
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
	p := h.placement[d]
	if b.refs > 0 || p != nil && p.pendingStores > 0 {
		return nil
	}
	h.endPlacement(d)
	delete(h.blobs, d)
	for _, name := range b.holders {
		out = append(out, Drop{To: name, Digests: []Digest{d}})
	}
	return out
}

// removeCopy removes a copy that is certainly missing or corrupt.
func (h *Holders) removeCopy(d Digest, from string) {
	b := h.blobs[d]
	if b == nil {
		return
	}
	b.holders = slices.DeleteFunc(b.holders, func(n string) bool { return n == from })
	h.queueRepair(d)
}

// read chooses a holder in the owner's failure domain, then one in another, then
// one that is suspected to be down.
func (h *Holders) read(r Read) []Effect {
	best, top := "", 0
	if b := h.blobs[r.Digest]; b != nil {
		for _, name := range b.holders {
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

// readRank returns a holder's preference for reading, the highest first; 0 is
// one that can't be read.
func (h *Holders) readRank(name string) int {
	m := h.members[name]
	switch {
	case m == nil || !m.Disk || m.State == swim.Down:
		return 0
	case m.State == swim.Suspect:
		return 1
	case m.FailureDomain != h.ownDomain:
		return 2
	}
	return 3
}

// chooseHolder returns the holder for a further copy: one that is up, in a
// failure domain without a copy. Rendezvous hashing chooses between these, so
// that blobs spread evenly.
func (h *Holders) chooseHolder(d Digest) (best string, ok bool) {
	b, p := h.blobs[d], h.placement[d]
	taken := h.usedDomains(b, p)
	top := uint64(0)
	for name, m := range h.members {
		if !m.Disk || m.State != swim.Alive || m.leaving || slices.Contains(taken, m.FailureDomain) {
			continue
		}
		if slices.Contains(b.holders, name) || p != nil && slices.Contains(p.failed, name) {
			continue
		}
		score := xxhash.Sum64(append(d[:], name...))
		if !ok || score > top || score == top && name < best {
			best, top, ok = name, score, true
		}
	}
	return best, ok
}

// usedDomains returns the failure domains in which the blob has a durable copy
// or one in progress.
func (h *Holders) usedDomains(b *blob, p *placement) (out []string) {
	for _, name := range h.durableHolders(b) {
		out = append(out, h.members[name].FailureDomain)
	}
	if p == nil {
		return out
	}
	for _, t := range p.attempts {
		out = append(out, h.members[t.to].FailureDomain)
	}
	return out
}

// durableHolders returns the holders whose copies count: all but those that have
// no folder, are lost or are leaving.
func (h *Holders) durableHolders(b *blob) (out []string) {
	for _, name := range b.holders {
		if m := h.members[name]; m != nil && m.Disk && !m.lost && !m.leaving {
			out = append(out, name)
		}
	}
	return out
}
