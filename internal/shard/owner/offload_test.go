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
	inlineLimit     = 3               // bytes; a driver's answers are longer
	firstCallTicket = owner.Ticket(2) // of the first call; ticket 1 opened p
)

func usageOf(o sched.Outcome) engine.Usage {
	if o != sched.Succeeded {
		return engine.Usage{}
	}
	return engine.Usage{Prompt: 10, Output: 10, Finish: "stop"}
}

func (d *driver) capture(e owner.Effect) {
	switch e := e.(type) {
	case owner.Offload:
		d.offloads = append(d.offloads, e)
	case owner.ReleaseBlob:
		d.released = append(d.released, e.Blob)
	case owner.ReplyFromJournal:
		d.journalReplies = append(d.journalReplies, e)
	}
}

// newOffloadDriver returns a driver with offloading enabled and program p open.
func newOffloadDriver() *driver {
	d := newDriver()
	f := d.config()
	f.Limits.InlineText = inlineLimit
	d.step(owner.Configure{File: f})
	d.step(owner.OffloadEnabled{On: true})
	d.open("p")
	return d
}

// completeOffload answers the newest Offload.
func (d *driver) completeOffload(asked, answer bool) {
	newest := d.offloads[len(d.offloads)-1]
	m := owner.Offloaded{ID: newest.ID, Request: newest.Request}
	if asked {
		m.Asked = &hist.Blob{Digest: "of the question", Size: len(newest.Asked), Holders: []string{"x", "y"}}
	}
	if answer {
		m.Answer = &hist.Blob{Digest: "of the answer", Size: len(newest.Answer), Holders: []string{"x", "y"}}
	}
	d.step(m)
}

// finished returns the Ended and Closed records in the journal.
func (d *driver) finished(is *is.I) (rs []record.Record) {
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

// A call ends with a long answer, and storing its texts in data folders is fast,
// slow or never completes, while the shard is handed over, the program is ended or
// the store is down. Guards against an answer that is lost, a next call that runs
// too early, and a call that hangs.
func TestOffload(t *testing.T) {
	tests := map[string]struct {
		then     func(is *is.I, d *driver)
		asked    bool // is in the folders, not in the journal
		answer   bool
		code     result.Code // for the caller
		released int
	}{
		"kept": {func(_ *is.I, d *driver) {
			d.completeOffload(true, true)
		}, true, true, result.CodeOK, 0},
		"only the answer": {func(_ *is.I, d *driver) {
			d.completeOffload(false, true)
		}, false, true, result.CodeOK, 0},
		"only the question": {func(_ *is.I, d *driver) {
			d.completeOffload(true, false)
		}, true, false, result.CodeOK, 0},
		"no folder takes them": {func(_ *is.I, d *driver) {
			d.completeOffload(false, false)
		}, false, false, result.CodeOK, 0},
		"folders hang": {func(is *is.I, d *driver) {
			d.advance(owner.OffloadTimeout - 100*time.Millisecond)
			_, finished := d.replies[firstCallTicket]
			is.True(!finished)
			d.advance(200 * time.Millisecond)
		}, false, false, result.CodeOK, 0},
		"folders answer too late": {func(_ *is.I, d *driver) {
			d.advance(owner.OffloadTimeout + 100*time.Millisecond)
			d.completeOffload(true, true)
		}, false, false, result.CodeOK, 2},
		"another call's answer": {func(is *is.I, d *driver) {
			d.step(owner.Offloaded{ID: d.offloads[0].ID + 1, Request: d.offloads[0].Request, Answer: &hist.Blob{Digest: "other"}})
			is.Equal(len(d.finished(is)), 0)
			d.completeOffload(true, true)
		}, true, true, result.CodeOK, 1},
		"handed over meanwhile": {func(_ *is.I, d *driver) {
			d.step(owner.Drain{})
		}, false, false, result.CodeOK, 0},
		"the program is ended meanwhile": {func(is *is.I, d *driver) {
			d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Finish}})
			is.Equal(d.replies[99].Code, result.CodeOK)
			rs := d.finished(is)
			_, last := rs[len(rs)-1].(record.Closed)
			is.True(last) // no record of a program follows its Closed
			d.completeOffload(true, true)
		}, false, false, result.CodeOK, 2},
		"the program is too old meanwhile": {func(_ *is.I, d *driver) {
			d.now = d.now.Add(2 * time.Hour)
			d.step(owner.Tick{})
		}, false, false, result.CodeOK, 0},
		"the store stops meanwhile": {func(is *is.I, d *driver) {
			d.storeDown = true
			d.completeOffload(true, true)
			d.advance(9 * time.Second)
			_, finished := d.replies[firstCallTicket]
			is.True(!finished) // no reply before the outcome is committed
			d.advance(2 * time.Second)
			d.storeDown = false
			d.store()
		}, true, true, result.CodeStoreDown, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newOffloadDriver()
			ticket := d.call("p", 0, "", "question")
			is.Equal(ticket, firstCallTicket)
			d.answer(sched.Succeeded)
			d.call("p", 1, "receipt", "next")
			is.Equal(len(d.offloads), 1)
			is.Equal(string(d.offloads[0].Asked), "question")
			is.Equal(string(d.offloads[0].Answer), "done")
			is.Equal(len(d.finished(is)), 0)
			is.Equal(len(d.sent), 1) // the next call waits
			tt.then(is, d)
			is.Equal(d.replies[ticket].Code, tt.code)
			is.Equal(len(d.released), tt.released)
			e := d.finished(is)[0].(record.Ended)
			if e.Call.Number == 1 { // refused because the program was ended
				e = d.finished(is)[1].(record.Ended)
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
			is.Equal(len(next.sent), 0)                  // a repeat does not run
			fromJournal := len(next.journalReplies) == 1 // call 1 is the newest by now
			is.True(fromJournal || string(next.replies[again].Body) == "done")
			known := 0
			next.machine.Fold.Known(func(hist.Blob) { known++ })
			is.Equal(known == 2, tt.asked && tt.answer)
			is.Equal(known == 0, !tt.asked && !tt.answer)
		})
	}
}

