// Package weight is a fake of the platform's weight store, which admits a limited
// number of concurrent model loads.
package weight

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	defaultLoads = 2
	defaultTime  = 10 * time.Second
)

type (
	// Weights implements plat/weight.Weights. The zero value admits two
	// concurrent loads of ten seconds each. Set exported fields before the first
	// call.
	Weights struct {
		Loads int              // maximum number of concurrent loads
		Time  time.Duration    // duration of one load
		Now   func() time.Time // clock; nil means time.Now

		mu          sync.Mutex
		ends        []time.Time // ends of the running loads, ascending
		unavailable bool
	}
)

var errUnavailable = errors.New("weight store: unavailable")

// SetUnavailable makes requests fail until it is called with false.
func (w *Weights) SetUnavailable(unavailable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unavailable = unavailable
}

// Admit implements plat/weight.Weights. It admits the load with a wait of 0, or
// returns the time until the earliest running load ends.
func (w *Weights) Admit(context.Context, string) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailable {
		return 0, errUnavailable
	}
	now := w.now()
	for len(w.ends) > 0 && !now.Before(w.ends[0]) {
		w.ends = w.ends[1:]
	}
	if len(w.ends) >= w.loads() {
		return w.ends[0].Sub(now), nil
	}
	w.ends = append(w.ends, now.Add(w.time()))
	return 0, nil
}

func (w *Weights) loads() int {
	if w.Loads <= 0 {
		return defaultLoads
	}
	return w.Loads
}

func (w *Weights) time() time.Duration {
	if w.Time <= 0 {
		return defaultTime
	}
	return w.Time
}

func (w *Weights) now() time.Time {
	if w.Now == nil {
		return time.Now()
	}
	return w.Now()
}
