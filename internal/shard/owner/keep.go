package owner

import (
	"time"

	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// KeepWait is how long an outcome waits for its texts to be in data folders.
// After it they go into the journal: a folder that hangs must not hold up a
// caller for longer than a slow write to the store does.
const KeepWait = 2 * time.Second

// keep asks for places for the long texts of a call that ended, and reports
// whether the outcome must wait for them. Nothing is told or started before the
// outcome is recorded, so that the program's records stay in order.
//
// A shard or program that is given up doesn't wait: its last records are due
// now.
func (o *Owner) keep(now time.Time, r *run, h hist.Call) bool {
	if !o.keeping || o.draining || r.prog.closed != "" || r.prog.current != r || r.result.Ran == result.No {
		return false
	}
	k := Keep{Request: r.call.Request, Asked: o.long([]byte(h.Asked)), Answer: o.long(h.Result.Body)}
	if k.Asked == nil && k.Answer == nil {
		return false
	}
	o.keeps++
	k.ID = o.keeps
	r.told, r.keep = &h, k.ID
	r.phase = waitKeep
	r.deadline = now.Add(KeepWait)
	o.emit(k)
	return true
}

func (o *Owner) long(text []byte) []byte {
	if len(text) <= o.cfg.Limits.InlineText {
		return nil
	}
	return text
}

// kept records an outcome whose texts have their places, or have none. Places
// that come too late are given up: the journal has the texts by then, and blobs
// that nobody refers to would stay for ever.
func (o *Owner) kept(now time.Time, m Kept) {
	r := o.runs[m.Request]
	if r == nil || r.phase != waitKeep || r.keep != m.ID {
		o.unkeep(m.Asked)
		o.unkeep(m.Answer)
		return
	}
	h := *r.told
	if m.Asked != nil {
		h.Asked, h.AskedBlob = "", m.Asked
	}
	if m.Answer != nil {
		h.Result.Body, h.AnswerBlob = nil, m.Answer
	}
	r.told = nil
	o.record(now, r, h)
}

func (o *Owner) unkeep(b *hist.Blob) {
	if b != nil {
		o.emit(Unkeep{Blob: *b})
	}
}

// inline records an outcome with its texts, without waiting any longer.
func (o *Owner) inline(now time.Time, r *run) {
	h := *r.told
	r.told = nil
	o.record(now, r, h)
}
