package quota

import (
	"slices"
	"time"
)

// window is a sliding sum of tokens in buckets of one second. Times are durations
// since a start that its user chooses, so that steps of the wall clock have no
// effect. The zero value is empty.
type window struct {
	buckets []bucket // in ascending order
	sum     int64
}

// bucket holds the tokens added in one second.
type bucket struct {
	second int64
	tokens int64
}

func (w *window) add(now time.Duration, n int64) {
	if n <= 0 {
		return
	}
	w.sum += n
	s := int64(now / time.Second)
	if last := len(w.buckets) - 1; last >= 0 && w.buckets[last].second >= s {
		w.buckets[last].tokens += n
		return
	}
	w.buckets = append(w.buckets, bucket{s, n})
}

// trim drops the buckets that ended at least keep ago, in whole seconds.
func (w *window) trim(now time.Duration, keep time.Duration) {
	first := int64((now - keep) / time.Second)
	n := 0
	for n < len(w.buckets) && w.buckets[n].second < first {
		w.sum -= w.buckets[n].tokens
		n++
	}
	if n > 0 {
		w.buckets = slices.Delete(w.buckets, 0, n)
	}
}

// since returns the sum of the buckets that begin after first.
func (w *window) since(first time.Duration) int64 {
	n := int64(0)
	for i := len(w.buckets) - 1; i >= 0 && time.Duration(w.buckets[i].second)*time.Second > first; i-- {
		n += w.buckets[i].tokens
	}
	return n
}

// waitFor returns how long it takes until n tokens have left the window, or 0 if
// it holds fewer than n.
func (w *window) waitFor(now time.Duration, n int64, keep time.Duration) time.Duration {
	for _, p := range w.buckets {
		if n -= p.tokens; n <= 0 {
			return max(time.Duration(p.second+1)*time.Second+keep-now, 0)
		}
	}
	return 0
}

// elapsed returns the time since start, which the first call sets to now.
func elapsed(start *time.Time, now time.Time) time.Duration {
	if start.IsZero() {
		*start = now
	}
	return now.Sub(*start)
}
