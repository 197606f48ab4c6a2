package quota

import (
	"slices"
	"time"
)

// window is a sliding sum of tokens, kept by the second. Times are counted from
// a moment that its user chooses, so that a step of the wall clock doesn't
// matter. The zero value is empty.
type window struct {
	parts []part // by ascending second
	sum   int64
}

// part is what was added in one second.
type part struct {
	second int64
	tokens int64
}

func (w *window) add(now time.Duration, n int64) {
	if n <= 0 {
		return
	}
	w.sum += n
	s := int64(now / time.Second)
	if last := len(w.parts) - 1; last >= 0 && w.parts[last].second >= s {
		w.parts[last].tokens += n
		return
	}
	w.parts = append(w.parts, part{s, n})
}

// trim drops the seconds that lie at least keep back.
func (w *window) trim(now time.Duration, keep time.Duration) {
	first := int64((now - keep) / time.Second)
	n := 0
	for n < len(w.parts) && w.parts[n].second < first {
		w.sum -= w.parts[n].tokens
		n++
	}
	if n > 0 {
		w.parts = slices.Delete(w.parts, 0, n)
	}
}

// since returns the sum of the seconds that begin after a time.
func (w *window) since(first time.Duration) int64 {
	n := int64(0)
	for i := len(w.parts) - 1; i >= 0 && time.Duration(w.parts[i].second)*time.Second > first; i-- {
		n += w.parts[i].tokens
	}
	return n
}

// frees returns how long it takes until n tokens have left the sum, or 0 if it
// never holds as many.
func (w *window) frees(now time.Duration, n int64, keep time.Duration) time.Duration {
	for _, p := range w.parts {
		if n -= p.tokens; n <= 0 {
			return max(time.Duration(p.second+1)*time.Second+keep-now, 0)
		}
	}
	return 0
}

// elapsed is the time since start, which the first use sets.
func elapsed(start *time.Time, now time.Time) time.Duration {
	if start.IsZero() {
		*start = now
	}
	return now.Sub(*start)
}
