package blobs

import (
	"maps"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// due queues a holder whose list is to be compared.
func (h *Holders) due(name string) {
	if !slices.Contains(h.audits, name) {
		h.audits = append(h.audits, name)
	}
}

// nextAudit starts the next comparison, one at a time: each keeps the digests
// that it expects in memory.
func (h *Holders) nextAudit(now time.Time) []Effect {
	if !now.Before(h.nextAll) {
		h.nextAll = now.Add(auditEvery)
		for _, name := range slices.Sorted(maps.Keys(h.members)) {
			h.due(name)
		}
	}
	if h.audit != nil && now.Before(h.audit.until) {
		return nil
	}
	h.audit = nil
	for len(h.audits) > 0 {
		name := h.audits[0]
		h.audits = h.audits[1:]
		if m := h.members[name]; m.Disk && m.State != swim.Down {
			h.audit = &audit{holder: name, until: now.Add(auditTimeout), expect: h.at(name)}
			return []Effect{List{To: name}}
		}
	}
	return nil
}

// listed compares a page with what the holder should have: what is missing is
// copied again, what nobody needs is dropped.
func (h *Holders) listed(now time.Time, l Listed) (out []Effect) {
	if h.audit == nil || h.audit.holder != l.From || h.audit.after != l.After {
		return nil
	}
	for _, d := range h.missing(l) {
		if b := h.blobs[d]; b != nil && slices.Contains(b.copies, l.From) {
			h.gone(d, l.From)
		}
	}
	var extra []Digest
	for _, d := range l.Digests {
		kept, needless := h.found(d, l.From)
		out = append(out, kept...)
		if needless {
			extra = append(extra, d)
		}
	}
	if len(extra) > 0 {
		out = append(out, Drop{To: l.From, Digests: extra})
	}
	if l.Last || len(l.Digests) == 0 {
		h.audit = nil
		return out
	}
	h.audit.until = now.Add(auditTimeout)
	h.audit.after = l.Digests[len(l.Digests)-1]
	return append(out, List{To: l.From, After: h.audit.after})
}

// missing takes the expected digests that the page covers and returns those
// that are not on it.
func (h *Holders) missing(l Listed) (out []Digest) {
	a := h.audit
	n := len(a.expect)
	if !l.Last && len(l.Digests) > 0 {
		end := l.Digests[len(l.Digests)-1]
		n, _ = slices.BinarySearchFunc(a.expect, end, compare)
		if n < len(a.expect) && a.expect[n] == end {
			n++
		}
	}
	for _, d := range a.expect[:n] {
		if _, ok := slices.BinarySearchFunc(l.Digests, d, compare); !ok {
			out = append(out, d)
		}
	}
	a.expect = a.expect[n:]
	return out
}

// found takes note of a blob on a holder's list. A weak blob is glad of a copy
// that was given up, such as that of a VM which is back after a long time.
func (h *Holders) found(d Digest, from string) (out []Effect, needless bool) {
	b, w := h.blobs[d], h.work[d]
	if b == nil {
		return nil, true
	}
	if slices.Contains(b.copies, from) || w != nil && len(w.tries) > 0 {
		return nil, false
	}
	if len(h.sound(b)) >= wanted {
		return nil, true
	}
	b.copies = append(b.copies, from)
	return h.keep(d), false
}
