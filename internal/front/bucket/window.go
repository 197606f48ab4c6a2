package bucket

import "time"

const (
	// slots divide a Period.
	slots = 10
	slot  = Period / slots
)

// window counts what happened during the last Period.
type window struct {
	start  time.Time // of the first slot; steps of the time of day don't matter so
	counts [slots]int
	slot   int64 // of the newest
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

// turn empties the slots that lie a Period back.
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
