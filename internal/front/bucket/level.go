package bucket

import "time"

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

// account returns the account with its level updated, nil if it has no limit.
func (r *Buckets) account(now time.Time, name string) *account {
	r.detectStall(now)
	a := r.accounts[name]
	if a != nil {
		r.refill(now, a)
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
func (r *Buckets) refill(now time.Time, a *account) {
	if a.quiet {
		a.at, a.forecastAt = now, now
		return
	}
	passed := now.Sub(a.at)
	if passed < refillStep {
		return
	}
	r.accrue(now, a, passed)
	a.at = now
	a.level += passed.Seconds() * (r.rate(a.limit) - a.others.used/Period.Seconds())
	capacity := r.capacity(a.limit, r.groupShare)
	a.level = max(min(a.level, capacity), -capacity)
	a.quiet = a.level == capacity && a.others == others{} && a.forecast.Remaining() < 0.01 && !a.limited()
	if passed = now.Sub(a.forecastAt); passed >= forecastStep {
		a.forecastAt = now
		a.forecast.Advance(passed, a.others.used/Period.Seconds(), a.others.begun/Period.Seconds())
	}
}

// of returns the counts of an account.
func (u PeerUsage) of(name string) (o others) {
	o.used = float64(u.Used[name])
	if o.used == 0 && len(u.Waiting) == 0 {
		return o // as for most of thousands of accounts
	}
	o.begun, o.waiting, o.waitingBegun = float64(u.Begun[name])/sizesPerProgram, float64(u.Waiting[name]), float64(u.WaitingBegun[name])
	return o
}

// hear replaces what is known of the other fronts.
func (a *account) hear(o others) {
	if !a.current && o.used > 0 {
		a.forecast.Resume((o.used + o.waitingBegun) / Period.Seconds())
	}
	a.others, a.current = o, true
	a.quiet = a.quiet && o == others{}
}

func (a *account) use(now time.Time, n int) {
	a.used.add(now, n)
	a.level -= float64(n)
	a.quiet = false
	a.forecast.Admit(float64(n))
}

// ahead returns the number of requests that wait before one of the class that arrives now,
// over all fronts.
func (a *account) ahead(class Class) int {
	if class == Begun {
		return a.shares[Begun].waiting + int(a.others.waitingBegun)
	}
	return a.shares[Begun].waiting + a.shares[New].waiting + int(a.others.waiting)
}
