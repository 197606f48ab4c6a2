package pick

import "sync"

// Usual learns how long requests of each kind usually take, so that an
// upstream's own time can be told from that of the work. The zero value is ready.
type Baseline struct {
	mu   sync.Mutex
	mean map[string]float64
}

// usualWeight is the weight of one request in the mean of its kind.
const baselineWeight = 0.03

// Pace returns how many times as long as usual a request took, and learns it.
// The first of a kind is usual by definition.
func (u *Baseline) Slowdown(kind string, took float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == nil {
		u.mean = map[string]float64{}
	}
	mean, known := u.mean[kind]
	if !known || mean <= 0 {
		u.mean[kind] = took
		return 1
	}
	slowdown := took / mean
	u.mean[kind] = mean + baselineWeight*(min(took, 4*mean)-mean)
	return slowdown
}
