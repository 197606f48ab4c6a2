package bucket

import (
	"math"
	"time"
)

const (
	// reportAge is the age that what is known of the other fronts can have: 0.1 s between two
	// reports, 0.1 s between two digests and 0.1 s for one that is lost. What all fronts
	// admit within it must not exceed what is available. It is not less than Period, as
	// what was used is known as the sum of a Period.
	reportAge = Period
	// beginTime is the time in which all fronts use what is available to programs that may
	// begin. Programs that begin are fully known to the others after 0.35 s, half a Period of
	// which is that of the sums. Of 0.35, 0.5, 0.7 and 1.4 s, 1.4 s leaves a tenth of a limit of
	// 60 a second over 62 fronts unused, and below 0.5 s programs wait for longer.
	beginTime = 500 * time.Millisecond
	// maxBeginRate is the largest rate, as a multiple of the one that the limit can finish, at
	// which programs begin that have waited: what was left unused meanwhile is used up slowly
	// enough for the fronts to see it.
	maxBeginRate = 1.5
	// unknownBegun is how many programs, for each that the others reported to have begun during
	// the last Period, are not in the forecast yet: half of those in the sum, and those that
	// began since, in 0.2 s on average. unknownUsed is the same for requests and the level. An
	// excess of requests is only a delay, and a level that is taken for too low leaves a part of
	// the limit unused: 1 in place of 0.4 leaves 0.05 of it.
	unknownBegun = 1.2
	unknownUsed  = 0.4
	// minStep is the shortest time between two decisions on the same waiting request.
	minStep = 5 * time.Millisecond
)

// share is a front's share of what all fronts may admit of a class of requests. A request is
// admitted once the credit, which grows with the share, is 1. The part of a request that a
// front of many has at hand remains until its next request, so that the sum over all fronts
// is right however small the shares are.
type share struct {
	waiting int
	credit  float64
	need    float64 // size of the request that was last not admitted for lack of credit
	// onset is when the class became limited to shares. Reports of what the others have waiting
	// may be missing for reportAge after it.
	onset   time.Time
	lastAt  time.Time // when it was last limited
	limited bool      // it was limited, and lastAt is not older than Period
}

// SetWaiting sets how many requests of an account wait at this front.
func (r *Buckets) SetWaiting(now time.Time, name string, begun, fresh int) {
	if a := r.account(now, name); a != nil {
		a.shares[Begun].waiting, a.shares[New].waiting = begun, fresh
		a.quiet = false
	}
}

// fits reports whether this front may admit one more request of the class, while the others'
// latest requests are not known: until a part of what is available is used, freely, and then
// against the front's credit.
func (r *Buckets) fits(now time.Time, a *account, class Class, size float64) bool {
	available := r.available(a, class, size)
	if class == New && available < size {
		return false
	}
	own, all, free := r.recent(now, a, class)
	s := &a.shares[class]
	if max(all+a.waitingElsewhere(class), r.estimateTotal(own)) < free*(available+own) { // available before own requests
		return true
	}
	if now.Sub(s.lastAt) > reportAge {
		s.onset = now
		if r.Rand != nil && s.lastAt.IsZero() {
			s.credit = r.Rand()
		}
	}
	s.lastAt, s.limited, a.quiet = now, true, false
	if s.credit < size {
		s.need = size
		return false
	}
	s.credit -= size
	return true
}

// limited reports whether requests wait or shares applied within the last Period.
func (a *account) limited() bool {
	return a.shares[Begun].limited || a.shares[New].limited || a.shares[Begun].waiting+a.shares[New].waiting > 0
}

// available returns how many requests of the class all fronts may admit now, if the next program has
// the size.
func (r *Buckets) available(a *account, class Class, size float64) float64 {
	level := a.level - unknownUsed*a.others.used
	if class == Begun {
		return level
	}
	level -= a.others.waitingBegun + float64(a.shares[Begun].waiting)
	room := a.forecast.Room(level-r.margin(a), r.rate(a.limit))
	if a.forecast.Remaining() < 1 {
		room = max(room, size) // a limit that is too small for any program still serves one after the other
	}
	return room - unknownBegun*a.others.begun
}

