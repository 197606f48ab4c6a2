package blobs

import (
	"maps"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// queueAudit queues a holder whose blob list is to be compared with the expected
// one.
func (h *Holders) queueAudit(name string) {
	if !slices.Contains(h.auditQueue, name) {
		h.auditQueue = append(h.auditQueue, name)
	}
}

// startNextAudit starts the next queued audit. Audits run one at a time, since
// each keeps the expected digests in memory.
func (h *Holders) startNextAudit(now time.Time) []Effect {
	if !now.Before(h.nextFullAudit) {
		h.nextFullAudit = now.Add(auditInterval)
		for _, name := range slices.Sorted(maps.Keys(h.members)) {
			h.queueAudit(name)
		}
	}
	if h.audit != nil && now.Before(h.audit.expires) {
		return nil
	}
	h.audit = nil
	for len(h.auditQueue) > 0 {
		name := h.auditQueue[0]
		h.auditQueue = h.auditQueue[1:]
		if m := h.members[name]; m.Disk && m.State != swim.Down {
			h.audit = &audit{holder: name, expires: now.Add(auditTimeout), expected: h.heldAt(name)}
			return []Effect{List{To: name}}
		}
	}
	return nil
}

// listed compares a page of a holder's list with the digests that it should
// have: missing blobs are queued for repair, unneeded copies are dropped.
func (h *Holders) listed(now time.Time, l Listed) (out []Effect) {
	if h.audit == nil || h.audit.holder != l.From || h.audit.after != l.After {
		return nil
	}
	for _, d := range h.missing(l) {
		if b := h.blobs[d]; b != nil && slices.Contains(b.holders, l.From) {
			h.removeCopy(d, l.From)
		}
	}
	var extra []Digest
	for _, d := range l.Digests {
		effects, needless := h.checkListed(d, l.From)
		out = append(out, effects...)
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
	h.audit.expires = now.Add(auditTimeout)
	h.audit.after = l.Digests[len(l.Digests)-1]
	return append(out, List{To: l.From, After: h.audit.after})
}

// missing removes from the audit the expected digests in the page's range and
// returns those that are not on the page.
func (h *Holders) missing(l Listed) (out []Digest) {
	a := h.audit
	n := len(a.expected)
	if !l.Last && len(l.Digests) > 0 {
		end := l.Digests[len(l.Digests)-1]
		n, _ = slices.BinarySearchFunc(a.expected, end, compare)
		if n < len(a.expected) && a.expected[n] == end {
			n++
		}
	}
	for _, d := range a.expected[:n] {
		if _, ok := slices.BinarySearchFunc(l.Digests, d, compare); !ok {
			out = append(out, d)
		}
	}
	a.expected = a.expected[n:]
	return out
}

// checkListed decides what happens to a blob on a holder's list. If the blob has
// too few durable copies, this copy counts again, for example after a long outage
// of the holder's VM, and the new holders are returned as an effect. needless
// reports that the copy can be dropped.
func (h *Holders) checkListed(d Digest, from string) (out []Effect, needless bool) {
	b, p := h.blobs[d], h.placement[d]
	if b == nil {
		return nil, true
	}
	if slices.Contains(b.holders, from) || p != nil && len(p.attempts) > 0 {
		return nil, false
	}
	if len(h.durableHolders(b)) >= replicas {
		return nil, true
	}
	b.holders = append(b.holders, from)
	return h.reportHolders(d), false
}
