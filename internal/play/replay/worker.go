package replay

import (
	"time"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/play/trace"
)

const refusedConnDelay = time.Millisecond // delay until a refused connection is reported

type (
	// worker models one upstream: a limit on concurrent requests, serial
	// prefill, decoding that slows down with the batch size, and a prefix cache.
	// Its parameters come from the trace.
	worker struct {
		w                *world
		t                trace.Upstream
		faults           map[trace.Mode]int // active faults by mode
		slowdown         float64
		running          map[*attempt]bool
		waiting          []*attempt
		prefillBusyUntil time.Time // end of the last scheduled prefill
		cache            cache
		eventSeq         uint64 // of the last cache event
		reportSeq        uint64
		events           []engine.Event // not yet delivered
		leavingSince     time.Time      // when owners were notified that it leaves; zero if it doesn't
	}

	// attempt is one submission of a request to a worker.
	attempt struct {
		r            *request
		u            *worker
		ended        bool
		cachedTokens int
	}
)

func newWorker(w *world, t trace.Upstream) *worker {
	return &worker{
		w: w, t: t, faults: map[trace.Mode]int{}, slowdown: 1,
		running: map[*attempt]bool{}, cache: newCache(t.CacheTokens),
	}
}

func (u *worker) active(what trace.Mode) bool { return u.faults[what] > 0 }

// submit queues the attempt, or fails it as unsent if the worker is down.
func (u *worker) submit(a *attempt) {
	if u.active(trace.Down) {
		u.w.after(refusedConnDelay, func() { u.w.attemptEnded(a, sched.Unsent, engine.Usage{}) })
		return
	}
	if !u.leavingSince.IsZero() && u.w.now.Sub(u.leavingSince) > leavingGrace {
		u.w.report.LateDispatches++
	}
	u.waiting = append(u.waiting, a)
	u.startWaiting()
}

// startWaiting starts queued attempts while slots are free, in order of
// priority, then of arrival.
func (u *worker) startWaiting() {
	for len(u.running) < u.t.Slots && len(u.waiting) > 0 {
		best := 0
		for i, a := range u.waiting {
			if a.r.p.t.Priority > u.waiting[best].r.p.t.Priority {
				best = i
			}
		}
		a := u.waiting[best]
		u.waiting = append(u.waiting[:best], u.waiting[best+1:]...)
		u.running[a] = true
		u.begin(a)
	}
}

func (u *worker) begin(a *attempt) {
	a.r.recordStart(u.w)
	if u.active(trace.Hang) {
		return
	}
	c := a.r.call
	if u.t.Service {
		u.w.after(seconds(u.slowdown*ms(c.WorkMS).Seconds()), func() { u.finish(a, engine.Usage{}) })
		return
	}
	n := u.cache.matchPrefix(a.r.blocks)
	prompt := 0
	for i, b := range a.r.blocks {
		prompt += b.Tokens
		if i < n {
			a.cachedTokens += b.Tokens
		} else {
			u.w.recordPrefill(b)
		}
	}
	stored, evicted := u.cache.store(a.r.p.t.Name, a.r.blocks)
	u.recordEvent(stored, evicted)
	start := u.w.now
	if u.prefillBusyUntil.After(start) {
		start = u.prefillBusyUntil
	}
	u.prefillBusyUntil = start.Add(seconds(u.slowdown * float64(prompt-a.cachedTokens) / u.t.PrefillPerS))
	u.w.after(u.prefillBusyUntil.Sub(u.w.now), func() { u.firstToken(a, prompt) })
}

func (u *worker) firstToken(a *attempt, prompt int) {
	if a.ended {
		return
	}
	u.w.step(a.r.p.owner, sched.First{ID: a.r.id, Upstream: u.t.Name})
	others := float64(len(u.running) - 1)
	perToken := u.slowdown * u.t.DecodeMS / 1000 * (1 + u.t.BatchSlope*others)
	usage := engine.Usage{Prompt: prompt, Cached: a.cachedTokens, Output: a.r.call.Output, Finish: "stop"}
	u.w.after(seconds(perToken*float64(a.r.call.Output)), func() { u.finish(a, usage) })
}

func (u *worker) finish(a *attempt, usage engine.Usage) {
	if a.ended || u.active(trace.Hang) {
		return
	}
	u.w.attemptEnded(a, sched.Succeeded, usage)
}

// removeAttempt removes an ended attempt from the queue or its slot.
func (u *worker) removeAttempt(a *attempt) {
	a.ended = true
	delete(u.running, a)
	for i, v := range u.waiting {
		if v == a {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			break
		}
	}
	u.startWaiting()
}

// crash fails all attempts and empties the cache. Queued attempts also end as
// Failed, not Unsent: their sender can't tell whether they had started.
func (u *worker) crash() {
	all := u.waiting
	u.waiting = nil
	for _, r := range u.w.requests {
		for _, a := range r.attempts {
			if u.running[a] {
				all = append(all, a)
			}
		}
	}
	u.cache, u.eventSeq, u.reportSeq, u.events, u.prefillBusyUntil = newCache(u.t.CacheTokens), 0, 0, nil, time.Time{}
	for _, a := range all {
		u.w.attemptEnded(a, sched.Failed, engine.Usage{})
	}
}

func (u *worker) recordEvent(stored, evicted []uint64) {
	if len(stored)+len(evicted) == 0 {
		return
	}
	u.eventSeq++
	if u.active(trace.EventLoss) && u.w.rng.IntN(2) == 0 {
		return
	}
	u.events = append(u.events, engine.Event{Seq: u.eventSeq, Stored: stored, Evicted: evicted})
}

// publish sends a load report and the pending cache events to all owners; they
// arrive after the trace's LagMS.
func (u *worker) publish() {
	if u.active(trace.Down) {
		return
	}
	u.reportSeq++
	report := engine.Load{
		Seq: u.reportSeq, At: u.w.now, Running: len(u.running), Waiting: len(u.waiting),
		Used: u.cache.used, Total: u.t.CacheTokens, Leaving: u.active(trace.Leave),
	}
	events := u.events
	u.events = nil
	silent := u.active(trace.NoReports)
	u.w.after(ms(u.t.LagMS), func() {
		if report.Leaving && u.leavingSince.IsZero() && u.active(trace.Leave) {
			u.leavingSince = u.w.now
		}
		for _, o := range u.w.owners {
			if !silent {
				u.w.step(o, sched.Load{Upstream: u.t.Name, Report: report})
			}
			if len(events) > 0 {
				u.w.step(o, sched.Cache{Upstream: u.t.Name, Events: events})
			}
		}
	})
}
