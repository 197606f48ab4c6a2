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
	counts [slots]int32
	total  int32 // sum of counts
	slot   int64 // index of the newest slot, counted from start
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.slot%slots] += int32(n)
	w.total += int32(n)
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	return int(max(w.total, 0))
}

// advance clears the slots that are older than a Period.
func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	next := int64(now.Sub(w.start) / slot)
	if next <= w.slot {
		return
	}
	for i := max(w.slot+1, next-slots+1); i <= next; i++ {
		w.total -= w.counts[i%slots]
		w.counts[i%slots] = 0
	}
	w.slot = next
}
