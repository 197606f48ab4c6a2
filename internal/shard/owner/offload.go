package owner

import (
	"time"

	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// OffloadTimeout is how long an outcome waits for its texts to be stored in data
// folders. After that they go into the journal: a folder that hangs must not
// delay a caller for longer than a slow write to the store does.
const OffloadTimeout = 2 * time.Second

// offload requests storage in data folders for the long texts of a call that
// ended, and reports whether the outcome must wait for it. Until the outcome is
// recorded, no reply is sent and the program's next call does not start, so that
// the program's records stay in order.
//
// In a shard that is being drained and in a closed program the outcome is
// recorded at once, so that it precedes the handover or the program's Closed
// record.
func (o *Owner) offload(now time.Time, r *run, h hist.Call) bool {
	if !o.offloadEnabled || o.draining || r.prog.closed != "" || r.prog.current != r || r.result.Ran == result.No {
		return false
	}
	msg := Offload{Request: r.call.Request, Asked: o.longText([]byte(h.Asked)), Answer: o.longText(h.Result.Body)}
	if msg.Asked == nil && msg.Answer == nil {
		return false
	}
	o.lastOffloadID++
	msg.ID = o.lastOffloadID
	r.outcome, r.offload = &h, msg.ID
	r.phase = waitOffload
	r.deadline = now.Add(OffloadTimeout)
	o.emit(msg)
	return true
}

func (o *Owner) longText(text []byte) []byte {
	if len(text) <= o.cfg.Limits.InlineText {
		return nil
	}
	return text
}

// offloaded records an outcome with the locations of its texts; a text without
// one goes into the journal. Blobs that arrive too late are released: the journal
// has the texts by then, and blobs that it does not refer to would never be deleted.
func (o *Owner) offloaded(now time.Time, m Offloaded) {
	r := o.runs[m.Request]
	if r == nil || r.phase != waitOffload || r.offload != m.ID {
		o.releaseBlob(m.Asked)
		o.releaseBlob(m.Answer)
		return
	}
	h := *r.outcome
	if m.Asked != nil {
		h.Asked, h.AskedBlob = "", m.Asked
	}
	if m.Answer != nil {
		h.Result.Body, h.AnswerBlob = nil, m.Answer
	}
	r.outcome = nil
	o.record(now, r, h)
}

func (o *Owner) releaseBlob(b *hist.Blob) {
	if b != nil {
		o.emit(ReleaseBlob{Blob: *b})
	}
}

// recordInline records an outcome with its texts in the journal, without
// waiting for the data folders any longer.
func (o *Owner) recordInline(now time.Time, r *run) {
	h := *r.outcome
	r.outcome = nil
	o.record(now, r, h)
}
