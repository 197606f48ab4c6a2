// Package ration decides which requests of an account one front lets in, so that all
// fronts together keep the account's limit.
//
// The limit of an account is a token bucket over all fronts: it fills at so many
// requests a second, up to a burst. Nobody holds that bucket. Each front reckons its
// level by what it let in itself and what the others say that they let in during the
// last Period; these sums go with the datagrams that fronts exchange anyway. What the
// others let in since they last spoke is not known, so a front that finds an account busy
// takes no more than its part of the level within one Period. The parts of all fronts
// add up to the level, so the sum stays within the limit however fast a flood begins.
//
// Fronts that don't hear each other can't share one bucket. A front counts how many it
// hears of all that there were lately, and takes that part of each limit: two groups
// that are cut apart have a part of their own each, which add up to the whole. A front
// that has not run for a while takes the bucket to be empty, since it may be: what the
// others let in meanwhile is not known to it. One that has just started takes a part of
// it to be there.
//
// Ration is a state machine without clock, lock or network.
package ration

import (
	"math"
	"time"
)

const (
	// Period is the time over which fronts say how many requests they let in.
	Period = 300 * time.Millisecond
	// gap is the time without any word of the others after which this front counts
	// as one that has not run: even alone it takes ten looks a second.
	gap = time.Second
	// useOver is how much of what the operator tolerates above a limit is lent. The rest
	// is for what fronts can't know of each other.
	useOver = 0.1
	// reserve is the part of the largest level that new programs leave to those that
	// have begun, which fail if one of their calls is refused.
	reserve = 0.6
	// calm is the part of the level that all fronts may let in within a Period before
	// each of them is held to its part, and calmBegun the same for programs that have
	// begun: only new ones come in a flood.
	calm      = 0.35
	calmBegun = 0.7
	// busy is the part of its rate that an account uses whose callers are refused by all
	// fronts, and not by this one only.
	busy = 0.7
	// startPart is the part of the largest level that is there when a front starts. What
	// it let in before is not known to it, so with all fronts started anew an account may
	// have used its whole bucket a moment ago: that, this part, and what fills up meanwhile
	// stay within what is tolerated.
	startPart = 0.5
	// startTime is how long a front that has started finds the others.
	startTime = 2 * time.Second
	// soonest and latest bound the time after which a refused caller may come back.
	soonest = 200 * time.Millisecond
	latest  = 2 * time.Second
)

type (
	// Limit is what an account may ask of all fronts together.
	Limit struct {
		Rate  float64 // requests a second; 0 is no limit
		Burst float64 // requests beside that rate
	}

	// Tolerance is how far above a limit the operator lets the sum of all fronts be in
	// a window: by the part Over of what the limit allows in it, and Slack requests.
	Tolerance struct {
		Window time.Duration
		Over   float64
		Slack  float64
	}

	// Heard is what the other fronts have said.
	Heard struct {
		Used   map[string]int // requests let in during the last Period, by account
		Fronts int            // that are heard of, this one included
		All    int            // that there were lately, this one included
	}

	// Verdict tells whether a request is let in.
	Verdict struct {
		OK      bool
		After   time.Duration // until there is room; of a refusal
		Unknown bool          // refused since this front has no part of any limit
	}

	// Ration is one front's part. Set Tolerance before use.
	Ration struct {
		Tolerance Tolerance
		// Draw returns a number of at least 0 and below 1.
		Draw func() float64

		accounts map[string]*account
		heard    Heard
		part     float64 // of all limits that those heard of may use; 0 before any word
		at       time.Time
		began    time.Time // when the first word came
	}

	account struct {
		limit   Limit
		level   float64 // requests that all fronts together may let in now
		at      time.Time
		used    window // let in by this front
		refused window // by this front
	}
)

// Limit replaces the limits of accounts.
func (r *Ration) Limit(now time.Time, limits map[string]Limit) {
	next := make(map[string]*account, len(limits))
	for name, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		a := r.accounts[name]
		if a == nil {
			a = &account{at: now, level: startPart * r.most(l, r.part)}
		}
		r.refill(now, name, a)
		a.limit = l
		next[name] = a
	}
	r.accounts = next
}

// Take asks for one request of an account. Begun tells that it belongs to a program that
// has begun.
func (r *Ration) Take(now time.Time, name string, begun bool) Verdict {
	v := r.Look(now, name)
	a := r.accounts[name]
	if !v.OK || a == nil {
		return v
	}
	level, free := a.level, calmBegun
	if !begun {
		level -= reserve * max(r.most(a.limit, r.part)-1, 0)
		free = calm
	}
	if level < 1 || !r.fits(now, name, a, level, free) {
		return r.refuse(now, name, a, level)
	}
	a.use(now, 1)
	return v
}

// Look tells whether there is room for any request of an account, and takes none.
func (r *Ration) Look(now time.Time, name string) Verdict {
	a := r.account(now, name)
	switch {
	case a == nil:
		return Verdict{OK: true}
	case r.part == 0:
		return Verdict{After: latest, Unknown: true}
	case a.level < 1:
		return r.refuse(now, name, a, a.level)
	}
	return Verdict{OK: true}
}

func (r *Ration) refuse(now time.Time, name string, a *account, level float64) Verdict {
	a.refused.add(now, 1)
	return Verdict{After: r.after(now, name, a, 1-level)}
}