// A caller's connection breaks while the texts are being stored. The call has its
// answer, so it must not be cancelled, and a repeat must get that answer.
func TestOffloadSurvivesDisconnect(t *testing.T) {
	is := is.New(t)
	d := newOffloadDriver()
	first := d.call("p", 0, "", "question")
	d.answer(sched.Succeeded)
	d.now = d.now.Add(1500 * time.Millisecond)
	d.step(owner.CallerGone{Ticket: first})
	again := d.call("p", 0, "", "question")
	d.step(owner.CallerGone{Ticket: again})
	again = d.call("p", 0, "", "question")
	d.completeOffload(true, true)
	is.Equal(d.replies[again].Code, result.CodeOK)
	is.Equal(string(d.replies[again].Body), "done")
	is.Equal(len(d.sent), 1)
}

// The caller has already disconnected when the answer arrives. Its texts must be
// offloaded all the same: if the journal got the texts of every abandoned call, it
// would fill up whenever the system is slow.
func TestOffloadWithoutCaller(t *testing.T) {
	is := is.New(t)
	d := newOffloadDriver()
	d.step(owner.CallerGone{Ticket: d.call("p", 0, "", "question")})
	d.advance(1900 * time.Millisecond)
	d.answer(sched.Succeeded)
	d.advance(time.Second)
	d.completeOffload(true, true)
	is.Equal(len(d.released), 0)
	is.True(d.finished(is)[0].(record.Ended).Call.AnswerBlob != nil)
}

// The owner is lost before the outcome is recorded. The journal must not refer to
// the texts, and the next owner ends the call as unknown.
func TestOwnerLostDuringOffload(t *testing.T) {
	is := is.New(t)
	d := newOffloadDriver()
	d.call("p", 0, "receipt", "question")
	d.answer(sched.Succeeded)
	is.Equal(len(d.offloads), 1)
	next := d.successor(is)
	again := next.call("p", 0, "receipt", "question")
	is.Equal(next.replies[again].Code, result.CodeUnknown) // it ran once and does not run again
	is.Equal(len(next.sent), 0)
	next.machine.Fold.Known(func(b hist.Blob) { t.Errorf("journal refers to text %s of an unrecorded outcome", b.Digest) })
}

// Without texts to offload, an outcome is recorded at once.
func TestNothingToOffload(t *testing.T) {
	tests := map[string]struct {
		limit int
		on    bool
		do    func(d *driver)
	}{
		"no folders":  {0, false, func(d *driver) { d.call("p", 0, "", "question"); d.answer(sched.Succeeded) }},
		"short texts": {8, true, func(d *driver) { d.call("p", 0, "", "question"); d.answer(sched.Succeeded) }},
		"refused":     {0, true, func(d *driver) { d.call("p", 0, "no such service", "question") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newOffloadDriver()
			f := d.config()
			f.Limits.InlineText = tt.limit
			d.step(owner.Configure{File: f})
			d.step(owner.OffloadEnabled{On: tt.on})
			tt.do(d)
			is.Equal(len(d.offloads), 0)
			is.Equal(len(d.finished(is)), 1)
		})
	}
}

// A repeat reaches an owner that has the call's outcome without its body. The
// outcome must be read from the journal, not sent with an empty body.
func TestRepeatOfOffloadedCall(t *testing.T) {
	is := is.New(t)
	d := newOffloadDriver()
	d.call("p", 0, "", "question")
	d.answer(sched.Succeeded)
	d.completeOffload(true, true)
	for name, o := range map[string]*driver{"same owner": d, "next owner": d.successor(is)} {
		again := o.call("p", 0, "", "question")
		is.Equal(len(o.journalReplies), 1) // for both owners
		_, told := o.replies[again]
		if told {
			t.Errorf("%s replied from memory, without the body: %+v", name, o.replies[again])
		}
	}
}

// A holder was lost and its texts were copied to another one. After a takeover the
// next owner must have the new holders.
func TestHolders(t *testing.T) {
	is := is.New(t)
	d := newOffloadDriver()
	d.call("p", 0, "", "question")
	d.answer(sched.Succeeded)
	d.completeOffload(false, true)
	moved := hist.Blob{Digest: "of the answer", Size: 4, Holders: []string{"y", "z"}}
	d.step(owner.HoldersChanged{Blob: moved})
	var known []hist.Blob
	d.successor(is).machine.Fold.Known(func(b hist.Blob) { known = append(known, b) })
	is.Equal(known, []hist.Blob{moved})
}
