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
package bucket

import (
	"math"
	"time"
)

const (
	// Period is the time over which fronts say how many requests they let in.
	Period = 300 * time.Millisecond
	// gap is the time without any word of the others after which this front counts
	// as one that has not run: even alone it takes ten looks a second.
	stallTime = time.Second
	// useOver is how much of what the operator tolerates above a limit is lent. The rest
	// is for what fronts can't know of each other.
	toleranceUse = 0.1
	// reserve is the part of the largest level that new programs leave to those that
	// have begun, which fail if one of their calls is refused.
	startedReserve = 0.6
	// calm is the part of the level that all fronts may let in within a Period before
	// each of them is held to its part, and calmBegun the same for programs that have
	// begun: only new ones come in a flood.
	freeUse        = 0.35
	freeUseStarted = 0.7
	// busy is the part of its rate that an account uses whose callers are refused by all
	// fronts, and not by this one only.
	busyUse = 0.7
	// startPart is the part of the largest level that is there when a front starts. What
	// it let in before is not known to it, so with all fronts started anew an account may
	// have used its whole bucket a moment ago: that, this part, and what fills up meanwhile
	// stay within what is tolerated.
	initialLevel = 0.5
	// startTime is how long a front that has started finds the others.
	startupTime = 2 * time.Second
	// soonest and latest bound the time after which a refused caller may come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
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
	PeerUsage struct {
		Used   map[string]int // requests let in during the last Period, by account
		Fronts int            // that are heard of, this one included
		Total  int            // that there were lately, this one included
	}

	// Verdict tells whether a request is let in.
	Decision struct {
		OK         bool
		RetryAfter time.Duration // until there is room; of a refusal
		NoShare    bool          // refused since this front has no part of any limit
	}

	// Ration is one front's part. Set Tolerance before use.
	Limiter struct {
		Tolerance Tolerance
		// Draw returns a number of at least 0 and below 1.
		Rand func() float64

		accounts    map[string]*account
		peers       PeerUsage
		share       float64 // of all limits that those heard of may use; 0 before any word
		lastUpdate  time.Time
		firstUpdate time.Time // when the first word came
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
func (r *Limiter) Limit(now time.Time, limits map[string]Limit) {
	next := make(map[string]*account, len(limits))
	for name, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		a := r.accounts[name]
		if a == nil {
			a = &account{at: now, level: initialLevel * r.capacity(l, r.share)}
		}
		r.refill(now, name, a)
		a.limit = l
		next[name] = a
	}
	r.accounts = next
}

// Take asks for one request of an account. Begun tells that it belongs to a program that
// has begun.
func (r *Limiter) Take(now time.Time, name string, started bool) Decision {
	v := r.Peek(now, name)
	a := r.accounts[name]
	if !v.OK || a == nil {
		return v
	}
	level, free := a.level, freeUseStarted
	if !started {
		level -= startedReserve * max(r.capacity(a.limit, r.share)-1, 0)
		free = freeUse
	}
	if level < 1 || !r.fits(now, name, a, level, free) {
		return r.refuse(now, name, a, level)
	}
	a.use(now, 1)
	return v
}

// Look tells whether there is room for any request of an account, and takes none.
func (r *Limiter) Peek(now time.Time, name string) Decision {
	a := r.account(now, name)
	switch {
	case a == nil:
		return Decision{OK: true}
	case r.share == 0:
		return Decision{RetryAfter: maxRetryAfter, NoShare: true}
	case a.level < 1:
		return r.refuse(now, name, a, a.level)
	}
	return Decision{OK: true}
}

func (r *Limiter) refuse(now time.Time, name string, a *account, level float64) Decision {
	a.refused.add(now, 1)
	return Decision{RetryAfter: r.retryAfter(now, name, a, 1-level)}
}

// Add counts a request that is sent once more.
func (r *Limiter) Add(now time.Time, name string) {
	if a := r.account(now, name); a != nil {
		a.use(now, 1)
	}
}

// GiveBack counts a request no more: it reached no upstream.
func (r *Limiter) Refund(now time.Time, name string) {
	if a := r.account(now, name); a != nil {
		a.use(now, -1)
	}
}

// Hear takes what the other fronts have said. It is to be called some times a second,
// also if none is heard.
func (r *Limiter) Update(now time.Time, h PeerUsage) {
	r.detectStall(now)
	share := 1.0
	if h.Total > 0 {
		share = min(float64(h.Fronts)/float64(h.Total), 1)
	}
	if r.firstUpdate.IsZero() {
		r.firstUpdate = now
	}
	r.peers.Total = h.Total
	for name, a := range r.accounts {
		r.refill(now, name, a)
		switch {
		case share < r.share && a.level > 0:
			a.level *= share / r.share // the others take theirs with them
		case share > r.share && now.Sub(r.firstUpdate) < startupTime:
			a.level += initialLevel * (r.capacity(a.limit, share) - r.capacity(a.limit, r.share))
		}
	}
	r.peers, r.share, r.lastUpdate = h, share, now
}

// Forget takes all buckets to be empty: this front has not run for a while.
func (r *Limiter) Drain(now time.Time) {
	for _, a := range r.accounts {
		a.level, a.at = min(a.level, 0), now
	}
	r.peers.Used = nil
}

// Used returns what this front let in during the last Period.
func (r *Limiter) Used(now time.Time) map[string]int {
	out := map[string]int{}
	for name, a := range r.accounts {
		if n := a.used.sum(now); n > 0 {
			out[name] = n
		}
	}
	return out
}

// Left returns which part of its largest level each account has left.
func (r *Limiter) Remaining(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(r.accounts))
	for name, a := range r.accounts {
		r.refill(now, name, a)
		out[name] = max(a.level, 0) / max(r.capacity(a.limit, r.share), 1)
	}
	return out
}

