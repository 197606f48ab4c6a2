package owner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	keepLimit = 3               // bytes; a desk's answers are longer
	keptCall  = owner.Ticket(2) // the first call at a desk with folders
)

func usageOf(o sched.Outcome) engine.Usage {
	if o != sched.Succeeded {
		return engine.Usage{}
	}
	return engine.Usage{Prompt: 10, Output: 10, Finish: "stop"}
}

func (d *desk) note(e owner.Effect) {
	switch e := e.(type) {
	case owner.Keep:
		d.keeps = append(d.keeps, e)
	case owner.Unkeep:
		d.unkept = append(d.unkept, e.Blob)
	case owner.Recall:
		d.recalls = append(d.recalls, e)
	}
}

// keeping is a desk with data folders.
func keeping() *desk {
	d := newDesk()
	f := d.config()
	f.Limits.InlineText = keepLimit
	d.step(owner.Configure{File: f})
	d.step(owner.Keeping{On: true})
	d.open("p")
	return d
}

// kept answers the newest Keep.
func (d *desk) kept(asked, answer bool) {
	k := d.keeps[len(d.keeps)-1]
	m := owner.Kept{ID: k.ID, Request: k.Request}
	if asked {
		m.Asked = &hist.Blob{Digest: "of the question", Size: len(k.Asked), Holders: []string{"x", "y"}}
	}
	if answer {
		m.Answer = &hist.Blob{Digest: "of the answer", Size: len(k.Answer), Holders: []string{"x", "y"}}
	}
	d.step(m)
}

// told returns the outcomes and ends in the journal.
func (d *desk) told(is *is.I) (rs []record.Record) {
	var j record.Reassembler
	for _, e := range d.journal {
		all, err := j.Records(e)
		is.NoErr(err)
		for _, r := range all {
			switch r.(type) {
			case record.Ended, record.Closed:
				rs = append(rs, r)
			}
		}
	}
	return rs
}

// A call ends with a long answer, whose way into data folders can be short,
// long or without an end, while the shard is handed over, the program is ended
// or the store is down. Callers would notice an answer that is lost or comes
// twice, a next call that runs too early, or a call that hangs.
func TestKeep(t *testing.T) {
	tests := map[string]struct {
		then   func(is *is.I, d *desk)
		asked  bool // is in the folders, not in the journal
		answer bool
		code   result.Code // for the caller
		unkept int
	}{
		"kept": {func(_ *is.I, d *desk) {
			d.kept(true, true)
		}, true, true, result.CodeOK, 0},
		"only the answer": {func(_ *is.I, d *desk) {
			d.kept(false, true)
		}, false, true, result.CodeOK, 0},
		"only the question": {func(_ *is.I, d *desk) {
			d.kept(true, false)
		}, true, false, result.CodeOK, 0},
		"no folder takes them": {func(_ *is.I, d *desk) {
			d.kept(false, false)
		}, false, false, result.CodeOK, 0},
		"folders hang": {func(is *is.I, d *desk) {
			d.pass(owner.KeepWait - 100*time.Millisecond)
			_, told := d.replies[keptCall]
			is.True(!told)
			d.pass(200 * time.Millisecond)
		}, false, false, result.CodeOK, 0},
		"folders answer too late": {func(_ *is.I, d *desk) {
			d.pass(owner.KeepWait + 100*time.Millisecond)
			d.kept(true, true)
		}, false, false, result.CodeOK, 2},
		"another call's answer": {func(is *is.I, d *desk) {
			d.step(owner.Kept{ID: d.keeps[0].ID + 1, Request: d.keeps[0].Request, Answer: &hist.Blob{Digest: "other"}})
			is.Equal(len(d.told(is)), 0)
			d.kept(true, true)
		}, true, true, result.CodeOK, 1},
		"handed over meanwhile": {func(_ *is.I, d *desk) {
			d.step(owner.Drain{})
		}, false, false, result.CodeOK, 0},
		"the program is ended meanwhile": {func(is *is.I, d *desk) {
			d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Finish}})
			is.Equal(d.replies[99].Code, result.CodeOK)
			rs := d.told(is)
			_, last := rs[len(rs)-1].(record.Closed)
			is.True(last) // nothing of a program is recorded after its end
			d.kept(true, true)
		}, false, false, result.CodeOK, 2},
		"the program is too old meanwhile": {func(_ *is.I, d *desk) {
			d.now = d.now.Add(2 * time.Hour)
			d.step(owner.Tick{})
		}, false, false, result.CodeOK, 0},
		"the store stops meanwhile": {func(is *is.I, d *desk) {
			d.down = true
			d.kept(true, true)
			d.pass(9 * time.Second)
			_, told := d.replies[keptCall]
			is.True(!told) // the answer is held back
			d.pass(2 * time.Second)
			d.down = false
			d.store()
		}, true, true, result.CodeStoreDown, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := keeping()
			ticket := d.call("p", 0, "", "question")
			is.Equal(ticket, keptCall)
			d.answer(sched.Succeeded)
			d.call("p", 1, "receipt", "next")
			is.Equal(len(d.keeps), 1)
			is.Equal(string(d.keeps[0].Asked), "question")
			is.Equal(string(d.keeps[0].Answer), "done")
			is.Equal(len(d.told(is)), 0)
			is.Equal(len(d.sent), 1) // the next call waits
			tt.then(is, d)
			is.Equal(d.replies[ticket].Code, tt.code)
			is.Equal(len(d.unkept), tt.unkept)
			e := d.told(is)[0].(record.Ended)
			if e.Call.Number == 1 { // refused because of the program's end
				e = d.told(is)[1].(record.Ended)
			}
			is.Equal(e.Call.Number, 0)
			is.Equal(e.Call.AskedBlob != nil, tt.asked)
			is.Equal(e.Call.Asked == "", tt.asked)
			is.Equal(e.Call.AnswerBlob != nil, tt.answer)
			is.Equal(len(e.Call.Result.Body) == 0, tt.answer)
			if tt.code == result.CodeOK {
				is.Equal(string(d.replies[ticket].Body), "done")
			}
			next := d.successor(is)
			again := next.call("p", 0, "", "question")
			is.Equal(len(next.sent), 0)        // a repeat never runs again
			recalled := len(next.recalls) == 1 // call 1 is the newest by now
			is.True(recalled || string(next.replies[again].Body) == "done")
			known := 0
			next.own.Fold.Known(func(hist.Blob) { known++ })
			is.Equal(known == 2, tt.asked && tt.answer)
			is.Equal(known == 0, !tt.asked && !tt.answer)
		})
	}
}

