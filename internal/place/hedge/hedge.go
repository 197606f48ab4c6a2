// Package hedge computes after which time a second, concurrent attempt is worth
// its cost: the 95th percentile of the recent calls of the same service.
package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows      = 2
	lowest       = int64(100 * time.Microsecond)
	highest      = int64(10 * time.Minute)
	digits       = 2
	quantile     = 95
	minSamples   = 20 // fewer don't determine the 95th percentile
	windowLength = 30 * time.Second
)

type (
	// Hedge holds the recent durations of one service. The zero value has no
	// threshold yet.
	Hedge struct {
		hist    *hdrhistogram.WindowedHistogram
		rotated time.Time
		count   int
		after   time.Duration
	}
)

// Observe records the duration of a successful call.
func (h *Hedge) Observe(now time.Time, took time.Duration) {
	if h.hist == nil {
		h.hist = hdrhistogram.NewWindowed(windows, lowest, highest, digits)
		h.rotated = now
	}
	_ = h.hist.Current.RecordValue(min(max(int64(took), lowest), highest))
	h.count++
	if h.count == minSamples {
		h.updateThreshold()
	}
	if now.Sub(h.rotated) >= windowLength && h.count >= minSamples {
		h.updateThreshold()
		h.hist.Rotate()
		h.rotated, h.count = now, 0
	}
}

func (h *Hedge) updateThreshold() { h.after = time.Duration(h.hist.Merge().ValueAtQuantile(quantile)) }

// After returns the time after which a call is hedged; ok is false as long as there
// are too few samples.
func (h *Hedge) After() (d time.Duration, ok bool) { return h.after, h.after > 0 }
