package blobs

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// updateMember applies a daemon's new membership state. A daemon without a data
// folder is ignored unless it is known as a holder. A daemon that has restarted
// may have lost its blobs, so its list is audited soon.
func (h *Holders) updateMember(now time.Time, p swim.Member) {
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
		h.queueAudit(p.Name)
	}
	m.Member = p
	if p.State != swim.Down {
		m.downSince, m.lost = time.Time{}, false
	} else if m.downSince.IsZero() {
		m.downSince = now
	}
	if had && !p.Disk {
		h.queueRepairsAt(p.Name)
	}
}

func (h *Holders) markLeaving(name string) {
	if m := h.members[name]; m != nil && !m.leaving {
		m.leaving = true
		h.queueRepairsAt(name)
	}
}

// queueRepair queues a blob that has too few durable copies. One without any
// copy can't be repaired; only an audit can find a copy of it.
func (h *Holders) queueRepair(d Digest) {
	b := h.blobs[d]
	if b.refs == 0 || b.queued || len(b.holders) == 0 || len(h.durableHolders(b)) >= replicas {
		return
	}
	b.queued = true
	h.repairQueue = append(h.repairQueue, d)
}

// queueRepairsAt queues the blobs of a holder, in the order of their digests, so
// that the same messages always have the same effects.
func (h *Holders) queueRepairsAt(name string) {
	for _, d := range h.heldAt(name) {
		h.queueRepair(d)
	}
}

// heldAt returns the digests of the blobs that the holder should have, sorted.
func (h *Holders) heldAt(name string) (out []Digest) {
	for d, b := range h.blobs {
		if slices.Contains(b.holders, name) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func (h *Holders) tick(now time.Time) (out []Effect) {
	for _, name := range slices.Sorted(maps.Keys(h.members)) {
		m := h.members[name]
		if m.State == swim.Down && !m.lost && now.Sub(m.downSince) >= lostAfter {
			m.lost = true
			h.queueRepairsAt(name)
		}
	}
	out = h.expireAttempts(now)
	if !h.journalLoaded {
		return out
	}
	out = append(out, h.startRepairs(now)...)
	return append(out, h.startNextAudit(now)...)
}

// expireAttempts fails the attempts whose holder has not answered in time.
func (h *Holders) expireAttempts(now time.Time) (out []Effect) {
	var late []CopyFailed
	for d, p := range h.placement {
		for _, t := range p.attempts {
			if !now.Before(t.expires) {
				late = append(late, CopyFailed{Digest: d, To: t.to})
			}
		}
	}
	slices.SortStableFunc(late, func(a, b CopyFailed) int { return compare(a.Digest, b.Digest) })
	for _, f := range late {
		out = append(out, h.copyFailed(now, f.Digest, f.To)...)
	}
	return out
}

// startRepairs starts queued repairs, at most maxRepairs at a time: when a VM
// with a large folder is lost, all its blobs are queued at once, and copying them
// must not use up the network bandwidth of the programs.
func (h *Holders) startRepairs(now time.Time) (out []Effect) {
	for range min(len(h.repairQueue), maxRepairScan) {
		if h.activeRepairs >= maxRepairs {
			return out
		}
		d := h.repairQueue[0]
		h.repairQueue = h.repairQueue[1:]
		b := h.blobs[d]
		if b == nil {
			continue
		}
		b.queued = false
		if e, ok := h.repairBlob(now, d, b); ok {
			out = append(out, e)
			continue
		}
		h.forgetRepair(d)
		h.queueRepair(d)
	}
	return out
}

// forgetRepair deletes the placement that a repair keeps for its next attempt if
// no repair is needed any more or none is possible.
func (h *Holders) forgetRepair(d Digest) {
	b, p := h.blobs[d], h.placement[d]
	if p == nil || p.pendingStores > 0 || len(p.attempts) > 0 {
		return
	}
	if len(h.durableHolders(b)) >= replicas || len(b.holders) == 0 {
		delete(h.placement, d)
	}
}

// repairBlob starts one copy of a blob that has too few, from a holder that can
// be read.
func (h *Holders) repairBlob(now time.Time, d Digest, b *blob) (e Copy, ok bool) {
	p := h.placement[d]
	if len(h.durableHolders(b)) >= replicas || p != nil && len(p.attempts) > 0 {
		return e, false
	}
	if p != nil && !now.Before(p.retryAt) {
		p.failed = nil
	}
	source, ok := h.read(Read{Digest: d})[0].(Fetch)
	if !ok {
		return e, false
	}
	to, ok := h.chooseHolder(d)
	if !ok {
		return e, false
	}
	if p == nil {
		p = &placement{}
		h.placement[d] = p
	}
	p.attempts = append(p.attempts, attempt{to: to, expires: now.Add(repairTimeout), repair: true})
	h.activeRepairs++
	return Copy{Digest: d, Size: b.size, From: source.From, To: to}, true
}

func compare(a, b Digest) int { return bytes.Compare(a[:], b[:]) }
