// Package bucket is a distributed rate limiter: it decides which requests of an account
// one front admits, so that all fronts together keep the account's limit.
//
// The limit of an account is a token bucket over all fronts: it fills at a rate in
// requests a second, up to a burst. The bucket is not stored in one place. Each front
// estimates its level from the requests that it admitted itself and the sums that the
// other fronts report for the last Period, which are part of the datagrams that fronts
// exchange anyway. What the others admitted since their last report is not known, so once
// the known sum of a Period exceeds a part of the level, a front admits no more than its
// share of the level within that Period. The shares of all fronts add up to the level if all
// reports are current. Until the first reports of a flood arrive the sum can exceed it.
//
// Fronts that can't communicate can't share one bucket. A front computes the ratio of the
// live fronts to those that recently existed; the live fronts together use this part of
// each limit, so the parts of two sides of a partition add up to the whole. A front that
// has not run for a while assumes an empty bucket, since it does not know what the others
// admitted meanwhile. One that has just started assumes a partly filled one.
//
// Buckets is a state machine without clock, lock or network.
package bucket

import (
	"math"
	"time"
)

const (
	// Period is the time over which fronts report the number of admitted requests.
	Period = 300 * time.Millisecond
	// stallTime is the time without a call of Update after which this front counts as not
	// having run: Update is called ten times a second even without other fronts.
	stallTime = time.Second
	// toleranceUse is the part of the tolerance above a limit that is added to the
	// capacity. The rest covers what fronts can't know of each other.
	toleranceUse = 0.1
	// startedReserve is the part of the capacity that is reserved for started programs,
	// which fail if one of their calls is refused.
	startedReserve = 0.6
	// freeUse is the part of the level that all fronts may admit within a Period before
	// each of them is limited to its share, and freeUseStarted the same for started
	// programs: only new programs arrive in floods.
	freeUse        = 0.35
	freeUseStarted = 0.7
	// busyUse is the part of its rate from which an account is assumed to be refused by
	// all fronts, and not only by this one.
	busyUse = 0.7
	// initialLevel is the part of the capacity that is available when a front starts. It
	// does not know what it admitted before, so if all fronts restart an account may have
	// just used its whole bucket: the sum of that, this part, and the refill in between
	// stays within the tolerance.
	initialLevel = 0.5
	// startupTime is how long a front takes after its start to discover the others.
	startupTime = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
	// retry, before it is randomized.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

type (
	// Limit is the limit of an account over all fronts.
	Limit struct {
		Rate  float64 // requests a second; 0 is no limit
		Burst float64 // requests in addition to that rate
	}

	// Tolerance is how far the sum of all fronts may exceed a limit within Window: by the
	// part Over of what the limit allows in it, plus Slack requests.
	Tolerance struct {
		Window time.Duration
		Over   float64
		Slack  float64
	}

	// PeerUsage is the state of the other fronts.
	PeerUsage struct {
		Used   map[string]int // requests that they admitted during the last Period, by account
		Fronts int            // live fronts, this one included; 0 if this front may not use any part of the limits
		Total  int            // fronts that recently existed, this one included
	}

	// Decision reports whether a request is admitted.
	Decision struct {
		OK         bool
		RetryAfter time.Duration // for a refused request
		NoShare    bool          // refused because this front has no part of the limits
	}

	// Buckets is the limiter of one front. Set Tolerance before use.
	Buckets struct {
		Tolerance Tolerance
		// Rand returns a random number in [0, 1); nil disables randomization.
		Rand func() float64

		accounts    map[string]*account
		peers       PeerUsage
		groupShare  float64 // part of all limits that the live fronts may use together; 0 before the first Update
		lastUpdate  time.Time
		firstUpdate time.Time // time of the first Update
	}

	account struct {
		limit   Limit
		level   float64 // requests that the live fronts together may admit now
		at      time.Time
		used    window // requests admitted by this front
		refused window // requests refused by this front
	}
)

// Limit replaces the limits, by account. An account without a rate is not limited.
func (r *Buckets) Limit(now time.Time, limits map[string]Limit) {
	next := make(map[string]*account, len(limits))
	for name, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		a := r.accounts[name]
		if a == nil {
			a = &account{at: now, level: initialLevel * r.capacity(l, r.groupShare)}
		}
		r.refill(now, name, a)
		a.limit = l
		next[name] = a
	}
	r.accounts = next
}

// Take decides on one request of an account, and counts it if it is admitted. Started
// reports whether it belongs to a program that has started.
func (r *Buckets) Take(now time.Time, name string, started bool) Decision {
	v := r.Check(now, name)
	a := r.accounts[name]
	if !v.OK || a == nil {
		return v
	}
	level, free := a.level, freeUseStarted
	if !started {
		level -= startedReserve * max(r.capacity(a.limit, r.groupShare)-1, 0)
		free = freeUse
	}
	if level < 1 || !r.fits(now, name, a, level, free) {
		return r.refuse(now, name, a, level)
	}
	a.use(now, 1)
	return v
}

// Check reports whether an account is refused whatever the request. It counts a refusal for
// lack of level, which retryAfter takes into account, but no admission.
func (r *Buckets) Check(now time.Time, name string) Decision {
	a := r.account(now, name)
	switch {
	case a == nil:
		return Decision{OK: true}
	case r.groupShare == 0:
		return Decision{RetryAfter: maxRetryAfter, NoShare: true}
	case a.level < 1:
		return r.refuse(now, name, a, a.level)
	}
	return Decision{OK: true}
}

func (r *Buckets) refuse(now time.Time, name string, a *account, level float64) Decision {
	a.refused.add(now, 1)
	return Decision{RetryAfter: r.retryAfter(now, name, a, 1-level)}
}

