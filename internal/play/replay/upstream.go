package replay

import (
	"time"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/play/trace"
)

const refusedConnDelay = time.Millisecond // delay until a refused connection is reported

type (
	// upstream models one upstream of the trace: a limit on concurrent requests, serial
	// prefill, decoding that slows down with the batch size, and a prefix cache.
	// Its parameters come from the trace.
	upstream struct {
		w                *world
		spec             trace.Upstream
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

	// attempt is one submission of a request to an upstream.
	attempt struct {
		r            *request
		u            *upstream
		ended        bool
		cachedTokens int
	}
)

func newUpstream(w *world, spec trace.Upstream) *upstream {
	return &upstream{
		w: w, spec: spec, faults: map[trace.Mode]int{}, slowdown: 1,
		running: map[*attempt]bool{}, cache: newCache(spec.CacheTokens),
	}
}

func (u *upstream) active(what trace.Mode) bool { return u.faults[what] > 0 }

// submit queues the attempt, or fails it as unsent if the upstream is down.
func (u *upstream) submit(a *attempt) {
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
func (u *upstream) startWaiting() {
	for len(u.running) < u.spec.Slots && len(u.waiting) > 0 {
		best := 0
		for i, a := range u.waiting {
			if a.r.p.spec.Priority > u.waiting[best].r.p.spec.Priority {
				best = i
			}
		}
		a := u.waiting[best]
		u.waiting = append(u.waiting[:best], u.waiting[best+1:]...)
		u.running[a] = true
		u.begin(a)
	}
}

func (u *upstream) begin(a *attempt) {
	a.r.recordStart(u.w)
	if u.active(trace.Hang) {
		return
	}
	c := a.r.call
	if u.spec.Service {
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
	stored, evicted := u.cache.store(a.r.p.spec.Name, a.r.blocks)
	u.recordEvent(stored, evicted)
	start := u.w.now
	if u.prefillBusyUntil.After(start) {
		start = u.prefillBusyUntil
	}
	u.prefillBusyUntil = start.Add(seconds(u.slowdown * float64(prompt-a.cachedTokens) / u.spec.PrefillPerS))
	u.w.after(u.prefillBusyUntil.Sub(u.w.now), func() { u.firstToken(a, prompt) })
}

func (u *upstream) firstToken(a *attempt, prompt int) {
	if a.ended {
		return
	}
	u.w.step(a.r.p.owner, sched.First{ID: a.r.id, Upstream: u.spec.Name})
	others := float64(len(u.running) - 1)
	perToken := u.slowdown * u.spec.DecodeMS / 1000 * (1 + u.spec.BatchSlope*others)
	usage := engine.Usage{Prompt: prompt, Cached: a.cachedTokens, Output: a.r.call.Output, Finish: "stop"}
	u.w.after(seconds(perToken*float64(a.r.call.Output)), func() { u.finish(a, usage) })
}

func (u *upstream) finish(a *attempt, usage engine.Usage) {
	if a.ended || u.active(trace.Hang) {
		return
	}
	u.w.attemptEnded(a, sched.Succeeded, usage)
}

// removeAttempt removes an ended attempt from the queue or its slot.
func (u *upstream) removeAttempt(a *attempt) {
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
func (u *upstream) crash() {
	all := u.waiting
	u.waiting = nil
	for _, r := range u.w.requests {
		for _, a := range r.attempts {
			if u.running[a] {
				all = append(all, a)
			}
		}
	}
	u.cache, u.eventSeq, u.reportSeq, u.events, u.prefillBusyUntil = newCache(u.spec.CacheTokens), 0, 0, nil, time.Time{}
	for _, a := range all {
		u.w.attemptEnded(a, sched.Failed, engine.Usage{})
	}
}

func (u *upstream) recordEvent(stored, evicted []uint64) {
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
func (u *upstream) publish() {
	if u.active(trace.Down) {
		return
	}
	u.reportSeq++
	report := engine.Load{
		Seq: u.reportSeq, At: u.w.now, Running: len(u.running), Waiting: len(u.waiting),
		Used: u.cache.used, Total: u.spec.CacheTokens, Leaving: u.active(trace.Leave),
	}
	events := u.events
	u.events = nil
	silent := u.active(trace.NoReports)
	u.w.after(ms(u.spec.LagMS), func() {
		if report.Leaving && u.leavingSince.IsZero() && u.active(trace.Leave) {
			u.leavingSince = u.w.now
		}
		for _, o := range u.w.owners {
			if !silent {
				u.w.step(o, sched.Load{Upstream: u.spec.Name, Report: report})
			}
			if len(events) > 0 {
				u.w.step(o, sched.Cache{Upstream: u.spec.Name, Events: events})
			}
		}
	})
}