// Add counts a request that is sent once more.
func (r *Ration) Add(now time.Time, name string) {
	if a := r.account(now, name); a != nil {
		a.use(now, 1)
	}
}

// GiveBack counts a request no more: it reached no upstream.
func (r *Ration) GiveBack(now time.Time, name string) {
	if a := r.account(now, name); a != nil {
		a.use(now, -1)
	}
}

// Hear takes what the other fronts have said. It is to be called some times a second,
// also if none is heard.
func (r *Ration) Hear(now time.Time, h Heard) {
	r.wake(now)
	part := 1.0
	if h.All > 0 {
		part = min(float64(h.Fronts)/float64(h.All), 1)
	}
	if r.began.IsZero() {
		r.began = now
	}
	r.heard.All = h.All
	for name, a := range r.accounts {
		r.refill(now, name, a)
		switch {
		case part < r.part && a.level > 0:
			a.level *= part / r.part // the others take theirs with them
		case part > r.part && now.Sub(r.began) < startTime:
			a.level += startPart * (r.most(a.limit, part) - r.most(a.limit, r.part))
		}
	}
	r.heard, r.part, r.at = h, part, now
}

// Forget takes all buckets to be empty: this front has not run for a while.
func (r *Ration) Forget(now time.Time) {
	for _, a := range r.accounts {
		a.level, a.at = min(a.level, 0), now
	}
	r.heard.Used = nil
}

// Used returns what this front let in during the last Period.
func (r *Ration) Used(now time.Time) map[string]int {
	out := map[string]int{}
	for name, a := range r.accounts {
		if n := a.used.sum(now); n > 0 {
			out[name] = n
		}
	}
	return out
}

// Left returns which part of its largest level each account has left.
func (r *Ration) Left(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(r.accounts))
	for name, a := range r.accounts {
		r.refill(now, name, a)
		out[name] = max(a.level, 0) / max(r.most(a.limit, r.part), 1)
	}
	return out
}

// fits tells whether this front may let one more in while the others' last requests
// are not known. Level is what there is for requests like it.
func (r *Ration) fits(now time.Time, name string, a *account, level, free float64) bool {
	own, others := float64(a.used.sum(now)), r.others(name)
	if max(own+others, r.guess(own)) < free*(a.level+own) { // the level before any of this Period
		return true
	}
	level += own
	part := 1 / float64(max(r.heard.Fronts, 1))
	if own+others > 0 {
		part = (part + own/(own+others)) / 2
	}
	most := part * level
	// A part of less than one request is one request now and then.
	whole := math.Floor(most)
	if r.Draw != nil && r.Draw() < most-whole {
		whole++
	}
	return own+1 <= whole
}

// guess is how many requests all fronts let in at least, if the others let in as many as
// this one: a flood shows here before the others can tell of it.
func (r *Ration) guess(own float64) float64 {
	return (own - math.Sqrt(own)) * float64(r.heard.Fronts)
}

// after is when a refused caller may come back: once there is room for it and for those
// that were refused before it, and not all at once.
func (r *Ration) after(now time.Time, name string, a *account, short float64) time.Duration {
	ahead := max(short, 0) + float64(a.refused.sum(now))
	if float64(a.used.sum(now))+r.others(name) > busy*r.rate(a.limit)*Period.Seconds() {
		ahead = max(short, 0) + float64(a.refused.sum(now)*r.heard.Fronts) // as many elsewhere
	}
	wait := latest
	if rate := r.rate(a.limit); rate > 0 {
		wait = min(time.Duration(ahead/rate*float64(time.Second)), latest)
	}
	wait = max(wait, soonest)
	if r.Draw != nil {
		wait += time.Duration((r.Draw() - 0.5) * float64(wait))
	}
	return wait
}

// rate is what this front and those that it hears may let in a second.
func (r *Ration) rate(l Limit) float64 { return l.Rate * r.part }

// most is the largest level for a part of the limit. A front that is alone has room for one
// request at least, unless all that could be alone at the same time would let too many in.
func (r *Ration) most(l Limit, part float64) float64 {
	t := r.Tolerance
	tolerated := t.Over*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	most := (l.Burst + useOver*tolerated) * part
	if part > 0 && float64(r.heard.All) <= l.Burst+(1-useOver)*tolerated {
		return max(most, 1)
	}
	return most
}

func (r *Ration) others(name string) float64 { return float64(r.heard.Used[name]) }

// account returns the account at its level of now, nil if it has no limit.
func (r *Ration) account(now time.Time, name string) *account {
	r.wake(now)
	a := r.accounts[name]
	if a != nil {
		r.refill(now, name, a)
	}
	return a
}

// wake notices that this front has not run.
func (r *Ration) wake(now time.Time) {
	if !r.at.IsZero() && now.Sub(r.at) > gap {
		r.Forget(now)
		r.at = now
	}
}

// refill reckons the level at a time.
func (r *Ration) refill(now time.Time, name string, a *account) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	a.at = now
	a.level += passed.Seconds() * (r.rate(a.limit) - r.others(name)/Period.Seconds())
	most := r.most(a.limit, r.part)
	a.level = max(min(a.level, most), -most)
}

func (a *account) use(now time.Time, n int) {
	a.used.add(now, n)
	a.level -= float64(n)
}