// A caller's connection breaks while the texts are on their way. The answer is
// there, so the call must not be cancelled, and the repeat gets it.
func TestKeepOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	d := keeping()
	first := d.call("p", 0, "", "question")
	d.answer(sched.Succeeded)
	d.now = d.now.Add(1500 * time.Millisecond)
	d.step(owner.Leave{Ticket: first})
	again := d.call("p", 0, "", "question")
	d.step(owner.Leave{Ticket: again})
	again = d.call("p", 0, "", "question")
	d.kept(true, true)
	is.Equal(d.replies[again].Code, result.CodeOK)
	is.Equal(string(d.replies[again].Body), "done")
	is.Equal(len(d.sent), 1)
}

// The caller has been gone for a while when the answer comes. Its texts are kept
// like any other's: a journal that got them whenever callers are impatient would
// be full when the system is slow.
func TestKeepForNobody(t *testing.T) {
	is := is.New(t)
	d := keeping()
	d.step(owner.Leave{Ticket: d.call("p", 0, "", "question")})
	d.pass(1900 * time.Millisecond)
	d.answer(sched.Succeeded)
	d.pass(time.Second)
	d.kept(true, true)
	is.Equal(len(d.unkept), 0)
	is.True(d.told(is)[0].(record.Ended).Call.AnswerBlob != nil)
}

// The owner is lost before the outcome is recorded. Nothing refers to the
// texts, and the call is as if it had not ended.
func TestOwnerLostWhileKeeping(t *testing.T) {
	is := is.New(t)
	d := keeping()
	d.call("p", 0, "receipt", "question")
	d.answer(sched.Succeeded)
	is.Equal(len(d.keeps), 1)
	next := d.successor(is)
	again := next.call("p", 0, "receipt", "question")
	is.Equal(next.replies[again].Code, result.CodeUnknown) // it ran once and isn't run again
	is.Equal(len(next.sent), 0)
	next.own.Fold.Known(func(b hist.Blob) { t.Errorf("%s is referred to", b.Digest) })
}

// Where there is nothing to keep, outcomes go the shortest way.
func TestNothingToKeep(t *testing.T) {
	tests := map[string]struct {
		limit int
		on    bool
		do    func(d *desk)
	}{
		"no folders":  {0, false, func(d *desk) { d.call("p", 0, "", "question"); d.answer(sched.Succeeded) }},
		"short texts": {8, true, func(d *desk) { d.call("p", 0, "", "question"); d.answer(sched.Succeeded) }},
		"refused":     {0, true, func(d *desk) { d.call("p", 0, "no such service", "question") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := keeping()
			f := d.config()
			f.Limits.InlineText = tt.limit
			d.step(owner.Configure{File: f})
			d.step(owner.Keeping{On: tt.on})
			tt.do(d)
			is.Equal(len(d.keeps), 0)
			is.Equal(len(d.told(is)), 1)
		})
	}
}

// A repeat meets an owner that has the call's outcome without its answer. It
// must be read, not told as an empty one.
func TestRepeatOfAKeptCall(t *testing.T) {
	is := is.New(t)
	d := keeping()
	d.call("p", 0, "", "question")
	d.answer(sched.Succeeded)
	d.kept(true, true)
	for name, o := range map[string]*desk{"same owner": d, "next owner": d.successor(is)} {
		again := o.call("p", 0, "", "question")
		is.Equal(len(o.recalls), 1) // at either
		_, told := o.replies[again]
		if told {
			t.Errorf("%s answered itself: %+v", name, o.replies[again])
		}
	}
}

// A holder was lost and its texts copied. Whoever takes the shard over must
// look for them at the new one.
func TestHolders(t *testing.T) {
	is := is.New(t)
	d := keeping()
	d.call("p", 0, "", "question")
	d.answer(sched.Succeeded)
	d.kept(false, true)
	moved := hist.Blob{Digest: "of the answer", Size: 4, Holders: []string{"y", "z"}}
	d.step(owner.Held{Blob: moved})
	var known []hist.Blob
	d.successor(is).own.Fold.Known(func(b hist.Blob) { known = append(known, b) })
	is.Equal(known, []hist.Blob{moved})
}
