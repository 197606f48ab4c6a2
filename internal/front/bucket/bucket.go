// Package bucket is a distributed rate limiter: it decides which requests of an account
// one front admits, so that all fronts together keep the account's limit.
//
// The limit of an account is a token bucket over all fronts: it fills at a rate in
// requests a second, up to a burst. The bucket is not stored in one place. Each front
// estimates its level from the requests that it admitted itself and the sums that the
// other fronts report for the last Period, which are part of the datagrams that fronts
// exchange anyway. What the others admitted since their last report is not known, so once
// the known sum of a Period exceeds a part of the level, each front admits only its share,
// by demand, of what all may admit: the level within a Period. The shares of all fronts add
// up to one if all reports are current. Until the first reports of a flood arrive the sum
// can exceed the level.
//
// New programs are admitted in the same way, against the number of programs for which the
// limit suffices by the forecast of package demand.
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
	"time"

	"github.com/slaterock/slaterock/internal/front/demand"
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
	// freeUse is the part of what is available to all fronts that they may admit within a
	// Period before each of them is limited to its share: of the programs that may begin, and
	// of the level for other requests. Programs begin in floods, other requests do not.
	freeUse      = 0.25
	freeUseBegun = 0.7
	// refillStep is the shortest step in which the level is refilled: a busy account need not
	// be brought up to date for each request.
	refillStep = time.Millisecond
	// forecastStep is the shortest step in which the forecast is advanced.
	forecastStep = 10 * time.Millisecond
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

	// PeerUsage is the state of the other fronts. The counts are by account.
	PeerUsage struct {
		Used    map[string]int // requests that they admitted during the last Period
		Waiting map[string]int // requests that wait there for the limit
		// WaitingBegun is the part of Waiting that belongs to programs that have begun.
		WaitingBegun map[string]int
		Begun        map[string]int // sizes of programs that they admitted during the last Period, as returned by Begun
		Fronts       int            // live fronts, this one included; 0 if this front may not use any part of the limits
		Total        int            // fronts that recently existed, this one included
	}

	// Class is the class of a request.
	Class int

	// Decision reports whether a request is admitted.
	Decision struct {
		OK         bool
		RetryAfter time.Duration // for a refused request
		NoShare    bool          // refused because this front has no part of the limits
		Ahead      int           // requests that waited before this one, over all fronts
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
		limit    Limit
		level    float64 // requests that the live fronts together may admit now
		at       time.Time
		used     window  // requests admitted by this front
		begun    window  // sizes of programs admitted by this front, in units
		length   float64 // mean time that its programs are given, in seconds; 0 if unknown
		refused  window  // requests refused by this front
		forecast demand.Forecast
		others   others
		// forecastAt is the time up to which the forecast was advanced.
		forecastAt time.Time
		quiet      bool // full, and not used anywhere: time changes nothing
		current    bool // others was reported since the last start or Drain
		shares     [classes]share
	}

	// others is what the other fronts reported about an account.
	others struct{ used, begun, waiting, waitingBegun float64 }
)

const (
	// Begun is the class of requests of programs that have begun, and of requests that
	// belong to no program.
	Begun Class = iota
	// New is the class of requests that begin a program.
	New
	classes
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
			a = &account{at: now, forecastAt: now, level: initialLevel * r.capacity(l, r.groupShare)}
		}
		r.refill(now, a)
		a.limit, a.quiet = l, false
		next[name] = a
	}
	r.accounts = next
}

// Take decides on one request of an account, and counts it if it is admitted. Started
// reports whether it belongs to a program that has started.
func (r *Buckets) Take(now time.Time, name string, started bool) Decision {
	class := New
	if started {
		class = Begun
	}
	if r.Admit(now, name, class, 1) {
		return Decision{OK: true}
	}
	return r.Refuse(now, name, class)
}

// Admit takes one request of a class and reports whether it is admitted. Size is that of the program
// that a request of the class New begins, and 1 for others. A request that is not admitted may wait
// on: Refuse counts those that are refused.
func (r *Buckets) Admit(now time.Time, name string, class Class, size float64) bool {
	a := r.account(now, name)
	switch {
	case a == nil:
		return true
	case r.groupShare == 0, a.level < 1, !r.fits(now, a, class, size):
		return false
	}
	if class == New {
		a.forecast.Begin(size)
		a.begun.add(now, sizeUnits(size))
	}
	a.use(now, 1)
	return true
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
		return r.Refuse(now, name, Begun)
	}
	return Decision{OK: true}
}

// Observe records the age of a program at a request that was admitted.
func (r *Buckets) Observe(name string, age time.Duration) {
	if a := r.accounts[name]; a != nil {
		a.forecast.Observe(age)
	}
}

// Waiting returns the number of requests that wait for the account's limit at all fronts, as far
// as this one knows.
func (r *Buckets) Waiting(name string) int {
	if a := r.accounts[name]; a != nil {
		return a.ahead(New)
	}
	return 0
}

// Refuse returns the decision on a request that is refused, and counts the refusal, which the
// time to retry of later ones takes into account.
func (r *Buckets) Refuse(now time.Time, name string, class Class) Decision {
	if a := r.account(now, name); a != nil && r.groupShare > 0 {
		a.refused.add(now, 1)
	}
	return r.Deny(now, name, class)
}

// Deny is Refuse for a request that may wait on: it counts nothing.
func (r *Buckets) Deny(now time.Time, name string, class Class) Decision {
	a := r.account(now, name)
	switch {
	case a == nil:
		return Decision{OK: true}
	case r.groupShare == 0:
		return Decision{RetryAfter: maxRetryAfter, NoShare: true}
	}
	return Decision{RetryAfter: r.retryAfter(now, a, class), Ahead: a.ahead(class)}
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

// RefundClass is Refund for a class of requests: a program whose first request reached no
// upstream has not begun.
func (r *Buckets) RefundClass(now time.Time, name string, class Class, size float64) {
	r.Refund(now, name)
	if a := r.accounts[name]; a != nil && class == New {
		a.begun.add(now, -sizeUnits(size))
		a.forecast.Withdraw(size)
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
	total := r.peers.Total
	r.peers.Total = u.Total
	for name, a := range r.accounts {
		r.refill(now, a)
		a.hear(u.of(name))
		a.quiet = a.quiet && groupShare == r.groupShare && u.Total == total
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
		a.others, a.current, a.quiet = others{}, false, false
	}
}

// retryAfter returns when a refused caller may retry: once there are tokens for it and for
// the requests before it at all fronts, randomized so that not all retry at once. A new program
// is refused once it can't end in time any more, and begins when no other one waits. While others
// wait nobody knows when that will be, and a caller that comes back sooner uses up its attempts.
func (r *Buckets) retryAfter(now time.Time, a *account, class Class) time.Duration {
	needed := max(1-a.level, 0) + float64(a.ahead(Begun)+a.refused.sum(now))
	if class == New {
		needed += float64(a.ahead(New)-a.ahead(Begun)) * a.forecast.Requests()
		needed += max(1-a.forecast.Room(a.level, r.rate(a.limit)), 0) * a.forecast.Requests()
	}
	wait := maxRetryAfter
	crowded := class == New && a.ahead(New) > a.ahead(Begun)
	if rate := r.rate(a.limit); rate > 0 && !crowded {
		wait = time.Duration(min(needed/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	wait = max(wait, minRetryAfter)
	if r.Rand != nil {
		wait += time.Duration((r.Rand() - 0.5) * float64(wait))
	}
	return wait
}