// Add counts a request that is sent again.
func (r *Buckets) Add(now time.Time, name string) {
	if a := r.account(now, name); a != nil {
		a.use(now, 1)
	}
}

// Refund undoes the count of a request that reached no upstream.
func (r *Buckets) Refund(now time.Time, name string) {
	if a := r.account(now, name); a != nil {
		a.use(now, -1)
	}
}

// Update sets the state of the other fronts. It must be called several times a second,
// even if there are none.
func (r *Buckets) Update(now time.Time, u PeerUsage) {
	r.detectStall(now)
	groupShare := 1.0
	if u.Total > 0 {
		groupShare = min(float64(u.Fronts)/float64(u.Total), 1)
	}
	if r.firstUpdate.IsZero() {
		r.firstUpdate = now
	}
	r.peers.Total = u.Total
	for name, a := range r.accounts {
		r.refill(now, name, a)
		switch {
		case groupShare < r.groupShare && a.level > 0:
			a.level *= groupShare / r.groupShare // the rest belongs to the fronts that are no longer live
		case groupShare > r.groupShare && now.Sub(r.firstUpdate) < startupTime:
			a.level += initialLevel * (r.capacity(a.limit, groupShare) - r.capacity(a.limit, r.groupShare))
		}
	}
	r.peers, r.groupShare, r.lastUpdate = u, groupShare, now
}

// Drain empties all buckets, for a front that has not run for a while.
func (r *Buckets) Drain(now time.Time) {
	for _, a := range r.accounts {
		a.level, a.at = min(a.level, 0), now
	}
	r.peers.Used = nil
}

// Used returns the requests that this front admitted during the last Period, by account.
func (r *Buckets) Used(now time.Time) map[string]int {
	out := map[string]int{}
	for name, a := range r.accounts {
		if n := a.used.sum(now); n > 0 {
			out[name] = n
		}
	}
	return out
}

// Remaining returns the level of each account as a part of its capacity, from 0 to 1.
func (r *Buckets) Remaining(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(r.accounts))
	for name, a := range r.accounts {
		r.refill(now, name, a)
		out[name] = max(a.level, 0) / max(r.capacity(a.limit, r.groupShare), 1)
	}
	return out
}

// fits reports whether this front may admit one more request while the others' latest
// requests are not known. Level is the part of the bucket's level that this kind of
// request may use, free the part of it up to which shares are not enforced.
func (r *Buckets) fits(now time.Time, name string, a *account, level, free float64) bool {
	own, others := float64(a.used.sum(now)), r.others(name)
	if max(own+others, r.estimateTotal(own)) < free*(a.level+own) { // level before own requests
		return true
	}
	level += own
	share := 1 / float64(max(r.peers.Fronts, 1))
	if own+others > 0 {
		share = (share + own/(own+others)) / 2
	}
	most := share * level
	// A fraction of a request is rounded up with a probability equal to the fraction.
	whole := math.Floor(most)
	if r.Rand != nil && r.Rand() < most-whole {
		whole++
	}
	return own+1 <= whole
}

// estimateTotal returns a lower estimate of the requests admitted by all fronts, if the
// others admit as many as this one: it detects a flood before the others' reports arrive.
func (r *Buckets) estimateTotal(own float64) float64 {
	return (own - math.Sqrt(own)) * float64(r.peers.Fronts)
}

// retryAfter returns when a refused caller may retry: once there is room for it and for
// the requests that were refused before it, randomized so that not all retry at once.
func (r *Buckets) retryAfter(now time.Time, name string, a *account, short float64) time.Duration {
	ahead := max(short, 0) + float64(a.refused.sum(now))
	if float64(a.used.sum(now))+r.others(name) > busyUse*r.rate(a.limit)*Period.Seconds() {
		ahead = max(short, 0) + float64(a.refused.sum(now)*r.peers.Fronts) // assumes as many refusals at each live front
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

// rate is the number of requests that the live fronts together may admit in a second.
func (r *Buckets) rate(l Limit) float64 { return l.Rate * r.groupShare }

// capacity is the largest level for a part of the limit. It is at least one request, so
// that an isolated front can admit any, unless all fronts would exceed the tolerance if
// they were isolated at the same time.
func (r *Buckets) capacity(l Limit, groupShare float64) float64 {
	t := r.Tolerance
	tolerated := t.Over*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	capacity := (l.Burst + toleranceUse*tolerated) * groupShare
	if groupShare > 0 && float64(r.peers.Total) <= l.Burst+(1-toleranceUse)*tolerated {
		return max(capacity, 1)
	}
	return capacity
}

func (r *Buckets) others(name string) float64 { return float64(r.peers.Used[name]) }

// account returns the account with its level updated, nil if it has no limit.
func (r *Buckets) account(now time.Time, name string) *account {
	r.detectStall(now)
	a := r.accounts[name]
	if a != nil {
		r.refill(now, name, a)
	}
	return a
}

// detectStall empties the buckets if this front has not run for stallTime.
func (r *Buckets) detectStall(now time.Time) {
	if !r.lastUpdate.IsZero() && now.Sub(r.lastUpdate) > stallTime {
		r.Drain(now)
		r.lastUpdate = now
	}
}

// refill updates the level by the time passed, and by the rate at which the other fronts
// admit requests.
func (r *Buckets) refill(now time.Time, name string, a *account) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	a.at = now
	a.level += passed.Seconds() * (r.rate(a.limit) - r.others(name)/Period.Seconds())
	capacity := r.capacity(a.limit, r.groupShare)
	a.level = max(min(a.level, capacity), -capacity)
}

func (a *account) use(now time.Time, n int) {
	a.used.add(now, n)
	a.level -= float64(n)
}
