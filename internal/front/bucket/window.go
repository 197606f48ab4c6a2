package bucket

import "time"

const (
	// slots is the number of slots in a Period.
	slots = 10
	slot  = Period / slots
)

// window is a sliding count over the last Period.
type window struct {
	start  time.Time // of the first slot; monotonic, so steps of the wall clock have no effect
	counts [slots]int
	slot   int64 // index of the newest slot, counted from start
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.slot%slots] += n
}

func (w *window) sum(now time.Time) (sum int) {
	w.advance(now)
	for _, n := range w.counts {
		sum += n
	}
	return max(sum, 0)
}

// advance clears the slots that are older than a Period.
func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	next := int64(now.Sub(w.start) / slot)
	for i := max(w.slot+1, next-slots+1); i <= next; i++ {
		w.counts[i%slots] = 0
	}
	w.slot = max(w.slot, next)
}