// fits tells whether this front may let one more in while the others' last requests
// are not known. Level is what there is for requests like it.
func (r *Limiter) fits(now time.Time, name string, a *account, level, free float64) bool {
	own, others := float64(a.used.sum(now)), r.others(name)
	if max(own+others, r.estimateTotal(own)) < free*(a.level+own) { // the level before any of this Period
		return true
	}
	level += own
	share := 1 / float64(max(r.peers.Fronts, 1))
	if own+others > 0 {
		share = (share + own/(own+others)) / 2
	}
	most := share * level
	// A part of less than one request is one request now and then.
	whole := math.Floor(most)
	if r.Rand != nil && r.Rand() < most-whole {
		whole++
	}
	return own+1 <= whole
}

// guess is how many requests all fronts let in at least, if the others let in as many as
// this one: a flood shows here before the others can tell of it.
func (r *Limiter) estimateTotal(own float64) float64 {
	return (own - math.Sqrt(own)) * float64(r.peers.Fronts)
}

// after is when a refused caller may come back: once there is room for it and for those
// that were refused before it, and not all at once.
func (r *Limiter) retryAfter(now time.Time, name string, a *account, short float64) time.Duration {
	ahead := max(short, 0) + float64(a.refused.sum(now))
	if float64(a.used.sum(now))+r.others(name) > busyUse*r.rate(a.limit)*Period.Seconds() {
		ahead = max(short, 0) + float64(a.refused.sum(now)*r.peers.Fronts) // as many elsewhere
	}
	wait := maxRetryAfter
	if rate := r.rate(a.limit); rate > 0 {
		wait = min(time.Duration(ahead/rate*float64(time.Second)), maxRetryAfter)
	}
	wait = max(wait, minRetryAfter)
	if r.Rand != nil {
		wait += time.Duration((r.Rand() - 0.5) * float64(wait))
	}
	return wait
}

// rate is what this front and those that it hears may let in a second.
func (r *Limiter) rate(l Limit) float64 { return l.Rate * r.share }

// most is the largest level for a part of the limit. A front that is alone has room for one
// request at least, unless all that could be alone at the same time would let too many in.
func (r *Limiter) capacity(l Limit, share float64) float64 {
	t := r.Tolerance
	tolerated := t.Over*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	capacity := (l.Burst + toleranceUse*tolerated) * share
	if share > 0 && float64(r.peers.Total) <= l.Burst+(1-toleranceUse)*tolerated {
		return max(capacity, 1)
	}
	return capacity
}

func (r *Limiter) others(name string) float64 { return float64(r.peers.Used[name]) }

// account returns the account at its level of now, nil if it has no limit.
func (r *Limiter) account(now time.Time, name string) *account {
	r.detectStall(now)
	a := r.accounts[name]
	if a != nil {
		r.refill(now, name, a)
	}
	return a
}

// wake notices that this front has not run.
func (r *Limiter) detectStall(now time.Time) {
	if !r.lastUpdate.IsZero() && now.Sub(r.lastUpdate) > stallTime {
		r.Drain(now)
		r.lastUpdate = now
	}
}

// refill reckons the level at a time.
func (r *Limiter) refill(now time.Time, name string, a *account) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	a.at = now
	a.level += passed.Seconds() * (r.rate(a.limit) - r.others(name)/Period.Seconds())
	capacity := r.capacity(a.limit, r.share)
	a.level = max(min(a.level, capacity), -capacity)
}

func (a *account) use(now time.Time, n int) {
	a.used.add(now, n)
	a.level -= float64(n)
}