// margin is the level that new programs leave to those in progress: at this level all fronts
// together may admit requests at the account's rate.
func (r *Buckets) margin(a *account) float64 {
	return min(r.rate(a.limit)*reportAge.Seconds(), r.capacity(a.limit, r.groupShare)/2)
}

// recent returns how many requests of the class this front and all fronts admitted within the
// last Period, and the part of what is available up to which shares do not apply.
func (r *Buckets) recent(now time.Time, a *account, class Class) (own, all, free float64) {
	if class == Begun {
		own = float64(a.used.sum(now))
		return own, own + a.others.used, freeUseBegun
	}
	own = float64(a.begun.sum(now)) / sizesPerProgram
	return own, own + a.others.begun, freeUse
}

// accrue adds to the credits what this front's shares yield in the time passed.
func (r *Buckets) accrue(now time.Time, a *account, passed time.Duration) {
	for class := range classes {
		s := &a.shares[class]
		if s.waiting == 0 && !s.limited {
			continue
		}
		s.limited = now.Sub(s.lastAt) <= Period
		rate := r.creditRate(now, a, class)
		most := 1.0
		if s.waiting > 0 {
			most = max(1, s.need, rate*Period.Seconds())
		}
		s.credit = max(min(s.credit+rate*passed.Seconds(), most), min(s.credit, 1))
	}
}

// creditRate returns how many requests of the class this front may admit per second: its
// share, by demand, of what all fronts may admit.
func (r *Buckets) creditRate(now time.Time, a *account, class Class) float64 {
	all := max(r.available(a, class, 1), 0)
	if class == Begun {
		all /= reportAge.Seconds()
	} else {
		all = min(all/beginTime.Seconds(), maxBeginRate*r.rate(a.limit)/a.forecast.Requests())
	}
	return all * r.part(now, a, class)
}

// part returns this front's part of the demand of all fronts: of what was admitted recently
// and what waits. For reportAge after the onset of a flood the others may not have reported
// theirs, so it is assumed that they have as much as this front.
func (r *Buckets) part(now time.Time, a *account, class Class) float64 {
	own, all, _ := r.recent(now, a, class)
	s := &a.shares[class]
	own += float64(s.waiting)
	all += float64(s.waiting)
	all += a.waitingElsewhere(class)
	if now.Sub(s.onset) <= reportAge {
		all = max(all, r.estimateTotal(own))
	}
	if all <= 0 {
		return 0
	}
	return own / all
}

// waitingElsewhere returns how many requests of the class wait at the other fronts.
func (a *account) waitingElsewhere(class Class) float64 {
	if class == Begun {
		return a.others.waitingBegun
	}
	return max(a.others.waiting-a.others.waitingBegun, 0)
}

// estimateTotal returns a lower estimate of the requests admitted by all fronts, if the
// others admit as many as this one: it detects a flood before the others' reports arrive.
func (r *Buckets) estimateTotal(own float64) float64 {
	return (own - math.Sqrt(own)) * float64(r.peers.Fronts)
}

// Next returns in what time a waiting request of the class may be admitted, if the other fronts
// go on as they do; their reports may change this.
func (r *Buckets) Next(now time.Time, name string, class Class) time.Duration {
	a := r.account(now, name)
	if a == nil || r.groupShare == 0 {
		return Period
	}
	seconds := 0.0
	if a.level < 1 {
		seconds = (1 - a.level) / max(r.rate(a.limit)-a.others.used/Period.Seconds(), 0.1)
	}
	if short := max(a.shares[class].need, 1) - a.shares[class].credit; short > 0 {
		seconds = max(seconds, short/max(r.creditRate(now, a, class), 0.1))
	}
	return max(min(time.Duration(seconds*float64(time.Second)), Period), minStep)
}

// Infeasible reports whether a request can't be admitted within the time, even if no other one
// is admitted before.
func (r *Buckets) Infeasible(now time.Time, name string, within time.Duration) bool {
	a := r.account(now, name)
	if a == nil {
		return false
	}
	return r.groupShare == 0 || within <= 0 || a.level+within.Seconds()*r.rate(a.limit) < 1
}
