package owner

import (
	"time"

	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// KeepWait is how long an outcome waits for its texts to be in data folders.
// After it they go into the journal: a folder that hangs must not hold up a
// caller for longer than a slow write to the store does.
const OffloadTimeout = 2 * time.Second

// keep asks for places for the long texts of a call that ended, and reports
// whether the outcome must wait for them. Nothing is told or started before the
// outcome is recorded, so that the program's records stay in order.
//
// A shard or program that is given up doesn't wait: its last records are due
// now.
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

// kept records an outcome whose texts have their places, or have none. Places
// that come too late are given up: the journal has the texts by then, and blobs
// that nobody refers to would stay for ever.
func (o *Owner) offloaded(now time.Time, m Offloaded) {
	r := o.runs[m.Request]
	if r == nil || r.phase != waitOffload || r.offload != m.ID {
		o.discardBlob(m.Asked)
		o.discardBlob(m.Answer)
		return
	}
	h := *r.outcome
	if m.Asked != nil {
		h.Asked, h.AskedIn = "", m.Asked
	}
	if m.Answer != nil {
		h.Result.Body, h.AnswerIn = nil, m.Answer
	}
	r.outcome = nil
	o.record(now, r, h)
}

func (o *Owner) discardBlob(b *hist.Blob) {
	if b != nil {
		o.emit(DiscardBlob{Blob: *b})
	}
}

// inline records an outcome with its texts, without waiting any longer.
func (o *Owner) recordInline(now time.Time, r *run) {
	h := *r.outcome
	r.outcome = nil
	o.record(now, r, h)
}
