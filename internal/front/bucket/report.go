package bucket

import "time"

// Used returns the requests that this front admitted during the last Period, by account.
func (r *Buckets) Used(now time.Time) map[string]int {
	return r.sums(now, func(a *account) *window { return &a.used })
}

// Begun returns the sum of the sizes of the programs that this front admitted during the last Period,
// in tenths of the mean size, by account.
func (r *Buckets) Begun(now time.Time) map[string]int {
	return r.sums(now, func(a *account) *window { return &a.begun })
}

// sums returns the sums of a window of each account that are not 0.
func (r *Buckets) sums(now time.Time, of func(*account) *window) map[string]int {
	out := map[string]int{}
	for name, a := range r.accounts {
		if n := of(a).sum(now); n > 0 {
			out[name] = n
		}
	}
	return out
}

// Remaining returns the level of each account as a part of its capacity, from 0 to 1.
func (r *Buckets) Remaining(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(r.accounts))
	for name, a := range r.accounts {
		r.refill(now, a)
		out[name] = max(a.level, 0) / max(r.capacity(a.limit, r.groupShare), 1)
	}
	return out
}

// Programs returns the number of programs in progress of each account, by the forecast.
func (r *Buckets) Programs(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(r.accounts))
	for name, a := range r.accounts {
		r.refill(now, a)
		out[name] = a.forecast.Programs()
	}
	return out
}
