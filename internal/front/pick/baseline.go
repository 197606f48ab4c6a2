package pick

import "sync"

// Baseline is a moving average of the duration of each kind of request, against which a
// slow upstream can be distinguished from expensive work. The zero value is ready.
type Baseline struct {
	mu   sync.Mutex
	mean map[string]float64
}

// baselineWeight is the weight of one request in the mean of its kind.
const baselineWeight = 0.03

// Slowdown returns the duration of a request as a multiple of the mean of its kind, and
// adds it to the mean, at most four times the mean. It returns 1 for the first request of
// a kind.
func (b *Baseline) Slowdown(kind string, took float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mean == nil {
		b.mean = map[string]float64{}
	}
	mean, known := b.mean[kind]
	if !known || mean <= 0 {
		b.mean[kind] = took
		return 1
	}
	slowdown := took / mean
	b.mean[kind] = mean + baselineWeight*(min(took, 4*mean)-mean)
	return slowdown
}

// Mean returns the mean duration of a kind of request, 0 if it is unknown.
func (b *Baseline) Mean(kind string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mean[kind]
}
