package flood

import (
	"cmp"
	"time"

	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/wait"
)

// startProgram starts a program of an account and schedules the next.
func (sim *Simulation) startProgram(account string) {
	rate := sim.programRates[account]
	if rate <= 0 {
		sim.after(thinkTime, func() { sim.startProgram(account) })
		return
	}
	sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() { sim.startProgram(account) })
	sim.scores[account].Programs++
	a := attempt{account: account, start: sim.now, requests: RequestsPerProgram}
	if sim.Varied {
		a.requests = 4 + sim.rng.IntN(13)
	}
	if a.short() {
		sim.scores[account].Short++
	}
	sim.send(a)
}

// short reports whether the program has at most half of the mean number of requests.
func (a attempt) short() bool { return a.requests <= RequestsPerProgram/2 }

// timeFor returns the part of a time for RequestsPerProgram requests that the program has.
func (a attempt) timeFor(d time.Duration) time.Duration {
	return d * time.Duration(a.requests) / RequestsPerProgram
}

// send sends a request of a program to a random front that serves callers. If that is down, it
// picks a front again resendDelay later, which does not count as a try.
func (sim *Simulation) send(a attempt) {
	f := sim.fronts[sim.rng.IntN(cmp.Or(sim.Serving, len(sim.fronts)))]
	if !f.up {
		sim.after(resendDelay, func() { sim.send(a) })
		return
	}
	sim.lastTicket++
	r := wait.Request{Ticket: sim.lastTicket, Account: a.account, Class: bucket.New, Start: a.start, Until: a.start.Add(a.timeFor(startTime)), Length: a.timeFor(programTime)}
	if a.number > 0 || sim.AllStarted {
		r.Class = bucket.Begun
		if r.Until = a.start.Add(a.timeFor(programTime)); !r.Until.After(sim.now) {
			r.Until = sim.now.Add(maxWait) // it is late already
		}
	}
	if latest := sim.now.Add(maxWait); r.Until.After(latest) {
		r.Until = latest
	}
	d, waits, _ := f.queue.Arrive(sim.now, &r)
	if !waits {
		sim.decided(a, sim.now, d)
		return
	}
	f.pending[r.Ticket] = &a
	began := sim.now
	sim.arrived[r.Ticket] = began
	sim.after(r.Until.Sub(sim.now), func() { sim.expire(f, r.Ticket) })
	sim.wake(f, a.account)
}

// expire ends the wait of a request, also at a front that does not run: its caller gives up.
func (sim *Simulation) expire(f *front, ticket uint64) {
	a := f.pending[ticket]
	if a == nil {
		return
	}
	d, _ := f.queue.Expire(sim.now, ticket)
	d.RetryAfter = max(d.RetryAfter, resendDelay)
	sim.finish(f, ticket, d)
}

// finish ends the wait of a request with a decision.
func (sim *Simulation) finish(f *front, ticket uint64, d bucket.Decision) {
	a, began := f.pending[ticket], sim.arrived[ticket]
	delete(f.pending, ticket)
	delete(sim.arrived, ticket)
	sim.decided(*a, began, d)
}

// step decides on the requests that wait for an account at a front.
func (sim *Simulation) step(f *front, account string) {
	for _, o := range f.queue.Step(sim.now, account) {
		sim.finish(f, o.Ticket, o.Decision)
	}
	sim.wake(f, account)
}

// wake has the front decide again once time alone may admit the first waiting request.
func (sim *Simulation) wake(f *front, account string) {
	after, waits := f.queue.Next(sim.now, account)
	if !waits {
		return
	}
	at := sim.now.Add(after)
	if f.wakeAt[account] = at; after <= 0 {
		return
	}
	sim.after(after, func() {
		if f.up && f.pending != nil && f.wakeAt[account].Equal(at) {
			sim.step(f, account)
		}
	})
}

// decided continues a program after the decision on its request. A refused request is sent to
// a random front again after RetryAfter, up to maxTries tries in total.
func (sim *Simulation) decided(a attempt, began time.Time, d bucket.Decision) {
	s := sim.scores[a.account]
	switch {
	case d.OK:
		sim.admitted[a.account] = append(sim.admitted[a.account], sim.now)
		s.Waited += sim.now.Sub(began)
		if a.number == 0 {
			s.Begun++
		}
		if a.number+1 == a.requests {
			s.Completed++
			if a.short() {
				s.ShortCompleted++
			}
			if sim.now.Sub(a.start) <= a.timeFor(programTime) {
				s.InTime++
			}
			return
		}
		a.number, a.try = a.number+1, 0
		sim.after(thinkTime/2+sim.jitter(thinkTime), func() { sim.send(a) })
	case a.try+1 < maxTries:
		s.Retried++
		a.try++
		sim.after(d.RetryAfter, func() { sim.send(a) })
	case a.number == 0:
		s.Refused++
	default:
		s.Aborted++
	}
}
